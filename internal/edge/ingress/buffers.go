package ingress

import (
	"errors"
	"net"
	"syscall"
)

const (
	// bufferBytes is the kernel's buffer for what a caller sends, and that for what it is sent.
	// Linux allocates twice as much. Both count towards the memory of the process.
	bufferBytes = 16 << 10
	// largeBufferBytes is the buffer of a large body or answer, whose rate is the buffer divided by
	// the round-trip time.
	largeBufferBytes = 128 << 10
	// LargeBufferCost is what Linux allocates for such a buffer. It must be reserved.
	LargeBufferCost = 2 * largeBufferBytes
)

// LimitBuffers bounds the receive and send buffers of the connections that the listener accepts.
// Others than those of the operating system have none.
func LimitBuffers(l net.Listener) error {
	return errors.Join(setBuffer(l, syscall.SO_RCVBUF, bufferBytes), setBuffer(l, syscall.SO_SNDBUF, bufferBytes))
}

func setBuffer(socket any, option, size int) error {
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
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, size)
	})
	return errors.Join(err, setErr)
}

// EnlargeReceiveBuffer enlarges the receive buffer until the connection's request has ended.
func (c *Conn) EnlargeReceiveBuffer() error { return c.enlarge(syscall.SO_RCVBUF) }

// EnlargeSendBuffer enlarges the send buffer until the connection's request has ended.
func (c *Conn) EnlargeSendBuffer() error { return c.enlarge(syscall.SO_SNDBUF) }

func (c *Conn) enlarge(option int) error {
	c.mu.Lock()
	c.enlarged = append(c.enlarged, option)
	c.mu.Unlock()
	return setBuffer(c.Conn, option, largeBufferBytes)
}

// restoreBuffers ends what was enlarged for a request.
func (c *Conn) restoreBuffers() error {
	c.mu.Lock()
	enlarged := c.enlarged
	c.enlarged = nil
	c.mu.Unlock()
	var errs []error
	for _, option := range enlarged {
		errs = append(errs, setBuffer(c.Conn, option, bufferBytes))
	}
	return errors.Join(errs...)
}
