package flow

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
)

const (
	// bodyPieceBytes is the first piece that is reserved for a body or an answer of unknown
	// length. Each further one doubles what is reserved.
	bodyPieceBytes = 8 << 10
	// maxAnswerPause bounds the pauses in reading one answer while there is no room for it.
	// Upstreams cut off an answer that is unread for some seconds, and the answer must not
	// be lost.
	maxAnswerPause = time.Second
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
}

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
func (c *call) reserveStatedBody(length int64) bool {
	if c.held.body == nil || length <= 0 || c.held.body.Grow(c.Now(), length) {
		return true
	}
	c.refuseForMemory(length)
	return false
}

// refuseForMemory refuses a request whose body, of which n bytes are missing, does not fit.
func (c *call) refuseForMemory(n int64) {
	now := c.Now()
	retryAfter := c.held.body.Refuse(now, n)
	c.held.body.Discard(now)
	c.refuse(http.StatusServiceUnavailable, retryAfter, "no memory for the request body")
}

// readAllOfBody reads a request's body, for whose stated length memory is reserved. One of
// unknown length is reserved piece by piece.
func (c *call) readAllOfBody(body io.Reader, length int64) ([]byte, error) {
	if c.held.body == nil {
		return io.ReadAll(body)
	}
	reserve := func(n int64) error {
		if !c.held.body.Grow(c.Now(), n) {
			return bodyDoesNotFitError{pieceBytes: n}
		}
		return nil
	}
	return readReserved(body, length, reserve)
}

// readAnswerBody reads an answer that is passed on as a whole. While there is no room for it,
// reading pauses, but an answer is never given up for lack of memory.
func (c *call) readAnswerBody(ctx context.Context, answer *exchange.Answer) ([]byte, error) {
	limited := io.LimitReader(answer, maxBufferedAnswerBytes)
	if c.held.answer == nil {
		return io.ReadAll(limited)
	}
	pauseUntil, reserved := time.Time{}, int64(0)
	body, err := readReserved(limited, -1, func(n int64) error {
		reserved += n
		for {
			now := c.Now()
			if c.held.answer.Grow(now, n) {
				return nil
			}
			if pauseUntil.IsZero() {
				pauseUntil = now.Add(maxAnswerPause)
			}
			if !now.Before(pauseUntil) || ctx.Err() != nil {
				c.held.answer.Force(n)
				return nil
			}
			c.awaitAnswerRoom(ctx, n, pauseUntil.Sub(now))
		}
	})
	if err != nil {
		c.held.answer.Shrink(c.Now(), reserved)
	}
	return body, err
}

// releaseFailedBody releases the memory of a failed answer that another one replaces.
func (c *call) releaseFailedBody() {
	if c.held.answer != nil {
		c.held.answer.Shrink(c.Now(), int64(cap(c.failedBody)))
	}
}

func (c *call) awaitAnswerRoom(ctx context.Context, n int64, timeout time.Duration) {
	ready, stop := c.held.answer.Room(c.Now(), n)
	defer stop()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readReserved reads to the end. If the length is known, it is reserved already; otherwise
// reserve is called before the buffer grows by n bytes.
func readReserved(r io.Reader, length int64, reserve func(n int64) error) ([]byte, error) {
	var data []byte
	if length > 0 {
		data = make([]byte, 0, length)
	}
	for {
		if len(data) == cap(data) {
			// The stated length is read, but its end may not have been.
			if length >= 0 {
				return data, readEnd(r)
			}
			more := max(bodyPieceBytes, cap(data))
			if err := reserve(int64(more)); err != nil {
				return nil, err
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

// readEnd reads the end of a body whose stated length was read.
func readEnd(r io.Reader) error {
	var probe [1]byte
	n, err := r.Read(probe[:])
	switch {
	case n > 0:
		return errors.New("body is longer than its stated length")
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}
