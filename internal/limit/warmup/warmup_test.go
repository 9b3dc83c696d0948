package warmup_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonridge/persimmonridge/internal/limit/share"
	"github.com/persimmonridge/persimmonridge/internal/limit/warmup"
	_ "github.com/persimmonridge/persimmonridge/internal/proof/seed"
)

var start = time.Unix(1_000_000, 0)

var limit = warmup.Limit{Factor: 1.5, Slack: 5}

func gatewayIDs(count int) share.Gateways {
	g := share.Gateways{Version: uint64(count), Joined: true}
	for i := range count {
		g.IDs = append(g.IDs, fmt.Sprint("gateway-", i))
	}
	return g
}

// newGuard returns the guard of one gateway among count, for a service whose upstreams
// tolerate 16 requests a second for three seconds.
func newGuard(count int, joined bool) *warmup.Guard {
	gateways := gatewayIDs(count)
	gateways.Joined = joined
	return warmup.New(limit, warmup.Dependencies{
		Service:  func(string) warmup.Service { return warmup.Service{Time: 3 * time.Second, PerSecond: 16} },
		Gateways: func(time.Time) share.Gateways { return gateways },
	})
}

func register(g *warmup.Guard, now time.Time, remaining time.Duration) {
	g.Registered(now, warmup.Registration{ID: "u", Service: "s", Domain: "a", StartedAtMs: 1, Remaining: remaining})
	g.Listed(now)
}

func limited(g *warmup.Guard, now time.Time) bool {
	_, limited := g.Allowance(now, "gateway-0", "u")
	return limited
}

// Guards against sums over the gateways that exceed what a cold upstream tolerates, for
// any number of gateways that send at any times and know of each other.
func TestGatewaysTogetherStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 120).Draw(t, "gateways")
		bound := limit.Bound(16)
		guards := make([]*warmup.Guard, count)
		for i := range guards {
			guards[i] = newGuard(count, true)
			register(guards[i], start, time.Hour)
		}
		now, sent := start, []time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "bursts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(1, 40).Draw(t, "requests") {
				i := rapid.IntRange(0, count-1).Draw(t, "gateway")
				guards[i].Listed(now)
				if guards[i].Take(now, fmt.Sprint("gateway-", i), "u") {
					sent = append(sent, now)
				}
			}
			within := 0
			for _, at := range sent {
				if now.Sub(at) < time.Second {
					within++
				}
			}
			require.LessOrEqual(t, within, bound)
		}
	})
}

// Guards against gateways that exceed the bound while some have not heard yet of others
// that have just joined.
func TestGatewaysThatKnowDifferentOnesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 120).Draw(t, "gateways")
		joined := rapid.IntRange(1, count-1).Draw(t, "joined")
		sent := 0
		for i := range count {
			known := count
			if i < count-joined && rapid.Bool().Draw(t, "behind") {
				known = count - joined
			}
			g := newGuard(known, i < count-joined)
			register(g, start, time.Hour)
			for g.Take(start, fmt.Sprint("gateway-", i), "u") {
				sent++
			}
		}
		require.LessOrEqual(t, sent, limit.Bound(16))
	})
}

// Guards against an upstream that counts as warm although one of the sources says that it
// may be warming up.
func TestUpstreamMayBeWarmingUp(t *testing.T) {
	for name, c := range map[string]struct {
		event func(g *warmup.Guard, now time.Time)
		until time.Duration
	}{
		"its registration states it": {func(g *warmup.Guard, now time.Time) { register(g, now, 2*time.Second) }, 2 * time.Second},
		"it was registered after the first list": {func(g *warmup.Guard, now time.Time) {
			g.Registered(now, warmup.Registration{ID: "new", Service: "s"})
			_, limited := g.Allowance(now, "gateway-0", "new")
			require.True(t, limited)
			register(g, now, 3*time.Second)
		}, 3 * time.Second},
		"its process has restarted under its ID": {func(g *warmup.Guard, now time.Time) {
			g.Registered(now, warmup.Registration{ID: "u", Service: "s", Domain: "a", StartedAtMs: 2})
		}, 3 * time.Second},
		"it states it itself":          {func(g *warmup.Guard, now time.Time) { g.Stated(now, "u", time.Second) }, time.Second},
		"a connection to it failed":    {func(g *warmup.Guard, now time.Time) { g.Failed(now, "u") }, 3 * time.Second},
		"the evacuation of its domain": {func(g *warmup.Guard, now time.Time) { g.Returned(now, "a") }, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGuard(3, true)
			register(g, start, 0)
			require.False(t, limited(g, start))
			at := start.Add(time.Second)
			c.event(g, at)
			end := at.Add(c.until - time.Millisecond)
			// A registration that states nothing does not outweigh a more careful source.
			register(g, end, 0)
			require.True(t, limited(g, end))
			later := start.Add(20 * time.Second)
			g.Listed(later)
			require.False(t, limited(g, later))
		})
	}
}

// Guards against a gateway that cannot read registrations and takes upstreams that have
// restarted meanwhile for warm.
func TestUpstreamsAreLimitedWhileRegistrationsCannotBeRead(t *testing.T) {
	g := newGuard(3, true)
	register(g, start, 0)
	require.False(t, limited(g, start.Add(3*time.Second)))
	require.True(t, limited(g, start.Add(5*time.Second)))
	g.Listed(start.Add(6 * time.Second))
	require.False(t, limited(g, start.Add(6*time.Second)))
}

// Guards against a limit on upstreams of services that state no warm-up.
func TestUpstreamsWithoutWarmUpAreNotLimited(t *testing.T) {
	g := warmup.New(limit, warmup.Dependencies{
		Service:  func(string) warmup.Service { return warmup.Service{} },
		Gateways: func(time.Time) share.Gateways { return gatewayIDs(3) },
	})
	register(g, start, time.Second)
	g.Failed(start, "u")
	require.False(t, limited(g, start))
	for range 100 {
		require.True(t, g.Take(start, "gateway-0", "u"))
	}
}

// Guards against requests sent just before an upstream turned cold that are not counted.
func TestRequestsSentBeforeTheWarmUpCount(t *testing.T) {
	g := newGuard(1, true)
	register(g, start, 0)
	for range 30 {
		require.True(t, g.Take(start, "gateway-0", "u"))
	}
	register(g, start.Add(100*time.Millisecond), time.Second)
	require.False(t, g.Take(start.Add(100*time.Millisecond), "gateway-0", "u"))
	require.Positive(t, g.Wait(start.Add(100*time.Millisecond), "gateway-0", "u"))
	require.Zero(t, g.Wait(start.Add(warmup.Window), "gateway-0", "u"))
}

// Guards against an upstream that was cold once and counts as warm when it is registered
// again, although its registration states neither its start nor the rest of its warm-up.
func TestUpstreamThatReturnsWithoutAStatementMayBeWarmingUp(t *testing.T) {
	g := newGuard(3, true)
	register(g, start, time.Second)
	at := start.Add(10 * time.Second)
	g.Listed(at)
	require.False(t, limited(g, at))
	g.Removed(at, "u")
	g.Registered(at.Add(time.Second), warmup.Registration{ID: "u", Service: "s", Domain: "a", StartedAtMs: 1, Unknown: true})
	require.True(t, limited(g, at.Add(time.Second)))
}

// Guards against a stated rate beyond all integers, whose conversion depends on the processor: on
// x86-64 upstreams of the service got nothing.
func TestBoundOfAHugeRateIsPositive(t *testing.T) {
	for _, limit := range []warmup.Limit{{}, {Factor: 1e300, Slack: 1e300}} {
		for _, rate := range []float64{1e19, 1e300, math.MaxFloat64} {
			require.Equal(t, 1<<31, limit.Bound(rate))
		}
	}
}
