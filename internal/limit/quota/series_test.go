package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// use is what was taken at a time.
type use struct {
	at   time.Duration
	cost float64
}

// mostIn returns the most that was taken in any window.
func mostIn(window time.Duration, uses []use) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, u := range uses {
		for sum += u.cost; u.at-uses[first].at > window; first++ {
			sum -= uses[first].cost
		}
		most = max(most, sum)
	}
	return most
}

// playSeries plays gateways that all start again, the given time after their last start, while a
// workspace sends many times its quota, and returns what it used.
func playSeries(w *catalog.Workspace, size int, every time.Duration) []use {
	const (
		tick   = 5 * time.Millisecond
		pause  = 500 * time.Millisecond
		warmUp = 10 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 3))
	f := newFleet(start, size, true)
	addWorkspace(start, f, w)
	restartAt, upAt, startedAt := warmUp, time.Duration(0), time.Duration(0)
	var uses []use
	for at := time.Duration(0); at < 40*time.Second; at += tick {
		now := start.Add(at)
		if at == restartAt {
			upAt = at + pause
			f = newFleet(start.Add(upAt), size, false)
			for _, l := range f.limiters {
				l.SetOptions(quota.Options{Slack: slack, ExcessFraction: excessFraction, Window: window, StartedAgain: upAt-startedAt < window})
			}
			addWorkspace(f.startedAt, f, w)
			startedAt, restartAt = upAt, at+every
		}
		if at < upAt {
			continue
		}
		if at%(100*time.Millisecond) == 0 && (upAt == 0 || at > upAt+300*time.Millisecond) {
			f.exchangeReports(now)
		}
		_, _, taken := takeAll(now, w, f.limiters, drawArrivals(rng, tick, size, 8*w.QuotaPerSecond))
		if taken > 0 {
			uses = append(uses, use{at, taken})
		}
	}
	return uses
}

// Guards against a workspace that gets what all gateways assume at a start once for each of many
// starts in a window.
func TestStartsInSeriesStayWithinTheAllowedExcess(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second, 7 * time.Second} {
		for _, size := range []int{1, 4, 68} {
			for _, perSecond := range []float64{36_000, 150_000, 600_000} {
				t.Run(fmt.Sprintf("%d gateways each %s, %.0f a second", size, every, perSecond), func(t *testing.T) {
					w := &catalog.Workspace{Name: "hot", QuotaPerSecond: perSecond, QuotaBurst: perSecond, QuotaCountsTokens: true}
					most := mostIn(window, playSeries(w, size, every))
					require.LessOrEqual(t, most, (1+excessFraction)*(window.Seconds()*w.QuotaPerSecond+w.QuotaBurst)+slack)
				})
			}
		}
	}
}
