package flow

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
)

const (
	// eventBuffer is the first size of the buffer for one event.
	eventBuffer = 1 << 10
	// maxEvent bounds one event; a stream with a longer one is broken off.
	maxEvent = 1 << 20
)

var errEventTooLong = errors.New("an event of the stream is too long")

// relay is what the caller has of a stream so far.
type relay struct {
	// opened tells that the header went out, answered that the answer is over.
	opened, answered bool
	// last is the id of the last event that was passed on whole.
	last   string
	number int64
}

// event is one event of a stream, with its closing blank line.
type event struct {
	raw []byte
	id  string
}

// eventReader cuts a stream into whole events. An upstream that dies inside an
// event leaves a piece which is never passed on.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next whole event, or io.EOF after the last one, or
// io.ErrUnexpectedEOF if the stream ended inside an event.
func (e *eventReader) next() (event, error) {
	var got event
	for {
		line, err := e.reader.ReadSlice('\n')
		got.raw = append(got.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(got.raw) > maxEvent {
				return event{}, errEventTooLong
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(got.raw) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(bytes.TrimSpace(got.raw)) == 0 {
				got.raw = got.raw[:0]
				continue
			}
			return got, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			got.id = string(bytes.TrimSpace(value))
		}
	}
}

// deliverStream passes events on as they come. An upstream's stream that goes
// on where another broke off continues the same answer.
func (u *run) deliverStream(ctx context.Context, place Place, answer *exchange.Answer) Outcome {
	reader := newEventReader(answer)
	var eventAt time.Time
	for {
		got, err := reader.next()
		if errors.Is(err, io.EOF) {
			answer.Close(true)
			u.endStream(answer)
			u.finish(outcomeAnswered, append(u.lastSend(), "load", answer.Load)...)
			return Answered
		}
		if err != nil {
			answer.Close(false)
			return u.streamBroke(ctx, place, err)
		}
		u.events++
		now := u.Now()
		if u.events == 1 {
			u.firstEvent = now.Sub(u.sentAt)
			place.Started(now)
		} else {
			u.longestGap = max(u.longestGap, now.Sub(eventAt))
		}
		eventAt = now
		if u.seen(got) {
			continue
		}
		if err := u.pass(answer, got); err != nil {
			answer.Close(false)
			u.stream.answered = true
			u.finishLeft(u.leftOutcome(), append(u.lastSend(), "err", err)...)
			return Left
		}
	}
}

// seen tells whether the caller has the event already: a stream that is resumed
// may repeat some.
func (u *run) seen(e event) bool {
	if u.stream.last == "" || e.id == "" {
		return false
	}
	number, err := strconv.ParseInt(e.id, 10, 64)
	return err == nil && number <= u.stream.number
}

func (u *run) open(answer *exchange.Answer) {
	if u.stream.opened {
		return
	}
	u.stream.opened = true
	u.Translator.Caller(answer.Header, u.w.Header())
	u.w.WriteHeader(answer.Status)
	u.Metrics.FirstEvent(u.tier, u.Now().Sub(u.arrived))
}

func (u *run) pass(answer *exchange.Answer, e event) error {
	u.open(answer)
	if _, err := u.w.Write(e.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(u.w).Flush(); err != nil {
		return err
	}
	if e.id != "" {
		u.stream.last = e.id
		if number, err := strconv.ParseInt(e.id, 10, 64); err == nil {
			u.stream.number = number
		}
	}
	return nil
}

func (u *run) endStream(answer *exchange.Answer) {
	u.open(answer)
	u.stream.answered = true
}

func (u *run) streamBroke(ctx context.Context, place Place, err error) Outcome {
	if ctx.Err() != nil {
		return Left
	}
	u.Crashes.Broke(u.Now(), place.Upstream().ID, u.fingerprint)
	u.logger.Warn("stream broke off", "upstream", place.Upstream().ID, "after", u.stream.last, "err", err)
	return Broken
}
