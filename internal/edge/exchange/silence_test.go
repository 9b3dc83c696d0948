package exchange_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
)

// Guards against a request that arrives after a cut because the kernel ended its connection without
// a reset: the connection is reset once the upstream's kernel has acknowledged nothing for a while.
func TestRequestThatIsNotAcknowledgedIsResetSoon(t *testing.T) {
	address, accept := listenUnread(t)
	r := request("one")
	r.Body = bytes.Repeat([]byte("b"), 32<<20)
	began := time.Now()
	_, err := newClient(t).Do(t.Context(), address, r)
	require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
	require.Less(t, time.Since(began), 5*time.Second)
	received, err := io.ReadAll(accept())
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Less(t, len(received), len(r.Body))
}

// Guards against an upstream that reads a large body slowly, but all the time, and is reset.
func TestBodyThatIsReadSlowlyIsNotReset(t *testing.T) {
	address, accept := listenUnread(t)
	r := request("one")
	r.Body = bytes.Repeat([]byte("b"), 24<<20)
	go func() {
		conn := accept()
		piece, pause := make([]byte, 1<<20), time.NewTicker(150*time.Millisecond)
		defer pause.Stop()
		for range 24 {
			if _, err := io.ReadFull(conn, piece); err != nil {
				return
			}
			<-pause.C
		}
		write(conn, completeAnswer)
	}()
	answer, err := newClient(t).Do(t.Context(), address, r)
	require.NoError(t, err)
	answer.Close(false)
}

// Guards against keep-alive probes that end a connection without a reset while a request on it is
// not acknowledged, and against a connection without them once it is.
func TestKeepAliveProbesAreSentOnlyForAnAcknowledgedRequest(t *testing.T) {
	release := make(chan struct{})
	u := startUpstream(t, func(conn net.Conn, _ int) bool { <-release; return write(conn, completeAnswer) })
	var opened net.Conn
	pool := exchange.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		var err error
		opened, err = new(net.Dialer).DialContext(ctx, network, address)
		return opened, err
	})
	t.Cleanup(func() { require.NoError(t, pool.Close()) })
	probes := func() bool {
		raw, err := opened.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		value := 0
		require.NoError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE) }))
		require.NoError(t, err)
		return value != 0
	}
	client := exchange.NewClient(pool, names, time.Now)
	done := make(chan error, 1)
	go func() { _, err := roundTrip(t, client, u, "one"); done <- err }()
	<-u.requests
	require.False(t, probes(), "the request may not have been acknowledged yet")
	require.Eventually(t, probes, 5*time.Second, 10*time.Millisecond)
	close(release)
	require.NoError(t, <-done)
	require.False(t, probes(), "the connection is idle")
}
