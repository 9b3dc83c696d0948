package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/upstream/limit"
)

var start = time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)

// engine is an engine whose gap grows with what runs; the limit must find how
// much it bears.
type engine struct {
	gap  time.Duration
	knee int
}

func (e engine) at(running int) time.Duration {
	return time.Duration(float64(e.gap) * (1 + float64(running-1)/float64(e.knee)))
}

// converge lets a saturated engine run for a while at whatever the limit says.
func converge(e engine, l *limit.Limit, now time.Time, seconds int) time.Time {
	for range seconds * 20 {
		now = now.Add(50 * time.Millisecond)
		l.Saturated()
		l.ObserveGap(now, e.at(l.Current()))
		l.ObserveFirst(now, e.at(l.Current()))
	}
	return now
}

// One constant for all hardware left the fast engines idle and made everybody
// on the slow ones wait for each word.
// Each generation must be found its own limit: gaps near the target, not above.
func TestEachGenerationFindsItsOwnLimit(t *testing.T) {
	target := 74 * time.Millisecond
	var found []int
	for _, gap := range []time.Duration{10, 20, 30, 50} {
		e := engine{gap: gap * time.Millisecond, knee: 8}
		l := limit.New(limit.NewTargets(target, time.Second), 4, 1, 128)
		converge(e, l, start, 120)
		reached := e.at(l.Current())
		require.LessOrEqual(t, reached, target*11/10, "gap %v", gap)
		require.GreaterOrEqual(t, reached, target*6/10, "gap %v", gap)
		found = append(found, l.Current())
	}
	require.IsDecreasing(t, found)
}

// An engine slows down threefold in the middle of the evening.
func TestLimitFallsWhenTheEngineSlows(t *testing.T) {
	l := limit.New(limit.NewTargets(74*time.Millisecond, time.Second), 4, 1, 128)
	now := converge(engine{gap: 15 * time.Millisecond, knee: 8}, l, start, 60)
	before := l.Current()
	slow := engine{gap: 45 * time.Millisecond, knee: 8}
	converge(slow, l, now, 20)
	require.Less(t, l.Current(), before/2)
	require.LessOrEqual(t, slow.at(l.Current()), 82*time.Millisecond)
}

// A limit that nobody reaches must not grow: nothing was learned about it.
func TestIdleLimitStays(t *testing.T) {
	l := limit.New(limit.NewTargets(74*time.Millisecond, time.Second), 4, 1, 128)
	now := start
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		l.ObserveGap(now, time.Millisecond)
	}
	require.Equal(t, 4, l.Current())
}
