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
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/fleet/dial"
)

// Guards against a request that arrives after a cut because the kernel ended its connection without
// a reset: the connection is reset once the upstream's kernel has acknowledged nothing for a while.
func TestRequestThatIsNotAcknowledgedIsResetSoon(t *testing.T) {
	address, accept := listenUnread(t)
	r := request("one")
	r.Body = bytes.Repeat([]byte("b"), 32<<20)
	settled := make(settlements, 1)
	r.Admit = func() (func(exchange.Settlement), bool) {
		return func(how exchange.Settlement) { settled <- how }, true
	}
	pool := exchange.NewPool(dial.Dialer{}.DialContext)
	t.Cleanup(func() { require.NoError(t, pool.Close()) })
	_, err := exchange.NewClient(pool, names, time.Now).Do(t.Context(), address, r)
	require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
	require.Contains(t, err.Error(), net.ErrClosed.Error(), "the kernel's time-out comes later")
	require.Empty(t, settled, "the upstream may take what it has for a request")
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
	r, before := request("one"), true
	r.Admit = func() (func(exchange.Settlement), bool) { before = probes(); return nil, true }
	answered := make(chan *exchange.Answer, 1)
	go func() {
		answer, err := client.Do(t.Context(), u.address, r)
		assert.NoError(t, err)
		answered <- answer
	}()
	<-u.requests
	require.Eventually(t, probes, 5*time.Second, 10*time.Millisecond)
	close(release)
	answer := <-answered
	require.False(t, before, "the request is not acknowledged")
	_, err := io.ReadAll(answer)
	require.NoError(t, err)
	answer.Close(true)
	require.False(t, probes(), "the connection is idle")
}

// Guards against an upstream that is taken for silent although it sends something, and against a
// paused one that is not.
func TestUpstreamIsSilentWhileARequestWaitsAndNothingComes(t *testing.T) {
	address, accept := listenUnread(t)
	now := time.Now()
	client := newClient(t)
	require.False(t, client.Silent(now, address), "nothing was sent")
	require.Error(t, make(settlements, 1).sendAndGiveUp(t, client, address, nil))
	require.False(t, client.Silent(now.Add(time.Second), address), "it may be about to answer")
	later := time.Now().Add(2 * time.Second)
	require.True(t, client.Silent(later, address))
	require.NoError(t, accept().Close())
	require.Eventually(t, func() bool { return !client.Silent(later, address) }, 5*time.Second, time.Millisecond)
}
