// Package relay stands between two processes in tests and trials and harms
// their connections as a network may do: old ones fall silent for good while new
// ones work, one direction is cut, all are delayed or reset.
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
	conns  map[*pair]bool
	closed bool
	// delay holds back what is forwarded, and mute swallows what the target
	// answers, of present and new connections.
	delay time.Duration
	mute  bool
	wg    sync.WaitGroup
}

// pair is one forwarded connection.
type pair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// New forwards what arrives on the listener to the target.
func New(listener net.Listener, target string) *Relay {
	r := &Relay{listener: listener, target: target, conns: make(map[*pair]bool)}
	r.wg.Go(r.accept)
	return r
}

// Addr returns the address to connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Silence makes all present connections silent for good; nothing is closed.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
	return len(r.conns)
}

// Reset ends all present connections as if an end had lost track of them.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		reset(p.near)
		reset(p.far)
	}
}

// SetDelay holds back each piece that is forwarded, in both directions.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetMute cuts the way back: the target gets all, and its answers are lost.
// What was swallowed is gone, so connections that lived through it are reset
// when the cut ends.
func (r *Relay) SetMute(mute bool) {
	r.mu.Lock()
	ended := r.mute && !mute
	r.mute = mute
	r.mu.Unlock()
	if ended {
		r.Reset()
	}
}

func (r *Relay) harm() (delay time.Duration, mute bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay, r.mute
}

// Close ends all connections and waits.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for p := range r.conns {
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
	p := &pair{near: near, far: far}
	r.mu.Lock()
	if r.closed {
		p.close()
	}
	r.conns[p] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(p, far, near, false) })
	both.Go(func() { r.copy(p, near, far, true) })
	both.Wait()
	p.close()
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
}

// reset makes the caller see a refusal, as when nothing listens.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// copy forwards until either end closes. A silent pair swallows what it reads.
func (r *Relay) copy(p *pair, to, from net.Conn, back bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		delay, mute := r.harm()
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

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
