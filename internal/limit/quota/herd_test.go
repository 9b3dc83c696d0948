package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// caller is a request that waits at a gateway because that settles.
type caller struct {
	gateway int
	cost    float64
}

// arrive draws who asks in a tick, at the rate of cost a second over all
// gateways, half of it in large requests.
func arrive(rng *rand.Rand, tick time.Duration, gateways int, perSecond float64) []caller {
	const small, large = 1500.0, 10_000.0
	var callers []caller
	for _, cost := range []float64{small, large} {
		if expected := perSecond / 2 / cost * tick.Seconds(); rng.Float64() < expected {
			callers = append(callers, caller{gateway: rng.IntN(gateways), cost: cost})
		}
	}
	return callers
}

// know makes the workspace known to all gateways of a fleet.
func know(now time.Time, f *fleet, w *catalog.Workspace) {
	for _, k := range f.keepers {
		k.Know(now, []catalog.Workspace{*w})
	}
}

// serve offers the callers to their gateways and returns those that wait, how
// many were refused and what was taken.
func serve(now time.Time, w *catalog.Workspace, keepers []*quota.Keeper, callers []caller) (waiting []caller, refused int, taken float64) {
	for _, c := range callers {
		k := keepers[c.gateway]
		ok, _ := k.Take(now, w, c.cost)
		switch {
		case ok:
			taken += c.cost
		case k.Settles(now):
			waiting = append(waiting, c)
		default:
			refused++
		}
	}
	return waiting, refused, taken
}

// Guards against callers far below their quota who are refused after a return of
// many gateways, some of which stay away: each gateway kept to its even part,
// which holds no long prompt, until it had heard all of them.
func TestReturnOfManyGatewaysRefusesNobodyBelowTheirQuota(t *testing.T) {
	const size, known = 68, 73
	w := &catalog.Workspace{Name: "small", PerSecond: 150_000, Burst: 150_000, ByTokens: true}
	f := newFleet(start, size, false)
	for i := range f.keepers {
		f.keepers[i] = quota.New(quota.Options{Slack: slack, Over: over, Window: window}, func() int { return known })
	}
	know(start, f, w)
	rng := rand.New(rand.NewPCG(1, 2))
	var waiting []caller
	refused, offered := 0, 0
	const tick = 5 * time.Millisecond
	for at := time.Duration(0); at < 3*time.Second; at += tick {
		now := start.Add(at)
		if at >= 150*time.Millisecond && at%(100*time.Millisecond) == 0 {
			f.exchangeAmong(now, known)
		}
		came := arrive(rng, tick, size, 0.6*w.PerSecond)
		offered += len(came)
		var more int
		waiting, more, _ = serve(now, w, f.keepers, append(waiting, came...))
		refused += more
	}
	require.Empty(t, waiting)
	require.Greater(t, offered, 60)
	require.Zero(t, refused, "of %d", offered)
}

// Guards against a bound that fails because many gateways return: a workspace
// that sent all it may before sends many times its quota afterwards.
func TestReturnOfManyGatewaysStaysWithinWhatMayBeExceeded(t *testing.T) {
	const size = 68
	for seed := range uint64(5) {
		w := &catalog.Workspace{Name: "hot", PerSecond: 150_000, Burst: 150_000, ByTokens: true}
		rng := rand.New(rand.NewPCG(seed, 3))
		f, taken := newFleet(start, size, true), 0.0
		know(start, f, w)
		const tick = 5 * time.Millisecond
		down, length := 4*time.Second, 8*time.Second
		for at := time.Duration(0); at < length; at += tick {
			now := start.Add(at)
			if at == down {
				f = newFleet(start.Add(down+500*time.Millisecond), size, false)
				know(f.began, f, w)
			}
			if at >= down && at < down+500*time.Millisecond {
				continue
			}
			if at%(100*time.Millisecond) == 0 && (at < down || at > down+800*time.Millisecond) {
				f.exchange(now)
			}
			_, _, some := serve(now, w, f.keepers, arrive(rng, tick, size, 6*w.PerSecond))
			taken += some
		}
		t.Log(taken)
		require.LessOrEqual(t, taken, (1+over)*(length.Seconds()*w.PerSecond+w.Burst)+slack, "seed %d", seed)
	}
}

// Guards against a gateway that is restarted alone and refuses callers below
// their quota for as long as each of its workspaces was not met there before.
func TestRestartedGatewayServesLongPromptsAtOnce(t *testing.T) {
	const size = 68
	w := &catalog.Workspace{Name: "small", PerSecond: 150_000, Burst: 150_000, ByTokens: true}
	f := newFleet(start, size, true)
	know(start, f, w)
	restarted := quota.New(quota.Options{Slack: slack, Over: over, Window: window}, func() int { return size })
	later := start.Add(time.Minute)
	restarted.Know(later, []catalog.Workspace{*w})
	f.keepers[0] = restarted
	for at := time.Duration(0); at < time.Second; at += 100 * time.Millisecond {
		f.exchange(later.Add(at))
	}
	now := later.Add(time.Second)
	require.False(t, restarted.Settles(now))
	ok, _ := restarted.Take(now, w, 10_000)
	require.True(t, ok)
}

// Guards against a caller who is refused by a new gateway that would have heard
// in a moment what is left, and against one who is held for longer than that.
func TestNewGatewayHoldsCallersUntilItHearsWhatIsLeft(t *testing.T) {
	w := &catalog.Workspace{Name: "small", PerSecond: 150_000, Burst: 150_000, ByTokens: true}
	k := quota.New(quota.Options{Slack: slack, Over: over, Window: window}, func() int { return 68 })
	ok, _ := k.Take(start, w, 10_000)
	require.False(t, ok)
	require.True(t, k.Settles(start))
	require.True(t, k.Settles(start.Add(200*time.Millisecond)))
	require.False(t, k.Settles(start.Add(300*time.Millisecond)))
	k.Hear(start.Add(100*time.Millisecond), quota.Totals{Run: 1, Part: 1, Fresh: true})
	require.False(t, k.Settles(start.Add(100*time.Millisecond)))
}
