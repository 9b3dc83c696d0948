// Package exchange sends one request to one upstream on one connection and reads
// the answer. It never sends a request twice. If no answer arrives, its error states
// whether the request may have been executed.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/upstream/framing"
)

const (
	// readBufferBytes holds an answer's header; events of a stream have about 60 bytes.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// states no timeout; services commonly close connections after five seconds.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that an upstream states, so that a
	// request does not cross the closing of the connection. It is longer than a
	// round trip.
	idleMargin = time.Second
	// maxWriteBytes is the most bytes of one write to a connection.
	maxWriteBytes = 128 << 10
	// maxIdlePerAddress limits the idle connections to one upstream; an engine runs
	// about 12 requests at once.
	maxIdlePerAddress = 16
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	// framed reads and writes the connection.
	framed    *framing.Conn
	address   string
	head      *headLimit
	reader    *bufio.Reader
	idleUntil time.Time
	idleSince time.Time
	reused    bool
	// sent is how many bytes of the present request were written.
	sent atomic.Int64
	// awaited reports that the end of the present request is awaited if it is given up,
	// answered that its answer has begun, written that all of it was written, and partlySent that
	// the connection was reset when a part of it was acknowledged.
	awaited, answered, written, partlySent atomic.Bool
	// activity is that of the upstream's address.
	activity *activity
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.framed.Read(p)
	if n > 0 || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.activity.received()
	}
	return n, err
}

// write writes a request.
func (c *conn) write(r Request) error {
	err := r.writeTo(c)
	c.written.Store(err == nil)
	return err
}

// Write implements io.Writer. It writes in pieces, so that sent tells how far a long write is.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.framed.Write(p[written:min(len(p), written+maxWriteBytes)])
		c.sent.Add(int64(n))
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Dial opens a connection, like DialContext of net.Dialer.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps idle connections to upstreams.
type Pool struct {
	dial Dial

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	// abandoned holds the connections whose request was given up and may still arrive.
	abandoned map[*abandonment]bool
	watches   sync.WaitGroup
	// activities holds when upstreams sent something last, by address.
	activities map[string]*activity
}

// NewPool returns an empty pool.
func NewPool(dial Dial) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*conn), abandoned: make(map[*abandonment]bool), activities: make(map[string]*activity)}
}

// acquire returns a connection that was idle for less than maxIdle, or a new one.
func (p *Pool) acquire(ctx context.Context, now time.Time, address string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) < maxIdle && hasNoInput(c) {
			c.reused = true
			return c, nil
		}
		closeIdle(c)
	}
	return p.open(ctx, address)
}

// open returns a new connection.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if resettable, ok := raw.(interface{ SetLinger(seconds int) error }); ok {
		// Closing the connection discards what the upstream has not acknowledged. It would
		// otherwise arrive once the upstream can be reached again, long after the request was
		// given up, also after this process was killed.
		_ = resettable.SetLinger(0)
	}
	c := &conn{Conn: raw, framed: framing.NewConn(raw), address: address, activity: p.activityOf(address)}
	c.head = &headLimit{Conn: c}
	c.reader = bufio.NewReaderSize(c.head, readBufferBytes)
	c.setTimeouts()
	return c, nil
}

// Check opens a connection to the address, which is kept for a request, and returns an
// error if there is none to be had.
func (p *Pool) Check(ctx context.Context, now time.Time, address string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	p.release(now, c, 0)
	return nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// release keeps a connection whose last answer was read completely. The statedTimeout
// is the idle timeout that the upstream states, or 0.
func (p *Pool) release(now time.Time, c *conn, statedTimeout time.Duration) {
	timeout := defaultIdleTimeout
	if statedTimeout > 0 {
		timeout = statedTimeout - idleMargin
	}
	c.idleSince, c.idleUntil = now, now.Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || timeout <= 0 || c.reader.Buffered() > 0 || len(p.idle[c.address]) >= maxIdlePerAddress {
		closeIdle(c)
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes connections whose idle time is over.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			closeIdle(c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	for address, a := range p.activities {
		if silent := a.silentFor(now); p.idle[address] == nil && (silent == 0 || silent > maxAwaited) {
			delete(p.activities, address)
		}
	}
}

// activityOf returns when the upstream at an address sent something last.
func (p *Pool) activityOf(address string) *activity {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.activities[address]
	if a == nil {
		a = &activity{}
		p.activities[address] = a
	}
	return a
}

// Close closes all idle connections, and those whose request was given up. Connections that are
// returned later are closed.
func (p *Pool) Close() error {
	p.closeAll()
	p.watches.Wait()
	return nil
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			closeIdle(c)
		}
	}
	p.idle = make(map[string][]*conn)
	for a := range p.abandoned {
		closeQuietly(a.conn)
	}
}

// hasNoInput reports whether an idle connection has received nothing: neither its end
// nor bytes, which would be taken for the answer to the next request.
func hasNoInput(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr := syscall.Read(int(fd), buffer[:])
		empty = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// closeIdle closes a connection without a request. It does not reset it.
func closeIdle(c *conn) {
	if resettable, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = resettable.SetLinger(-1)
	}
	closeQuietly(c)
}

func closeQuietly(c net.Conn) {
	// An error does not matter, since the connection is no longer used.
	_ = c.Close()
}
