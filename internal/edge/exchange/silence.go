package exchange

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silenceCheckInterval is the time between two looks at what the upstream's kernel has
	// acknowledged of a request.
	silenceCheckInterval = 500 * time.Millisecond
	// maxSilentChecks is after how many of them without progress the connection is reset.
	maxSilentChecks = 4
	// kernelTimeout is the time-out of this machine's kernel for what is not acknowledged. It ends
	// a connection without a reset, so that what was sent may still arrive, and must not come
	// first, even if this process is paused for a while.
	kernelTimeout = 4 * maxSilentChecks * silenceCheckInterval
	// maxSilence is for how long an upstream may send nothing, while a request waits for its
	// answer, to be taken for responsive.
	maxSilence = time.Second
)

// silenceWatch looks at what an upstream's kernel acknowledges while a request is under way. Until
// it has acknowledged the request there are no keep-alive probes, which could end the connection
// without a reset.
type silenceWatch struct {
	conn *conn

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	// probing is set while keep-alive probes are sent.
	probing      bool
	acknowledged int64
	silentChecks int
}

// watchSilence watches the present request until the watch is ended.
func (c *conn) watchSilence() *silenceWatch {
	w := &silenceWatch{conn: c}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceCheckInterval, w.check)
	return w
}

func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	unacknowledged, known := w.conn.unacknowledged()
	if !known || (unacknowledged == 0 && w.conn.written.Load()) {
		w.probing = true
		w.conn.setKeepAlive(true)
		return
	}
	w.silentChecks++
	if acknowledged := w.conn.sent.Load() - unacknowledged; acknowledged > w.acknowledged {
		w.acknowledged, w.silentChecks = acknowledged, 0
	}
	if w.silentChecks >= maxSilentChecks {
		w.conn.partlySent.Store(w.acknowledged > 0)
		closeQuietly(w.conn)
		return
	}
	w.timer.Reset(silenceCheckInterval)
}

// end ends the watch. The connection may be used for another request.
func (w *silenceWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	if w.probing {
		w.probing = false
		w.conn.setKeepAlive(false)
	}
}

// setTimeouts sets the time-outs of this machine's kernel for a new connection.
func (c *conn) setTimeouts() {
	c.control(func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(kernelTimeout.Milliseconds()))
	})
	c.setKeepAlive(false)
}

// setKeepAlive switches keep-alive probes, whose times the dialer has set.
func (c *conn) setKeepAlive(enabled bool) {
	value := 0
	if enabled {
		value = 1
	}
	c.control(func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, value) })
}

// control calls the function with the connection's socket, and reports whether that succeeded. A
// connection in memory has no socket.
func (c *conn) control(f func(fd int) error) bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	controlErr := raw.Control(func(fd uintptr) { err = f(int(fd)) })
	return controlErr == nil && err == nil
}

// activity tells whether the upstream at an address sends anything.
type activity struct {
	// waitingSince is when the first request was sent since the upstream sent something last, or
	// nil.
	waitingSince atomic.Pointer[time.Time]
}

func (a *activity) requestSent(now time.Time) {
	if a.waitingSince.Load() == nil {
		a.waitingSince.CompareAndSwap(nil, &now)
	}
}

func (a *activity) received() {
	if a.waitingSince.Load() != nil {
		a.waitingSince.Store(nil)
	}
}

// silentFor returns for how long the upstream has sent nothing although a request waits.
func (a *activity) silentFor(now time.Time) time.Duration {
	if since := a.waitingSince.Load(); since != nil {
		return now.Sub(*since)
	}
	return 0
}

// Silent reports whether the upstream at an address has sent nothing for a while although a
// request waits for its answer.
func (c *Client) Silent(now time.Time, address string) bool {
	return c.pool.activityOf(address).silentFor(now) > maxSilence
}
