package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// pressImpatiently makes calls at all gateways whose callers give up after a second, and returns
// when all have ended.
func (f *fleet) pressImpatiently(during time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(during)
	for n := 0; time.Now().Before(end); n++ {
		for i := range gateways {
			wg.Go(func() {
				id := fmt.Sprintf("i%d-%d-%d", end.UnixNano(), n, i)
				f.callWithHeaders(i, "/old/x?events=1", id, strings.NewReader("body"), map[string]string{"X-Persimmonridge-Deadline-Ms": "1000"})
			})
		}
		bubble.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
}

// Guards against a limited upstream that gets in one moment all that it was sent while its process
// was paused, though callers gave most of it up: what may still arrive counts until it does.
func TestLimitedUpstreamThatWasPausedGetsNoMoreThanItStates(t *testing.T) {
	const perSecond = 8.0
	for name, prepare := range serviceKinds {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				prepare(f)
				for i := range engines {
					f.state(i, rateLimitHeader, fmt.Sprint(perSecond))
				}
				f.pressImpatiently(3 * time.Second)
				since := time.Now()
				f.network.Pause(engineAddress(0), 15*time.Second)
				f.pressImpatiently(25 * time.Second)
				require.NotEmpty(t, f.requireWithinLimit(0, since, perSecond))
			})
		})
	}
}

// Guards against a cold upstream that gets in one moment all that it was sent while its process
// was paused.
func TestColdUpstreamThatWasPausedGetsNoMoreThanItTolerates(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.putWarmUpConfig()
		for i := 1; i < engines; i++ {
			f.store.Remove(fmt.Sprint("servers/engine-", i))
		}
		f.register(0, "a", `,"born":2,"coldRemainingMs":3000`)
		bubble.Sleep(2 * time.Second)
		f.register(0, "a", `,"born":2,"coldRemainingMs":30000`)
		f.pressImpatiently(time.Second)
		f.network.Pause(engineAddress(0), 6*time.Second)
		f.pressImpatiently(10 * time.Second)
		f.requireTolerated(0)
	})
}
