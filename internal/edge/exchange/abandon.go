package exchange

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// maxAwaited is how long a request that was given up is taken to arrive yet if nothing tells. A
// process that is paused for longer, or a proxy that holds bytes for longer, is no longer
// distinguished from one that received the request and hangs.
const maxAwaited = time.Minute

// Settlement is how it became known that a request has arrived or cannot arrive any more.
type Settlement string

// Settlements.
const (
	// Answered: a part of the answer arrived.
	Answered Settlement = "answered"
	// Ended: the connection ended.
	Ended Settlement = "ended"
	// Discarded: the connection was reset before the upstream's kernel had acknowledged a byte.
	Discarded Settlement = "discarded"
	// Outlived: the upstream answered a request that was sent after this one was given up, so
	// that it is not paused.
	Outlived Settlement = "outlived"
	// Expired: nothing told for maxAwaited.
	Expired Settlement = "expired"
)

// maxAbandoned is the most connections that are kept to learn of their end.
const maxAbandoned = 256

// begin prepares the connection for the next request.
func (c *conn) begin(now time.Time, awaited bool) {
	c.sent.Store(0)
	c.awaited.Store(awaited)
	c.answered.Store(false)
	c.written.Store(false)
	c.partlySent.Store(false)
	c.activity.requestSent(now)
}

// interrupt ends reading and writing because the request was given up.
func (c *conn) interrupt() {
	if c.awaited.Load() && !c.answered.Load() {
		// The connection stays open: only its end tells whether the request can arrive yet.
		_ = c.SetDeadline(time.Unix(1, 0))
		return
	}
	closeQuietly(c)
}

// finishFailed closes the connection of a request that failed, or leaves it to a goroutine that
// waits for its end.
func (c *Client) finishFailed(ctx context.Context, conn *conn, err error, settled func(Settlement)) {
	unanswered := !conn.answered.Load() && !errorx.IsOfType(err, NotSent)
	switch {
	case settled == nil:
		closeQuietly(conn)
	case unanswered && conn.partlySent.Load():
		settleLater(settled)
	case unanswered && ctx.Err() != nil:
		c.abandon(conn, settled)
	default:
		closeQuietly(conn)
		settled(Ended)
	}
}

// abandon gives up a request of which nothing was answered.
func (c *Client) abandon(conn *conn, settled func(Settlement)) {
	unacknowledged, known := conn.unacknowledged()
	switch {
	case known && unacknowledged >= conn.sent.Load():
		closeQuietly(conn)
		settled(Discarded)
	case unacknowledged > 0:
		// The upstream's kernel has a part of the request, and must not get the rest.
		closeQuietly(conn)
		settleLater(settled)
	default:
		c.pool.awaitEnd(c.now(), conn, settled)
	}
}

// settleLater settles a request of which nothing will tell whether it arrives.
func settleLater(settled func(Settlement)) {
	time.AfterFunc(maxAwaited, func() { settled(Expired) })
}

// unacknowledged returns how many bytes of the request the upstream's kernel has not
// acknowledged, if that can be known.
func (c *conn) unacknowledged() (bytes int64, known bool) {
	known = c.control(func(fd int) error {
		queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		bytes = int64(queued)
		return err
	})
	return bytes, known
}

// abandonment is a connection whose request was given up and may still arrive.
type abandonment struct {
	conn *conn
	at   time.Time
	// outlived is set once the upstream has answered a later request.
	outlived atomic.Bool
}

// awaitEnd closes the sending side of a connection and waits until the upstream has closed or
// answered: whatever holds the request back, such as a paused process or a proxy, passes it on
// before it notices the end of the connection.
func (p *Pool) awaitEnd(now time.Time, c *conn, settled func(Settlement)) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !ok || len(p.abandoned) >= maxAbandoned {
		closeQuietly(c)
		settleLater(settled)
		return
	}
	_ = c.SetDeadline(time.Now().Add(maxAwaited))
	_ = half.CloseWrite()
	c.setKeepAlive(true)
	a := &abandonment{conn: c, at: now}
	p.abandoned[a] = true
	p.watches.Go(func() {
		var first [1]byte
		n, err := c.Read(first[:])
		closeQuietly(c)
		p.mu.Lock()
		delete(p.abandoned, a)
		p.mu.Unlock()
		switch {
		case n > 0:
			settled(Answered)
		case a.outlived.Load():
			settled(Outlived)
		case errors.Is(err, syscall.ETIMEDOUT):
			// The upstream's VM cannot be reached, and tells nothing of its process.
			settleLater(settled)
		case errors.Is(err, os.ErrDeadlineExceeded):
			settled(Expired)
		default:
			settled(Ended)
		}
	})
}

// outlive settles what was given up at the address before a request was sent that it answered.
func (p *Pool) outlive(address string, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.abandoned {
		if a.conn.address == address && a.at.Before(sentAt) {
			a.outlived.Store(true)
			closeQuietly(a.conn)
		}
	}
}
