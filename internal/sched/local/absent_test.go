package local_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/local"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// Guards against refusing requests when all upstreams of a plain service are replaced at
// once, and against holding callers while the service has no upstream.
func TestRequestWaitsWhileUpstreamsAreReplaced(t *testing.T) {
	for _, c := range []struct {
		name string
		// absent is how long the service has no upstream. later is the time from then
		// until the request arrives.
		absent, later, deadline time.Duration
		served                  bool
		took                    time.Duration
	}{
		{name: "replaced at once", absent: 200 * time.Millisecond, deadline: time.Second, served: true, took: 200 * time.Millisecond},
		{name: "gone", absent: time.Minute, deadline: 10 * time.Second, took: time.Second},
		{name: "gone for a while", absent: time.Minute, later: 2 * time.Second, deadline: 10 * time.Second},
		{name: "caller leaves", absent: time.Minute, deadline: 300 * time.Millisecond, took: 300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				goneAt := time.Now().Add(time.Second)
				ready := func(string) []roster.Upstream {
					if now := time.Now(); !now.Before(goneAt) && now.Before(goneAt.Add(c.absent)) {
						return nil
					}
					return []roster.Upstream{{ID: "u", Service: "bookings", Slots: 6, State: roster.Ready}}
				}
				chooser := local.New("a", ready, func() int { return 1 })
				pick := func() (flow.Placement, error) {
					now := time.Now()
					ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
					defer cancel()
					return chooser.Pick(ctx, now, flow.PlacementRequest{ID: "one", Service: "bookings", Deadline: now.Add(c.deadline)})
				}
				for time.Now().Before(goneAt) {
					placement, err := pick()
					require.NoError(t, err)
					placement.Release(time.Now(), flow.Answered, 0)
					<-time.After(10 * time.Millisecond)
				}
				<-time.After(c.later)
				startedAt := time.Now()
				_, err := pick()
				require.InDelta(t, c.took, time.Since(startedAt), float64(20*time.Millisecond))
				if c.served {
					require.NoError(t, err)
					return
				}
				require.True(t, errorx.IsOfType(err, flow.NoPlacement))
			})
		})
	}
}
