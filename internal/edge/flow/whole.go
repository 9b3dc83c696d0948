package flow

import (
	"errors"
	"io"
	"net/http"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
)

// deliversWhole reports whether the stream is passed on only once it is complete, because the
// process may exit before its end. That it was planned to end before is no bound: an engine may
// turn slow. Only the deadline is. Streams that came before the load balancer could notice the
// shutdown are passed on as they come: most of them are long and end well before the exit.
func (c *call) deliversWhole() bool {
	c.checkShutdown()
	return c.shutdown.started() && !c.progress.opened && c.deadline.After(c.shutdown.exitAt) && !c.shutdown.unnoticed(c.receivedAt())
}

// deliverWhole passes the stream on once it is complete. Until then another upstream may still
// serve the request, and one that has no whole answer by the exit is told so, in place of a
// part of a stream. If there is no memory for all of it, the rest is passed on as it comes.
func (c *call) deliverWhole(placement Placement, source *streamSource, answer *exchange.Answer) Outcome {
	c.whole = true
	var held []event
	var heldBytes int64
	defer func() { c.releaseEvents(heldBytes) }()
	for {
		next, err := source.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return source.outcome
		}
		held = append(held, next)
		n := int64(len(next.raw)) + queuedEventBytes
		if !c.reserveEvents(heldBytes, n) {
			if err := c.passEvents(answer, held); err != nil {
				return c.handleUnwritable(answer, err)
			}
			return c.deliverEvents(source, answer)
		}
		heldBytes += n
	}
	c.read = true
	c.releaseBeforeWrite(placement, Answered)
	if err := c.passEvents(answer, held); err != nil {
		return c.handleUnwritable(answer, err)
	}
	return c.completeStream(answer)
}

// reserveEvents reserves n bytes for an event that is held, beside those that are.
func (c *call) reserveEvents(held, n int64) bool {
	small := held+n <= smallAnswerBytes
	switch {
	case c.held.answer != nil && c.held.answer.Grow(c.Now(), n):
		return true
	case c.held.answer != nil && small:
		c.held.answer.Force(n)
		return true
	case c.held.answer == nil && small:
		return true
	case c.held.answer == nil && c.Unfinished.Take(n):
		c.held.unfinished += n
		return true
	}
	return false
}

// releaseEvents releases the memory of events that were held.
func (c *call) releaseEvents(n int64) {
	if c.held.answer != nil {
		c.held.answer.Shrink(c.Now(), n)
	}
}

// passEvents passes the events on together.
func (c *call) passEvents(answer *exchange.Answer, events []event) error {
	if err := c.openStream(answer); err != nil {
		return err
	}
	for _, e := range events {
		if _, err := c.w.Write(e.raw); err != nil {
			return err
		}
		c.recordPassed(e)
	}
	return http.NewResponseController(c.w).Flush()
}
