package flow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
)

const (
	// maxAnswerBytes is the most bytes of an answer that is no stream. The answer of a faulty
	// upstream may have no end.
	maxAnswerBytes = 16 << 20
	// smallAnswerBytes is what an answer, or an event of a stream, may hold whatever others
	// hold. It is far above the usual size of either.
	smallAnswerBytes = 64 << 10
	// copyBufferBytes is the buffer through which the rest of a large answer is passed on.
	copyBufferBytes = 16 << 10
	// bodyPieceBytes is the first piece that is reserved for a body or an answer of unknown
	// length. Each further one doubles what is reserved.
	bodyPieceBytes = 8 << 10
	// maxAnswerPause bounds the pauses in reading one answer while there is no room for it.
	// Upstreams cut off an answer that is unread for some seconds, and the answer must not
	// be lost.
	maxAnswerPause = time.Second
	// displaceTimeout is how long a body waits for the room of others that are dropped for it:
	// their goroutines have to notice it on a VM with a tenth of a core.
	displaceTimeout = 200 * time.Millisecond
	// largeBodyBytes and largeAnswerBytes are the sizes from which on a body and an answer get a
	// larger buffer in the kernel.
	largeBodyBytes   = 1 << 20
	largeAnswerBytes = 64 << 10
	// refusedBodyTimeout limits the time for the rest of a refused body: http.Server reads some
	// of it so that the caller gets the refusal.
	refusedBodyTimeout = 2 * time.Second
)

// bodyDoesNotFitError reports that the next piece of a body does not fit into the memory.
type bodyDoesNotFitError struct{ pieceBytes int64 }

// Error implements error.
func (bodyDoesNotFitError) Error() string { return "request body does not fit into the memory" }

// heldMemory is what a request holds of the memory account. Its fields are nil if the account
// is disabled.
type heldMemory struct {
	memory       *memory.Account
	holder       string
	body, answer *memory.Reservation
	// displaced is set when the body is dropped, while it arrives, in favor of another one.
	displaced atomic.Bool
	// unfinished is what the request's answers have of the budget for unfinished ones.
	unfinished int64
}

var (
	// errNoRoomForAnswer means that the rest of an answer is to be passed on unbuffered.
	errNoRoomForAnswer = errors.New("no memory for the rest of the answer")
	errAnswerTooLong   = fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
)

// openMemory opens the reservations of the request. Their holder is the workspace, or the
// caller's host if there is none.
func (c *call) openMemory(r *http.Request) {
	if !c.Memory.Enabled() {
		return
	}
	c.held.memory = c.Memory
	if c.workspace != nil {
		c.held.holder = "workspace " + c.workspace.Name
	} else if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		c.held.holder = "host " + host
	}
	c.held.body = c.Memory.OpenBody(c.held.holder, c.tier)
	c.held.answer = c.Memory.Open(memory.Answer, c.held.holder)
}

// closeMemory releases what the request still holds, however it ended.
func (c *call) closeMemory() {
	c.releaseBody()
	if c.held.answer != nil {
		c.held.answer.Close(c.Now())
	}
	c.Unfinished.Return(c.held.unfinished)
	c.held.unfinished = 0
}

// releaseBody drops the request's body, which is not sent again.
func (c *call) releaseBody() {
	if c.held.body != nil {
		c.request.Body = nil
		c.held.body.Close(c.Now())
	}
}

// releaseBeforeWrite ends the attempt of a request whose whole answer was read, so that a
// caller who takes it slowly keeps neither the upstream's slot nor the request's body.
func (c *call) releaseBeforeWrite(placement Placement, outcome Outcome) {
	if c.held.memory == nil {
		return
	}
	c.release(placement, outcome)
	c.releaseBody()
}

// reserveStatedBody reserves the memory for a body of the stated length, or refuses the
// request. A length below 0 is unknown.
func (c *call) reserveStatedBody(ctx context.Context, length int64) bool {
	if c.held.body == nil || length <= 0 || c.growBody(ctx, length) {
		return true
	}
	c.refuseForMemory(length)
	return false
}

// growBody reserves n more bytes for the body, if need be in place of other bodies that have been
// arriving for long, and reports whether there was room.
func (c *call) growBody(ctx context.Context, n int64) bool {
	now := c.Now()
	if c.held.body.Grow(now, n) {
		return true
	}
	if !c.held.body.Displace(now, n) {
		return false
	}
	c.awaitRoom(ctx, c.held.body, n, displaceTimeout)
	return c.held.body.Grow(c.Now(), n)
}

// beginArrival lets other bodies displace this one while it arrives. The caller is then refused.
func (c *call) beginArrival(now time.Time, controller *http.ResponseController) {
	if c.held.body == nil {
		return
	}
	c.held.body.BeginArrival(now, func() {
		c.held.displaced.Store(true)
		// It fails only on a closed connection.
		_ = controller.SetReadDeadline(now)
	})
}

func (c *call) endArrival() {
	c.endTurn()
	if c.held.body != nil {
		c.held.body.EndArrival()
	}
}

// endTurn lets other large bodies be read.
func (c *call) endTurn() {
	if c.conn != nil {
		c.conn.EndTurn()
	}
}

// enlargeBuffer enlarges a buffer of the caller's connection if there is memory for it.
func (c *call) enlargeBuffer(reservation *memory.Reservation, enlarge func(*ingress.Conn) error) {
	if c.conn == nil || reservation == nil || !reservation.Grow(c.Now(), ingress.LargeBufferCost) {
		return
	}
	if err := enlarge(c.conn); err != nil {
		c.logger.Debug("could not enlarge a buffer of the connection", "err", err)
	}
}

// refuseForMemory refuses a request whose body, of which n bytes are missing, does not fit.
func (c *call) refuseForMemory(n int64) {
	now := c.Now()
	retryAfter := c.held.body.Refuse(now, n)
	c.held.body.Discard(now)
	if err := http.NewResponseController(c.w).SetReadDeadline(now.Add(refusedBodyTimeout)); err != nil {
		c.logger.Debug("could not set the read deadline", "err", err)
	}
	c.refuse(http.StatusServiceUnavailable, retryAfter, "no memory for the request body")
}

// readAllOfBody reads a request's body of at most maxBytes, for whose stated length memory is
// reserved. One of unknown length is reserved piece by piece.
func (c *call) readAllOfBody(ctx context.Context, body io.Reader, length, maxBytes int64) ([]byte, error) {
	if c.held.body == nil {
		return io.ReadAll(body)
	}
	reserve := func(n int64) error {
		if !c.growBody(ctx, n) {
			return bodyDoesNotFitError{pieceBytes: n}
		}
		return nil
	}
	return readReserved(body, length, maxBytes, reserve)
}

// readAnswerBody reads an answer that is passed on as a whole. While there is no room for it,
// reading pauses, but an answer is never given up for lack of memory: the error is then
// errNoRoomForAnswer, and the rest can be read from the answer.
func (c *call) readAnswerBody(ctx context.Context, answer *exchange.Answer) ([]byte, error) {
	if answer.Length() > maxAnswerBytes {
		return nil, errAnswerTooLong
	}
	limited := &limitedAnswer{reader: answer}
	if c.held.answer == nil {
		return c.readUnfinished(limited)
	}
	pauseUntil, reserved := time.Time{}, int64(0)
	body, err := readReserved(limited, -1, maxAnswerBytes, func(n int64) error {
		for {
			now := c.Now()
			if c.held.answer.Grow(now, n) {
				reserved += n
				return nil
			}
			if pauseUntil.IsZero() {
				pauseUntil = now.Add(maxAnswerPause)
			}
			if now.Before(pauseUntil) && ctx.Err() == nil {
				c.awaitRoom(ctx, c.held.answer, n, pauseUntil.Sub(now))
				continue
			}
			if reserved >= smallAnswerBytes {
				return errNoRoomForAnswer
			}
			c.held.answer.Force(n)
			reserved += n
			return nil
		}
	})
	if err != nil && !errors.Is(err, errNoRoomForAnswer) {
		c.held.answer.Shrink(c.Now(), reserved)
	}
	return body, err
}

// readUnfinished reads an answer within the budget for unfinished ones.
func (c *call) readUnfinished(answer io.Reader) ([]byte, error) {
	size := int64(0)
	return readReserved(answer, -1, maxAnswerBytes, func(n int64) error {
		size += n
		if size <= smallAnswerBytes {
			return nil
		}
		if !c.Unfinished.Take(n) {
			return errNoRoomForAnswer
		}
		c.held.unfinished += n
		return nil
	})
}

// releaseFailedBody releases the memory of a failed answer that another one replaces.
func (c *call) releaseFailedBody() {
	if c.held.answer != nil {
		c.held.answer.Shrink(c.Now(), int64(cap(c.failedBody)))
	}
}

// awaitRoom waits until the reservation may grow by n bytes, the timeout passes or the context ends.
func (c *call) awaitRoom(ctx context.Context, reservation *memory.Reservation, n int64, timeout time.Duration) {
	c.endTurn()
	ready, stop := reservation.Room(c.Now(), n)
	defer stop()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// limitedAnswer fails when an answer that is no stream exceeds its maximum.
type limitedAnswer struct {
	reader io.Reader
	read   int
}

// Read implements io.Reader.
func (l *limitedAnswer) Read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	l.read += n
	if l.read > maxAnswerBytes {
		return 0, errAnswerTooLong
	}
	return n, err
}

// passUnfinished passes on an answer for whose rest there is no memory. From the first byte on,
// the request cannot be sent again. An answer that breaks off ends the caller's connection.
func (c *call) passUnfinished(ctx context.Context, placement Placement, answer *exchange.Answer, begun []byte) Outcome {
	success := answer.Status >= 200 && answer.Status < 300
	if c.progress.opened || (!success && answer.Status >= http.StatusInternalServerError && c.mayRetry()) {
		answer.Close(false)
		return Failed
	}
	placement.AnswerStarted(c.Now())
	if answer.Length() < 0 {
		if err := c.ending.Begin(); err != nil {
			return c.handleUnwritable(answer, err)
		}
	}
	c.progress.opened, c.progress.unfinished = true, true
	c.beginAnswer()
	c.Headers.Caller(answer.Header, c.w.Header())
	c.stateLength(answer.Length())
	c.w.WriteHeader(answer.Status)
	rest := &limitedAnswer{reader: answer, read: len(begun)}
	buffer := make([]byte, copyBufferBytes)
	for piece := begun; ; {
		if _, err := c.w.Write(piece); err != nil {
			return c.handleUnwritable(answer, err)
		}
		n, err := rest.Read(buffer)
		piece = buffer[:n]
		if errors.Is(err, io.EOF) && n == 0 {
			break
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return c.handleTruncated(ctx, placement, answer, err)
		}
	}
	if err := c.ending.Complete(); err != nil {
		return c.handleUnwritable(answer, err)
	}
	answer.Close(true)
	c.progress.answered = true
	if success {
		c.recordServed(answer)
		c.finish(outcomeAnswered, "upstream", placement.Upstream().ID)
		return Answered
	}
	c.finish("upstream failure", "status", answer.Status)
	return Failed
}

// readReserved reads to the end, or until there are more than maxBytes. If the length is known, it
// is reserved already; otherwise reserve is called before the buffer grows by n bytes.
func readReserved(r io.Reader, length, maxBytes int64, reserve func(n int64) error) ([]byte, error) {
	var data []byte
	if length > 0 {
		data = make([]byte, 0, length)
	}
	if length >= 0 {
		maxBytes = length
	}
	for {
		if len(data) == cap(data) {
			// As many bytes as there may be are read, but their end may not have been.
			if int64(len(data)) >= maxBytes {
				return data, readEnd(r)
			}
			more := min(max(bodyPieceBytes, cap(data)), int(maxBytes)-cap(data))
			if err := reserve(int64(more)); err != nil {
				return data, err
			}
			grown := make([]byte, len(data), cap(data)+more)
			copy(grown, data)
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readEnd reads the end of a body of which as many bytes were read as there may be.
func readEnd(r io.Reader) error {
	var probe [1]byte
	n, err := r.Read(probe[:])
	switch {
	case n > 0:
		return errors.New("body is longer than it may be")
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}
