package flow

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
)

const (
	eventBufferBytes = 1 << 10
	// maxEventBytes is the most bytes of one event; longer events abort the stream.
	maxEventBytes = 1 << 20
)

var (
	errEventTooLong   = errors.New("stream event exceeds 1 MiB")
	errNoRoomForEvent = fmt.Errorf("no memory for a stream event of more than %d bytes", smallAnswerBytes)
	// errNoEvent is the error of a stream whose connection ended before an event, as that of
	// an upstream that crashes.
	errNoEvent = errors.New("stream ended before its first event")
)

// streamProgress is what the caller has received of an answer so far.
type streamProgress struct {
	// opened reports that the header of a stream was sent, answered that the answer is
	// complete.
	opened, answered bool
	// aborted reports that the answer ends early because it cannot be written.
	aborted bool
	// lastEventID is the ID of the last event that was passed on, and lastEventNumber
	// its value if it is a number.
	lastEventID     string
	lastEventNumber int64
	// events is the number of events that were passed on.
	events int
	// unfinished reports that a part of an answer that is no stream was passed on.
	unfinished bool
}

// event is one event of a stream, including the blank line that ends it.
type event struct {
	raw []byte
	id  string
	// reserved is the bytes that the event holds of the memory account.
	reserved int64
}

// eventReader splits a stream into events. It never returns a partial event, as an
// upstream leaves one that dies within an event.
type eventReader struct {
	reader *bufio.Reader
	// unfinished bounds what incomplete events hold beyond smallAnswerBytes each.
	unfinished *memory.Budget
	// grow is called before the current event grows by n bytes; it may be nil.
	grow func(n int) error
}

func newEventReader(r io.Reader, unfinished *memory.Budget) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes), unfinished: unfinished}
}

// next returns the next event, io.EOF after the last one, or io.ErrUnexpectedEOF
// if the stream ended within an event.
func (e *eventReader) next() (event, error) {
	var current event
	taken := int64(0)
	defer func() { e.unfinished.Return(taken) }()
	for {
		line, err := e.reader.ReadSlice('\n')
		if e.grow != nil && len(line) > 0 {
			if growErr := e.grow(len(line)); growErr != nil {
				return event{}, growErr
			}
		}
		if len(current.raw)+len(line) > cap(current.raw) && len(current.raw) >= smallAnswerBytes {
			more := int64(cap(current.raw))
			if !e.unfinished.Take(more) {
				return event{}, errNoRoomForEvent
			}
			taken += more
			current.raw = slices.Grow(current.raw, int(more))
		}
		current.raw = append(current.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(current.raw) > maxEventBytes {
				return event{}, errEventTooLong
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(current.raw) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(bytes.TrimSpace(current.raw)) == 0 {
				current.raw = current.raw[:0]
				continue
			}
			return current, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			current.id = string(bytes.TrimSpace(value))
		}
	}
}

// deliverStream passes a stream on. One that resumes another, which an upstream broke off,
// continues the same answer.
func (c *call) deliverStream(ctx context.Context, placement Placement, answer *exchange.Answer) Outcome {
	source := c.newStreamSource(ctx, placement, answer)
	defer source.stop()
	if c.deliversWhole() {
		return c.deliverWhole(placement, source, answer)
	}
	return c.deliverEvents(source, answer)
}

// deliverEvents passes events on as they arrive.
func (c *call) deliverEvents(source *streamSource, answer *exchange.Answer) Outcome {
	for {
		next, err := source.next()
		if errors.Is(err, io.EOF) {
			return c.completeStream(answer)
		}
		if err != nil {
			return source.outcome
		}
		if c.delivered(next) {
			source.drop(next)
			continue
		}
		source.beginWrite(next)
		err = c.passEvent(answer, next)
		source.endWrite(next)
		if err != nil {
			// A reader that is still reading must not take the closing for a crash.
			source.stop()
			return c.handleUnwritable(answer, err)
		}
	}
}

// completeStream ends an answer of which all events were passed on.
func (c *call) completeStream(answer *exchange.Answer) Outcome {
	if err := c.endStream(answer); err != nil {
		return c.handleUnwritable(answer, err)
	}
	c.finish(outcomeAnswered, append(c.lastAttempt(), "load", answer.Load)...)
	return Answered
}

// handleUnwritable ends a request whose answer cannot be written any further.
func (c *call) handleUnwritable(answer *exchange.Answer, err error) Outcome {
	answer.Close(false)
	c.progress.answered, c.progress.aborted = true, true
	c.finishDisconnected(c.disconnectOutcome(), append(c.lastAttempt(), "err", err)...)
	return Canceled
}

// delivered reports whether the caller already has the event; a resumed stream may
// repeat some.
func (c *call) delivered(e event) bool {
	if c.progress.lastEventID == "" || e.id == "" {
		return false
	}
	number, err := strconv.ParseInt(e.id, 10, 64)
	return err == nil && number <= c.progress.lastEventNumber
}

func (c *call) openStream(answer *exchange.Answer) error {
	if c.progress.opened {
		return nil
	}
	if err := c.ending.Begin(); err != nil {
		return err
	}
	c.progress.opened = true
	c.beginAnswer()
	c.Headers.Caller(answer.Header, c.w.Header())
	c.w.WriteHeader(answer.Status)
	c.Metrics.FirstEventSent(c.tier, c.Now().Sub(c.arrivedAt))
	return nil
}

func (c *call) passEvent(answer *exchange.Answer, e event) error {
	if err := c.openStream(answer); err != nil {
		return err
	}
	if _, err := c.w.Write(e.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return err
	}
	c.recordPassed(e)
	return nil
}

// recordPassed records an event that was passed on.
func (c *call) recordPassed(e event) {
	c.progress.events++
	if e.id == "" {
		return
	}
	c.progress.lastEventID = e.id
	if number, err := strconv.ParseInt(e.id, 10, 64); err == nil {
		c.progress.lastEventNumber = number
	}
}

func (c *call) endStream(answer *exchange.Answer) error {
	if err := c.openStream(answer); err != nil {
		return err
	}
	c.progress.answered = true
	return c.ending.Complete()
}

// handleBrokenStream records a stream that ended early, after the event with the ID.
func (c *call) handleBrokenStream(ctx context.Context, placement Placement, after string, err error) Outcome {
	if ctx.Err() != nil {
		c.recordSilence(placement.Upstream())
		return Canceled
	}
	c.connectionFailed(placement.Upstream().ID)
	c.Crashes.Broke(c.Now(), placement.Upstream(), c.crashKey(), !c.hasLasted(c.Now()))
	c.logger.Warn("stream broke off", append(c.crashDetails(), "upstream", placement.Upstream().ID, "after", after, "err", err)...)
	return Interrupted
}
