package gateway_test

import (
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
	for name, prepare := range map[string]func(f *fleet){
		"engine":                func(*fleet) {},
		"plain service":         (*fleet).putPlainConfig,
		"the scheduler is lost": func(f *fleet) { f.network.Vanish(linkAddress(f.scheduler())) },
		"the scheduler stops":   func(f *fleet) { f.cancels[f.scheduler()]() },
		"the store is away":     func(f *fleet) { f.store.SetFault(standin.NoResponse) },
		"gateways are cut off from each other": func(f *fleet) {
			for i := range gateways {
				f.network.Vanish(linkAddress(i))
			}
		},
	} {
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
