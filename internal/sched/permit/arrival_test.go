package permit_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against a request that asks a new scheduler in the instant of a change, before that
// knows the slots of the other gateways, and against one that waits without need.
func TestRequestThatArrivesDuringAChangeWaitsForReports(t *testing.T) {
	for _, c := range []struct {
		name string
		// Changed is when the gateway hears of the change, arrives when the request comes.
		changed, arrives, asked time.Duration
	}{
		{"in the instant of the change", 100 * time.Millisecond, 100 * time.Millisecond, 130 * time.Millisecond},
		{"just after it", 100 * time.Millisecond, 101 * time.Millisecond, 130 * time.Millisecond},
		{"when the reports should be in", 100 * time.Millisecond, 130 * time.Millisecond, 130 * time.Millisecond},
		{"later", 100 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				r := newReplacement()
				ctx, cancel := context.WithCancel(t.Context())
				startedAt := time.Now()
				bubble.Sleep(c.changed)
				r.replace("new")
				bubble.Sleep(c.arrives - c.changed)
				result := r.pick(ctx, flow.EndUnconstrained)
				bubble.Sleep(c.asked - c.arrives + time.Microsecond)
				require.Equal(t, []string{"held 0", "ask 1"}, r.kinds("new"))
				require.Equal(t, c.asked, r.lastAskedAt().Sub(startedAt))
				cancel()
				require.Error(t, (<-result).err)
			})
		})
	}
}

// Guards against a gateway that asks a new scheduler which it has selected, but to which it
// has not reported its own slots yet.
func TestRequestThatFindsANewSchedulerReportsSlotsFirst(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newReplacement()
		held := r.pick(t.Context(), flow.EndUnconstrained)
		bubble.Sleep(10 * time.Millisecond)
		r.grant("old", 1)
		first := <-held
		require.NoError(t, first.err)
		r.mu.Lock()
		r.scheduler = "new"
		r.mu.Unlock()
		ctx, cancel := context.WithCancel(t.Context())
		result := r.pick(ctx, flow.EndUnconstrained)
		bubble.Sleep(40 * time.Millisecond)
		require.Equal(t, []string{"held 1", "ask 2"}, r.kinds("new"))
		cancel()
		require.Error(t, (<-result).err)
		first.placement.Release(time.Now(), flow.Answered, 0)
	})
}

// Guards against a request that is not asked for, or is refused, while the scheduler changes
// again and again.
func TestRequestThatArrivesDuringManyChangesAsksSoon(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newReplacement()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				r.replace([]string{"new", "old"}[i%2])
				bubble.Sleep(10 * time.Millisecond)
			}
		}()
		bubble.Sleep(5 * time.Millisecond)
		startedAt := time.Now()
		result := r.pick(ctx, flow.EndUnconstrained)
		bubble.Sleep(100 * time.Millisecond)
		require.Equal(t, 90*time.Millisecond, r.lastAskedAt().Sub(startedAt))
		cancel()
		require.Error(t, (<-result).err)
		bubble.Sleep(10 * time.Millisecond)
	})
}

// Guards against engines that get more requests from their scheduler than they have slots
// because requests arrive in the instant of a change, or just before or after it.
func TestRequestsThatArriveDuringChangesOverfillNoEngine(t *testing.T) {
	for seed := range uint64(100) {
		bubble.Run(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c := newChanges(ctx, t, seed)
			c.replace(0)
			bubble.Sleep(2 * maxDelay)
			requests := 0
			var running sync.WaitGroup
			arrive := func(count int) {
				for range count {
					id, length := fmt.Sprint("request-", requests), time.Duration(150+c.intN(250))*time.Millisecond
					requests++
					i := c.intN(randomGateways)
					running.Go(func() { c.run(i, id, length) })
				}
			}
			for round := range 4 {
				arrive(randomEngines * randomSlots)
				bubble.Sleep(100 * time.Millisecond)
				c.replace((round + 1) % randomSchedulers)
				for range 3 {
					arrive(1 + c.intN(2))
					bubble.Sleep(time.Duration(c.intN(int(2*maxDelay/time.Millisecond))) * time.Millisecond)
				}
				bubble.Sleep(3 * time.Second)
			}
			running.Wait()
			require.Empty(t, c.overfilled, "seed %d", seed)
			require.Len(t, c.ended, requests, "seed %d", seed)
			requireNothingLeft(t, c, seed)
		})
	}
}
