package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against a request that is queued at a scheduler which begins to stop, and is
// refused after half a second while the engines are idle: the slots that become free are
// reported to its successor.
func TestRequestQueuedAtAStoppingSchedulerIsServed(t *testing.T) {
	for _, c := range []struct {
		name  string
		stops bool
	}{{"the scheduler stops", true}, {"nobody stops", false}} {
		t.Run(c.name, func(t *testing.T) {
			var o outcome
			runFleet(t, func(f *fleet) {
				f.warmUp()
				scheduler := f.scheduler()
				for n := range engines * slots {
					go f.call((scheduler+1)%gateways, "/old/x", fmt.Sprintf("occupies-%d", n))
				}
				bubble.Sleep(20 * time.Millisecond)
				if c.stops {
					time.AfterFunc(10*time.Millisecond, func() { f.stop(scheduler) })
				}
				o = f.call((scheduler+2)%gateways, "/old/x", "queued")
				bubble.Sleep(10 * time.Second)
			})
			t.Logf("caller: status %d, %s, retry after %s", o.status, o.took, o.retryAfter)
			require.NoError(t, o.err)
			require.Equal(t, http.StatusOK, o.status)
		})
	}
}

// Guards against requests that move to the successor of a stopping scheduler and get slots
// there which are in use: the successor must know the slots of all gateways first.
func TestRequestsMovedToASuccessorOverfillNoEngine(t *testing.T) {
	for _, queued := range []int{1, 4, 8} {
		for _, stopsAfter := range []time.Duration{0, 1, 3, 5, 10, 50, 100, 200} {
			t.Run(fmt.Sprintf("%d queued, stop after %d ms", queued, stopsAfter), func(t *testing.T) {
				outcomes, peak := stopWhileQueued(t, queued, stopsAfter*time.Millisecond)
				require.Equal(t, queued, countServed(outcomes))
				require.LessOrEqual(t, peak, slots)
			})
		}
	}
}

// stopWhileQueued stops the scheduler some time after requests were queued at it. It
// returns their outcomes and the largest number of requests on one engine.
func stopWhileQueued(t *testing.T, queued int, stopsAfter time.Duration) (outcomes []outcome, peak int) {
	outcomes = make([]outcome, queued)
	runFleet(t, func(f *fleet) {
		f.warmUp()
		scheduler := f.scheduler()
		clear(f.peakLoad)
		var wg sync.WaitGroup
		for n := range engines * slots {
			wg.Go(func() { f.call(n%gateways, "/old/x", fmt.Sprintf("occupies-%d", n)) })
		}
		bubble.Sleep(20 * time.Millisecond)
		time.AfterFunc(stopsAfter, func() { f.stop(scheduler) })
		for n := range outcomes {
			wg.Go(func() { outcomes[n] = f.call((scheduler+1+n%2)%gateways, "/old/x", fmt.Sprintf("queued-%d", n)) })
		}
		wg.Wait()
		for _, load := range f.peakLoad {
			peak = max(peak, load)
		}
		bubble.Sleep(10 * time.Second)
	})
	return outcomes, peak
}
