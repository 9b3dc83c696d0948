package framing

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Conn is a connection on which a request may still be written while its response is read. The
// kernel reports a reset only once, to the first call that asks. If that is a write, the next read
// returns io.EOF, which also ends a response without a length; Conn returns the error instead.
type Conn struct {
	net.Conn

	// writing is full during a write. It is not a mutex, as the clock of synctest does not advance
	// while a goroutine waits for one.
	writing chan struct{}
	// failure is the first error of a write that reports a failed connection, guarded by writing.
	failure error
}

// NewConn wraps the connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, writing: make(chan struct{}, 1)} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer closed the connection gracefully.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// writeFailure returns the error of a write that reports a failed connection. It interrupts a write
// in progress, which may hold that error already, or may block for as long as the peer does not
// read: a peer that has ended its response needs no more of the request.
func (c *Conn) writeFailure() error {
	// This fails only on a closed connection, on which no write blocks.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	return c.failure
}

// isFailure reports whether the error of a write means that the connection has failed. A peer that
// stopped reading may have sent its whole response, and so may one whose connection this process
// closed or interrupted.
func isFailure(err error) bool {
	for _, harmless := range []error{syscall.EPIPE, io.ErrClosedPipe, net.ErrClosed, os.ErrDeadlineExceeded} {
		if errors.Is(err, harmless) {
			return false
		}
	}
	return err != nil
}
