package permit_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/sched/local"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// Guards against a stream that is broken off for certain because a gateway that chooses
// without the scheduler refuses its rest, though that may still end.
func TestRestThatMayStillEndIsPlacedWithoutScheduler(t *testing.T) {
	for _, c := range []struct {
		name      string
		plain     bool
		scheduler string
		took      time.Duration
	}{
		{"scheduler silent", false, "other", 40 * time.Millisecond},
		{"no scheduler", false, "", 0},
		{"plain service", true, "other", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				p := newStopPicks(c.plain)
				p.scheduler = c.scheduler
				startedAt := time.Now()
				require.NoError(t, p.pick(t, 360, 100*time.Millisecond, flow.EndPreferred))
				require.Equal(t, c.took, time.Since(startedAt))
			})
		})
	}
}

// Guards against a caller that waits before a stopping gateway refuses its stream, or is
// told to wait before it tries another one.
func TestStreamThatCannotEndIsRefusedAtOnce(t *testing.T) {
	for _, plain := range []bool{true, false} {
		for _, e := range []flow.EndConstraint{flow.EndPreferred, flow.EndRequired} {
			bubble.Run(t, func(t *testing.T) {
				p := newStopPicks(plain)
				startedAt := time.Now()
				err := p.pick(t, 2940, 60*time.Millisecond, e)
				require.ErrorContains(t, err, "shuts down")
				require.Zero(t, flow.RetryAfter(err))
				require.Zero(t, time.Since(startedAt))
				require.Empty(t, p.asks)
			})
		}
	}
}

// twoEngines is a client without a scheduler that knows two engines, and how long a stream
// takes on each if idle.
func twoEngines(slow, fast time.Duration) *permit.Client {
	engines := []roster.Upstream{{ID: "slow", Domain: "a", Slots: 4, State: roster.Ready}, {ID: "fast", Domain: "a", Slots: 4, State: roster.Ready}}
	c := permit.New(permit.Dependencies{
		Node: "gateway", Domain: "a", Scheduler: func(time.Time) string { return "" }, Send: discardMessage,
		Local: local.New("a", func(string) []roster.Upstream { return engines }, func() int { return 1 }), Upstream: noUpstream,
		Service: engineService, Metrics: noMetrics{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	setStreamTime(c, map[string]time.Duration{"slow": slow, "fast": fast, "": fast})
	return c
}

func pickRest(t *testing.T, c *permit.Client, e flow.EndConstraint) (flow.Placement, error) {
	now := time.Now()
	return c.Pick(t.Context(), now, flow.PlacementRequest{ID: "one", Service: "s", Deadline: now.Add(time.Second), EndConstraint: e})
}

// Guards against a stream that is placed without the scheduler on an engine that certainly
// does not end it, beside one that may, and against requests that count forever at engines
// that were passed over.
func TestLocalChoicePassesOverEnginesThatAreTooSlow(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		c := twoEngines(20*time.Second, 2*time.Second)
		for range 10 {
			placement, err := pickRest(t, c, flow.EndPreferred)
			require.NoError(t, err)
			require.Equal(t, "fast", placement.Upstream().ID)
			placement.Release(time.Now(), flow.Answered, 0)
		}
		chosen := map[string]int{}
		for range 4 {
			placement, err := pickRest(t, c, flow.EndUnconstrained)
			require.NoError(t, err)
			chosen[placement.Upstream().ID]++
		}
		require.Equal(t, map[string]int{"slow": 2, "fast": 2}, chosen)
	})
}

// Guards against a stream for which no engine is fast enough, and which waits for another.
func TestLocalChoiceAmongEnginesThatAreAllTooSlow(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		c := twoEngines(20*time.Second, 15*time.Second)
		setStreamTime(c, map[string]time.Duration{"slow": 20 * time.Second, "fast": 15 * time.Second, "": time.Second})
		startedAt := time.Now()
		_, err := pickRest(t, c, flow.EndPreferred)
		require.ErrorContains(t, err, "shuts down")
		require.Zero(t, flow.RetryAfter(err))
		require.Zero(t, time.Since(startedAt))
	})
}
