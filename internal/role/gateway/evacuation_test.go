package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

// evacuationLimit is the time within which an evacuation must be carried out.
const evacuationLimit = 5 * time.Second

// register registers an engine in a failure domain, with further fields.
func (f *fleet) register(engine int, domain, more string) {
	f.store.Put(fmt.Sprint("servers/engine-", engine), fmt.Sprintf(
		`{"service":"tutor","address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready"%s}`, engineAddress(engine), domain, f.slots, more))
}

// splitDomains puts the second half of the engines into the domain b.
func (f *fleet) splitDomains() {
	for i := engines / 2; i < engines; i++ {
		f.register(i, "b", "")
	}
	bubble.Sleep(2 * time.Second)
}

// requireServedOnlyBy makes calls at the gateways, and checks that all are served and
// which engines got any.
func (f *fleet) requireServedOnlyBy(gatewaysCalled []int, served func(engine int) bool) {
	f.t.Helper()
	f.mu.Lock()
	clear(f.arrivals)
	f.mu.Unlock()
	var wg sync.WaitGroup
	for n := range engines * slots / 2 {
		wg.Go(func() {
			o := f.call(gatewaysCalled[n%len(gatewaysCalled)], "/old/x", fmt.Sprintf("d%d-%d", time.Now().UnixNano(), n))
			require.Equal(f.t, http.StatusOK, o.status)
		})
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range engines {
		require.Equal(f.t, served(i), len(f.arrivals[engineAddress(i)]) > 0, "engine %d", i)
	}
}

func inDomainA(engine int) bool { return engine < engines/2 }

func inDomainB(engine int) bool { return !inDomainA(engine) }

func anyDomain(int) bool { return true }

// Guards against requests to an evacuated domain from any gateway: also from one that the
// store does not answer, and from one that chooses without the scheduler. Once the
// evacuation ends, the domain serves again.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.splitDomains()
		const cutFromStore, cutFromPeers = 1, 2
		f.network.Vanish(storeAddress(cutFromStore))
		f.store.Put("op/evacuate/b", "{}")
		bubble.Sleep(evacuationLimit)
		f.network.Vanish(linkAddress(cutFromPeers))
		f.requireServedOnlyBy([]int{0, cutFromStore, cutFromPeers}, inDomainA)
		f.store.Remove("op/evacuate/b")
		bubble.Sleep(evacuationLimit)
		f.requireServedOnlyBy([]int{0, cutFromStore}, anyDomain)
	})
}

// Guards against requests to an evacuated domain from a gateway that neither the store nor
// a scheduler tells of it: peers told of the evacuation while they were heard.
func TestPeersTellOfAnEvacuation(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.splitDomains()
		const cutOff = 2
		f.network.Vanish(storeAddress(cutOff))
		bubble.Sleep(evacuationLimit)
		f.store.Put("op/evacuate/b", "{}")
		bubble.Sleep(evacuationLimit)
		for i := range gateways {
			f.network.Vanish(linkAddress(i))
		}
		bubble.Sleep(time.Second)
		f.requireServedOnlyBy([]int{cutOff}, inDomainA)
		f.network.Restore(storeAddress(cutOff))
		for i := range gateways {
			f.network.Restore(linkAddress(i))
		}
		bubble.Sleep(time.Second)
	})
}

// Guards against an evacuation that ends because the store is away or forgets its history.
func TestEvacuationHoldsWhileTheStoreIsAway(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.splitDomains()
		f.store.Put("op/evacuate/b", "{}")
		bubble.Sleep(evacuationLimit)
		for _, fault := range []standin.Fault{standin.NoResponse, standin.Busy, standin.None} {
			f.store.SetFault(fault)
			bubble.Sleep(4 * time.Second)
			f.store.Compact()
			f.requireServedOnlyBy([]int{0, 1, 2}, inDomainA)
		}
	})
}

// Guards against an order that is not carried out because its value cannot be read.
func TestUnreadableEvacuationIsCarriedOut(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.splitDomains()
		f.store.Put("op/evacuate/b", "not JSON")
		bubble.Sleep(evacuationLimit)
		f.requireServedOnlyBy([]int{0, 1, 2}, inDomainA)
	})
}

// Guards against a gateway that starts during an evacuation and does not know of it.
func TestGatewayThatStartsDuringAnEvacuationKnowsIt(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.splitDomains()
		f.store.Put("op/evacuate/b", "{}")
		bubble.Sleep(evacuationLimit)
		f.serve(storeAddress(gateways), f.store)
		f.start(gateways)
		defer f.stop(gateways)
		var wg sync.WaitGroup
		for round := range 50 {
			for i := range 4 {
				wg.Go(func() { f.call(gateways, "/old/x", fmt.Sprintf("n%d-%d", round, i)) })
			}
			bubble.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		require.NotEmpty(t, f.arrivals[engineAddress(0)])
		for i := engines / 2; i < engines; i++ {
			require.Empty(t, f.arrivals[engineAddress(i)])
		}
	})
}

// Guards against callers that are held although all domains are evacuated, those that
// already wait for a slot included. They are refused at once and told when to retry.
func TestCallersAreRefusedAtOnceWhileAllDomainsAreEvacuated(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.splitDomains()
		var waiting []outcome
		done := make(chan struct{})
		go func() {
			defer close(done)
			waiting = f.callAll(3*engines*slots, "/old/x")
		}()
		bubble.Sleep(20 * time.Millisecond)
		f.store.Put("op/evacuate/a", "{}")
		f.store.Put("op/evacuate/b", "{}")
		<-done
		for _, o := range waiting {
			require.NoError(t, o.err)
			require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, o.status)
		}
		bubble.Sleep(evacuationLimit)
		for i := range gateways {
			o := f.call(i, "/old/x", fmt.Sprint("refused", i))
			require.Equal(t, http.StatusServiceUnavailable, o.status)
			require.NotEmpty(t, o.retryAfter)
			require.Less(t, o.took, 50*time.Millisecond)
		}
	})
}

// Guards against requests of a route or a workspace that leave the regions that both of
// them allow, chosen by the scheduler or without it.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for _, c := range []struct {
		name, route, workspace string
		served                 func(engine int) bool
	}{
		{"route", `"allowedRegions":["south"]`, `"allowedRegions":[]`, inDomainB},
		{"workspace", `"allowedRegions":null`, `"allowedRegions":["north"]`, inDomainA},
		{"both", `"allowedRegions":["south","north"]`, `"allowedRegions":["south","west"]`, inDomainB},
		{"none in common", `"allowedRegions":["south"]`, `"allowedRegions":["north"]`, nil},
		{"unknown region", `"allowedRegions":["west"]`, `"allowedRegions":[]`, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				f.splitDomains()
				f.store.Put("op/config", fmt.Sprintf(`{"version":2,
					"routes":[{"name":"r","hostname":"h","prefix":"/old/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":600,
						"service":"tutor","maxAttempts":2,"streamResume":true,"gapAimMs":250,%s}],
					"services":[{"name":"tutor","engine":{"slots":%d,"stride":6}}],
					"tenants":[{"name":"studio","apiKeys":["key"],%s}]}`, c.route, slots, c.workspace))
				bubble.Sleep(3 * time.Second)
				if c.served == nil {
					o := f.call(0, "/old/x", "nowhere")
					require.Equal(t, http.StatusServiceUnavailable, o.status)
					require.NotEmpty(t, o.retryAfter)
					return
				}
				f.requireServedOnlyBy([]int{0, 1, 2}, c.served)
				for i := range gateways {
					f.network.Vanish(linkAddress(i))
				}
				bubble.Sleep(time.Second)
				f.requireServedOnlyBy([]int{0, 1, 2}, c.served)
			})
		})
	}
}
