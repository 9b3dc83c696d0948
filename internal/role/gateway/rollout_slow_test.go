package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

const (
	slowRolloutTime = 20 * time.Second
	usualPause      = 20 * time.Millisecond
)

// pacedEngine returns a handler whose streams begin after a tenth of a second, and which then
// pauses between events.
func pacedEngine(pause time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
		w.Header().Set(sealHeader, "s")
		wait := 100 * time.Millisecond
		for i := range 10 {
			bubble.Sleep(wait)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			wait = pause
		}
	})
}

// playSlowRollout moves the tutors to a version with the pause between events, and returns the
// state of which operators are told at the deadline.
func playSlowRollout(t *testing.T, pause time.Duration) (state string) {
	const newEngines = 4
	runFleet(t, func(f *fleet) {
		register := func(version string, first int, pause time.Duration) {
			for i := first; i < first+newEngines; i++ {
				f.serve(engineAddress(i), pacedEngine(pause))
				f.store.Put("servers/paced-"+strconv.Itoa(i), fmt.Sprintf(
					`{"service":"tutor","address":%q,"zone":"a","version":%q,"slots":%d,"state":"ready"}`, engineAddress(i), version, slots))
			}
		}
		for i := range engines {
			f.store.Remove("servers/engine-" + strconv.Itoa(i))
		}
		register("v1", 20, usualPause)
		bubble.Sleep(2 * time.Second)
		f.store.Put("op/rollout/tutor", fmt.Sprintf(`{"service":"tutor","target":"v2","durationS":%g}`, slowRolloutTime.Seconds()))
		register("v2", 30, pause)
		deadline := time.Now().Add(slowRolloutTime)
		var callers sync.WaitGroup
		for caller := range 6 {
			callers.Go(func() {
				for i := 0; time.Now().Before(deadline); i++ {
					f.call(caller%gateways, "/old/x", fmt.Sprintf("c%d-%d", caller, i))
				}
			})
		}
		callers.Wait()
		state = f.store.Value("status/rollout/tutor")
	})
	return state
}

// Guards against a version that is kept although it takes several times as long for each token:
// its first events come as soon as before.
func TestVersionWithSlowTokensIsTakenBack(t *testing.T) {
	require.JSONEq(t, `{"state":"reverted","target":"v2"}`, playSlowRollout(t, 5*usualPause))
}

// Guards against a sound version that is taken back for its speed.
func TestVersionWithUsualTokensIsCompleted(t *testing.T) {
	require.JSONEq(t, `{"state":"complete","target":"v2"}`, playSlowRollout(t, usualPause))
}
