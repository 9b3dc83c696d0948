package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// lastLook is how long an idle connection is read once more after its limit has
// passed. A request that arrived while the process was late is served.
const lastLook = time.Millisecond

// Conn is a caller's connection. Whether its next request is read or it ends as
// idle is decided by a single Read: closed from another goroutine, a request
// that was read at the same time would be handed on without its connection.
type Conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// idleSince is when the last request ended, zero while one is awaited for
	// the first time or in hand.
	idleSince time.Time
	// rested is how long the connection was idle before the last request.
	rested time.Duration
	// serving tells that the handler has a request of the connection, and
	// closedInHand that this process closed the connection meanwhile.
	serving, closedInHand bool
}

// Read implements net.Conn. While the connection is idle, it waits for as long
// as the idle limit in force allows; a limit that grows meanwhile holds too.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		last, err := c.beginRead(c.server.Now())
		if err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if now := c.server.Now(); n > 0 && c.endIdle(now) {
			// http.Server bounds a header only from its fourth byte on.
			err = errors.Join(err, c.SetReadDeadline(now.Add(headerTimeout)))
		}
		if n > 0 {
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.idle() {
			return n, err
		}
		if last {
			c.server.Metrics.ConnectionClosed(CloseIdle)
			return n, err
		}
	}
}

// beginRead bounds a read of an idle connection, and tells whether it is the
// last one.
func (c *Conn) beginRead(now time.Time) (last bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return false, nil
	}
	due := c.idleSince.Add(c.server.idleLimit())
	if last = !now.Before(due); last {
		due = now.Add(lastLook)
	}
	return last, c.SetReadDeadline(due)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	inHand := c.serving && !c.closedInHand
	c.closedInHand = c.closedInHand || inHand
	c.mu.Unlock()
	if inHand {
		c.server.Metrics.ConnectionClosed(CloseInHand)
	}
	return c.Conn.Close()
}

// CloseWrite tells the caller that no more will come, so that it reads an answer
// to its end before the connection is closed.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// ClosedInHand tells whether this process closed the connection while a request
// of it was in hand.
func (c *Conn) ClosedInHand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedInHand
}

// Rested is how long the connection was idle before the request in hand.
func (c *Conn) Rested() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rested
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

// endIdle notes that a request begins, and tells whether the connection was idle.
func (c *Conn) endIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return false
	}
	c.rested, c.idleSince = now.Sub(c.idleSince), time.Time{}
	return true
}

func (c *Conn) serve(serving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = serving
}

// listener hands out callers' connections as Conn.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw, server: l.server}, nil
}

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
