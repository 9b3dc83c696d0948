package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// finalReadTimeout bounds one more read of a connection that is to end as
	// idle, for a request that arrived while the process was not scheduled.
	finalReadTimeout = 50 * time.Millisecond
	// drainHeaderTimeout is how long a header may take once the server drains.
	drainHeaderTimeout = time.Second
)

// Conn is a caller's connection. It enforces the idle limit, and the drain of a
// stop, by the deadline of the read that awaits the next request. Closing it from
// another goroutine could cut a request that has just been read.
type Conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// idleSince is when the connection began to await a request, zero while one
	// is in flight.
	idleSince time.Time
	// idleTime is how long it awaited the last request.
	idleTime time.Duration
	// headerUntil is when the header of which a part was read must be whole, zero
	// while none is read.
	headerUntil time.Time
	// inFlight tells that the handler has a request, and closedInFlight that this
	// process closed the connection before it had answered.
	inFlight, closed, closedInFlight bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		final, err := c.setIdleDeadline(c.server.Now())
		if err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 && err == nil {
			err = c.beginHeader(c.server.Now())
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.idle() {
			return n, err
		}
		if final {
			c.server.Metrics.ConnectionClosed(CloseIdle)
			return n, err
		}
	}
}

// setIdleDeadline bounds a read that awaits a request, and tells whether it is
// the final one.
func (c *Conn) setIdleDeadline(now time.Time) (final bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return false, nil
	}
	deadline := c.idleSince.Add(c.server.idleLimit())
	if final = !now.Before(deadline); final {
		deadline = now.Add(finalReadTimeout)
	}
	return final, c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline implements net.Conn. http.Server lifts all bounds when it begins to
// parse a header, of which a part may have been read before.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headerUntil.IsZero() && (t.IsZero() || t.After(c.headerUntil)) {
		t = c.headerUntil
	}
	return c.Conn.SetReadDeadline(t)
}

// interrupt wakes a read that awaits a request, so that it sees the drain, and
// bounds one that awaits the rest of a header.
func (c *Conn) interrupt(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.idleSince.IsZero():
		return c.Conn.SetReadDeadline(now)
	case !c.headerUntil.IsZero():
		return c.boundHeaderLocked(now)
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.countClosedInFlightLocked()
	c.mu.Unlock()
	c.server.untrack(c)
	return c.Conn.Close()
}

// setInFlight notes that the handler has a request, or has none any more.
func (c *Conn) setInFlight(inFlight bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = inFlight
	c.countClosedInFlightLocked()
}

// countClosedInFlightLocked counts a closed connection with a request, once.
func (c *Conn) countClosedInFlightLocked() {
	if c.closed && c.inFlight && !c.closedInFlight {
		c.closedInFlight = true
		c.server.Metrics.ConnectionClosed(CloseInFlight)
	}
}

// CloseWrite tells the caller that no more will come, so that it reads an answer
// to its end before the connection is closed.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// ClosedInFlight tells whether this process closed the connection while a request
// of it was in flight.
func (c *Conn) ClosedInFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedInFlight
}

// IdleTime is how long the connection was idle before the last request.
func (c *Conn) IdleTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleTime
}

func (c *Conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idleSince.IsZero()
}

func (c *Conn) beginIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = now
}

// beginHeader bounds a header whose first bytes were read, by the limit that is in
// force then; http.Server's own does not change while it runs.
func (c *Conn) beginHeader(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endIdleLocked(now) {
		return nil
	}
	return c.boundHeaderLocked(now)
}

// boundHeaderLocked sets when the header must be whole; it never puts that off.
func (c *Conn) boundHeaderLocked(now time.Time) error {
	until := now.Add(c.server.headerLimit())
	if c.headerUntil.IsZero() || until.Before(c.headerUntil) {
		c.headerUntil = until
	}
	return c.Conn.SetReadDeadline(c.headerUntil)
}

// endHeader notes that a header was read, also one that came with the request
// before it, and lifts its bound.
func (c *Conn) endHeader(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endIdleLocked(now)
	c.headerUntil = time.Time{}
	return c.Conn.SetReadDeadline(time.Time{})
}

// endIdleLocked tells whether the connection was idle until now.
func (c *Conn) endIdleLocked(now time.Time) bool {
	if c.idleSince.IsZero() {
		return false
	}
	c.idleTime, c.idleSince = now.Sub(c.idleSince), time.Time{}
	return true
}

// listener hands out callers' connections as Conn. It may be closed twice.
type listener struct {
	net.Listener
	server *Server
	close  func() error
}

func newListener(l net.Listener, s *Server) *listener {
	return &listener{Listener: l, server: s, close: sync.OnceValue(l.Close)}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, server: l.server, idleSince: l.server.Now()}
	l.server.track(c)
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error { return l.close() }

type contextKey struct{}

// withConn keeps the connection in the contexts of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// ConnOf returns the connection that a request of the context came on, or nil.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
