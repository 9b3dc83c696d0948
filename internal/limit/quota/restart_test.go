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
		case limiter.Settles(now, w):
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
	require.False(t, restarted.Settles(now, w))
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
	require.True(t, k.Settles(start, w))
	require.True(t, k.Settles(start.Add(200*time.Millisecond), w))
	require.False(t, k.Settles(start.Add(300*time.Millisecond), w))
	k.ApplyTotals(start.Add(100*time.Millisecond), quota.Totals{LedgerRun: 1, Coverage: 1, AllJustStarted: true})
	require.False(t, k.Settles(start.Add(100*time.Millisecond), w))
}

// delayedReport is a report of gateway "a" that arrives at a time after the start.
type delayedReport struct {
	at, age time.Duration
	run     uint64
	used    float64
}

// Guards against usage that is counted twice because a report of a gateway's former
// process arrives late, and against a current process that is taken for a former one.
func TestReportsOfFormerProcessesChangeNothing(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		reports []delayedReport
		want    float64
	}{
		{"a late report", []delayedReport{{0, time.Minute, 1, 100}, {500 * ms, 0, 2, 5}, {600 * ms, time.Minute, 1, 100}, {700 * ms, 200 * ms, 2, 6}}, 106},
		{"one from before the last", []delayedReport{{0, time.Minute, 1, 100}, {500 * ms, 0, 2, 5}, {600 * ms, time.Minute - 100*ms, 1, 90}, {700 * ms, 200 * ms, 2, 6}}, 106},
		{"one with usage that was not reported before", []delayedReport{{0, time.Minute, 1, 100}, {500 * ms, 0, 2, 5}, {600 * ms, time.Minute + 100*ms, 1, 130}, {700 * ms, 200 * ms, 2, 6}}, 106},
		{"while the current process is silent", []delayedReport{{0, time.Minute, 1, 100}, {500 * ms, 0, 2, 5}, {5 * time.Second, time.Minute, 1, 100}, {6 * time.Second, 5500 * ms, 2, 6}}, 106},
		{"of a process that is reported first then", []delayedReport{{0, 0, 2, 5}, {600 * ms, time.Minute, 1, 100}, {700 * ms, 700 * ms, 2, 6}}, 6},
		{"later than its process lived", []delayedReport{{0, 100 * ms, 1, 10}, {500 * ms, 0, 2, 5}, {700 * ms, 100 * ms, 1, 10}, {800 * ms, 300 * ms, 2, 6}}, 16},
		{"of a process before the former one", []delayedReport{{0, time.Minute, 1, 100}, {500 * ms, 0, 2, 5}, {900 * ms, 0, 3, 1}, {1000 * ms, time.Minute, 1, 100}, {1100 * ms, 300 * ms, 2, 5}, {1200 * ms, 300 * ms, 3, 2}}, 107},
		{"with the clock set back", []delayedReport{{0, time.Minute, 5, 100}, {500 * ms, 0, 4, 5}, {600 * ms, time.Minute, 5, 100}, {700 * ms, 200 * ms, 4, 6}}, 106},
		{"with the clock set back, while the current process is silent", []delayedReport{{0, time.Minute, 5, 100}, {500 * ms, 0, 4, 5}, {5 * time.Second, time.Minute, 5, 100}, {6 * time.Second, 5500 * ms, 4, 6}}, 106},
		{"no former report, with the clock set back at once", []delayedReport{{0, time.Minute, 5, 100}, {100 * ms, 0, 4, 5}, {200 * ms, 100 * ms, 4, 6}, {600 * ms, 500 * ms, 4, 9}}, 109},
		{"no former report, with a process that was heard through a late report only", []delayedReport{{0, 500 * ms, 1, 10}, {100 * ms, 2 * time.Second, 2, 5}, {11 * time.Second, 13 * time.Second, 2, 6}}, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, first := quota.NewLedger(), c.reports[0]
			l.Report(start.Add(first.at), "a", quota.Report{Run: first.run, Age: first.age, Used: map[string]float64{"studio": 0}})
			for _, r := range c.reports {
				l.Report(start.Add(r.at), "a", quota.Report{Run: r.run, Age: r.age, Used: map[string]float64{"studio": r.used}})
			}
			last := c.reports[len(c.reports)-1]
			totals := l.Totals(start.Add(last.at), "b", 1, 1)
			require.InDelta(t, c.want, totals.OthersUsed["studio"], 0.001)
			require.InDelta(t, 1, totals.Coverage, 0.001)
		})
	}
}

// Guards against a gateway that counts as heard, and the fleet as running for long,
// because of a report of its former process.
func TestReportOfAFormerProcessChangesNeitherCoverageNorAge(t *testing.T) {
	l := quota.NewLedger()
	l.Report(start, "a", quota.Report{Run: 1, Age: time.Minute})
	l.Report(start.Add(500*time.Millisecond), "a", quota.Report{Run: 2})
	l.Report(start.Add(600*time.Millisecond), "a", quota.Report{Run: 1, Age: time.Minute})
	require.True(t, l.Totals(start.Add(600*time.Millisecond), "b", 1, 1).AllJustStarted)
	require.Zero(t, l.Totals(start.Add(950*time.Millisecond), "b", 1, 1).Coverage)
}
