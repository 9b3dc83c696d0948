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

// rewriteTime is how long the platform's workers take to register again.
const rewriteTime = 2 * time.Second

// comeBack has the store away for a moment and back as the copy.
func (f *fleet) comeBack(olderCopy *standin.Copy) {
	f.store.SetFault(standin.Busy)
	bubble.Sleep(500 * time.Millisecond)
	f.store.Restore(olderCopy)
	f.store.SetFault(standin.None)
}

// lose writes revisions that the copy does not have.
func (f *fleet) lose(revisions int) {
	for range revisions {
		f.register(0, "a", "")
	}
}

// requireCalls makes calls at the gateways, and checks that all are served by the engines
// of the addresses.
func (f *fleet) requireCalls(addresses ...string) {
	f.t.Helper()
	f.mu.Lock()
	clear(f.arrivals)
	f.mu.Unlock()
	const count = gateways * 4
	for i := range count {
		o := f.call(i%gateways, "/old/x", fmt.Sprintf("e%d-%d", time.Now().UnixNano(), i))
		require.Equal(f.t, http.StatusOK, o.status)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for address := range f.arrivals {
		require.Contains(f.t, addresses, address)
	}
}

// Guards against gateways that follow one return of the store, and not the next one.
func TestUpstreamsAreFollowedAfterTheStoreComesBackOlderTwice(t *testing.T) {
	runFleet(t, func(f *fleet) {
		olderCopy := f.store.Copy()
		f.lose(100)
		bubble.Sleep(time.Second)
		f.comeBack(olderCopy)
		f.lose(50)
		bubble.Sleep(time.Second)
		f.comeBack(olderCopy)
		f.store.Remove("servers/engine-0")
		f.store.Remove("servers/engine-1")
		bubble.Sleep(5 * time.Second)
		f.requireCalls(engineAddress(2), engineAddress(3))
		f.register(1, "a", "")
		f.store.Remove("servers/engine-2")
		f.store.Remove("servers/engine-3")
		bubble.Sleep(time.Second)
		f.requireCalls(engineAddress(1))
	})
}

// Guards against a gateway that misses what was written before it saw the new era: its watch
// goes on from a revision that the new era has passed, and gets no 410.
func TestUpstreamsAreFollowedWhenTheNewEraHasPassedTheWatch(t *testing.T) {
	runFleet(t, func(f *fleet) {
		olderCopy := f.store.Copy()
		f.lose(10)
		bubble.Sleep(time.Second)
		for i := range gateways {
			f.network.Vanish(storeAddress(i))
		}
		f.store.Restore(olderCopy)
		f.store.Remove("servers/engine-1")
		f.lose(100)
		for i := range gateways {
			f.network.Restore(storeAddress(i))
		}
		bubble.Sleep(5 * time.Second)
		f.requireCalls(engineAddress(0), engineAddress(2), engineAddress(3))
	})
}

// Guards against gateways that are told of upstreams by peers of another era: those that
// the store does not answer follow the others into the new era, and nobody goes back.
func TestGatewaysSeeTheNewEraAtDifferentTimes(t *testing.T) {
	runFleet(t, func(f *fleet) {
		const cutFromStore = 2
		olderCopy := f.store.Copy()
		f.lose(100)
		bubble.Sleep(time.Second)
		f.network.Vanish(storeAddress(cutFromStore))
		f.comeBack(olderCopy)
		f.store.Remove("servers/engine-0")
		f.store.Remove("servers/engine-1")
		bubble.Sleep(5 * time.Second)
		f.requireCalls(engineAddress(2), engineAddress(3))
		f.network.Vanish(linkAddress(cutFromStore))
		bubble.Sleep(time.Second)
		for i := range engines {
			require.Equal(t, http.StatusOK, f.call(cutFromStore, "/old/x", fmt.Sprint("alone", i)).status)
		}
		require.Empty(t, f.arrivals[engineAddress(0)])
		require.Empty(t, f.arrivals[engineAddress(1)])
		f.network.Restore(storeAddress(cutFromStore))
		f.network.Restore(linkAddress(cutFromStore))
		f.store.Remove("servers/engine-2")
		bubble.Sleep(5 * time.Second)
		f.requireCalls(engineAddress(3))
	})
}

// Guards against callers that are refused after the store came back from a copy that is
// older than the registrations: upstreams have the time to register again.
func TestUpstreamsMissingFromTheCopyServe(t *testing.T) {
	runFleet(t, func(f *fleet) {
		for i := range engines {
			f.store.Remove(fmt.Sprint("servers/engine-", i))
		}
		olderCopy := f.store.Copy()
		for i := range engines {
			f.register(i, "a", "")
		}
		bubble.Sleep(3 * time.Second)
		f.comeBack(olderCopy)
		returned := time.Now()
		for time.Since(returned) < rewriteTime {
			require.Equal(t, http.StatusOK, f.call(0, "/old/x", fmt.Sprint("m", time.Now().UnixNano())).status)
		}
		for i := range engines {
			f.register(i, "a", "")
		}
		bubble.Sleep(3 * time.Second)
		f.requireCalls(engineAddress(0), engineAddress(1), engineAddress(2), engineAddress(3))
	})
}

// Guards against requests to an upstream that was leaving: the copy lists it as ready.
func TestUpstreamThatWasLeavingGetsNothingFromTheCopy(t *testing.T) {
	runFleet(t, func(f *fleet) {
		olderCopy := f.store.Copy()
		f.store.Put("servers/engine-0", fmt.Sprintf(`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"draining"}`, engineAddress(0), slots))
		f.store.Remove("servers/engine-1")
		bubble.Sleep(2 * time.Second)
		f.requireCalls(engineAddress(2), engineAddress(3))
		f.comeBack(olderCopy)
		for range 4 {
			f.requireCalls(engineAddress(2), engineAddress(3))
		}
		f.register(1, "a", "")
		f.store.Remove("servers/engine-2")
		f.store.Remove("servers/engine-3")
		bubble.Sleep(3 * time.Second)
		f.requireCalls(engineAddress(1))
	})
}

// Guards against requests to an evacuated domain: the copy is older than the order, which
// the operators give again.
func TestEvacuationHoldsWhenTheStoreComesBackOlder(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.splitDomains()
		olderCopy := f.store.Copy()
		f.store.Put("op/evacuate/b", "{}")
		bubble.Sleep(evacuationLimit)
		f.comeBack(olderCopy)
		returned := time.Now()
		for time.Since(returned) < rewriteTime {
			f.requireCalls(engineAddress(0), engineAddress(1))
		}
		f.store.Put("op/evacuate/b", "{}")
		bubble.Sleep(evacuationLimit)
		f.requireServedOnlyBy([]int{0, 1, 2}, inDomainA)
		f.store.Remove("op/evacuate/b")
		bubble.Sleep(evacuationLimit)
		f.requireServedOnlyBy([]int{0, 1, 2}, anyDomain)
	})
}

// Guards against a configuration that is taken back, and keys that are valid again, because
// the copy holds an older one; a gateway that starts meanwhile has it from its peers.
func TestConfigurationIsNotTakenBackByAnOlderCopy(t *testing.T) {
	runFleet(t, func(f *fleet) {
		olderCopy := f.store.Copy()
		f.putConfig(2, "/new/")
		bubble.Sleep(3 * time.Second)
		f.comeBack(olderCopy)
		f.serve(storeAddress(gateways), f.store)
		f.start(gateways)
		defer f.stop(gateways)
		bubble.Sleep(3 * time.Second)
		for i := range gateways + 1 {
			require.Equal(t, http.StatusOK, f.call(i, "/new/x", fmt.Sprint("new", i)).status)
			require.Equal(t, http.StatusNotFound, f.call(i, "/old/x", fmt.Sprint("old", i)).status)
		}
		f.putConfig(3, "/old/")
		bubble.Sleep(3 * time.Second)
		for i := range gateways + 1 {
			require.Equal(t, http.StatusOK, f.call(i, "/old/x", fmt.Sprint("again", i)).status)
		}
	})
}

// Guards against a scheduler that takes its learned speeds for stored although the store lost
// them, so that the next one begins without them.
func TestEngineSpeedsAreWrittenAgainAfterTheStoreLostThem(t *testing.T) {
	runFleet(t, func(f *fleet) {
		olderCopy := f.store.Copy()
		f.callAll(engines*slots, "/old/x")
		bubble.Sleep(2 * time.Second)
		written := f.store.Value("engine-speeds")
		require.NotEmpty(t, written)
		for range 2 {
			f.comeBack(olderCopy)
			require.Empty(t, f.store.Value("engine-speeds"))
			bubble.Sleep(8 * time.Second)
			require.Equal(t, written, f.store.Value("engine-speeds"))
		}
	})
}
