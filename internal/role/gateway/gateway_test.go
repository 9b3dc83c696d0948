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

// Callers of three gateways fill all engines at once. Each gateway sees a third
// of them; without one place that counts, engines get more than their slots,
// and some stay idle.
func TestEnginesGetNoMoreThanTheirSlots(t *testing.T) {
	play(t, func(f *fleet) {
		require.Equal(t, engines*slots, served(f.calls(engines*slots, "/old/x")))
		for i := range engines {
			require.Equal(t, slots, f.most[engineAt(i)], "engine %d", i)
		}
	})
}

// What comes above the slots waits while it can be in time and is refused as
// not run after that; nobody is left without an answer.
func TestEveryCallerGetsAnAnswerInAnOverload(t *testing.T) {
	play(t, func(f *fleet) {
		outcomes := f.calls(6*engines*slots, "/old/x")
		require.GreaterOrEqual(t, served(outcomes), 2*engines*slots)
		for _, o := range outcomes {
			require.NoError(t, o.err)
			require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, o.status)
			require.Less(t, o.took, 3*time.Second)
		}
		for i := range engines {
			require.LessOrEqual(t, f.most[engineAt(i)], slots)
		}
	})
}

// A new configuration adds a route and drops another. Two seconds after the
// store accepted it, every gateway goes by it.
func TestConfigurationIsInForceEverywhereWithinItsTime(t *testing.T) {
	play(t, func(f *fleet) {
		bubble.Pass(5 * time.Second)
		f.configure(2, "/new/")
		bubble.Pass(2 * time.Second)
		for i := range gateways {
			require.Equal(t, http.StatusOK, f.call(i, "/new/x", fmt.Sprint("new", i)).status)
			require.Equal(t, http.StatusNotFound, f.call(i, "/old/x", fmt.Sprint("old", i)).status)
		}
	})
}

// The store is silent for ten seconds; gateways go on with what they know. A
// change that was accepted at its return is in force two seconds later.
func TestStoreOutageIsSurvived(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.SetFault(standin.Silent)
		for range 10 {
			bubble.Pass(time.Second)
			require.Equal(t, gateways, served(f.calls(gateways, "/old/x")))
		}
		f.store.SetFault(standin.None)
		f.configure(2, "/new/")
		bubble.Pass(2 * time.Second)
		require.Equal(t, gateways, served(f.calls(gateways, "/new/x")))
	})
}

// An upstream says that it leaves. Two seconds later it gets nothing new.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.Put("servers/engine-0", fmt.Sprintf(
			`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"draining"}`, engineAt(0), slots))
		bubble.Pass(2 * time.Second)
		f.most[engineAt(0)] = 0
		require.Equal(t, (engines-1)*slots, served(f.calls((engines-1)*slots, "/old/x")))
		require.Zero(t, f.most[engineAt(0)])
	})
}

// The store turns one gateway away and serves the others. A new configuration,
// and the leaving of an upstream, reach it through its peers.
func TestGatewayThatTheStoreTurnsAwayIsToldByItsPeers(t *testing.T) {
	play(t, func(f *fleet) {
		const cut = 1
		f.network.Vanish(storeAt(cut))
		bubble.Pass(5 * time.Second)
		f.configure(2, "/new/")
		f.store.Put("servers/engine-0", fmt.Sprintf(
			`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"draining"}`, engineAt(0), slots))
		bubble.Pass(2 * time.Second)
		f.most[engineAt(0)] = 0
		require.Equal(t, http.StatusOK, f.call(cut, "/new/x", "a").status)
		require.Equal(t, http.StatusNotFound, f.call(cut, "/old/x", "b").status)
		require.Zero(t, f.most[engineAt(0)])
	})
}

// The gateway that schedules loses its power while requests wait for its word.
// They are asked of the next one, and served.
func TestDeathOfTheSchedulerLosesNoWaitingRequest(t *testing.T) {
	play(t, func(f *fleet) {
		f.network.Vanish(linksAt(0))
		f.network.Vanish(callersAt(0))
		for i := range 10 {
			for _, at := range []int{1, 2} {
				o := f.call(at, "/old/x", fmt.Sprint("r", i, at))
				require.Equal(t, http.StatusOK, o.status)
				require.Less(t, o.took, 2*time.Second)
			}
		}
	})
}

// All gateways lose their power at once. What the engines' speeds are was known
// to the one that scheduled; it is in the store, so that whoever schedules next
// need not learn it from streams that slow engines cannot end in time.
func TestSpeedsOfEnginesAreKeptInTheStore(t *testing.T) {
	play(t, func(f *fleet) {
		f.calls(engines*slots, "/old/x")
		bubble.Pass(2 * time.Second)
		for i := range engines {
			require.Contains(t, f.store.Value("engine-speeds"), fmt.Sprintf(`"id":"engine-%d"`, i))
		}
		written := f.store.Value("engine-speeds")
		bubble.Pass(20 * time.Second)
		require.Equal(t, written, f.store.Value("engine-speeds"), "nothing new is learned, nothing is written")
	})
}

// The store is away while engines show how fast they are, and the gateway that
// schedules dies before it is back. The next one took all engines for ordinary
// ones, though it had heard of each stream's place; it knows what was learned,
// and it is what the store is told at its return.
func TestNextSchedulerKnowsSpeedsThatTheStoreDoesNot(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.SetFault(standin.Silent)
		f.warmUp()
		bubble.Pass(3 * time.Second)
		f.stop(f.scheduler())
		f.store.SetFault(standin.None)
		bubble.Pass(8 * time.Second)
		for i := range engines {
			require.Contains(t, f.store.Value("engine-speeds"), "engine-"+strconv.Itoa(i))
		}
	})
}

// Operators order another version while its upstreams start beside the old
// ones. The gateway that schedules, and so steps the move, loses its power half
// way. Another one carries on from what is in the store: the move is completed
// before its deadline, and told once.
func TestMoveIsCompletedThoughItsHolderDies(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.Put("op/rollout/tutor", `{"service":"tutor","target":"v2","durationS":20}`)
		f.serve(engineAt(8), f.engine(engineAt(8)))
		f.store.Put("servers/engine-8", fmt.Sprintf(
			`{"service":"tutor","address":%q,"zone":"a","version":"v2","slots":%d,"state":"ready"}`, engineAt(8), slots))
		bubble.Pass(2 * time.Second)
		require.JSONEq(t, `{"state":"running","target":"v2"}`, f.store.Value("status/rollout/tutor"))
		for i := range 8 {
			require.Equal(t, http.StatusOK, f.call(1+i%2, "/old/x", fmt.Sprint("before", i)).status)
		}
		f.network.Vanish(linksAt(0))
		f.network.Vanish(callersAt(0))
		f.network.Vanish(storeAt(0))
		bubble.Pass(16 * time.Second)
		require.JSONEq(t, `{"state":"complete","target":"v2"}`, f.store.Value("status/rollout/tutor"))
		f.most[engineAt(8)] = 0
		require.Equal(t, http.StatusOK, f.call(1, "/old/x", "after").status)
		require.Positive(t, f.most[engineAt(8)], "after the move only the new version serves")
	})
}

// On call, somebody looks whether a gateway hears its peers, which configuration
// it goes by, what became of asks for places and what the store answers.
func TestMetricsTellWhatTheGatewayBelieves(t *testing.T) {
	play(t, func(f *fleet) {
		f.calls(engines*slots, "/old/x")
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

// Guards against engines that are taken to be full of others' requests by a gateway
// that has just started and has not had the time to hear the others.
func TestGatewayThatHasHeardNobodyYetUsesItsEngines(t *testing.T) {
	play(t, func(f *fleet) {
		for i := range gateways {
			f.stop(i)
		}
		for i := range 20 {
			f.store.Put("gateways/away-"+strconv.Itoa(i), fmt.Sprintf(`{"address":"10.9.0.%d:81","run":1}`, i+1))
		}
		const late = gateways
		f.serve(storeAt(late), f.store)
		f.start(late)
		bubble.Pass(50 * time.Millisecond)
		for i := range 2 * slots {
			o := f.call(late, "/old/x", "first"+strconv.Itoa(i))
			require.NoError(t, o.err)
			require.Equal(t, http.StatusOK, o.status)
			require.Less(t, o.took, 350*time.Millisecond)
		}
		f.stop(late)
	})
}
