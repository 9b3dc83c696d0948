// Package network is an in-memory network for tests. Its listeners and connections
// have buffers, deadlines and injectable faults but use no sockets, so that a site
// can run in a synctest bubble with fake time.
package network

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network connects listeners and dialers. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	nextPort    int
	listeners   map[string]*listener
	conns       map[*conn]bool
	vanished    map[string]bool
	frozenUntil map[string]time.Time
	pausedUntil map[string]time.Time
}

// New returns a network without listeners.
func New() *Network {
	return &Network{
		nextPort: 1000, listeners: make(map[string]*listener), conns: make(map[*conn]bool), vanished: make(map[string]bool),
		frozenUntil: make(map[string]time.Time), pausedUntil: make(map[string]time.Time),
	}
}

// address implements net.Addr.
type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

// Listen opens a listener; port 0 selects an unused port.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	if port == "0" {
		n.nextPort++
		addr = fmt.Sprintf("%s:%d", host, n.nextPort)
	}
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: address(addr), Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: addr, backlog: make(chan net.Conn, 128), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// dialTimeout is the timeout of a dial to an address that does not respond.
const dialTimeout = time.Second

// Vanish makes an address unresponsive, as when a VM loses power: existing
// connections fall silent and new dials time out.
func (n *Network) Vanish(to string) {
	n.Silence(to)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vanished[to] = true
}

// Restore makes an address respond to new dials again after Vanish. A dial that is
// in progress still times out, as one whose first packet was lost.
func (n *Network) Restore(to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.vanished, to)
}

// Freeze delays all traffic to and from an address until d has passed, as when a
// process is paused: data in transit arrives late, and none is lost.
func (n *Network) Freeze(to string, d time.Duration) {
	n.Stall(to, d)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozenUntil[to] = time.Now().Add(d)
}

// Stall delays the traffic of the existing connections to an address until d has
// passed, while new connections work, so that messages overtake each other.
func (n *Network) Stall(to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == to {
			c.freeze(d)
		}
	}
}

// Pause delays all traffic to and from an address until d has passed, also that of new
// connections, as when only the process is paused: its kernel accepts connections, data and
// their ends, which the process gets later.
func (n *Network) Pause(to string, d time.Duration) {
	n.Stall(to, d)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil[to] = time.Now().Add(d)
}

// DialContext connects to a listener. It fails at once if there is none, and after
// dialTimeout if the address has vanished or is frozen for longer than that; it
// waits for the end of a shorter freeze.
func (n *Network) DialContext(ctx context.Context, _, to string) (net.Conn, error) {
	n.mu.Lock()
	vanished, wait := n.vanished[to], time.Until(n.frozenUntil[to])
	n.mu.Unlock()
	if !vanished && wait <= 0 {
		return n.connect(to)
	}
	if vanished || wait > dialTimeout {
		wait = dialTimeout
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
		if !vanished && wait < dialTimeout {
			return n.connect(to)
		}
	}
	return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: syscall.ETIMEDOUT}
}

func (n *Network) connect(to string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[to]
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: syscall.ECONNREFUSED}
	}
	near, far := newConnPair(n, to)
	if rest := time.Until(n.pausedUntil[to]); rest > 0 {
		near.freeze(rest)
	}
	select {
	case l.backlog <- far:
		n.conns[near] = true
		return near, nil
	default:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: syscall.ECONNREFUSED}
	}
}

// Silence makes the existing connections to an address silent permanently: their
// data is dropped, they are not closed, and new connections work. It returns the
// number of connections silenced.
func (n *Network) Silence(to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.address == to {
			c.silence()
			count++
		}
	}
	return count
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	delete(n.conns, c.peer)
}

type listener struct {
	network *Network
	address string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
		l.closeBacklog()
	})
	return nil
}

// closeBacklog closes the connections that were not accepted.
func (l *listener) closeBacklog() {
	for {
		select {
		case c := <-l.backlog:
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }
