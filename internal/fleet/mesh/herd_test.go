package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// Guards against several schedulers after all gateways restarted: each gateway waited
// for the next gossip of the others, an interval that grows with the fleet.
func TestSimultaneousStartDoesNotWaitForGossipInterval(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		const size, startInterval = 68, 4 * time.Millisecond
		n := network.New()
		name := func(i int) string { return fmt.Sprintf("g%d:1", i) }
		var peers []string
		for i := range size {
			peers = append(peers, name(i))
		}
		var all []*process
		for i := range size {
			all = append(all, startProcess(t, n, name(i), uint64(i+1), &wire.Gossip{Rank: int64(i + 1), Ready: true}, peers...))
			bubble.Sleep(startInterval)
		}
		bubble.Sleep(120 * time.Millisecond)
		for i := 1; i < size; i++ {
			first, _ := all[i].handler.gossipFrom(name(0))
			require.NotNil(t, first, "gateway %d has not heard the gateway of lowest rank", i)
			require.True(t, first.HearsYou, "the gateway of lowest rank does not report that it hears gateway %d", i)
		}
		for _, p := range all {
			p.stop()
		}
	})
}
