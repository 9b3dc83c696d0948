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

const (
	leavingHeader = "Server-Leaving"
	// drainLimit is how long after its answer an upstream that leaves may get requests.
	drainLimit = 2 * time.Second
)

// Guards against requests to an upstream that has said in an answer that it leaves, while
// its registration does not, whatever happens to the store, the scheduler and the links.
func TestUpstreamThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for name, prepare := range statementConditions {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				prepare(f)
				go func() {
					bubble.Sleep(time.Second)
					f.state(0, leavingHeader, "1")
				}()
				// The gateways are told within a second of the first answer that says so.
				f.press(2*time.Second + drainLimit)
				since := time.Now()
				f.press(8 * time.Second)
				f.store.SetFault(standin.None)
				require.Empty(t, f.arrivalsSince(0, since))
				for i := 1; i < engines; i++ {
					require.NotEmpty(t, f.arrivalsSince(i, since), "the other engines are used")
				}
			})
		})
	}
}

// leave makes the engine say that it leaves, and calls the gateway until it has been told.
func (f *fleet) leave(gateway, engine int) {
	f.t.Helper()
	f.state(engine, leavingHeader, "1")
	told := len(f.arrivalsSince(engine, time.Time{}))
	for n := 0; len(f.arrivalsSince(engine, time.Time{})) == told; n++ {
		require.Less(f.t, n, 100, "the engine is not used")
		f.call(gateway, "/old/x?events=1", fmt.Sprintf("leave-%d-%d", engine, n))
	}
}

// Guards against each gateway, and a scheduler that was not told itself, having to meet an
// upstream that leaves, or having to wait for its registration.
func TestPeersTellOfAnUpstreamThatLeaves(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.store.SetFault(standin.NoResponse)
		f.leave((f.scheduler()+1)%gateways, 0)
		bubble.Sleep(time.Second)
		since := time.Now()
		f.press(3 * time.Second)
		f.store.SetFault(standin.None)
		require.Empty(t, f.arrivalsSince(0, since))
	})
}

// Guards against a new process of an upstream that is left out because of the one before.
func TestUpstreamThatStartsAgainAfterItLeftIsUsed(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.leave(0, 0)
		f.state(0, leavingHeader, "")
		f.register(0, "a", `,"born":2`)
		bubble.Sleep(2 * time.Second)
		since := time.Now()
		f.press(2 * time.Second)
		require.NotEmpty(t, f.arrivalsSince(0, since))
	})
}

// Guards against callers who wait for nothing, or are told that their request may have
// run, while all upstreams leave.
func TestCallersAreRefusedWhileAllUpstreamsLeave(t *testing.T) {
	for name, prepare := range serviceKinds {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				prepare(f)
				for i := range engines {
					f.leave(0, i)
				}
				bubble.Sleep(2 * time.Second)
				since := time.Now()
				refused := f.call(1, "/old/x?events=1", "refused")
				require.Equal(t, http.StatusServiceUnavailable, refused.status)
				require.NotEmpty(t, refused.retryAfter)
				require.Less(t, refused.took, time.Second)
				for i := range engines {
					require.Empty(t, f.arrivalsSince(i, since))
				}
			})
		})
	}
}
