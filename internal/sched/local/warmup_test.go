package local_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/local"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// waits implements local.Limiter by the wait of each upstream.
type waits map[string]time.Duration

func (w waits) Wait(_ time.Time, upstream roster.Upstream) time.Duration { return w[upstream.ID] }

// Guards against a choice among plain upstreams that ignores a warm-up or the failure
// domains that may get the request. If only the warm-up keeps the request from being sent,
// its caller is told when the next one may be.
func TestChoiceRespectsWarmUpAndDomains(t *testing.T) {
	ready := func(string) []roster.Upstream {
		return []roster.Upstream{
			{ID: "cold", Domain: "a", Slots: 6}, {ID: "colder", Domain: "a", Slots: 6}, {ID: "warm", Domain: "b", Slots: 6},
		}
	}
	chooser := local.New("a", ready, func() int { return 1 })
	chooser.SetLimiter(waits{"cold": 300 * time.Millisecond, "colder": time.Second})
	now := time.Now()
	for range 5 {
		placement, err := chooser.Pick(context.Background(), now, flow.PlacementRequest{Service: "s"})
		require.NoError(t, err)
		require.Equal(t, "warm", placement.Upstream().ID)
		placement.Release(now, flow.Answered, 0)
	}
	_, err := chooser.Pick(context.Background(), now, flow.PlacementRequest{Service: "s", Domains: []string{"a"}})
	require.ErrorContains(t, err, "warming up")
	require.Equal(t, 300*time.Millisecond, flow.RetryAfter(err))
}
