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

func nameOf(i int) string { return fmt.Sprintf("g%d:1", i) }

// startFleet starts gateways that know each other and their ranks by the store.
func startFleet(t *testing.T, n *network.Network, size int) []*process {
	var all []*process
	for i := range size {
		all = append(all, start(t, n, nameOf(i), uint64(i+1), &wire.Gossip{Rank: int64(i + 1), Ready: true}))
	}
	for _, p := range all {
		for i := range size {
			p.mesh.KnowRanked(time.Now(), nameOf(i), int64(i+1))
		}
	}
	return all
}

func (p *process) count() int {
	p.handler.mu.Lock()
	defer p.handler.mu.Unlock()
	return p.handler.count
}

// Guards against gossip of all with all, whose cost for each gateway grows with
// the fleet: most of them hear a few others, however many there are.
func TestGossipOfMostGatewaysDoesNotGrowWithTheFleet(t *testing.T) {
	const few = 8
	for _, size := range []int{25, 68, 140} {
		bubble.Run(t, func(t *testing.T) {
			all := startFleet(t, network.New(), size)
			bubble.Pass(5 * time.Second)
			before := make([]int, size)
			for i, p := range all {
				before[i] = p.count()
			}
			const seconds = 10
			bubble.Pass(seconds * time.Second)
			for i, p := range all {
				heard := float64(p.count()-before[i]) / seconds
				if i < few {
					require.Len(t, p.mesh.Alive(time.Now()), size-1, "hub %d hears all", i)
					continue
				}
				require.LessOrEqual(t, heard, 2.5*1.1*few*10/4, "gateway %d of %d", i, size)
				require.Len(t, p.mesh.Alive(time.Now()), few, "gateway %d of %d", i, size)
			}
			for _, p := range all {
				p.stop()
			}
		})
	}
}

// Guards against gateways that hear nobody who schedules after those of lowest
// rank were lost: the next ones take their place for all that are left.
func TestHubsThatAreLostAreReplaced(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		const size, lost = 68, 23
		n := network.New()
		all := startFleet(t, n, size)
		bubble.Pass(3 * time.Second)
		for i := range lost {
			n.Vanish(nameOf(i))
			all[i].stop()
		}
		bubble.Pass(3 * time.Second)
		require.Len(t, all[lost].mesh.Alive(time.Now()), size-lost-1)
		require.True(t, all[lost].mesh.Hub())
		for i := lost + 1; i < size; i++ {
			first, _ := all[i].handler.from(nameOf(lost))
			require.NotNil(t, first, "gateway %d", i)
			require.True(t, first.HearsYou, "gateway %d", i)
		}
		bubble.Pass(2 * time.Second)
		heard, expected := all[lost].mesh.Reach(time.Now())
		require.Equal(t, size-lost, heard)
		require.Equal(t, size, expected, "the others may only be cut off from here")
		for _, p := range all[lost:] {
			p.stop()
		}
	})
}

// Guards against a change that waits for the next gossip at each step of its way.
func TestChangeReachesAllAtOnce(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		const size = 68
		all := startFleet(t, network.New(), size)
		bubble.Pass(3 * time.Second)
		all[0].handler.mu.Lock()
		all[0].handler.told = &wire.Gossip{Rank: 1, Ready: true, ChangeRevision: 99}
		all[0].handler.mu.Unlock()
		all[0].mesh.Hurry()
		bubble.Pass(30 * time.Millisecond)
		for i := 1; i < size; i++ {
			got, _ := all[i].handler.from(nameOf(0))
			require.NotNil(t, got)
			require.Equal(t, int64(99), got.ChangeRevision, "gateway %d", i)
		}
		for _, p := range all {
			p.stop()
		}
	})
}
