package ingress

import (
	"container/list"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/caller/connection"
)

const (
	// finalReadTimeout limits the last read of a connection before it is closed as
	// idle. It finds a request that arrived while the process was not scheduled.
	finalReadTimeout = 50 * time.Millisecond
	// drainHeaderTimeout is how long a header may take while the server drains.
	drainHeaderTimeout = time.Second
)

// Conn is a caller's connection. It enforces the idle limit and the drain of a
// shutdown by the deadline of the read that waits for the next request. Closing it
// from another goroutine could drop a request that has just been read.
type Conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// idleSince is when the connection began to wait for a request, zero while one
	// is in flight.
	idleSince time.Time
	// idleTime is how long it waited for the last request.
	idleTime time.Duration
	// headerDeadline is when a partially read header must be complete, zero if there
	// is none.
	headerDeadline time.Time
	// inFlight reports that the handler has a request, closedInFlight that this
	// process closed the connection before the request was answered.
	inFlight, closed, closedInFlight bool
	// begun reports that a part of the answer to that request was passed on.
	begun bool
	// answersAtExit reports that the handler answers the request when the process exits. It is
	// set until that answer was sent.
	answersAtExit bool
	// yielding reports that the connection is to be closed in favor of others.
	yielding bool
	// enlarged are the socket options of the buffers that are larger than usual.
	enlarged []int
	header   header
	turn     turn
	// place is the position among the connections that wait, guarded by the server's mutex, nil
	// while there is a request.
	place *list.Element
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		final, err := c.setIdleDeadline(c.server.Now())
		if err != nil {
			return 0, err
		}
		c.turn.end(c.server.turns)
		n, err := c.Conn.Read(p)
		if n > 0 && err == nil {
			inHeader, err := c.readHeader(c.server.Now(), p[:n])
			if err != nil {
				return 0, err
			}
			free := turnFreeBodyBytes
			if inHeader {
				free = turnFreeHeaderBytes
			}
			c.turn.begin(c.server.turns, n, free)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.idle() {
			return n, err
		}
		if final {
			c.server.Metrics.ConnectionClosed(c.idleReason())
			return n, err
		}
	}
}

// setIdleDeadline sets the deadline of a read that waits for a request, and reports
// whether it is the last read before the connection is closed as idle.
func (c *Conn) setIdleDeadline(now time.Time) (final bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return false, nil
	}
	deadline := c.idleSince.Add(c.server.idleLimit())
	if final = c.yielding || !now.Before(deadline); final {
		deadline = now.Add(finalReadTimeout)
	}
	return final, c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline implements net.Conn. It keeps the header deadline, because
// http.Server removes the read deadline when it begins to parse a header, of which
// a part may have been read before.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headerDeadline.IsZero() && (t.IsZero() || t.After(c.headerDeadline)) {
		t = c.headerDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// interrupt wakes a read that waits for a request, so that it notices the drain, and
// shortens the deadline of one that waits for the rest of a header.
func (c *Conn) interrupt(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.idleSince.IsZero():
		return c.Conn.SetReadDeadline(now)
	case !c.headerDeadline.IsZero():
		return c.setHeaderDeadlineLocked(now)
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.countClosedInFlightLocked()
	c.mu.Unlock()
	c.header.close(c.server.Now())
	c.turn.close(c.server.turns)
	c.server.untrack(c)
	return c.Conn.Close()
}

// EndTurn lets other connections with large requests be processed. A handler calls it when it has
// read a body, and before it waits for something else than the body's bytes.
func (c *Conn) EndTurn() { c.turn.reset(c.server.turns) }

// setInFlight records whether the handler has a request.
func (c *Conn) setInFlight(inFlight bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight, c.begun = inFlight, false
	c.countClosedInFlightLocked()
}

// countClosedInFlightLocked counts a connection that is closed with a request in
// flight, once.
func (c *Conn) countClosedInFlightLocked() {
	if c.closed && c.inFlight && !c.closedInFlight {
		c.closedInFlight = true
		c.server.Metrics.ConnectionClosed(CloseInFlight)
	}
}

// CloseWrite leaves the connection open. http.Server calls it after an answer to a request whose
// body it does not read to its end, and closes the connection half a second later, so that the
// caller can read the answer, which states its length. Callers that wait for the end of the
// connection would otherwise return at once. The turn ends, for nothing is read any more.
func (c *Conn) CloseWrite() error {
	c.EndTurn()
	return nil
}

// SetLinger sets what Close does with bytes that were not sent, as that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// ClosedInFlight reports whether this process closed the connection while a request
// was in flight.
func (c *Conn) ClosedInFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedInFlight
}

// IdleTime returns how long the connection was idle before the last request.
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
	c.idleSince, c.answersAtExit = now, false
}

// beginHeader sets the deadline of a header whose first bytes were read, by the
// limit that is configured then. ReadHeaderTimeout of http.Server cannot change
// while it runs. It reports whether the bytes that were read belong to a header, and whether they
// are its first.
func (c *Conn) beginHeader(now time.Time) (inHeader, first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endIdleLocked(now) {
		return !c.headerDeadline.IsZero(), false, nil
	}
	return true, true, c.setHeaderDeadlineLocked(now)
}

// setHeaderDeadlineLocked sets or shortens the deadline of the header. It never
// extends it.
func (c *Conn) setHeaderDeadlineLocked(now time.Time) error {
	until := now.Add(c.server.headerLimit())
	if c.headerDeadline.IsZero() || until.Before(c.headerDeadline) {
		c.headerDeadline = until
	}
	return c.Conn.SetReadDeadline(c.headerDeadline)
}

// endHeader records that a header was read, which may have been pipelined, and
// removes its deadline.
func (c *Conn) endHeader(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endIdleLocked(now)
	c.headerDeadline = time.Time{}
	return c.Conn.SetReadDeadline(time.Time{})
}

// endIdleLocked ends the idle time, and reports whether the connection was idle.
func (c *Conn) endIdleLocked(now time.Time) bool {
	if c.idleSince.IsZero() {
		return false
	}
	c.idleTime, c.idleSince, c.yielding = now.Sub(c.idleSince), time.Time{}, false
	return true
}

// listener accepts callers' connections as Conn. It may be closed twice.
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
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := l.server.Now()
		if take := l.server.Take; take != nil && !take(now) {
			l.server.reject(raw)
			continue
		}
		if !l.server.makeRoom(now) {
			l.server.reject(raw)
			continue
		}
		c := &Conn{Conn: raw, server: l.server, idleSince: now, turn: turn{ended: make(chan struct{})}}
		l.server.track(c)
		return c, nil
	}
}

// reject closes a connection of which nothing was read.
func (s *Server) reject(c net.Conn) {
	s.Metrics.ConnectionClosed(CloseBusy)
	if resettable, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// A reset stops a caller that is still sending its request. Without it, the
		// connection ends a little later.
		_ = resettable.SetLinger(0)
	}
	if err := c.Close(); err != nil {
		s.Logger.Debug("could not close a connection that was not taken", "err", err)
	}
}

// Close implements net.Listener.
func (l *listener) Close() error { return l.close() }

type contextKey struct{}

// withConn stores the connection in the contexts of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(connection.NewContext(ctx, c), contextKey{}, c)
}

// ConnOf returns the connection of the request with the context, or nil.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
