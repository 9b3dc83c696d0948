package ingress

import (
	"slices"
	"time"
)

const (
	// exitPollInterval is how often the end of a shutdown checks what it waits for.
	exitPollInterval = 5 * time.Millisecond
	// handlerEndTime is how long the handlers of requests that are cut have to end: what they
	// log would be lost beside a process that exits.
	handlerEndTime = 100 * time.Millisecond
	// exitAnswerTime is how long requests have that are being answered at the exit: a process
	// that gets little processor time may notice that it exits only when it is to end.
	exitAnswerTime = 200 * time.Millisecond
)

// abort ends a shutdown. It closes the connections whose answer is incomplete at once, waits
// until the others have theirs, closes what is left, and waits for the handlers.
func (s *Server) abort() error {
	cut := s.closeBegun()
	s.await(exitAnswerTime, s.exitAnswered)
	begun, unanswered := s.countInFlight()
	if cut += begun; cut+unanswered > 0 {
		s.Logger.Warn("requests cut at the end of the shutdown", "answers-begun", cut, "unanswered", unanswered)
	}
	err := s.httpServer.Close()
	if !s.await(handlerEndTime, func() bool { return s.activeRequests.Load() == 0 }) {
		s.Logger.Warn("requests still run after their connections were closed", "requests", s.activeRequests.Load())
	}
	return err
}

// closeBegun closes the connections on which a part of an answer was passed on, and returns
// how many there are.
func (s *Server) closeBegun() int {
	closed := 0
	for _, c := range s.openConns() {
		if c.answerState() != answerBegun {
			continue
		}
		closed++
		if err := c.Close(); err != nil {
			s.Logger.Debug("could not close a connection", "err", err)
		}
	}
	return closed
}

// exitAnswered reports whether all requests that handlers answer at the exit have their answers.
func (s *Server) exitAnswered() bool {
	return !slices.ContainsFunc(s.openConns(), (*Conn).isAnsweringAtExit)
}

// countInFlight returns how many requests are in flight of which a part of the answer was
// passed on, and how many of which nothing was.
func (s *Server) countInFlight() (begun, unanswered int) {
	for _, c := range s.openConns() {
		switch c.answerState() {
		case answerNone:
			unanswered++
		case answerBegun:
			begun++
		case answerIdle:
		}
	}
	return begun, unanswered
}

// await waits until the condition holds, and reports whether it did within the time.
func (s *Server) await(atMost time.Duration, holds func() bool) bool {
	timeout := time.NewTimer(atMost)
	defer timeout.Stop()
	ticker := time.NewTicker(exitPollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-timeout.C:
			return holds()
		case <-ticker.C:
		}
	}
	return true
}

// answerState is how far the answer of a connection's request is.
type answerState int

const (
	// answerIdle: the handler has no request.
	answerIdle answerState = iota
	// answerNone: nothing of the answer was passed on.
	answerNone
	// answerBegun: a part of the answer was passed on.
	answerBegun
)

func (c *Conn) answerState() answerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.inFlight:
		return answerIdle
	case c.begun:
		return answerBegun
	}
	return answerNone
}

// BeginAnswer records that a part of the answer to the request in flight is passed on.
func (c *Conn) BeginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
}

// AnswerAtExit records that the handler answers the request in flight as soon as the process
// exits, if nothing was passed on by then.
func (c *Conn) AnswerAtExit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersAtExit = true
}

// isAnsweringAtExit reports whether the handler answers a request at the exit, and the answer was
// not sent yet.
func (c *Conn) isAnsweringAtExit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answersAtExit && !c.begun
}
