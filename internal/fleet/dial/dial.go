// Package dial opens TCP connections that detect a dead peer. A peer that has failed
// or is partitioned sends nothing, so a connection to it would otherwise hang.
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
	// Timeout bounds a connection attempt. It allows for one lost SYN, which is
	// retransmitted after a second.
	Timeout = 1200 * time.Millisecond
	// userTimeout closes a connection on which sent bytes are not acknowledged.
	// A network that loses one packet in thirty recovers within a second.
	userTimeout = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a peer that failed
	// while the connection is idle within about 4 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer opens connections.
type Dialer struct{}

// DialContext opens a connection with keep-alive probes and a user timeout.
func (Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: Timeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return dialer.DialContext(ctx, network, address)
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, controlErr)
}
