package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against callers who are refused beside idle upstreams while nearly all of them
// connect to one gateway: what gateways divide among them must follow the callers.
func TestCallersAreServedWhenAllConnectToOneGateway(t *testing.T) {
	conditions := map[string]func(f *fleet){
		"engine": func(*fleet) {}, "plain service": (*fleet).putPlainConfig,
		"the scheduler is lost": func(f *fleet) { f.network.Vanish(linkAddress(f.scheduler())) },
	}
	for name, prepare := range conditions {
		t.Run(name, func(t *testing.T) {
			var spread, concentrated int
			runFleet(t, func(f *fleet) {
				f.warmUp()
				prepare(f)
				spread = countServed(f.callAll(engines*slots, "/old/x"))
				outcomes := make([]outcome, engines*slots)
				var wg sync.WaitGroup
				for i := range outcomes {
					wg.Go(func() { outcomes[i] = f.call(gateways-1, "/old/x", fmt.Sprint("c", i)) })
				}
				wg.Wait()
				concentrated = countServed(outcomes)
			})
			require.NotZero(t, spread)
			require.GreaterOrEqual(t, 4*concentrated, 3*spread)
		})
	}
}

// Guards against callers who are refused while most of them connect to one gateway, because
// the others own the rest of the limits that all upstreams state.
func TestCallersAtOneGatewayGetWhatLimitedUpstreamsTake(t *testing.T) {
	const perSecond, pressed = 12, 4 * time.Second
	served := func(f *fleet, gatewaysCalled ...int) int {
		var mu sync.Mutex
		var wg sync.WaitGroup
		n := 0
		for i, end := 0, time.Now().Add(pressed); time.Now().Before(end); i++ {
			wg.Go(func() {
				o := f.call(gatewaysCalled[i%len(gatewaysCalled)], "/old/x?events=1", fmt.Sprintf("l%d-%d", end.UnixNano(), i))
				mu.Lock()
				defer mu.Unlock()
				if o.status == http.StatusOK {
					n++
				}
			})
			bubble.Sleep(time.Second / (engines * perSecond * 3 / 4))
		}
		wg.Wait()
		return n
	}
	for name, prepare := range serviceKinds {
		t.Run(name, func(t *testing.T) {
			var spread, concentrated int
			runFleet(t, func(f *fleet) {
				prepare(f)
				for i := range engines {
					f.state(i, rateLimitHeader, fmt.Sprint(perSecond))
				}
				served(f, 0, 1, 2)
				spread = served(f, 0, 1, 2)
				concentrated = served(f, 1)
			})
			require.NotZero(t, spread)
			require.GreaterOrEqual(t, 4*concentrated, 3*spread, "%d of %d", concentrated, spread)
		})
	}
}
