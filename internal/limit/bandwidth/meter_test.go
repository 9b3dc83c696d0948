package bandwidth_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/bandwidth"
)

// overhead is what the meter adds to each read and write.
const overhead = 80

// connected returns both ends of a connection whose listener and dialer are metered.
func connected(t *testing.T, accepting, dialing *bandwidth.Meter) (accepted, dialed net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	metered := accepting.Listener(l)
	t.Cleanup(func() { require.NoError(t, metered.Close()) })
	dialed, err = dialing.Dialer(&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err = metered.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = accepted.Close(), dialed.Close() })
	return accepted, dialed
}

// Guards against bytes of callers, upstreams or peers that the load of a link leaves out.
func TestBytesOfBothDirectionsAreCounted(t *testing.T) {
	var accepting, dialing bandwidth.Meter
	accepted, dialed := connected(t, &accepting, &dialing)
	_, err := dialed.Write(make([]byte, 1000))
	require.NoError(t, err)
	_, err = io.ReadFull(accepted, make([]byte, 1000))
	require.NoError(t, err)
	require.EqualValues(t, 1000+overhead, dialing.Total(bandwidth.Sent))
	require.EqualValues(t, 1000+overhead, accepting.Total(bandwidth.Received))
	require.Zero(t, dialing.Total(bandwidth.Received))
	require.Zero(t, accepting.Total(bandwidth.Sent))
}

// Guards against kept connections to upstreams that are not checked for input, and callers
// whose answers are cut at the end, because the counted connection hides what it is.
func TestCountedConnectionKeepsItsAbilities(t *testing.T) {
	var meter bandwidth.Meter
	accepted, dialed := connected(t, &meter, &meter)
	_, ok := dialed.(syscall.Conn)
	require.True(t, ok)
	require.NoError(t, dialed.(interface{ CloseWrite() error }).CloseWrite())
	_, err := accepted.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a load of the less busy direction, of bytes before the first sample, or
// without a capacity.
func TestLoadIsTheShareOfTheCapacityUsedLately(t *testing.T) {
	var meter bandwidth.Meter
	_, dialed := connected(t, new(bandwidth.Meter), &meter)
	now := time.Unix(1_000_000, 0)
	load, unknown := bandwidth.NewLoad(2*(1000+overhead)), bandwidth.NewLoad(0)
	send := func() {
		_, err := dialed.Write(make([]byte, 1000))
		require.NoError(t, err)
	}
	send()
	load.Sample(now, &meter)
	require.Zero(t, load.Highest(), "what was sent before the first sample")
	for range 20 {
		send()
		now = now.Add(time.Second)
		load.Sample(now, &meter)
		unknown.Sample(now, &meter)
	}
	require.InDelta(t, 0.5, load.Used(bandwidth.Sent), 0.01)
	require.Zero(t, load.Used(bandwidth.Received))
	require.InDelta(t, 0.5, load.Highest(), 0.01)
	require.Zero(t, unknown.Highest())
}

// Guards against a link that counts as full for ever once its settings no longer state a
// capacity, so that callers' connections go on being closed.
func TestLoadWithoutACapacityEnds(t *testing.T) {
	var meter bandwidth.Meter
	_, dialed := connected(t, new(bandwidth.Meter), &meter)
	now := time.Unix(1_000_000, 0)
	load := bandwidth.NewLoad(1)
	load.Sample(now, &meter)
	_, err := dialed.Write(make([]byte, 1000))
	require.NoError(t, err)
	now = now.Add(time.Second)
	load.Sample(now, &meter)
	require.Positive(t, load.Highest())
	load.SetCapacity(0)
	load.Sample(now.Add(time.Second), &meter)
	require.Zero(t, load.Highest())
}
