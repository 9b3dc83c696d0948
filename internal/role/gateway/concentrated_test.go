package gateway_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
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
