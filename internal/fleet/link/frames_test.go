package link_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// tornDialer stalls the traffic to an address between the header and the body of the next
// frame with data, once it is armed.
type tornDialer struct {
	*network.Network
	address string
	stall   time.Duration
	armed   atomic.Bool
}

func (d *tornDialer) DialContext(ctx context.Context, network, to string) (net.Conn, error) {
	conn, err := d.Network.DialContext(ctx, network, to)
	if err != nil {
		return nil, err
	}
	return &tornConn{Conn: conn, dialer: d}, nil
}

type tornConn struct {
	net.Conn
	dialer *tornDialer
}

func (c *tornConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if isDataHeader := len(b) == 12 && b[1] == 0; isDataHeader && c.dialer.armed.CompareAndSwap(true, false) {
		// The other side reads the header first.
		bubble.Sleep(time.Nanosecond)
		c.dialer.Stall(c.dialer.address, c.dialer.stall)
	}
	return n, err
}

// Guards against a receiver that waits beyond its deadline, and in fake time for ever,
// because a connection delivers the header of a frame and then falls silent.
func TestReceiveKeepsItsDeadlineWhileAFrameIsIncomplete(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		const stall, deadline = 300 * time.Millisecond, 100 * time.Millisecond
		dialer := &tornDialer{Network: network.New(), address: "a:1", stall: stall}
		listener, err := dialer.Listen(dialer.address)
		require.NoError(t, err)
		var waited time.Duration
		done := make(chan error, 1)
		server := link.Serve(listener, func(_ context.Context, s *link.Stream) {
			defer func() { _ = s.Close() }()
			_, err := s.Receive(time.Now().Add(time.Second))
			if err == nil {
				bubble.Sleep(stall / 6)
				called := time.Now()
				_, err = s.Receive(called.Add(deadline))
				waited = time.Since(called)
			}
			done <- err
		})
		pool := link.NewPool(dialer, nil)
		stream, err := pool.Open(t.Context(), dialer.address)
		require.NoError(t, err)
		require.NoError(t, stream.Send(time.Now().Add(time.Second), heartbeat()))
		bubble.Sleep(time.Millisecond)
		dialer.armed.Store(true)
		require.NoError(t, stream.Send(time.Now().Add(time.Second), heartbeat()))
		err = <-done
		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
		require.True(t, errorx.IsOfType(err, link.Silent), "%v", err)
		require.Equal(t, deadline, waited)
	})
}

// Messages that are empty, fill a frame or span several must arrive whole.
func TestMessagesOfAllSizesArrive(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		listener, err := n.Listen("a:1")
		require.NoError(t, err)
		server := link.Serve(listener, echo)
		pool := link.NewPool(n, nil)
		stream, err := pool.Open(t.Context(), "a:1")
		require.NoError(t, err)
		for _, size := range []int{0, 1, 4083, 4096, 5000, 64 << 10, 256 << 10, 1 << 20, 3} {
			sent := dataEnvelope(size)
			received := make(chan int, 1)
			go func() {
				message, err := stream.Receive(time.Now().Add(time.Second))
				if err != nil {
					received <- -1
					return
				}
				received <- len(message.GetData().GetBytes())
			}()
			require.NoError(t, stream.Send(time.Now().Add(time.Second), sent))
			require.Equal(t, size, <-received)
		}
		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
	})
}

func dataEnvelope(size int) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Data{Data: &wire.Data{Bytes: make([]byte, size)}}}
}
