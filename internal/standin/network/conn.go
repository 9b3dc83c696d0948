package network

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// windowBytes is what one direction holds before its writer waits.
const windowBytes = 256 << 10

// conn is one end of a connection.
type conn struct {
	network *Network
	to      string
	in      *pipe
	out     *pipe
	peer    *conn
}

func newPair(n *Network, to string) (near, far *conn) {
	there, back := newPipe(), newPipe()
	near = &conn{network: n, to: to, in: back, out: there}
	far = &conn{network: n, to: to, in: there, out: back}
	near.peer, far.peer = far, near
	return near, far
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.in.closeRead()
	c.out.closeWrite()
	c.network.forget(c)
	return nil
}

func (c *conn) freeze(d time.Duration) {
	c.in.freeze(d)
	c.out.freeze(d)
}

func (c *conn) silence() {
	c.in.silence()
	c.out.silence()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.to) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.to) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// pipe is one direction of a connection.
type pipe struct {
	mu      sync.Mutex
	changed *sync.Cond
	data    []byte
	ended   bool
	broken  bool
	lost    bool
	// frozen is until when nothing is delivered, though nothing is lost.
	frozen  time.Time
	readBy  deadline
	writeBy deadline
}

// deadline wakes the pipe when it passes.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func (d *deadline) set(t time.Time, wake func()) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = t
	// A deadline in the past wakes by the broadcast that follows; a timer for
	// it would be of no use.
	if left := time.Until(t); !t.IsZero() && left > 0 {
		d.timer = time.AfterFunc(left, wake)
	}
}

func newPipe() *pipe {
	p := &pipe{}
	p.changed = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed.Broadcast()
}

func (p *pipe) read(into []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.broken:
			return 0, net.ErrClosed
		case p.readBy.passed():
			return 0, os.ErrDeadlineExceeded
		case time.Now().Before(p.frozen):
		case len(p.data) > 0 && !p.lost:
			n := copy(into, p.data)
			p.data = p.data[n:]
			p.changed.Broadcast()
			return n, nil
		case p.ended && !p.lost:
			return 0, io.EOF
		}
		p.changed.Wait()
	}
}

func (p *pipe) write(from []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	written := 0
	for written < len(from) {
		switch {
		case p.ended:
			return written, net.ErrClosed
		case p.broken && !p.lost:
			return written, io.ErrClosedPipe
		case p.writeBy.passed():
			return written, os.ErrDeadlineExceeded
		case len(p.data) < windowBytes:
			room := min(windowBytes-len(p.data), len(from)-written)
			p.data = append(p.data, from[written:written+room]...)
			written += room
			p.changed.Broadcast()
			continue
		}
		p.changed.Wait()
	}
	return written, nil
}

// closeRead ends the reader's side: what is written from now on fails.
func (p *pipe) closeRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = true
	p.readBy.set(time.Time{}, nil)
	p.changed.Broadcast()
}

// closeWrite ends the writer's side: the reader sees what was written, then
// the end.
func (p *pipe) closeWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.writeBy.set(time.Time{}, nil)
	p.changed.Broadcast()
}

// silence loses all that is and will be written.
func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = true
	p.changed.Broadcast()
}

// freeze holds everything back for a while, then delivers it.
func (p *pipe) freeze(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = time.Now().Add(d)
	time.AfterFunc(d, p.wake)
}

func (p *pipe) setReadDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readBy.set(t, p.wake)
	p.changed.Broadcast()
}

func (p *pipe) setWriteDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeBy.set(t, p.wake)
	p.changed.Broadcast()
}
