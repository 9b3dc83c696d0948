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

// scheduler returns the rank of the scheduler in the view of this process: the lowest
// rank among itself and the ready peers with which gossip flows in both directions.
func (p *process) scheduler(now time.Time) int64 {
	rank := p.handler.sent.Rank
	for _, other := range p.mesh.Alive(now) {
		if other.Ready && other.HearsUs {
			rank = min(rank, other.Rank)
		}
	}
	return rank
}

// waitForAgreement lets time pass until the process of the given rank is the scheduler
// for all processes, and returns how long that took.
func waitForAgreement(t *testing.T, all []*process, rank int64) time.Duration {
	const step, limit = 10 * time.Millisecond, 20 * time.Second
	for started := time.Now(); time.Since(started) < limit; bubble.Sleep(step) {
		agreed := true
		for _, p := range all {
			agreed = agreed && p.scheduler(time.Now()) == rank
		}
		if agreed {
			return time.Since(started)
		}
	}
	require.Fail(t, "the processes do not agree on a scheduler")
	return 0
}

// Guards against several schedulers for a long time after a power failure of all
// gateways: they restart in random order, and each tries to connect to others that are
// not up yet.
func TestGatewaysRestartedInRandomOrderAgreeOnScheduler(t *testing.T) {
	const size, startPeriodMs, maxAgreement = 68, 500, 450 * time.Millisecond
	for seed := range uint64(3) {
		bubble.Run(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			n := network.New()
			order := random.Perm(size)
			for i := range size {
				n.Vanish(gatewayName(i))
			}
			all := make([]*process, 0, size)
			for _, i := range order {
				bubble.Sleep(time.Duration(random.IntN(2*startPeriodMs/size)) * time.Millisecond)
				n.Restore(gatewayName(i))
				p := startProcess(t, n, gatewayName(i), uint64(i+1), &wire.Gossip{Rank: int64(i + 1), Ready: true})
				for other := range size {
					p.mesh.AddRankedPeer(time.Now(), gatewayName(other), int64(other+1))
				}
				all = append(all, p)
			}
			took := waitForAgreement(t, all, 1)
			t.Logf("seed %d: %s after the last start", seed, took)
			require.LessOrEqual(t, took, maxAgreement, "seed %d", seed)
			for _, p := range all {
				p.stop()
			}
		})
	}
}

// Guards against gateways that have no scheduler for longer than the liveness timeout
// because most hubs failed together with it. If all hubs fail, the processes also need
// time to find new ones.
func TestSchedulerIsFoundAfterLossOfHubs(t *testing.T) {
	const (
		size, hubs      = 68, 8
		livenessTimeout = 4*400*time.Millisecond + 50*time.Millisecond
		hubSearch       = 400 * time.Millisecond
	)
	for _, lost := range []int{1, hubs - 1, hubs} {
		bubble.Run(t, func(t *testing.T) {
			n := network.New()
			all := startFleet(t, n, size)
			bubble.Sleep(5 * time.Second)
			for i := range lost {
				n.Vanish(gatewayName(i))
				all[i].stop()
			}
			took := waitForAgreement(t, all[lost:], int64(lost+1))
			t.Logf("%d hubs lost: %s", lost, took)
			if lost < hubs {
				require.LessOrEqual(t, took, livenessTimeout, "%d hubs lost", lost)
			}
			require.LessOrEqual(t, took, livenessTimeout+hubSearch, "%d hubs lost", lost)
			for _, p := range all[lost:] {
				p.stop()
			}
		})
	}
}
