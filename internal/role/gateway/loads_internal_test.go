package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/load"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// Guards against samples that change on the way, and against messages that are larger than
// the design note says: three samples in 160 bytes.
func TestLoadReportKeepsTheSamples(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var samples []load.Sample
	for _, id := range []string{"i-0d89e14c14", "i-0c8eda0745", "i-0123456789"} {
		samples = append(samples, load.Sample{
			Process: roster.Process{ID: id, StartedAtMs: 1_796_000_000_000},
			Load:    exchange.Load{Running: 6, Waiting: 20, Slots: 6, Pace: 2.51}, At: now.Add(-150 * time.Millisecond),
		})
	}
	message := loadMessage(now, samples)
	require.LessOrEqual(t, proto.Size(message), 160)
	require.Equal(t, samples, decodeLoads(now, message.GetLoadReport()))
}

// Guards against a report that ends the link to a peer of an earlier build, which doesn't know
// the message: the message is empty for it.
func TestPeerOfAnEarlierBuildIgnoresLoadReports(t *testing.T) {
	raw := protowire.AppendTag(nil, 1999, protowire.BytesType)
	raw = protowire.AppendBytes(raw, []byte("unknown"))
	var received wire.Envelope
	require.NoError(t, proto.Unmarshal(raw, &received))
	require.Nil(t, received.Body)
	require.False(t, permit.HandleMessage(time.Now(), nil, "peer", &received))
}
