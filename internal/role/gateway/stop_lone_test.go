package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against a gateway whose peers failed, and are not registered any more, and that in its
// stop refuses streams as if one of them would serve them.
func TestLoneGatewayThatStopsLeavesNoStreamToGatewaysThatFailed(t *testing.T) {
	var o outcome
	runFleet(t, func(f *fleet) {
		f.warmUp()
		for i := range gateways {
			f.network.Vanish(linkAddress(i))
			if i > 0 {
				f.network.Vanish(storeAddress(i))
			}
		}
		bubble.Sleep(time.Minute)
		go f.stop(0)
		bubble.Sleep(time.Second)
		o = f.callFor(0, "/old/x", "lone", "1000,2940", "18")
		for i := range gateways {
			f.network.Restore(linkAddress(i))
			f.network.Restore(storeAddress(i))
		}
		bubble.Sleep(30 * time.Second)
	})
	t.Logf("status %d, Retry-After %s", o.status, o.retryAfter)
	require.NoError(t, o.err)
	require.Equal(t, http.StatusOK, o.status)
}
