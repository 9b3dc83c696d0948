package link_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

func heartbeat() *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
}

// echo answers each message with the same.
func echo(_ context.Context, s *link.Stream) {
	defer func() { _ = s.Close() }()
	for {
		message, err := s.Receive(time.Now().Add(time.Hour))
		if err != nil || s.Send(time.Now().Add(time.Second), message) != nil {
			return
		}
	}
}

// A connection goes silent for good while new ones work.
// The stream on it must end as silent in the time allowed, and the next one
// must come over a new session.
func TestSilentSessionIsReplaced(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		net := network.New()
		listener, err := net.Listen("127.0.0.1:0")
		require.NoError(t, err)
		server := link.Serve(listener, echo)
		pool := link.NewPool(net, nil)
		ctx := context.Background()
		stream, err := pool.Open(ctx, server.Addr())
		require.NoError(t, err)
		require.NoError(t, stream.Send(time.Now().Add(time.Second), heartbeat()))
		_, err = stream.Receive(time.Now().Add(time.Second))
		require.NoError(t, err)
		require.Equal(t, 1, net.Silence(server.Addr()))
		require.NoError(t, stream.Send(time.Now().Add(time.Second), heartbeat()))
		_, err = stream.Receive(time.Now().Add(2 * time.Second))
		require.True(t, errorx.IsOfType(err, link.Silent))
		pool.Replace(server.Addr(), stream.Session())
		fresh, err := pool.Open(ctx, server.Addr())
		require.NoError(t, err)
		require.NotEqual(t, stream.Session(), fresh.Session())
		require.NoError(t, fresh.Send(time.Now().Add(time.Second), heartbeat()))
		_, err = fresh.Receive(time.Now().Add(time.Second))
		require.NoError(t, err)
		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
	})
}

// "Not run" is told on this error alone, so it must mean that nothing listens.
func TestRefusedMeansNothingWasSent(t *testing.T) {
	pool := link.NewPool(network.New(), nil)
	_, err := pool.Open(context.Background(), "127.0.0.1:9")
	require.True(t, errorx.IsOfType(err, link.Refused))
	require.NoError(t, pool.Close())
	_, err = pool.Open(context.Background(), "127.0.0.1:9")
	require.True(t, errorx.IsOfType(err, link.Refused))
}

func FuzzDecode(f *testing.F) {
	var whole bytes.Buffer
	_, err := protodelim.MarshalTo(&whole, heartbeat())
	require.NoError(f, err)
	f.Add(whole.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, raw []byte) {
		envelope, err := link.Decode(bufio.NewReader(bytes.NewReader(raw)))
		if err == nil {
			require.LessOrEqual(t, proto.Size(envelope), link.MaxFrame)
		}
	})
}

// A request was lost with the first message on a link whose other end had been
// gone for seconds.
func TestPingFindsALinkThatLeadsNowhere(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		listener, err := n.Listen("127.0.0.1:0")
		require.NoError(t, err)
		server := link.Serve(listener, echo)
		pool := link.NewPool(n, nil)
		ping := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return pool.Ping(ctx, server.Addr())
		}
		require.NoError(t, ping())
		n.Silence(server.Addr())
		require.True(t, errorx.IsOfType(ping(), link.Silent))
		require.False(t, pool.Holds(server.Addr()))
		require.NoError(t, ping(), "a new session is made")
		n.Vanish(server.Addr())
		require.True(t, errorx.IsOfType(ping(), link.Silent))
		require.True(t, errorx.IsOfType(ping(), link.Refused))
		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
		require.True(t, errorx.IsOfType(ping(), link.Refused))
	})
}

// fullListener accepts nothing, as in a process without free descriptors.
type fullListener struct {
	net.Listener
	tries atomic.Int64
}

func (l *fullListener) Accept() (net.Conn, error) {
	l.tries.Add(1)
	return nil, syscall.EMFILE
}

// Guards against a server that takes the whole processor while it can accept nothing.
func TestAcceptingIsTriedAgainAfterAPause(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		listener, err := network.New().Listen("127.0.0.1:0")
		require.NoError(t, err)
		full := &fullListener{Listener: listener}
		server := link.Serve(full, echo)
		bubble.Pass(time.Second)
		require.LessOrEqual(t, full.tries.Load(), int64(51))
		require.NoError(t, server.Close())
	})
}
