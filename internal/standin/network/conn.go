package network

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// windowBytes is the buffer size of one direction; a writer blocks when it is full.
const windowBytes = 256 << 10

// conn is one end of a connection.
type conn struct {
	network *Network
	address string
	in      *pipe
	out     *pipe
	peer    *conn
	// reset reports that closing the connection resets it.
	reset atomic.Bool
}

func newConnPair(n *Network, to string) (near, far *conn) {
	outbound, inbound := newPipe(), newPipe()
	near = &conn{network: n, address: to, in: inbound, out: outbound}
	far = &conn{network: n, address: to, in: outbound, out: inbound}
	near.peer, far.peer = far, near
	return near, far
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn. Writes fail before a blocked read returns: the reader
// could otherwise cause a write that still reaches the peer.
func (c *conn) Close() error {
	if c.reset.Load() {
		c.out.reset()
	}
	c.out.closeWrite()
	c.in.closeRead()
	c.network.removeConn(c)
	return nil
}

// SetLinger sets that Close resets the connection, for 0 seconds, or not.
func (c *conn) SetLinger(seconds int) error {
	c.reset.Store(seconds == 0)
	return nil
}

// CloseWrite closes the sending side only; the peer reads the end and may still write.
func (c *conn) CloseWrite() error {
	c.out.closeWrite()
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
func (c *conn) LocalAddr() net.Addr { return address(c.address) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.address) }

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
	mu          sync.Mutex
	changed     *sync.Cond
	data        []byte
	writeClosed bool
	readClosed  bool
	isReset     bool
	silent      bool
	// frozenUntil is the time until which data is held back; none is lost.
	frozenUntil   time.Time
	readDeadline  deadline
	writeDeadline deadline
}

// deadline is a read or write deadline that wakes the pipe when it passes.
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
	// A deadline in the past needs no timer: the caller's broadcast wakes the waiters.
	if remaining := time.Until(t); !t.IsZero() && remaining > 0 {
		d.timer = time.AfterFunc(remaining, wake)
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

func (p *pipe) read(buffer []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.readClosed:
			return 0, net.ErrClosed
		case p.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case time.Now().Before(p.frozenUntil):
		case len(p.data) > 0 && !p.silent:
			n := copy(buffer, p.data)
			p.data = p.data[n:]
			p.changed.Broadcast()
			return n, nil
		case p.isReset && !p.silent:
			return 0, syscall.ECONNRESET
		case p.writeClosed && !p.silent:
			return 0, io.EOF
		}
		p.changed.Wait()
	}
}

func (p *pipe) write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	written := 0
	for written < len(data) {
		switch {
		case p.writeClosed:
			return written, net.ErrClosed
		case p.readClosed && !p.silent:
			return written, io.ErrClosedPipe
		case p.writeDeadline.passed():
			return written, os.ErrDeadlineExceeded
		case len(p.data) < windowBytes:
			room := min(windowBytes-len(p.data), len(data)-written)
			p.data = append(p.data, data[written:written+room]...)
			written += room
			p.changed.Broadcast()
			continue
		}
		p.changed.Wait()
	}
	return written, nil
}

// closeRead closes the reader's end; later writes fail.
func (p *pipe) closeRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readClosed = true
	p.readDeadline.set(time.Time{}, nil)
	p.changed.Broadcast()
}

// reset makes the reader get an error after the buffered data, in place of EOF.
func (p *pipe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isReset = true
}

// closeWrite closes the writer's end; the reader gets the buffered data, then EOF.
func (p *pipe) closeWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeClosed = true
	p.writeDeadline.set(time.Time{}, nil)
	p.changed.Broadcast()
}

// silence drops the buffered data and all later writes.
func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
	p.changed.Broadcast()
}

// freeze delays the delivery of data until d has passed.
func (p *pipe) freeze(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozenUntil = time.Now().Add(d)
	time.AfterFunc(d, p.wake)
}

func (p *pipe) setReadDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline.set(t, p.wake)
	p.changed.Broadcast()
}

func (p *pipe) setWriteDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeDeadline.set(t, p.wake)
	p.changed.Broadcast()
}
