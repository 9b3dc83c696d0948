package ingress

import (
	"errors"
	"net"
	"syscall"
)

const (
	// receiveBufferBytes is the kernel's buffer for what a caller sends, of which Linux allocates
	// twice as much. What is received and not read counts towards the memory of the process.
	receiveBufferBytes = 16 << 10
	// largeBodyBytes is the stated length from which on a body gets largeBodyBufferBytes, as its
	// rate is the buffer divided by the round-trip time. Few of them fit into the memory account.
	largeBodyBytes       = 1 << 20
	largeBodyBufferBytes = 128 << 10
)

// LimitReceiveBuffers bounds the receive buffers of the connections that the listener accepts.
// Others than those of the operating system have none.
func LimitReceiveBuffers(l net.Listener) error { return setReceiveBuffer(l, receiveBufferBytes) }

func setReceiveBuffer(socket any, size int) error {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
	return errors.Join(err, setErr)
}

// ExpectBody prepares the connection for a body of n bytes, for which memory is reserved.
func (c *Conn) ExpectBody(n int64) error {
	if n < largeBodyBytes {
		return nil
	}
	c.mu.Lock()
	c.enlarged = true
	c.mu.Unlock()
	return setReceiveBuffer(c.Conn, largeBodyBufferBytes)
}

// endBody restores the receive buffer after a request with a large body.
func (c *Conn) endBody() error {
	c.mu.Lock()
	enlarged := c.enlarged
	c.enlarged = false
	c.mu.Unlock()
	if !enlarged {
		return nil
	}
	return setReceiveBuffer(c.Conn, receiveBufferBytes)
}
