package exchange

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silenceCheckInterval is the time between two looks at what the upstream's kernel has
	// acknowledged of a request.
	silenceCheckInterval = 500 * time.Millisecond
	// maxSilentChecks is after how many of them without progress the connection is reset. It
	// comes before the time-outs of this machine's kernel, which end a connection without a
	// reset: what was sent may then still arrive.
	maxSilentChecks = 4
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
	if !known || unacknowledged == 0 {
		w.probing = true
		w.conn.setKeepAlive(true)
		return
	}
	w.silentChecks++
	if acknowledged := w.conn.sent.Load() - unacknowledged; acknowledged > w.acknowledged {
		w.acknowledged, w.silentChecks = acknowledged, 0
	}
	if w.silentChecks >= maxSilentChecks {
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
