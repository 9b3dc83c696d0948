package flow

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
)

const (
	// readAheadDelay is how long a write to a caller may block until the stream is read
	// ahead of the caller. Upstreams cut off an answer that is unread for some seconds.
	readAheadDelay = 250 * time.Millisecond
	// queuedEventBytes is the memory that a queued event takes besides its bytes: 48 in a
	// queue that grows by doubling, and its ID.
	queuedEventBytes = 128
)

var errReadAheadStopped = errors.New("the caller's stream has ended")

// streamSource reads the events of an upstream's stream and records what they say of the
// upstream. The goroutine that writes to the caller reads them itself. Only if its write
// blocks for readAheadDelay does another goroutine read ahead into a queue, until the caller
// has caught up. Either of them owns the reader and the call's fields on the attempt, and
// passes them on under mu.
type streamSource struct {
	*call
	ctx       context.Context
	placement Placement
	observer  RunObserver
	answer    *exchange.Answer
	reader    *eventReader
	eventAt   time.Time
	// lastID is the ID of the last event that was passed to the writer.
	lastID string
	// outcome is the outcome of a stream that ended before its last event.
	outcome Outcome

	// timer fires when a write has blocked for readAheadDelay. It is nil if streams are not
	// read ahead, and the fields below are then not used.
	timer       *time.Timer
	reservation *memory.Reservation
	// resume wakes a goroutine that waits for room: the writer needs the next event.
	resume chan struct{}

	mu sync.Mutex
	// changed wakes the writer, and stop.
	changed sync.Cond
	// writeBegan is when the current write began, zero if there is none.
	writeBegan time.Time
	// reading reports that another goroutine owns the reader, waiting that the writer has
	// nothing left to write, and stopped that the writer has ended.
	reading, waiting, stopped bool
	queue                     []event
	// err is why no further event will be queued.
	err error
}

func (c *call) newStreamSource(ctx context.Context, placement Placement, answer *exchange.Answer) *streamSource {
	s := &streamSource{call: c, ctx: ctx, placement: placement, answer: answer, reader: newEventReader(answer, c.Unfinished), lastID: c.progress.lastEventID}
	s.observer, _ = placement.(RunObserver)
	if c.held.memory != nil {
		s.changed.L = &s.mu
		s.resume = make(chan struct{}, 1)
	}
	return s
}

// read reads the next event. At the end of the stream it closes the answer and returns
// io.EOF, or the reason for which the stream ended early.
func (s *streamSource) read() (event, error) {
	next, err := s.reader.next()
	if errors.Is(err, io.EOF) && s.events == 0 && s.answer.EndsWithConnection() {
		err = errNoEvent
	}
	if errors.Is(err, io.EOF) {
		s.answer.Close(true)
		s.recordServed(s.answer)
		return event{}, io.EOF
	}
	if err != nil {
		s.answer.Close(false)
		if !s.isStopped() {
			s.outcome = s.handleBrokenStream(s.ctx, s.placement, s.lastID, err)
		}
		return event{}, err
	}
	s.events++
	now := s.Now()
	if s.events == 1 {
		s.firstEvent, s.firstEventAt = now.Sub(s.sentAt), now
		s.placement.AnswerStarted(now)
		s.endSilence()
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.eventAt))
		s.recordSurvival(now)
	}
	s.eventAt = now
	if s.observer != nil {
		s.observer.EventArrived(now, s.events)
	}
	return next, nil
}

// next returns the next event for the caller.
func (s *streamSource) next() (event, error) {
	if s.timer == nil {
		return s.read()
	}
	s.mu.Lock()
	for s.reading && len(s.queue) == 0 {
		s.waiting = true
		s.wakeReader()
		s.changed.Wait()
	}
	s.waiting = false
	if len(s.queue) > 0 {
		defer s.mu.Unlock()
		next := s.queue[0]
		s.queue[0] = event{}
		s.queue = s.queue[1:]
		return next, nil
	}
	err := s.err
	s.mu.Unlock()
	if err != nil {
		return event{}, err
	}
	return s.read()
}

// beginWrite records that the writer begins to write an event to the caller.
func (s *streamSource) beginWrite(e event) {
	if s.held.memory == nil {
		s.noteID(e)
		return
	}
	s.mu.Lock()
	if s.reading || s.err != nil {
		s.mu.Unlock()
		return
	}
	s.noteID(e)
	s.writeBegan = s.eventAt
	s.mu.Unlock()
	if s.timer == nil {
		s.timer = time.AfterFunc(readAheadDelay, s.readAhead)
		return
	}
	s.timer.Reset(readAheadDelay)
}

func (s *streamSource) noteID(e event) {
	if e.id != "" {
		s.lastID = e.id
	}
}

// endWrite records that the caller's connection took the event, or failed.
func (s *streamSource) endWrite(e event) {
	if s.held.memory == nil {
		return
	}
	s.mu.Lock()
	s.writeBegan = time.Time{}
	s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.drop(e)
}

// drop releases the memory of an event that was written or is not needed.
func (s *streamSource) drop(e event) {
	if e.reserved > 0 {
		s.reservation.Shrink(s.Now(), e.reserved)
	}
}

// readAhead reads events into the queue while the writer is blocked, until it has caught up
// or the stream ends. The timer calls it in a goroutine of its own.
func (s *streamSource) readAhead() {
	s.mu.Lock()
	if s.reading || s.stopped || s.err != nil || s.writeBegan.IsZero() || s.Now().Sub(s.writeBegan) < readAheadDelay {
		// The write has ended, and another one may have begun since the timer fired.
		s.mu.Unlock()
		return
	}
	s.reading = true
	if s.reservation == nil {
		s.reservation = s.held.memory.Open(memory.Stream, s.held.holder)
		s.held.memory.CountReadAhead()
		s.logger.Debug("reading ahead of a slow caller", "upstream", s.placement.Upstream().ID, "after", s.lastID)
	}
	s.mu.Unlock()
	for s.queueNext() {
	}
}

// queueNext reads one event into the queue, and reports whether the goroutine still owns the
// reader.
func (s *streamSource) queueNext() bool {
	reserved := int64(0)
	s.reader.grow = func(n int) error {
		reserved += int64(n)
		return s.reserve(int64(n))
	}
	next, err := event{}, s.reserve(queuedEventBytes)
	if err == nil {
		reserved += queuedEventBytes
		next, err = s.read()
	} else {
		s.answer.Close(false)
		s.outcome = Canceled
	}
	if err != nil && !s.isStopped() {
		s.endAttempt(err)
	}
	// Appending line by line leaves up to half of the slice unused.
	next.raw, next.reserved = bytes.Clone(next.raw), reserved
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.changed.Broadcast()
	if err != nil {
		s.err, s.reading = err, false
		return false
	}
	s.noteID(next)
	s.queue = append(s.queue, next)
	if s.waiting && len(s.queue) == 1 {
		// The caller has taken all that was queued, and gets this event at once.
		s.reading, s.reader.grow = false, nil
		return false
	}
	return true
}

// endAttempt releases the upstream's slot as soon as its stream has ended, however long the
// caller takes for the rest of it.
func (s *streamSource) endAttempt(err error) {
	outcome := s.outcome
	if errors.Is(err, io.EOF) {
		outcome = Answered
		s.releaseBody()
	}
	s.release(s.placement, outcome)
}

// reserve reserves n bytes of the account. While there is no room, it waits until there is,
// or the writer has nothing left to write: the event that the caller waits for is passed on
// whatever the account holds, as it is without reading ahead.
func (s *streamSource) reserve(n int64) error {
	for {
		if s.reservation.Grow(s.Now(), n) {
			return nil
		}
		s.mu.Lock()
		needed, stopped := s.waiting && len(s.queue) == 0, s.stopped
		s.mu.Unlock()
		if stopped {
			return errReadAheadStopped
		}
		if needed {
			s.reservation.Force(n)
			return nil
		}
		if err := s.awaitRoom(n); err != nil {
			return err
		}
	}
}

func (s *streamSource) awaitRoom(n int64) error {
	ready, stop := s.reservation.Room(s.Now(), n)
	defer stop()
	select {
	case <-ready:
	case <-s.resume:
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	return nil
}

func (s *streamSource) wakeReader() {
	select {
	case s.resume <- struct{}{}:
	default:
	}
}

func (s *streamSource) isStopped() bool {
	if s.held.memory == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// stop ends the stream for the caller: nothing is read from the upstream any more, and what
// is queued is dropped. It may be called more than once.
func (s *streamSource) stop() {
	if s.timer == nil {
		return
	}
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.reading {
		// Ends a read in progress.
		s.answer.Close(false)
		s.wakeReader()
	}
	for s.reading {
		s.changed.Wait()
	}
	s.queue = nil
	if s.reservation != nil {
		s.reservation.Close(s.Now())
	}
}
