// Package early holds a connection to an upstream that responds before it has read the request, for
// tests that detect truncated responses.
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

// Conn is a connection on which a response arrives as soon as the request is being written. Reads
// return the response and then io.EOF. A write blocks until io.EOF was read; then it returns an error,
// or blocks until its deadline.
type Conn struct {
	// Conn is nil, as no other methods are called.
	net.Conn
	writeErr error
	delay    time.Duration
	answer   *strings.Reader

	begun, ended, overdue, closed              chan struct{}
	beginOnce, endOnce, overdueOnce, closeOnce sync.Once
}

// NewConn returns a connection with the response, whose line feeds become those of HTTP. A write
// returns writeErr as an error of the kernel, with a delay after io.EOF was read, or its deadline's
// error if writeErr is nil.
func NewConn(answer string, writeErr error, delay time.Duration) *Conn {
	if writeErr != nil {
		writeErr = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", writeErr)}
	}
	return &Conn{
		answer: strings.NewReader(strings.ReplaceAll(answer, "\n", "\r\n")), writeErr: writeErr, delay: delay,
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

// Write implements net.Conn. It writes one byte.
func (c *Conn) Write([]byte) (int, error) {
	c.beginOnce.Do(func() { close(c.begun) })
	select {
	case <-c.ended:
	case <-c.closed:
		return 1, net.ErrClosed
	}
	if c.writeErr != nil {
		// A deadline does not replace an error that the kernel has returned.
		select {
		case <-time.After(c.delay):
		case <-c.closed:
		}
		return 1, c.writeErr
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
