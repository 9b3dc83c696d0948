package exchange_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
)

// Only the end of a kept connection before one byte of an answer, and soon after the
// request, is stale: on a new connection, after a byte or late, the upstream has
// probably failed while it executed the request.
func TestLossOnAKeptConnectionIsStaleBeforeTheFirstByte(t *testing.T) {
	for name, c := range map[string]struct {
		kept  bool
		text  string
		took  time.Duration
		stale bool
	}{
		"kept":            {kept: true, stale: true},
		"new":             {},
		"kept, one byte":  {kept: true, text: "H"},
		"kept, but late":  {kept: true, took: 2 * time.Second},
		"kept, just soon": {kept: true, took: 900 * time.Millisecond, stale: true},
	} {
		t.Run(name, func(t *testing.T) {
			var now, calls atomic.Int64
			u := startUpstream(t, func(conn net.Conn, _ int) bool {
				if calls.Add(1) == 1 && c.kept {
					return write(conn, completeAnswer)
				}
				write(conn, c.text)
				now.Add(int64(c.took))
				return false
			})
			var dialer net.Dialer
			pool := exchange.NewPool(dialer.DialContext)
			t.Cleanup(func() { require.NoError(t, pool.Close()) })
			client := exchange.NewClient(pool, names, func() time.Time { return time.Unix(1000, now.Load()) })
			if c.kept {
				_, err := roundTrip(t, client, u, "one")
				require.NoError(t, err)
			}
			_, err := roundTrip(t, client, u, "one")
			require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
			require.Equal(t, c.stale, errorx.IsOfType(err, exchange.Stale), "%v", err)
		})
	}
}

// deafConn fails all writes after the first request, as a connection that was reset
// just before.
type deafConn struct {
	net.Conn
	writes int
}

func (c *deafConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		_ = c.Close()
		return 0, errors.New("connection reset by peer")
	}
	return c.Conn.Write(p)
}

// Guards against a sound upstream that is taken for unreachable, and a request that is
// refused, because a kept connection was reset before one byte could be sent on it.
// Nothing was sent, so a request that may run only once gets a new connection too.
func TestRequestThatCouldNotBeSentOnAKeptConnectionGetsANewOne(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ int) bool { return write(conn, completeAnswer) })
	pool := exchange.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return &deafConn{Conn: conn}, err
	})
	t.Cleanup(func() { require.NoError(t, pool.Close()) })
	client := exchange.NewClient(pool, names, time.Now)
	for range 2 {
		sent := request("one")
		sent.NonIdempotent = true
		answer, err := client.Do(t.Context(), u.address, sent)
		require.NoError(t, err)
		_, err = io.ReadAll(answer)
		require.NoError(t, err)
		answer.Close(true)
	}
	require.Len(t, u.connections, 2)
	require.Len(t, u.requests, 2)
}
