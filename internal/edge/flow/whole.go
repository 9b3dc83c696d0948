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

// heldEvents are the events of a stream that is passed on once it is complete.
type heldEvents struct {
	events []event
	// bytes is the memory that they take, and unfinished the part of it that was taken of the
	// budget for unfinished answers.
	bytes, unfinished int64
}

// deliverWhole passes the stream on once it is complete. Until then another upstream may still
// serve the request, and one that has no whole answer by the exit is told so, in place of a
// part of a stream. If there is no memory for all of it, the rest is passed on as it comes.
func (c *call) deliverWhole(placement Placement, source *streamSource, answer *exchange.Answer) Outcome {
	c.whole = true
	var held heldEvents
	defer c.releaseEvents(&held)
	for {
		next, err := source.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return source.outcome
		}
		if !c.hold(&held, next) {
			if err := c.passEvents(answer, append(held.events, next)); err != nil {
				return c.handleUnwritable(answer, err)
			}
			c.releaseEvents(&held)
			return c.deliverEvents(source, answer)
		}
	}
	c.complete = true
	c.releaseBeforeWrite(placement, Answered)
	if err := c.passEvents(answer, held.events); err != nil {
		return c.handleUnwritable(answer, err)
	}
	return c.completeStream(answer)
}

// hold holds an event beside the others, if there is memory for it.
func (c *call) hold(held *heldEvents, e event) bool {
	n := int64(len(e.raw)) + queuedEventBytes
	small := held.bytes+n <= smallAnswerBytes
	switch {
	case c.held.answer != nil:
		if !c.held.answer.Grow(c.Now(), n) {
			if !small {
				return false
			}
			c.held.answer.Force(n)
		}
	case !small:
		if !c.Unfinished.Take(n) {
			return false
		}
		held.unfinished += n
	}
	held.events, held.bytes = append(held.events, e), held.bytes+n
	return true
}

// releaseEvents releases the events that are held and their memory.
func (c *call) releaseEvents(held *heldEvents) {
	if c.held.answer != nil {
		c.held.answer.Shrink(c.Now(), held.bytes)
	}
	c.Unfinished.Return(held.unfinished)
	*held = heldEvents{}
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
