// Package bandwidth measures what a process sends and receives on the link of its VM.
package bandwidth

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// packetOverhead is added to the bytes of each read and write: the headers of Ethernet, IP and
// TCP, and half an acknowledgment. Events of streams are smaller than that.
const packetOverhead = 80

// Direction is the direction of bytes on a link.
type Direction int

// Directions.
const (
	Sent Direction = iota
	Received
	directionCount
)

var directionNames = [directionCount]string{"sent", "received"}

// String returns the direction's name in metrics.
func (d Direction) String() string { return directionNames[d] }

// Directions returns both directions.
func Directions() []Direction { return []Direction{Sent, Received} }

// Meter counts the bytes of connections. It is safe for concurrent use.
type Meter struct {
	totals [directionCount]atomic.Int64
}

// Total returns the bytes that were counted in a direction.
func (m *Meter) Total(d Direction) int64 { return m.totals[d].Load() }

func (m *Meter) add(d Direction, n int) {
	if n > 0 {
		m.totals[d].Add(int64(n + packetOverhead))
	}
}

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Dialer returns a dialer whose connections are counted.
func (m *Meter) Dialer(d Dialer) Dialer { return meteredDialer{dialer: d, meter: m} }

type meteredDialer struct {
	dialer Dialer
	meter  *Meter
}

// DialContext implements Dialer.
func (d meteredDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.meter.conn(c), nil
}

// Listener returns a listener whose connections are counted.
func (m *Meter) Listener(l net.Listener) net.Listener {
	return meteredListener{Listener: l, meter: m}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.conn(c), nil
}

// conn returns the connection with its bytes counted. It stays a syscall.Conn if it is one.
func (m *Meter) conn(c net.Conn) net.Conn {
	counted := &meteredConn{Conn: c, meter: m}
	if raw, ok := c.(syscall.Conn); ok {
		return &rawConn{meteredConn: counted, raw: raw}
	}
	return counted
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.add(Received, n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.add(Sent, n)
	return n, err
}

// CloseWrite closes the sending side only.
func (c *meteredConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what Close does with bytes that were not sent, as that of net.TCPConn.
func (c *meteredConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

type rawConn struct {
	*meteredConn
	raw syscall.Conn
}

// SyscallConn implements syscall.Conn.
func (c *rawConn) SyscallConn() (syscall.RawConn, error) { return c.raw.SyscallConn() }

// Load tells how much of the capacity of a link is used. The zero value has no capacity.
type Load struct {
	// capacity is in bytes per second in each direction; 0 is unknown.
	capacity float64
	at       time.Time
	totals   [directionCount]int64
	used     [directionCount]float64
}

// NewLoad returns the load of a link with the capacity in bytes per second, 0 if it is unknown.
func NewLoad(capacity float64) *Load { return &Load{capacity: capacity} }

// newestWeight is the weight of the newest interval in the load.
const newestWeight = 0.5

// Sample records the bytes that the meter has counted since the previous sample.
func (l *Load) Sample(now time.Time, m *Meter) {
	elapsed := now.Sub(l.at).Seconds()
	first := l.at.IsZero()
	l.at = now
	for _, d := range Directions() {
		total := m.Total(d)
		switch {
		case l.capacity <= 0:
			l.used[d] = 0
		case !first && elapsed > 0:
			used := float64(total-l.totals[d]) / elapsed / l.capacity
			l.used[d] += newestWeight * (used - l.used[d])
		}
		l.totals[d] = total
	}
}

// SetCapacity changes the capacity.
func (l *Load) SetCapacity(capacity float64) { l.capacity = capacity }

// Capacity returns the capacity in bytes per second, 0 if it is unknown.
func (l *Load) Capacity() float64 { return l.capacity }

// Used returns the share of the capacity that was used lately in a direction.
func (l *Load) Used(d Direction) float64 { return l.used[d] }

// Highest returns the larger share of the two directions.
func (l *Load) Highest() float64 { return max(l.used[Sent], l.used[Received]) }
