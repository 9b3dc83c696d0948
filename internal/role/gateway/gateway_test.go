package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

// Guards against engines that get more requests than they have slots while others are
// idle. Each of the gateways sees a third of the requests; only a common scheduler
// knows the free slots.
func TestEnginesGetNoMoreThanTheirSlots(t *testing.T) {
	runFleet(t, func(f *fleet) {
		require.Equal(t, engines*slots, countServed(f.callAll(engines*slots, "/old/x")))
		for i := range engines {
			require.Equal(t, slots, f.peakLoad[engineAddress(i)], "engine %d", i)
		}
	})
}

// Requests beyond the slots wait while they can be served in time and are refused as
// not run after that. Every caller must get an answer.
func TestEveryCallerGetsAnAnswerUnderOverload(t *testing.T) {
	runFleet(t, func(f *fleet) {
		outcomes := f.callAll(6*engines*slots, "/old/x")
		require.GreaterOrEqual(t, countServed(outcomes), 2*engines*slots)
		for _, o := range outcomes {
			require.NoError(t, o.err)
			require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, o.status)
			require.Less(t, o.took, 3*time.Second)
		}
		for i := range engines {
			require.LessOrEqual(t, f.peakLoad[engineAddress(i)], slots)
		}
	})
}

// A new configuration adds a route and drops another. Every gateway must apply it
// within two seconds of its acceptance by the store.
func TestConfigurationIsAppliedEverywhereInTime(t *testing.T) {
	runFleet(t, func(f *fleet) {
		bubble.Sleep(5 * time.Second)
		f.putConfig(2, "/new/")
		bubble.Sleep(2 * time.Second)
		for i := range gateways {
			require.Equal(t, http.StatusOK, f.call(i, "/new/x", fmt.Sprint("new", i)).status)
			require.Equal(t, http.StatusNotFound, f.call(i, "/old/x", fmt.Sprint("old", i)).status)
		}
	})
}

// The store does not answer for ten seconds, in which the gateways go on with what
// they know. A change that is accepted on its return must be applied within two
// seconds.
func TestGatewaysServeThroughStoreOutage(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.store.SetFault(standin.NoResponse)
		for range 10 {
			bubble.Sleep(time.Second)
			require.Equal(t, gateways, countServed(f.callAll(gateways, "/old/x")))
		}
		f.store.SetFault(standin.None)
		f.putConfig(2, "/new/")
		bubble.Sleep(2 * time.Second)
		require.Equal(t, gateways, countServed(f.callAll(gateways, "/new/x")))
	})
}

// An upstream that registers as draining must get no new requests two seconds later.
func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.store.Put("servers/engine-0", fmt.Sprintf(
			`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"draining"}`, engineAddress(0), slots))
		bubble.Sleep(2 * time.Second)
		f.peakLoad[engineAddress(0)] = 0
		require.Equal(t, (engines-1)*slots, countServed(f.callAll((engines-1)*slots, "/old/x")))
		require.Zero(t, f.peakLoad[engineAddress(0)])
	})
}

// One gateway cannot reach the store and the others can. A new configuration and the
// draining of an upstream must reach it through its peers.
func TestGatewayCutOffFromStoreLearnsChangesFromPeers(t *testing.T) {
	runFleet(t, func(f *fleet) {
		const cut = 1
		f.network.Vanish(storeAddress(cut))
		bubble.Sleep(5 * time.Second)
		f.putConfig(2, "/new/")
		f.store.Put("servers/engine-0", fmt.Sprintf(
			`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"draining"}`, engineAddress(0), slots))
		bubble.Sleep(2 * time.Second)
		f.peakLoad[engineAddress(0)] = 0
		require.Equal(t, http.StatusOK, f.call(cut, "/new/x", "a").status)
		require.Equal(t, http.StatusNotFound, f.call(cut, "/old/x", "b").status)
		require.Zero(t, f.peakLoad[engineAddress(0)])
	})
}

// The scheduler fails while requests wait for its decision. Slots for them must be
// requested from the next scheduler, so that they are served.
func TestSchedulerFailureLosesNoWaitingRequest(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.network.Vanish(linkAddress(0))
		f.network.Vanish(callerAddress(0))
		for i := range 10 {
			for _, survivor := range []int{1, 2} {
				o := f.call(survivor, "/old/x", fmt.Sprint("r", i, survivor))
				require.Equal(t, http.StatusOK, o.status)
				require.Less(t, o.took, 2*time.Second)
			}
		}
	})
}

// Guards against the loss of the learned engine speeds when all gateways fail at once.
// The scheduler writes them to the store; without them its successor would learn them
// from streams that slow engines cannot complete in time.
func TestEngineSpeedsAreStored(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.callAll(engines*slots, "/old/x")
		bubble.Sleep(2 * time.Second)
		for i := range engines {
			require.Contains(t, f.store.Value("engine-speeds"), fmt.Sprintf(`"id":"engine-%d"`, i))
		}
		written := f.store.Value("engine-speeds")
		bubble.Sleep(20 * time.Second)
		require.Equal(t, written, f.store.Value("engine-speeds"), "speeds that have not changed must not be written again")
	})
}

// Guards against a new scheduler that assumes average speed of all engines. The store
// is unavailable while the speeds are learned, and the scheduler fails before the
// store returns. The next scheduler must know the speeds from its predecessor and
// write them to the store on its return.
func TestNextSchedulerKnowsUnstoredEngineSpeeds(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.store.SetFault(standin.NoResponse)
		f.warmUp()
		bubble.Sleep(3 * time.Second)
		f.stop(f.scheduler())
		f.store.SetFault(standin.None)
		bubble.Sleep(8 * time.Second)
		for i := range engines {
			require.Contains(t, f.store.Value("engine-speeds"), "engine-"+strconv.Itoa(i))
		}
	})
}

// Operators order a rollout while the new version's upstreams start next to the old
// ones. The scheduler, which advances the rollout, fails half way. Its successor must
// continue from the state in the store and complete the rollout before its deadline.
func TestRolloutCompletesAfterSchedulerFailure(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.store.Put("op/rollout/tutor", `{"service":"tutor","target":"v2","durationS":20}`)
		f.serve(engineAddress(8), f.engine(engineAddress(8)))
		f.store.Put("servers/engine-8", fmt.Sprintf(
			`{"service":"tutor","address":%q,"zone":"a","version":"v2","slots":%d,"state":"ready"}`, engineAddress(8), slots))
		bubble.Sleep(2 * time.Second)
		require.JSONEq(t, `{"state":"running","target":"v2"}`, f.store.Value("status/rollout/tutor"))
		for i := range 8 {
			require.Equal(t, http.StatusOK, f.call(1+i%2, "/old/x", fmt.Sprint("before", i)).status)
		}
		f.network.Vanish(linkAddress(0))
		f.network.Vanish(callerAddress(0))
		f.network.Vanish(storeAddress(0))
		bubble.Sleep(16 * time.Second)
		require.JSONEq(t, `{"state":"complete","target":"v2"}`, f.store.Value("status/rollout/tutor"))
		f.peakLoad[engineAddress(8)] = 0
		require.Equal(t, http.StatusOK, f.call(1, "/old/x", "after").status)
		require.Positive(t, f.peakLoad[engineAddress(8)], "only the new version may serve after the rollout")
	})
}

// The metrics must show an operator whether a gateway hears its peers, which
// configuration is active, and the results of slot requests and store calls.
func TestMetricsShowGatewayState(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.callAll(engines*slots, "/old/x")
		text := f.metrics(0)
		for _, want := range []string{
			"persimmonridge_configuration_version 1", "persimmonridge_gateways_heard 3", "persimmonridge_upstreams 4",
			`persimmonridge_places_total{result="granted"}`, `persimmonridge_store_calls_total{call="watch",result="ok"}`,
			`persimmonridge_requests_total{outcome="answered",tier="0"}`,
		} {
			require.Contains(t, text, want)
		}
	})
}

// Guards against a gateway that has just started and, having received no gossip yet,
// considers the engines occupied by the other gateways' requests.
func TestNewGatewayUsesEnginesBeforeHearingPeers(t *testing.T) {
	runFleet(t, func(f *fleet) {
		for i := range gateways {
			f.stop(i)
		}
		for i := range 20 {
			f.store.Put("gateways/unreachable-"+strconv.Itoa(i), fmt.Sprintf(`{"address":"10.9.0.%d:81","run":1}`, i+1))
		}
		const added = gateways
		f.serve(storeAddress(added), f.store)
		f.start(added)
		bubble.Sleep(50 * time.Millisecond)
		for i := range 2 * slots {
			o := f.call(added, "/old/x", "first"+strconv.Itoa(i))
			require.NoError(t, o.err)
			require.Equal(t, http.StatusOK, o.status)
			require.Less(t, o.took, 350*time.Millisecond)
		}
		f.stop(added)
	})
}
