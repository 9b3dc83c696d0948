// Package dial opens connections whose silent end is noticed: a peer that is
// gone, or cut off, says nothing, and a connection to it would hang.
package dial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Timeout bounds a connection attempt: a packet that was lost once is sent
	// again after a second.
	Timeout = 1200 * time.Millisecond
	// userTimeout ends a connection on which sent bytes are not acknowledged;
	// a link that loses one packet in thirty recovers within a second.
	userTimeout = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveEvery and keepAliveCount find a peer that is gone
	// without a word while nothing is sent, in some 4 s.
	keepAliveIdle  = 2 * time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
)

// Dialer opens connections.
type Dialer struct{}

// DialContext opens a connection.
func (Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: Timeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
	}}
	return dialer.DialContext(ctx, network, address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, controlErr)
}
