package link

import (
	"container/list"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// defaultUnproven is how many sessions may be open on which no message was received. Peers send
	// one as soon as they have connected, but all peers may connect at once.
	defaultUnproven = 64
	// minUnprovenTime is how long a session may be unproven before it gives way to the bytes of
	// another one. Otherwise, bytes would be dropped as fast as they arrive, and the garbage of those
	// that were dropped is not bounded.
	minUnprovenTime = 250 * time.Millisecond
	// heldPerByte estimates what is held for each byte that was received: it is in the buffers of a
	// frame, of a stream and of a message, which grow by doubling.
	heldPerByte = 3
	// sessionBytes and frameBytes estimate what is held for a session, in goroutines and buffers, and
	// for each frame, which may open a stream.
	sessionBytes = 24 << 10
	frameBytes   = 1 << 10
	// MinUnprovenBytes is the least bound of what unproven sessions hold: that of the largest
	// message, of what is read with it, and of some sessions beside it.
	MinUnprovenBytes = heldPerByte*(MaxFrame+maxStreamWindow) + defaultUnproven*sessionBytes
)

// Budget bounds what unproven sessions hold, in bytes.
type Budget interface {
	// Take takes n bytes, and reports whether there were as many.
	Take(n int64) bool
	// Return returns n bytes that were taken.
	Return(n int64)
}

// unlimited is a budget without a bound.
type unlimited struct{}

func (unlimited) Take(int64) bool { return true }

func (unlimited) Return(int64) {}

// unproven are the sessions on which no message was received, in the order in which they were
// accepted. Anyone who reaches the port can open them, so that the first ones give way to others.
type unproven struct {
	budget Budget
	limit  int

	mu       sync.Mutex
	sessions list.List
	// changed is signaled when bytes were returned, a session gave way, or one may give way now.
	changed *sync.Cond
	// waking is set while a timer will signal changed.
	waking bool
}

func newUnproven() *unproven {
	u := &unproven{budget: unlimited{}, limit: defaultUnproven}
	u.changed = sync.NewCond(&u.mu)
	return u
}

// accepted is the connection of a session that a peer opened.
type accepted struct {
	net.Conn
	unproven *unproven
	since    time.Time
	// proven is closed when a message was received.
	proven chan struct{}

	// The mutex of unproven guards these fields. place is the position among the unproven sessions,
	// nil if the session is none of them any more. held is what it has of the budget, until it is
	// proven or has ended, and dropped is set if it gave way.
	place   *list.Element
	held    int64
	dropped bool
}

// add adds a connection. The oldest give way to it if there are too many, or if there is no room.
func (u *unproven) add(now time.Time, conn net.Conn) *accepted {
	s := &accepted{Conn: conn, unproven: u, since: now, proven: make(chan struct{})}
	u.mu.Lock()
	defer u.mu.Unlock()
	s.place = u.sessions.PushBack(s)
	if u.sessions.Len() > u.limit {
		u.dropOldestLocked()
	}
	if u.budget.Take(sessionBytes) {
		s.held = sessionBytes
	} else if u.sessions.Len() > 1 {
		u.dropOldestLocked()
	}
	return s
}

// makeRoomLocked ends the session that is unproven for longest, if it is for long enough, and has
// changed signaled otherwise when it is.
func (u *unproven) makeRoomLocked(now time.Time) {
	front := u.sessions.Front()
	if front == nil {
		return
	}
	missing := minUnprovenTime - now.Sub(front.Value.(*accepted).since)
	if missing <= 0 {
		u.dropOldestLocked()
		return
	}
	if !u.waking {
		u.waking = true
		time.AfterFunc(missing, func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.waking = false
			u.changed.Broadcast()
		})
	}
}

// dropOldestLocked ends the session that is unproven for longest. Its bytes are returned when it has
// ended.
func (u *unproven) dropOldestLocked() {
	s := u.sessions.Remove(u.sessions.Front()).(*accepted)
	s.place, s.dropped = nil, true
	u.changed.Broadcast()
	closeQuietly(s.Conn)
}

// returnLocked returns what a session has of the budget.
func (u *unproven) returnLocked(s *accepted) {
	if s.place != nil {
		u.sessions.Remove(s.place)
		s.place = nil
	}
	u.budget.Return(s.held)
	s.held = 0
	u.changed.Broadcast()
}

// prove records that a message was received.
func (s *accepted) prove() {
	s.unproven.mu.Lock()
	defer s.unproven.mu.Unlock()
	if s.place != nil {
		s.unproven.returnLocked(s)
		close(s.proven)
	}
}

// Read implements net.Conn.
func (s *accepted) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 && !s.charge(heldPerByte*int64(n)) {
		return 0, io.ErrUnexpectedEOF
	}
	return n, err
}

// beginFrame charges a frame that is about to be read.
func (s *accepted) beginFrame() error {
	if !s.charge(frameBytes) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// charge takes n bytes of the budget, and reports whether the session goes on. Sessions that are
// unproven for longest give way, and their bytes are awaited.
func (s *accepted) charge(n int64) bool {
	u := s.unproven
	u.mu.Lock()
	defer u.mu.Unlock()
	for s.place != nil && !u.budget.Take(n) {
		u.makeRoomLocked(time.Now())
		if s.place != nil {
			u.changed.Wait()
		}
	}
	if s.place != nil {
		s.held += n
	}
	return !s.dropped
}

// Close implements net.Conn.
func (s *accepted) Close() error {
	s.unproven.mu.Lock()
	s.unproven.returnLocked(s)
	s.unproven.mu.Unlock()
	return s.Conn.Close()
}
