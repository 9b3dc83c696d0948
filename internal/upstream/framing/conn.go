package framing

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Conn is a connection on which a request may still be written while its answer is read. The
// kernel tells a reset only once, to the call that asks first. If that is a write, the next read
// gets a plain end, which is also how an answer without a length ends; Conn makes it an error.
type Conn struct {
	net.Conn

	// writing is full during a write. It is no mutex, on which fake time does not advance.
	writing chan struct{}
	// failure is the first error of a write that tells how the connection ended. It belongs to
	// who has filled writing.
	failure error
}

// NewConn returns the connection with its ends told apart.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, writing: make(chan struct{}, 1)} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if c.failure == nil && tellsEnd(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended the connection in order.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// writeFailure returns the error of a write that tells how the connection ended. A write that is
// under way is given up, as it may have been told already, or may block for as long as the peer
// does not read: a peer that has ended its answer needs no more of the request.
func (c *Conn) writeFailure() error {
	// It fails only on a closed connection, on which a write blocks no longer.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	return c.failure
}

// tellsEnd reports whether the error of a write tells that the connection has failed. A peer that
// reads no more may have sent all that it had to, and so may one whose connection this process
// gave up.
func tellsEnd(err error) bool {
	for _, harmless := range []error{syscall.EPIPE, io.ErrClosedPipe, net.ErrClosed, os.ErrDeadlineExceeded} {
		if errors.Is(err, harmless) {
			return false
		}
	}
	return err != nil
}
