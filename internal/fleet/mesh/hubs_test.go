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

func gatewayName(i int) string { return fmt.Sprintf("g%d:1", i) }

// startFleet starts gateways that know each other's addresses and ranks, as from the
// store.
func startFleet(t *testing.T, n *network.Network, size int) []*process {
	var all []*process
	for i := range size {
		all = append(all, startProcess(t, n, gatewayName(i), uint64(i+1), &wire.Gossip{Rank: int64(i + 1), Ready: true}))
	}
	for _, p := range all {
		for i := range size {
			p.mesh.AddRankedPeer(time.Now(), gatewayName(i), int64(i+1))
		}
	}
	return all
}

func (p *process) gossipCount() int {
	p.handler.mu.Lock()
	defer p.handler.mu.Unlock()
	return p.handler.count
}

// Guards against all-to-all gossip, whose cost for each gateway grows with the fleet:
// gateways that are not hubs hear only the hubs.
func TestGossipRateOfNonHubsIsIndependentOfFleetSize(t *testing.T) {
	const hubs = 8
	for _, size := range []int{25, 68, 140} {
		bubble.Run(t, func(t *testing.T) {
			all := startFleet(t, network.New(), size)
			bubble.Sleep(5 * time.Second)
			before := make([]int, size)
			for i, p := range all {
				before[i] = p.gossipCount()
			}
			const seconds = 10
			bubble.Sleep(seconds * time.Second)
			for i, p := range all {
				perSecond := float64(p.gossipCount()-before[i]) / seconds
				if i < hubs {
					require.Len(t, p.mesh.Alive(time.Now()), size-1, "hub %d does not hear all gateways", i)
					continue
				}
				require.LessOrEqual(t, perSecond, 2.5*1.1*hubs*10/4, "gateway %d of %d", i, size)
				require.Len(t, p.mesh.Alive(time.Now()), hubs, "gateway %d of %d", i, size)
			}
			for _, p := range all {
				p.stop()
			}
		})
	}
}

// Guards against gateways that hear no scheduler after the gateways of lowest rank
// failed: the next ones in rank become the hubs of all that remain.
func TestLostHubsAreReplaced(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		const size, lost = 68, 23
		n := network.New()
		all := startFleet(t, n, size)
		bubble.Sleep(3 * time.Second)
		for i := range lost {
			n.Vanish(gatewayName(i))
			all[i].stop()
		}
		bubble.Sleep(3 * time.Second)
		require.Len(t, all[lost].mesh.Alive(time.Now()), size-lost-1)
		require.True(t, all[lost].mesh.IsHub())
		for i := lost + 1; i < size; i++ {
			first, _ := all[i].handler.gossipFrom(gatewayName(lost))
			require.NotNil(t, first, "gateway %d", i)
			require.True(t, first.HearsYou, "gateway %d", i)
		}
		bubble.Sleep(2 * time.Second)
		heard, expected := all[lost].mesh.Reach(time.Now())
		require.Equal(t, size-lost, heard)
		require.Equal(t, size, expected, "lost gateways still count, since they may only be partitioned from this one")
		for _, p := range all[lost:] {
			p.stop()
		}
	})
}

// Guards against a change that waits for the gossip interval at each hop.
func TestChangeDoesNotWaitForGossipInterval(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		const size = 68
		all := startFleet(t, network.New(), size)
		bubble.Sleep(3 * time.Second)
		all[0].handler.mu.Lock()
		all[0].handler.sent = &wire.Gossip{Rank: 1, Ready: true, ChangeRevision: 99}
		all[0].handler.mu.Unlock()
		all[0].mesh.GossipNow()
		bubble.Sleep(30 * time.Millisecond)
		for i := 1; i < size; i++ {
			got, _ := all[i].handler.gossipFrom(gatewayName(0))
			require.NotNil(t, got)
			require.Equal(t, int64(99), got.ChangeRevision, "gateway %d", i)
		}
		for _, p := range all {
			p.stop()
		}
	})
}
