// Package relay is a TCP proxy that injects network faults between two processes,
// for tests and trials: existing connections fall silent while new ones work, one
// direction is cut, or all connections are delayed or reset.
package relay

import (
	"net"
	"sync"
	"time"
)

// Relay forwards connections to a target.
type Relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	pairs  map[*connPair]bool
	closed bool
	// delay applies to all forwarded data. With dropAnswers, data from the target is
	// discarded. Both apply to existing and new connections.
	delay       time.Duration
	dropAnswers bool
	wg          sync.WaitGroup
}

// connPair is one forwarded connection: near to the caller, far to the target.
type connPair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// New starts a relay that forwards connections on the listener to the target.
func New(listener net.Listener, target string) *Relay {
	r := &Relay{listener: listener, target: target, pairs: make(map[*connPair]bool)}
	r.wg.Go(r.accept)
	return r
}

// Addr returns the address of the listener.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Silence makes all existing connections silent permanently without closing them.
// It returns their number.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
	return len(r.pairs)
}

// Reset resets all existing connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		reset(p.near)
		reset(p.far)
	}
}

// SetDelay sets the delay of each forwarded chunk of data, in both directions.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetMute cuts the direction from the target to the caller: the target receives all
// data, and its answers are discarded. As discarded data can't be recovered, all
// connections that exist when the cut ends are reset.
func (r *Relay) SetMute(mute bool) {
	r.mu.Lock()
	cutEnded := r.dropAnswers && !mute
	r.dropAnswers = mute
	r.mu.Unlock()
	if cutEnded {
		r.Reset()
	}
}

func (r *Relay) faults() (delay time.Duration, mute bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay, r.dropAnswers
}

// Close stops the relay, closes all connections and waits for its goroutines.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
	return err
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.forward(near) })
	}
}

func (r *Relay) forward(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(near)
		return
	}
	p := &connPair{near: near, far: far}
	r.mu.Lock()
	if r.closed {
		p.close()
	}
	r.pairs[p] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(p, far, near, false) })
	both.Go(func() { r.copy(p, near, far, true) })
	both.Wait()
	p.close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// copy forwards data until either end closes; back is the direction from the target
// to the caller. Data of a silent connection is discarded.
func (r *Relay) copy(p *connPair, to, from net.Conn, back bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		delay, mute := r.faults()
		silent = silent || (mute && back)
		if delay > 0 && err == nil {
			<-time.After(delay)
		}
		if silent && err == nil {
			continue
		}
		if silent {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	p.close()
}

func (p *connPair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
