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

// Guards against gateways that hear of no upstream any more once the store has come
// back from an older copy, whose revisions are lower than what they know.
func TestUpstreamsAreFollowedAfterTheStoreComesBackOlder(t *testing.T) {
	const fresh = "10.0.1.99:80"
	var outcomes []outcome
	var onFresh, onGone int
	play(t, func(f *fleet) {
		f.serve(fresh, f.engine(fresh))
		register := func(id, at string) {
			f.store.Put("servers/"+id, fmt.Sprintf(`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready"}`, at, slots))
		}
		before := f.store.Copy()
		for range 100 {
			register("engine-0", engineAt(0))
		}
		bubble.Pass(2 * time.Second)
		f.store.SetFault(standin.Busy)
		bubble.Pass(500 * time.Millisecond)
		f.store.Restore(before)
		f.store.SetFault(standin.None)
		// The workers write again; one is replaced.
		for i := 1; i < engines; i++ {
			register(fmt.Sprintf("engine-%d", i), engineAt(i))
		}
		f.store.Remove("servers/engine-0")
		register("engine-new", fresh)
		bubble.Pass(3 * time.Second)
		f.mu.Lock()
		clear(f.most)
		f.mu.Unlock()
		for range 3 {
			outcomes = append(outcomes, f.calls(engines*slots, "/old/x")...)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		onFresh, onGone = f.most[fresh], f.most[engineAt(0)]
	})
	for _, o := range outcomes {
		require.NoError(t, o.err)
		require.Equal(t, http.StatusOK, o.status)
	}
	require.Positive(t, onFresh, "the new engine gets work")
	require.Zero(t, onGone, "the engine that has gone gets none")
}
