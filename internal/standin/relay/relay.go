// Package relay is a TCP proxy that injects network faults between two processes,
// for tests and trials: existing connections fall silent while new ones work, one
// direction is cut, all connections are delayed or reset, or all data is held and
// delivered later.
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
	held        bool
	// released is signaled when held or closed changes.
	released sync.Cond
	wg       sync.WaitGroup
}

// connPair is one forwarded connection: near to the caller, far to the target.
type connPair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
	// wasHeld is true if the relay was held since the connection was accepted. From then
	// on an end is passed on in its own direction, behind the data before it.
	wasHeld bool
}

// New starts a relay that forwards connections on the listener to the target.
func New(listener net.Listener, target string) *Relay {
	r := &Relay{listener: listener, target: target, pairs: make(map[*connPair]bool)}
	r.released.L = &r.mu
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

// Hold holds all data and all ends of connections in both directions, or releases them.
// While held, the relay accepts connections, and the kernel accepts as much data as socket
// buffers take; nothing reaches the other side. On release everything is delivered in
// order: data, then the end if the sender has closed or reset its connection.
func (r *Relay) Hold(hold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = hold
	if hold {
		for p := range r.pairs {
			p.mu.Lock()
			p.wasHeld = true
			p.mu.Unlock()
		}
	}
	r.released.Broadcast()
}

// awaitRelease returns when the relay is not held or is closed, and whether it had to wait.
func (r *Relay) awaitRelease() (waited bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.held && !r.closed {
		waited = true
		r.released.Wait()
	}
	return waited
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
	r.released.Broadcast()
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
	wasHeld := r.awaitRelease()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(near)
		return
	}
	p := &connPair{near: near, far: far}
	r.mu.Lock()
	p.wasHeld = wasHeld || r.held
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
		r.awaitRelease()
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
	p.end(to)
}

// end passes on the end of the direction to one of the connections. Connections that were
// never held end in both directions at once; the others don't, as the opposite direction may
// have data left to deliver.
func (p *connPair) end(to net.Conn) {
	p.mu.Lock()
	wasHeld := p.wasHeld
	p.mu.Unlock()
	tcp, ok := to.(*net.TCPConn)
	if !wasHeld || !ok {
		p.close()
		return
	}
	_ = tcp.CloseWrite()
}

func (p *connPair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
