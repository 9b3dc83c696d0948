package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/upstream/limit"
)

var start = time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)

// engine is an engine whose token gap grows linearly with the number of running
// requests.
type engine struct {
	baseGap time.Duration
	knee    int
}

func (e engine) gapAt(running int) time.Duration {
	return time.Duration(float64(e.baseGap) * (1 + float64(running-1)/float64(e.knee)))
}

// runSaturated lets a saturated engine run for a while at whatever the limit says.
func runSaturated(e engine, l *limit.Limit, now time.Time, seconds int) time.Time {
	for range seconds * 20 {
		now = now.Add(50 * time.Millisecond)
		l.Saturated()
		l.ObserveTokenGap(now, e.gapAt(l.Current()))
		l.ObserveFirstToken(now, e.gapAt(l.Current()))
	}
	return now
}

// A constant limit for all hardware leaves fast engines idle and makes tokens on
// slow ones too slow. For each hardware generation the limit must converge to
// gaps near the target, but not above it.
func TestLimitConvergesPerHardwareGeneration(t *testing.T) {
	target := 74 * time.Millisecond
	var limits []int
	for _, gap := range []time.Duration{10, 20, 30, 50} {
		e := engine{baseGap: gap * time.Millisecond, knee: 8}
		l := limit.New(limit.NewTargets(target, time.Second), 4, 1, 128)
		runSaturated(e, l, start, 120)
		gapAtLimit := e.gapAt(l.Current())
		require.LessOrEqual(t, gapAtLimit, target*11/10, "gap %v", gap)
		require.GreaterOrEqual(t, gapAtLimit, target*6/10, "gap %v", gap)
		limits = append(limits, l.Current())
	}
	require.IsDecreasing(t, limits)
}

// The limit must drop when an engine becomes three times as slow.
func TestLimitDropsWhenEngineSlows(t *testing.T) {
	l := limit.New(limit.NewTargets(74*time.Millisecond, time.Second), 4, 1, 128)
	now := runSaturated(engine{baseGap: 15 * time.Millisecond, knee: 8}, l, start, 60)
	before := l.Current()
	slow := engine{baseGap: 45 * time.Millisecond, knee: 8}
	runSaturated(slow, l, now, 20)
	require.Less(t, l.Current(), before/2)
	require.LessOrEqual(t, slow.gapAt(l.Current()), 82*time.Millisecond)
}

// A limit that is never reached must not grow, because measurements say nothing
// about a higher one.
func TestUnreachedLimitDoesNotGrow(t *testing.T) {
	l := limit.New(limit.NewTargets(74*time.Millisecond, time.Second), 4, 1, 128)
	now := start
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		l.ObserveTokenGap(now, time.Millisecond)
	}
	require.Equal(t, 4, l.Current())
}
