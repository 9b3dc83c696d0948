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

// echo sends each message back.
func echo(_ context.Context, s *link.Stream) {
	defer func() { _ = s.Close() }()
	for {
		message, err := s.Receive(time.Now().Add(time.Hour))
		if err != nil || s.Send(time.Now().Add(time.Second), message) != nil {
			return
		}
	}
}

// Guards against a connection that stops delivering for good while new ones work: a
// stream on it must fail as Silent at its deadline, and the next stream must use a new
// session.
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

// Callers are told that a request was not run on the strength of this error alone, so it
// must mean that nothing was sent.
func TestRefusedErrorMeansNothingWasSent(t *testing.T) {
	pool := link.NewPool(network.New(), nil)
	_, err := pool.Open(context.Background(), "127.0.0.1:9")
	require.True(t, errorx.IsOfType(err, link.Refused))
	require.NoError(t, pool.Close())
	_, err = pool.Open(context.Background(), "127.0.0.1:9")
	require.True(t, errorx.IsOfType(err, link.Refused))
}

func FuzzDecode(f *testing.F) {
	var valid bytes.Buffer
	_, err := protodelim.MarshalTo(&valid, heartbeat())
	require.NoError(f, err)
	f.Add(valid.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, raw []byte) {
		envelope, err := link.Decode(bufio.NewReader(bytes.NewReader(raw)))
		if err == nil {
			require.LessOrEqual(t, proto.Size(envelope), link.MaxFrame)
		}
	})
}

// Guards against a request that is lost because it is the first message on a session
// whose other end failed seconds ago.
func TestPingDetectsDeadSession(t *testing.T) {
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
		require.False(t, pool.HasSession(server.Addr()))
		require.NoError(t, ping(), "no new session was opened")
		n.Vanish(server.Addr())
		require.True(t, errorx.IsOfType(ping(), link.Silent))
		require.True(t, errorx.IsOfType(ping(), link.Refused))
		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
		require.True(t, errorx.IsOfType(ping(), link.Refused))
	})
}

// failingListener accepts nothing, as in a process without free file descriptors.
type failingListener struct {
	net.Listener
	attempts atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.attempts.Add(1)
	return nil, syscall.EMFILE
}

// Guards against a server that uses a whole CPU while Accept fails.
func TestAcceptIsRetriedAfterDelay(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		listener, err := network.New().Listen("127.0.0.1:0")
		require.NoError(t, err)
		failing := &failingListener{Listener: listener}
		server := link.Serve(failing, echo)
		bubble.Sleep(time.Second)
		require.LessOrEqual(t, failing.attempts.Load(), int64(51))
		require.NoError(t, server.Close())
	})
}

// Guards against a connection that ends with all that was to come on it because one message is
// larger than the other side reads.
func TestMessageThatIsTooLargeIsLeftOut(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		net := network.New()
		listener, err := net.Listen("127.0.0.1:0")
		require.NoError(t, err)
		server := link.Serve(listener, echo)
		pool := link.NewPool(net, nil)
		stream, err := pool.Open(context.Background(), server.Addr())
		require.NoError(t, err)
		large := &wire.Envelope{Body: &wire.Envelope_Snapshot{Snapshot: &wire.Snapshot{Config: make([]byte, link.MaxFrame)}}}
		err = stream.Send(time.Now().Add(time.Second), heartbeat(), large, heartbeat())
		require.True(t, errorx.IsOfType(err, link.TooLarge), "%v", err)
		for range 2 {
			envelope, err := stream.Receive(time.Now().Add(time.Second))
			require.NoError(t, err)
			require.NotNil(t, envelope.GetHeartbeat())
		}
		require.NoError(t, stream.Close())
		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
	})
}
