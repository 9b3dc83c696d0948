package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cold upstream that gets a gateway's part of its bound twice within a
// second: from a process that is killed and from the one that follows it.
func TestRestartedGatewayOwnsNothingWithinASecond(t *testing.T) {
	g := newSnapshotGateway("restarted")
	g.guard.listedBefore()
	require.False(t, g.guard.gateways(g.startedAt.Add(300*time.Millisecond)).Joined)
	require.False(t, g.guard.gateways(g.startedAt.Add(time.Second)).Joined)
	require.True(t, g.guard.gateways(g.startedAt.Add(2*time.Second)).Joined)
}
