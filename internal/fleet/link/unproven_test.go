package link_test

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

const (
	linkAddress = "a:1"
	// mostUnproven is the bound of sessions without a message.
	mostUnproven = 64
	// smallestVM and fewestDescriptors are the limits of the smallest VMs.
	smallestVM        = 134 << 20
	fewestDescriptors = 4100
)

// dialRaw opens connections on which nothing is sent.
func dialRaw(t *testing.T, n *network.Network, count int) []net.Conn {
	conns := make([]net.Conn, count)
	for i := range conns {
		conn, err := n.DialContext(t.Context(), "tcp", linkAddress)
		require.NoError(t, err)
		conns[i] = conn
		bubble.Sleep(time.Microsecond)
	}
	return conns
}

// requireEcho requires that a message comes back on a stream.
func requireEcho(t *testing.T, stream *link.Stream, bytes int) {
	t.Helper()
	sent := make(chan error, 1)
	go func() { sent <- stream.Send(time.Now().Add(time.Second), dataEnvelope(bytes)) }()
	message, err := stream.Receive(time.Now().Add(time.Second))
	require.NoError(t, err)
	require.NoError(t, <-sent)
	require.Len(t, message.GetData().GetBytes(), bytes)
}

// Guards against silent connections that use up the descriptors, and against peers that cannot
// connect beside them: those without a message give way, those of peers never.
func TestSessionsWithoutAMessageGiveWay(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		listener, err := n.Listen(linkAddress)
		require.NoError(t, err)
		server := link.Serve(listener, echo)
		early, late := link.NewPool(n, nil), link.NewPool(n, nil)
		first, err := early.Open(t.Context(), linkAddress)
		require.NoError(t, err)
		requireEcho(t, first, 10)
		conns := dialRaw(t, n, 3*mostUnproven)
		require.LessOrEqual(t, server.Sessions(), mostUnproven+1)
		requireEcho(t, first, 10)
		second, err := late.Open(t.Context(), linkAddress)
		require.NoError(t, err)
		requireEcho(t, second, 10)
		for _, conn := range conns {
			require.NoError(t, conn.Close())
		}
		require.NoError(t, early.Close())
		require.NoError(t, late.Close())
		require.NoError(t, server.Close())
	})
}

// Guards against bytes of messages that never end, which many connections hold together, against
// the largest message of a peer that finds no room beside them, and against room that is not returned.
func TestBytesOfSessionsWithoutAMessageAreBounded(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		listener, err := n.Listen(linkAddress)
		require.NoError(t, err)
		budget := memory.NewBudget(link.MinUnprovenBytes)
		server := link.Serve(listener, echo, link.WithBudget(budget))
		const frameBytes = 200 << 10
		header := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 1, 0, 0, 0, 1}, frameBytes)
		conns := dialRaw(t, n, mostUnproven)
		for _, conn := range conns {
			go func() { _, _ = io.WriteString(conn, string(header)+strings.Repeat("f", frameBytes-1)) }()
		}
		bubble.Sleep(time.Second)
		require.Positive(t, budget.Taken())
		require.Less(t, server.Sessions(), mostUnproven, "sessions give way when there is no room")
		pool := link.NewPool(n, nil)
		stream, err := pool.Open(t.Context(), linkAddress)
		require.NoError(t, err)
		requireEcho(t, stream, link.MaxFrame-16)
		for _, conn := range conns {
			require.NoError(t, conn.Close())
		}
		bubble.Sleep(time.Second)
		require.Zero(t, budget.Taken())
		requireEcho(t, stream, 10)
		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
	})
}

// Guards against sessions whose streams wait for others that never send: a stream that ends lets the
// next one be served.
func TestStreamThatEndsWithoutAMessageLetsOthersBeServed(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		listener, err := n.Listen(linkAddress)
		require.NoError(t, err)
		server := link.Serve(listener, echo)
		pool := link.NewPool(n, nil)
		empty, err := pool.Open(t.Context(), linkAddress)
		require.NoError(t, err)
		require.NoError(t, empty.Close())
		stream, err := pool.Open(t.Context(), linkAddress)
		require.NoError(t, err)
		requireEcho(t, stream, 10)
		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
	})
}

// Guards against memory that is taken for a message by the size that it states.
func TestStatedSizeTakesNoMemory(t *testing.T) {
	const messages, most = 50, 4 << 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range messages {
		text := string(binary.AppendUvarint(nil, link.MaxFrame)) + "short"
		_, err := link.Decode(bufio.NewReader(strings.NewReader(text)))
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(most))
}

// Guards against peers that lose their connections because all connect at once, as after a restart
// of the fleet, before the first of them has sent its message.
func TestPeersThatConnectAtOnceKeepTheirSessions(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		const peers = 330
		n := network.New()
		listener, err := n.Listen(linkAddress)
		require.NoError(t, err)
		budget := memory.NewBudget(max(memory.LinkLimit(smallestVM), link.MinUnprovenBytes))
		server := link.Serve(listener, echo, link.WithBudget(budget), link.WithUnprovenSessions(memory.LinkConnectionLimit(fewestDescriptors)))
		pools, streams := make([]*link.Pool, peers), make([]*link.Stream, peers)
		for i := range pools {
			pools[i] = link.NewPool(n, nil)
			streams[i], err = pools[i].Open(t.Context(), linkAddress)
			require.NoError(t, err)
		}
		for _, stream := range streams {
			requireEcho(t, stream, 10)
		}
		require.Equal(t, peers, server.Sessions())
		require.Zero(t, budget.Taken())
		for _, pool := range pools {
			require.NoError(t, pool.Close())
		}
		require.NoError(t, server.Close())
	})
}
