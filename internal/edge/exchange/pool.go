// Package exchange sends one request to one upstream on one connection and
// reads the answer. It never sends a request twice, and it tells what is known
// of the request when an answer does not come.
package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// readBuffer holds an answer's header; events of a stream are some 60 bytes.
	readBuffer = 4 << 10
	// idleDefault is how long a connection is kept for which the upstream
	// states no time-out; services commonly close after five seconds.
	idleDefault = 4 * time.Second
	// idleMargin is kept to an upstream's stated time-out, so that a request
	// does not cross the upstream's close: a round trip and some.
	idleMargin = time.Second
	// idlePerAddress bounds what is kept to one upstream; an engine runs some
	// 12 requests at once.
	idlePerAddress = 16
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	idleUntil time.Time
	idleSince time.Time
	reused    bool
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps idle connections to upstreams.
type Pool struct {
	dial Dial

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// NewPool returns an empty pool.
func NewPool(dial Dial) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*conn)}
}

// take returns an idle connection that is younger than maxIdle, or a new one.
func (p *Pool) take(ctx context.Context, now time.Time, address string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) < maxIdle && quiet(c) {
			c.reused = true
			return c, nil
		}
		closeQuietly(c)
	}
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
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

// put keeps a connection whose last answer was read to its end.
func (p *Pool) put(now time.Time, c *conn, stated time.Duration) {
	keep := idleDefault
	if stated > 0 {
		keep = stated - idleMargin
	}
	c.idleSince, c.idleUntil = now, now.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || keep <= 0 || c.reader.Buffered() > 0 || len(p.idle[c.address]) >= idlePerAddress {
		closeQuietly(c)
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			closeQuietly(c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Close closes all idle connections and keeps none from now on.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			closeQuietly(c)
		}
	}
	p.idle = make(map[string][]*conn)
	return nil
}

// quiet tells whether nothing has come on an idle connection: neither its end
// nor bytes, which would belong to no request and be taken for the next answer.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr := syscall.Read(int(fd), one[:])
		waiting = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && waiting
}

func closeQuietly(c net.Conn) {
	// The connection is given up; there is nobody to tell of a failed close.
	_ = c.Close()
}
