package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// large is a workspace of the deployments under hard load.
func large() *catalog.Workspace {
	return &catalog.Workspace{Name: "large", QuotaPerSecond: 200_000, QuotaBurst: 200_000, QuotaCountsTokens: true}
}

// Guards against refusing a workspace below its limit because of requests that wait and
// get no slot. It is offered 2.4 times its quota, and two of three requests are refused
// after 400 ms, so that 0.8 of the quota runs.
func TestRequestsThatGetNoSlotDoNotUseUpTheQuota(t *testing.T) {
	for _, gateways := range []int{1, 24} {
		for seed := range uint64(5) {
			s := newScenario(gateways, large())
			s.waits, s.placed = 400*time.Millisecond, 1.0/3
			// The record of what gets a slot begins empty, so the load rises over a second.
			s.load = func(at time.Duration) float64 { return 2.4 * min(1, at.Seconds()) }
			r := s.run(seed)
			require.Greater(t, r.arrivals, 1000)
			require.Zero(t, r.refused, "%d gateways, seed %d, at %v", gateways, seed, r.refusedAt)
			require.Zero(t, r.refusedWithSlot, "%d gateways, seed %d, at %v", gateways, seed, r.refusedAt)
		}
	}
}

// Guards against a workspace above its limit whose requests wait for slots only to be
// refused with them: with enough slots, requests that wait count in full.
func TestWaitingRequestsCountInFullWhileAllGetSlots(t *testing.T) {
	w := large()
	l := quota.New(quota.Options{StartFull: true}, func() int { return 1 })
	for range 10 {
		ok, _ := l.Enqueue(start, w, 19_000)
		require.True(t, ok)
	}
	ok, retryAfter := l.Enqueue(start, w, 19_000)
	require.False(t, ok, "10,000 of 200,000 are left")
	require.InDelta(t, 0.2, retryAfter.Seconds(), 0.001)
	for range 10 {
		l.Dequeue(start, w, 19_000, true)
		ok, _ = l.Take(start, w, 19_000)
		require.True(t, ok)
	}
	ok, _ = l.Enqueue(start, w, 19_000)
	require.False(t, ok)
}

// A workspace that sends six times its quota and waits for slots stays within the bound,
// and gets what its quota allows.
func TestWaitingRequestsStayWithinTheBound(t *testing.T) {
	for _, placed := range []float64{1, 1.0 / 3} {
		s := newScenario(24, large())
		s.load, s.waits, s.placed = func(time.Duration) float64 { return 6 }, 400*time.Millisecond, placed
		s.costs = []float64{1821, 6990, 918}
		r := s.run(1)
		require.LessOrEqual(t, r.most(window), bound(s.workspace))
		require.GreaterOrEqual(t, r.total(), 0.9*s.length.Seconds()*s.workspace.QuotaPerSecond)
	}
}

// Guards against a request whose caller left and that counts as waiting for ever.
func TestRequestsThatLeaveNoLongerWait(t *testing.T) {
	w := large()
	l := quota.New(quota.Options{StartFull: true}, func() int { return 1 })
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		ok, _ := l.Enqueue(now, w, 150_000)
		require.True(t, ok)
		l.Dequeue(now, w, 150_000, false)
	}
	require.Zero(t, l.Used()[w.Name])
}

// Guards against refusing a workspace below its limit because its requests wait for longer
// than its burst lasts: they are charged when they have their slots, and the quota is
// refilled until then.
func TestRequestsThatWaitLongDoNotUseUpTheQuota(t *testing.T) {
	for _, gateways := range []int{1, 24} {
		for _, waits := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
			for _, placed := range []float64{1, 1.0 / 3} {
				s := newScenario(gateways, large())
				s.weight, s.waits, s.placed = atOneGateway, waits, placed
				s.load = func(time.Duration) float64 { return 0.8 }
				r := s.run(1)
				require.Zero(t, r.refused, "%d gateways, waits %v, placed %.2f, at %v", gateways, waits, placed, r.refusedAt)
				require.Zero(t, r.refusedWithSlot, "%d gateways, waits %v, placed %.2f, at %v", gateways, waits, placed, r.refusedAt)
			}
		}
	}
}
