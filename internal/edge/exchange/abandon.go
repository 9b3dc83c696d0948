package exchange

import (
	"context"
	"errors"
	"net"
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
	// Ended: the upstream, or this machine's kernel, ended the connection.
	Ended Settlement = "ended"
	// Discarded: the request was given up before the upstream's kernel had acknowledged a byte.
	Discarded Settlement = "discarded"
	// Expired: nothing told for maxAwaited.
	Expired Settlement = "expired"
)

func settle(settled func(Settlement), how Settlement) {
	if settled != nil {
		settled(how)
	}
}

// begin prepares the connection for the next request.
func (c *conn) begin(awaited bool) {
	c.sent.Store(0)
	c.awaited.Store(awaited)
	c.answered.Store(false)
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

// end closes the connection of a request that failed, or leaves it to a goroutine that waits for
// its end.
func (c *Client) end(ctx context.Context, conn *conn, err error, settled func(Settlement)) {
	givenUp := ctx.Err() != nil && !conn.answered.Load() && !errorx.IsOfType(err, NotSent)
	if settled == nil || !givenUp {
		closeQuietly(conn)
		settle(settled, Ended)
		return
	}
	unacknowledged, known := conn.unacknowledged()
	switch {
	case known && unacknowledged >= conn.sent.Load():
		closeQuietly(conn)
		settle(settled, Discarded)
	case unacknowledged > 0:
		// The upstream's kernel has a part of the request, and must not get the rest.
		closeQuietly(conn)
		time.AfterFunc(maxAwaited, func() { settle(settled, Expired) })
	default:
		c.pool.awaitEnd(conn, settled)
	}
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

// awaitEnd closes the sending side of a connection and waits until the upstream has closed or
// answered: whatever holds the request back, such as a paused process or a proxy, passes it on
// before it notices the end of the connection.
func (p *Pool) awaitEnd(c *conn, settled func(Settlement)) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !ok {
		closeQuietly(c)
		time.AfterFunc(maxAwaited, func() { settle(settled, Expired) })
		return
	}
	_ = c.SetDeadline(time.Now().Add(maxAwaited))
	_ = half.CloseWrite()
	c.setKeepAlive(true)
	p.abandoned[c] = true
	p.watches.Go(func() {
		var first [1]byte
		n, err := c.Read(first[:])
		closeQuietly(c)
		p.mu.Lock()
		delete(p.abandoned, c)
		p.mu.Unlock()
		var timeout net.Error
		switch {
		case n > 0:
			settle(settled, Answered)
		case errors.As(err, &timeout) && timeout.Timeout():
			settle(settled, Expired)
		default:
			settle(settled, Ended)
		}
	})
}
