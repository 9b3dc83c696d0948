package traffic_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/persimmonridge/persimmonridge/internal/fleet/traffic"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

func TestMessagesAreCountedByKindDirectionAndDomain(t *testing.T) {
	gossip := &wire.Envelope{Body: &wire.Envelope_Gossip{Gossip: &wire.Gossip{Run: 1, Node: "g1"}}}
	report := &wire.Envelope{Body: &wire.Envelope_QuotaReport{QuotaReport: &wire.QuotaReport{Run: 1}}}
	c := traffic.New()
	c.Add(gossip, traffic.Sent, false)
	c.Add(gossip, traffic.Sent, false)
	c.Add(gossip, traffic.Received, true)
	c.Add(report, traffic.Sent, true)
	counts := map[traffic.Key]traffic.Count{}
	c.Each(func(k traffic.Key, n traffic.Count) { counts[k] = n })
	require.Equal(t, map[traffic.Key]traffic.Count{
		{Kind: "gossip", Direction: traffic.Sent}:                          {Messages: 2, Bytes: 2 * uint64(proto.Size(gossip))},
		{Kind: "gossip", Direction: traffic.Received, CrossDomain: true}:   {Messages: 1, Bytes: uint64(proto.Size(gossip))},
		{Kind: "quota_report", Direction: traffic.Sent, CrossDomain: true}: {Messages: 1, Bytes: uint64(proto.Size(report))},
	}, counts)
}

// Guards against a message of a later build, which has no kind here, that ends the process.
func TestEmptyEnvelopeHasNoKind(t *testing.T) {
	require.Equal(t, "none", traffic.Kind(&wire.Envelope{}))
}
