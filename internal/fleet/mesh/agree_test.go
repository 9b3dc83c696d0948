package mesh_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// scheduler returns the process that this one takes to schedule: of those that hear
// it and that it hears, itself included, the one of lowest rank.
func (p *process) scheduler(now time.Time) int64 {
	rank := p.handler.told.Rank
	for _, other := range p.mesh.Alive(now) {
		if other.Ready && other.HearsUs {
			rank = min(rank, other.Rank)
		}
	}
	return rank
}

// agreement lets time pass until all processes take the one of the rank to schedule,
// and returns how long that took.
func agreement(t *testing.T, all []*process, rank int64) time.Duration {
	const step, most = 10 * time.Millisecond, 20 * time.Second
	for begun := time.Now(); time.Since(begun) < most; bubble.Pass(step) {
		agreed := true
		for _, p := range all {
			agreed = agreed && p.scheduler(time.Now()) == rank
		}
		if agreed {
			return time.Since(begun)
		}
	}
	require.Fail(t, "no agreement on a scheduler")
	return 0
}

// Guards against many schedulers at once for long after a return of all gateways:
// all are without power, which of them is back first is chance, and each tries to
// reach the others while they are still away.
func TestGatewaysThatReturnInAnyOrderAgreeOnAScheduler(t *testing.T) {
	const size, within, agree = 68, 500, 450 * time.Millisecond
	for seed := range uint64(3) {
		bubble.Run(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			n := network.New()
			order := random.Perm(size)
			for i := range size {
				n.Vanish(nameOf(i))
			}
			all := make([]*process, 0, size)
			for _, i := range order {
				bubble.Pass(time.Duration(random.IntN(2*within/size)) * time.Millisecond)
				n.Return(nameOf(i))
				p := start(t, n, nameOf(i), uint64(i+1), &wire.Gossip{Rank: int64(i + 1), Ready: true})
				for other := range size {
					p.mesh.KnowRanked(time.Now(), nameOf(other), int64(other+1))
				}
				all = append(all, p)
			}
			took := agreement(t, all, 1)
			t.Logf("seed %d: %s after the last start", seed, took)
			require.LessOrEqual(t, took, agree, "seed %d", seed)
			for _, p := range all {
				p.stop()
			}
		})
	}
}

// Guards against gateways that have no scheduler for longer than it takes to notice
// that one is silent, because most hubs were lost with it; with all of them lost, the
// next ones have to be found as well.
func TestLossOfMostHubsLeavesAScheduler(t *testing.T) {
	const (
		size, hubs = 68, 8
		notice     = 4*400*time.Millisecond + 50*time.Millisecond
		find       = 400 * time.Millisecond
	)
	for _, lost := range []int{1, hubs - 1, hubs} {
		bubble.Run(t, func(t *testing.T) {
			n := network.New()
			all := startFleet(t, n, size)
			bubble.Pass(5 * time.Second)
			for i := range lost {
				n.Vanish(nameOf(i))
				all[i].stop()
			}
			took := agreement(t, all[lost:], int64(lost+1))
			t.Logf("%d hubs lost: %s", lost, took)
			if lost < hubs {
				require.LessOrEqual(t, took, notice, "%d hubs lost", lost)
			}
			require.LessOrEqual(t, took, notice+find, "%d hubs lost", lost)
			for _, p := range all[lost:] {
				p.stop()
			}
		})
	}
}
