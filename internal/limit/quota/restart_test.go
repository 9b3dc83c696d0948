package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// heldRequest is a request that is held at a gateway until it has the totals.
type heldRequest struct {
	gateway int
	cost    float64
}

// drawArrivals draws the requests that arrive in a tick, at the rate of cost per second
// over all gateways. Half of the cost is in large requests.
func drawArrivals(rng *rand.Rand, tick time.Duration, gateways int, perSecond float64) []heldRequest {
	const small, large = 1500.0, 10_000.0
	var arrivals []heldRequest
	for _, cost := range []float64{small, large} {
		if expected := perSecond / 2 / cost * tick.Seconds(); rng.Float64() < expected {
			arrivals = append(arrivals, heldRequest{gateway: rng.IntN(gateways), cost: cost})
		}
	}
	return arrivals
}

// addWorkspace adds the workspace to all gateways of a fleet.
func addWorkspace(now time.Time, f *fleet, w *catalog.Workspace) {
	for _, k := range f.limiters {
		k.AddWorkspaces(now, []catalog.Workspace{*w})
	}
}

// takeAll sends the requests to their gateways and returns those that are held, how
// many were refused and what was taken.
func takeAll(now time.Time, w *catalog.Workspace, limiters []*quota.Limiter, requests []heldRequest) (held []heldRequest, refused int, taken float64) {
	for _, request := range requests {
		limiter := limiters[request.gateway]
		ok, _ := limiter.Take(now, w, request.cost)
		switch {
		case ok:
			taken += request.cost
		case limiter.Settles(now):
			held = append(held, request)
		default:
			refused++
		}
	}
	return held, refused, taken
}

// Guards against refusing callers far below their quota after a restart of many
// gateways, some of which stay down. Each gateway kept to its even part, which is too
// small for a long prompt, until it had received totals of all gateways.
func TestRestartOfManyGatewaysRefusesNobodyBelowTheirQuota(t *testing.T) {
	const size, known = 68, 73
	w := &catalog.Workspace{Name: "small", QuotaPerSecond: 150_000, QuotaBurst: 150_000, QuotaCountsTokens: true}
	f := newFleet(start, size, false)
	for i := range f.limiters {
		f.limiters[i] = quota.New(quota.Options{Slack: slack, ExcessFraction: excessFraction, Window: window}, func() int { return known })
	}
	addWorkspace(start, f, w)
	rng := rand.New(rand.NewPCG(1, 2))
	var held []heldRequest
	refused, offered := 0, 0
	const tick = 5 * time.Millisecond
	for at := time.Duration(0); at < 3*time.Second; at += tick {
		now := start.Add(at)
		if at >= 150*time.Millisecond && at%(100*time.Millisecond) == 0 {
			f.exchangeReportsAmong(now, known)
		}
		arrivals := drawArrivals(rng, tick, size, 0.6*w.QuotaPerSecond)
		offered += len(arrivals)
		var newlyRefused int
		held, newlyRefused, _ = takeAll(now, w, f.limiters, append(held, arrivals...))
		refused += newlyRefused
	}
	require.Empty(t, held)
	require.Greater(t, offered, 60)
	require.Zero(t, refused, "of %d", offered)
}

// Guards against exceeding the quota because many gateways restart: a workspace that
// had used its quota sends many times its quota afterwards.
func TestRestartOfManyGatewaysStaysWithinTheAllowedExcess(t *testing.T) {
	const size = 68
	for seed := range uint64(5) {
		w := &catalog.Workspace{Name: "hot", QuotaPerSecond: 150_000, QuotaBurst: 150_000, QuotaCountsTokens: true}
		rng := rand.New(rand.NewPCG(seed, 3))
		f, taken := newFleet(start, size, true), 0.0
		addWorkspace(start, f, w)
		const tick = 5 * time.Millisecond
		restartAt, length := 4*time.Second, 8*time.Second
		for at := time.Duration(0); at < length; at += tick {
			now := start.Add(at)
			if at == restartAt {
				f = newFleet(start.Add(restartAt+500*time.Millisecond), size, false)
				addWorkspace(f.startedAt, f, w)
			}
			if at >= restartAt && at < restartAt+500*time.Millisecond {
				continue
			}
			if at%(100*time.Millisecond) == 0 && (at < restartAt || at > restartAt+800*time.Millisecond) {
				f.exchangeReports(now)
			}
			_, _, takenNow := takeAll(now, w, f.limiters, drawArrivals(rng, tick, size, 6*w.QuotaPerSecond))
			taken += takenNow
		}
		t.Log(taken)
		require.LessOrEqual(t, taken, (1+excessFraction)*(length.Seconds()*w.QuotaPerSecond+w.QuotaBurst)+slack, "seed %d", seed)
	}
}

// Guards against refusing callers below their quota after the restart of a single
// gateway, until each workspace has sent a request there.
func TestRestartedGatewayServesLongPromptsAtOnce(t *testing.T) {
	const size = 68
	w := &catalog.Workspace{Name: "small", QuotaPerSecond: 150_000, QuotaBurst: 150_000, QuotaCountsTokens: true}
	f := newFleet(start, size, true)
	addWorkspace(start, f, w)
	restarted := quota.New(quota.Options{Slack: slack, ExcessFraction: excessFraction, Window: window}, func() int { return size })
	later := start.Add(time.Minute)
	restarted.AddWorkspaces(later, []catalog.Workspace{*w})
	f.limiters[0] = restarted
	for at := time.Duration(0); at < time.Second; at += 100 * time.Millisecond {
		f.exchangeReports(later.Add(at))
	}
	now := later.Add(time.Second)
	require.False(t, restarted.Settles(now))
	ok, _ := restarted.Take(now, w, 10_000)
	require.True(t, ok)
}

// Guards against a new gateway that refuses a request just before it receives the
// totals, and against one that holds a request for too long.
func TestNewGatewayHoldsRequestsUntilItHasTotals(t *testing.T) {
	w := &catalog.Workspace{Name: "small", QuotaPerSecond: 150_000, QuotaBurst: 150_000, QuotaCountsTokens: true}
	k := quota.New(quota.Options{Slack: slack, ExcessFraction: excessFraction, Window: window}, func() int { return 68 })
	ok, _ := k.Take(start, w, 10_000)
	require.False(t, ok)
	require.True(t, k.Settles(start))
	require.True(t, k.Settles(start.Add(200*time.Millisecond)))
	require.False(t, k.Settles(start.Add(300*time.Millisecond)))
	k.ApplyTotals(start.Add(100*time.Millisecond), quota.Totals{LedgerRun: 1, Coverage: 1, AllJustStarted: true})
	require.False(t, k.Settles(start.Add(100*time.Millisecond)))
}
