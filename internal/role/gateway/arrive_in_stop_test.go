package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against engines that get more requests than they have slots because a request
// arrives in the instant in which the scheduler begins to stop, or just after it: the
// successor is asked before a gateway that hears of the stop later has reported its slots.
func TestRequestsThatArriveInAStopOverfillNoEngine(t *testing.T) {
	for late := range gateways {
		for _, lateBy := range []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond} {
			for _, after := range []time.Duration{0, time.Microsecond, time.Millisecond, 5 * time.Millisecond, 15 * time.Millisecond} {
				t.Run(fmt.Sprintf("gateway %d hears of the stop %s late, requests after %s", late, lateBy, after), func(t *testing.T) {
					outcomes, peak := arriveInAStop(t, late, lateBy, after)
					require.Equal(t, len(outcomes), countServed(outcomes))
					require.LessOrEqual(t, peak, slots)
				})
			}
		}
	}
}

// arriveInAStop stops the scheduler while all slots are in use, and makes a call at each
// gateway some time later. News reach the late gateway lateBy later than the others. It
// returns the outcomes at the gateways that go on, and the largest number of requests on one
// engine.
func arriveInAStop(t *testing.T, late int, lateBy, after time.Duration) (outcomes []outcome, peak int) {
	outcomes = make([]outcome, gateways-1)
	runFleet(t, func(f *fleet) {
		f.warmUp()
		scheduler := f.scheduler()
		clear(f.peakLoad)
		var wg sync.WaitGroup
		for n := range engines * slots {
			wg.Go(func() { f.call(n%gateways, "/old/x", fmt.Sprintf("occupies-%d", n)) })
		}
		bubble.Sleep(20 * time.Millisecond)
		if lateBy > 0 {
			f.network.Freeze(linkAddress(late), lateBy)
		}
		go f.stop(scheduler)
		bubble.Sleep(after)
		for n := range outcomes {
			wg.Go(func() { outcomes[n] = f.call((scheduler+1+n)%gateways, "/old/x", fmt.Sprintf("arrives-%d", n)) })
		}
		wg.Go(func() { f.call(scheduler, "/old/x", "arrives-at-scheduler") })
		wg.Wait()
		for _, load := range f.peakLoad {
			peak = max(peak, load)
		}
		bubble.Sleep(10 * time.Second)
	})
	return outcomes, peak
}
