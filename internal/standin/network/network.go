// Package network is a network in memory for tests: listeners and connections
// with buffers, deadlines and faults, and no sockets, so that a whole site can
// run in a bubble of fake time.
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
	mu        sync.Mutex
	nextPort  int
	listeners map[string]*listener
	conns     map[*conn]bool
	vanished  map[string]bool
	frozen    map[string]time.Time
}

// New returns a network without listeners.
func New() *Network {
	return &Network{nextPort: 1000, listeners: make(map[string]*listener), conns: make(map[*conn]bool), vanished: make(map[string]bool), frozen: make(map[string]time.Time)}
}

// address implements net.Addr.
type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

// Listen opens a listener; port 0 chooses one.
func (n *Network) Listen(at string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, port, err := net.SplitHostPort(at)
	if err != nil {
		return nil, err
	}
	if port == "0" {
		n.nextPort++
		at = fmt.Sprintf("%s:%d", host, n.nextPort)
	}
	if n.listeners[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: address(at), Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, at: at, arriving: make(chan net.Conn, 128), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// dialTimeout is how long a connection to an address that vanished is tried.
const dialTimeout = time.Second

// Vanish takes an address away without a word, as a VM that loses its power
// does: present connections fall silent, and new ones are tried in vain.
func (n *Network) Vanish(to string) {
	n.Silence(to)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vanished[to] = true
}

// Return ends what Vanish began, for new connections. An attempt that was begun
// before still fails in its time, as one whose first packet was lost.
func (n *Network) Return(to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.vanished, to)
}

// Freeze holds back what goes to and from an address for a while, as a process
// that is paused does: what was under way arrives late, and nothing is lost.
func (n *Network) Freeze(to string, d time.Duration) {
	n.Stall(to, d)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[to] = time.Now().Add(d)
}

// Stall holds back what is on the present connections to an address, while new
// ones work: messages overtake each other.
func (n *Network) Stall(to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.to == to {
			c.freeze(d)
		}
	}
}

// DialContext connects to a listener or is refused at once.
func (n *Network) DialContext(ctx context.Context, _, to string) (net.Conn, error) {
	n.mu.Lock()
	gone, thaw := n.vanished[to], time.Until(n.frozen[to])
	n.mu.Unlock()
	if !gone && thaw <= 0 {
		return n.connect(to)
	}
	if gone || thaw > dialTimeout {
		thaw = dialTimeout
	}
	select {
	case <-ctx.Done():
	case <-time.After(thaw):
		if !gone && thaw < dialTimeout {
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
	near, far := newPair(n, to)
	select {
	case l.arriving <- far:
		n.conns[near] = true
		return near, nil
	default:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: syscall.ECONNREFUSED}
	}
}

// Silence makes the present connections to an address silent for good: what is
// written is lost, nothing is closed, and new connections work. It returns
// their number.
func (n *Network) Silence(to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.to == to {
			c.silence()
			count++
		}
	}
	return count
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	delete(n.conns, c.peer)
}

type listener struct {
	network  *Network
	at       string
	arriving chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.arriving:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.at)
		l.network.mu.Unlock()
		close(l.closed)
		l.refuseArriving()
	})
	return nil
}

// refuseArriving closes the connections that nobody accepted.
func (l *listener) refuseArriving() {
	for {
		select {
		case c := <-l.arriving:
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.at) }
