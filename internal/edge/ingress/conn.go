package ingress

import (
	"context"
	"net"
	"sync"
	"time"
)

// CloseReason names why this process closed a caller's connection.
type CloseReason string

// The reasons.
const (
	// CloseNone: this process did not close it.
	CloseNone CloseReason = ""
	// CloseIdle: no request came within the idle limit.
	CloseIdle CloseReason = "idle limit"
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	closedBy CloseReason
	// idleSince is when the last request ended, zero while one is in hand.
	idleSince time.Time
	// rested is how long the connection was idle before the request in hand.
	rested time.Duration
}

// ClosedBy tells why this process closed the connection, or CloseNone.
func (c *Conn) ClosedBy() CloseReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedBy
}

// Rested is how long the connection was idle before the request in hand.
func (c *Conn) Rested() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rested
}

func (c *Conn) beginIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = now
}

func (c *Conn) endIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return
	}
	c.rested, c.idleSince = now.Sub(c.idleSince), time.Time{}
}

// closeAs closes the connection and tells whether a request was in hand.
func (c *Conn) closeAs(reason CloseReason) (inHand bool) {
	c.mu.Lock()
	c.closedBy = reason
	inHand = c.idleSince.IsZero()
	c.mu.Unlock()
	// The connection is given up; a failed close changes nothing.
	_ = c.Close()
	return inHand
}

// listener hands out callers' connections as Conn.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw}, nil
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
