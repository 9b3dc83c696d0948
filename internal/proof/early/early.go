// Package early holds a connection to an upstream that answers before it has read the request, for
// tests of which answers are taken for whole.
package early

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// Conn is a connection on which an answer arrives once the request is being written. Reads get the
// answer and its plain end. A write blocks until that end was read; then it returns an error or
// goes on to block until its deadline.
type Conn struct {
	// Conn is nil: methods that are not implemented must not be called.
	net.Conn
	told   error
	after  time.Duration
	answer *strings.Reader

	begun, ended, overdue, closed              chan struct{}
	beginOnce, endOnce, overdueOnce, closeOnce sync.Once
}

// NewConn returns a connection with the answer, whose line ends become those of HTTP. A write
// returns told, as the kernel's error, so long after the end of the answer was read, or only at
// its deadline if told is nil.
func NewConn(answer string, told error, after time.Duration) *Conn {
	if told != nil {
		told = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", told)}
	}
	return &Conn{
		answer: strings.NewReader(strings.ReplaceAll(answer, "\n", "\r\n")), told: told, after: after,
		begun: make(chan struct{}), ended: make(chan struct{}), overdue: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	select {
	case <-c.begun:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	n, err := c.answer.Read(p)
	if errors.Is(err, io.EOF) {
		c.endOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

// Write implements net.Conn. The first byte is taken.
func (c *Conn) Write([]byte) (int, error) {
	c.beginOnce.Do(func() { close(c.begun) })
	select {
	case <-c.ended:
	case <-c.closed:
		return 1, net.ErrClosed
	}
	if c.told != nil {
		// No deadline takes back what the kernel has told the write.
		select {
		case <-time.After(c.after):
		case <-c.closed:
		}
		return 1, c.told
	}
	select {
	case <-c.overdue:
		return 1, os.ErrDeadlineExceeded
	case <-c.closed:
		return 1, net.ErrClosed
	}
}

// SetWriteDeadline implements net.Conn for deadlines that have passed.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	if at.Before(time.Now()) {
		c.overdueOnce.Do(func() { close(c.overdue) })
	}
	return nil
}

// SetDeadline implements net.Conn like SetWriteDeadline.
func (c *Conn) SetDeadline(at time.Time) error { return c.SetWriteDeadline(at) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}
