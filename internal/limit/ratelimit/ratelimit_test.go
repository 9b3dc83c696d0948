package ratelimit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonridge/persimmonridge/internal/limit/ratelimit"
	"github.com/persimmonridge/persimmonridge/internal/limit/share"
	_ "github.com/persimmonridge/persimmonridge/internal/proof/seed"
)

var start = time.Unix(1_000_000, 0)

func gateways(count int) func(time.Time) share.Gateways {
	g := share.Gateways{Version: uint64(count), Joined: true, Age: time.Hour}
	for i := range count {
		g.IDs = append(g.IDs, fmt.Sprint("gateway-", i))
	}
	return func(time.Time) share.Gateways { return g }
}

func newLimiter(perSecond float64) *ratelimit.Limiter {
	l := ratelimit.New(1, gateways(1))
	l.Stated(start, "u", 1, perSecond)
	return l
}

func limited(l *ratelimit.Limiter, startedAtMs int64) bool {
	for range 10_000 {
		if !l.Take(start, "gateway-0", "u", startedAtMs) {
			return true
		}
	}
	return false
}

// Guards against sums over the gateways that exceed what a limited upstream tolerates, for
// any number of gateways that send at any times and exchange no messages.
func TestGatewaysTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 120).Draw(t, "gateways")
		perSecond := rapid.Float64Range(0, 40).Draw(t, "limit")
		known := gateways(count)
		limiters := make([]*ratelimit.Limiter, count)
		for i := range limiters {
			limiters[i] = ratelimit.New(uint64(i), known)
			limiters[i].Stated(start, "u", 1, perSecond)
		}
		now, sent := start, []time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "bursts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			for i, l := range limiters {
				for l.Take(now, fmt.Sprint("gateway-", i), "u", 1) {
					sent = append(sent, now)
				}
			}
		}
		bound := int(math.Ceil(1.5*perSecond*4 + 5))
		for i := bound; i < len(sent); i++ {
			require.GreaterOrEqual(t, sent[i].Sub(sent[i-bound]), 4*time.Second, "%d gateways, %v a second", count, perSecond)
		}
	})
}

// Guards against processes that each send their part of a limit within the time in which the
// upstream counts: of gateways that start again, once or in a series, at once or one by one.
func TestGatewaysThatStartAgainStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "gateways")
		perSecond := rapid.Float64Range(0, 40).Draw(t, "limit")
		type process struct {
			limiter   *ratelimit.Limiter
			startedAt time.Time
		}
		processes := make([]*process, count)
		known := gateways(count)
		begin := func(now time.Time, i int) {
			p := &process{startedAt: now}
			p.limiter = ratelimit.New(uint64(i), func(now time.Time) share.Gateways {
				g := known(now)
				g.Age = now.Sub(p.startedAt)
				g.Joined = g.Age >= time.Second+share.LoanLife
				return g
			})
			p.limiter.Stated(now, "u", 1, perSecond)
			processes[i] = p
		}
		for i := range count {
			begin(start.Add(-time.Hour), i)
		}
		now, sent := start, []time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "bursts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "start") {
				first := rapid.IntRange(0, count-1).Draw(t, "first")
				for i := range rapid.SampledFrom([]int{1, count}).Draw(t, "started") {
					begin(now, (first+i)%count)
				}
			}
			for i, p := range processes {
				for p.limiter.Take(now, fmt.Sprint("gateway-", i), "u", 1) {
					sent = append(sent, now)
				}
			}
		}
		bound := int(math.Ceil(1.5*perSecond*4 + 5))
		for i := bound; i < len(sent); i++ {
			require.GreaterOrEqual(t, sent[i].Sub(sent[i-bound]), 4*time.Second, "%d gateways, %v a second", count, perSecond)
		}
	})
}

// Guards against a limited upstream that is left idle because the parts of its limit are
// rounded down, or because few gateways own one.
func TestLimitedUpstreamGetsMostOfItsLimit(t *testing.T) {
	for _, count := range []int{1, 3, 5, 22, 68, 300} {
		for _, perSecond := range []float64{0.3, 1.1, 2.2, 2.6, 7, 31.5} {
			known := gateways(count)
			limiters := make([]*ratelimit.Limiter, count)
			for i := range limiters {
				limiters[i] = ratelimit.New(uint64(i), known)
				limiters[i].Stated(start, "u", 1, perSecond)
			}
			const seconds = 400
			sent := 0
			for tenth := range seconds * 10 {
				now := start.Add(time.Duration(tenth) * 100 * time.Millisecond)
				for i, l := range limiters {
					for l.Take(now, fmt.Sprint("gateway-", i), "u", 1) {
						sent++
					}
				}
			}
			require.GreaterOrEqual(t, float64(sent), 0.75*perSecond*seconds, "%d gateways, %v a second", count, perSecond)
			require.LessOrEqual(t, float64(sent), perSecond*seconds+5+2*perSecond, "%d gateways, %v a second", count, perSecond)
		}
	}
}

// Guards against an upstream that is limited for ever: one that no longer states a limit,
// and another process that has its ID.
func TestLimitEnds(t *testing.T) {
	l := newLimiter(1)
	require.True(t, limited(l, 1))
	require.False(t, limited(l, 2), "a later process has not stated it")
	l.NotStated(start.Add(time.Second), "u", 1, start.Add(time.Millisecond))
	require.False(t, limited(l, 1))
	require.Zero(t, l.Limited())
}

// Guards against a limit that ends because of an answer whose request was sent before the
// limit was stated, such as the head of a stream that waited for its slot.
func TestEarlierAnswerDoesNotEndALimit(t *testing.T) {
	l := newLimiter(1)
	l.NotStated(start.Add(time.Second), "u", 1, start.Add(-time.Millisecond))
	require.True(t, limited(l, 1))
	// This gateway may not know yet that the upstream has restarted.
	require.True(t, limited(newLimiter(1), 0))
}

// Guards against absurd limits that lock an upstream out for ever or overflow a count.
func TestAbsurdLimits(t *testing.T) {
	for _, perSecond := range []float64{0, 1e-300} {
		l := newLimiter(perSecond)
		require.True(t, limited(l, 1))
		wait := l.Wait(start, "gateway-0", "u", 1)
		require.Positive(t, wait)
		require.LessOrEqual(t, wait, 15*time.Second, "its answer tells when the limit ends")
	}
	require.False(t, limited(newLimiter(1e300), 1))
}

// Guards against a gateway that has just started and takes a part that the others, who do
// not know it yet, have divided among themselves.
func TestNewGatewayOwnsNothing(t *testing.T) {
	l := ratelimit.New(1, func(time.Time) share.Gateways { return share.Gateways{IDs: []string{"gateway-0"}} })
	l.Stated(start, "u", 1, 5)
	require.False(t, l.Take(start, "gateway-0", "u", 1))
	require.Positive(t, l.Wait(start, "gateway-0", "u", 1))
}

func TestForget(t *testing.T) {
	l := newLimiter(1)
	l.Forget(start.Add(time.Hour), func(string, int64) bool { return true })
	require.True(t, limited(l, 1), "a limit of a registered upstream holds")
	l.Forget(start.Add(time.Hour), func(string, int64) bool { return false })
	require.False(t, limited(l, 1))
}

// Guards against a gateway that owns no part of a limit, and so gets no answer that could
// end it, and against old news that bring back a limit which has ended.
func TestGatewaysTellEachOtherOfLimits(t *testing.T) {
	owner, other := newLimiter(0.5), ratelimit.New(2, gateways(1))
	tell := func(now time.Time, from, to *ratelimit.Limiter) bool {
		changed := false
		for _, s := range from.Statements() {
			changed = to.Heard(now, s) || changed
		}
		return changed
	}
	require.True(t, tell(start, owner, other))
	require.True(t, limited(other, 1))
	require.False(t, tell(start, owner, other), "told again")
	stale := other.Statements()
	owner.NotStated(start.Add(2*time.Second), "u", 1, start.Add(time.Second))
	require.False(t, tell(start.Add(2*time.Second), other, owner), "an older statement")
	require.Zero(t, owner.Limited())
	require.True(t, tell(start.Add(3*time.Second), owner, other))
	require.False(t, limited(other, 1))
	for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(10 * time.Second) {
		owner.Forget(now, func(string, int64) bool { return true })
		owner.Heard(now, stale[0])
		require.Zero(t, owner.Limited(), "after %s", now.Sub(start))
	}
}

// Guards against a limit that two gateways, neither of which hears from the upstream any
// more, confirm to each other, so that it outlives a later statement.
func TestToldLimitIsNotRenewed(t *testing.T) {
	first, second := newLimiter(0.5), newLimiter(0.5)
	for range 100 {
		for _, pair := range [][2]*ratelimit.Limiter{{first, second}, {second, first}} {
			for _, s := range pair[0].Statements() {
				s.At = s.At.Add(time.Second)
				require.False(t, pair[1].Heard(start.Add(time.Second), s))
			}
		}
	}
	require.Equal(t, start, first.Statements()[0].At)
}

// Guards against the requests of four seconds that come within the first, after which
// callers are refused for three.
func TestLimitIsKeptInEachSecondIfGatewaysOwnEnough(t *testing.T) {
	l := ratelimit.New(1, gateways(4))
	l.Stated(start, "u", 1, 20)
	for second := range 3 {
		sent := 0
		for l.Take(start.Add(time.Duration(second)*time.Second), "gateway-0", "u", 1) {
			sent++
		}
		require.Equal(t, 5, sent)
	}
}
