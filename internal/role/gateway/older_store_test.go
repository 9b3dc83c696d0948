package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

// Guards against gateways that ignore all changes of upstreams after the store was
// restored from an older copy, whose revisions are lower than those they know.
func TestUpstreamsAreFollowedAfterTheStoreComesBackOlder(t *testing.T) {
	const newEngine = "10.0.1.99:80"
	var outcomes []outcome
	var peakNew, peakRemoved int
	runFleet(t, func(f *fleet) {
		f.serve(newEngine, f.engine(newEngine))
		register := func(id, address string) {
			f.store.Put("servers/"+id, fmt.Sprintf(`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready"}`, address, slots))
		}
		olderCopy := f.store.Copy()
		for range 100 {
			register("engine-0", engineAddress(0))
		}
		bubble.Sleep(2 * time.Second)
		f.store.SetFault(standin.Busy)
		bubble.Sleep(500 * time.Millisecond)
		f.store.Restore(olderCopy)
		f.store.SetFault(standin.None)
		// The engines renew their registrations; one is replaced.
		for i := 1; i < engines; i++ {
			register(fmt.Sprintf("engine-%d", i), engineAddress(i))
		}
		f.store.Remove("servers/engine-0")
		register("engine-new", newEngine)
		bubble.Sleep(3 * time.Second)
		f.mu.Lock()
		clear(f.peakLoad)
		f.mu.Unlock()
		for range 3 {
			outcomes = append(outcomes, f.callAll(engines*slots, "/old/x")...)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		peakNew, peakRemoved = f.peakLoad[newEngine], f.peakLoad[engineAddress(0)]
	})
	for _, o := range outcomes {
		require.NoError(t, o.err)
		require.Equal(t, http.StatusOK, o.status)
	}
	require.Positive(t, peakNew, "the new engine must get requests")
	require.Zero(t, peakRemoved, "the removed engine must get no requests")
}
