package network

import (
	"net"
	"sync"
	"time"
)

// segmentBytes is what a connection sends or receives at a time on a Link, which takes the
// segments of its connections in turn.
const segmentBytes = 1460

// Link is the link of a VM. It carries a number of bytes per second in each direction, so
// that the connections of the VM delay each other.
type Link struct{ sent, received lane }

// NewLink returns an idle link.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{sent: lane{bytesPerSecond: bytesPerSecond}, received: lane{bytesPerSecond: bytesPerSecond}}
}

// BytesPerSecond returns what the link carries in each direction, 0 for no link.
func (l *Link) BytesPerSecond() float64 {
	if l == nil {
		return 0
	}
	return l.sent.bytesPerSecond
}

// lane is one direction of a Link.
type lane struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
}

// carry returns when the bytes have been carried, after all that came before, or when their
// connection is closed.
func (l *lane) carry(bytes int, closed <-chan struct{}) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-closed:
	}
}

// Conn returns a connection of the VM over the link.
func (l *Link) Conn(c net.Conn) net.Conn {
	closed := make(chan struct{})
	return &linkConn{Conn: c, link: l, closed: closed, close: sync.OnceFunc(func() { close(closed) })}
}

// Listener returns a listener of the VM whose connections are over the link.
func (l *Link) Listener(inner net.Listener) net.Listener {
	return &linkListener{Listener: inner, link: l}
}

type linkListener struct {
	net.Listener
	link *Link
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Conn(c), nil
}

type linkConn struct {
	net.Conn
	link   *Link
	closed chan struct{}
	close  func()
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.close()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), segmentBytes)])
	if n > 0 {
		c.link.received.carry(n, c.closed)
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	written := 0
	for {
		segment := p[written:min(len(p), written+segmentBytes)]
		c.link.sent.carry(len(segment), c.closed)
		n, err := c.Conn.Write(segment)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetLinger sets what Close does with bytes that were not sent, as that of net.TCPConn.
func (c *linkConn) SetLinger(seconds int) error {
	return c.Conn.(interface{ SetLinger(seconds int) error }).SetLinger(seconds)
}

// CloseWrite closes the sending side only.
func (c *linkConn) CloseWrite() error {
	return c.Conn.(interface{ CloseWrite() error }).CloseWrite()
}
