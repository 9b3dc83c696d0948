package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against requests without an answer where the time to answer them and the time to exit
// come together: in a grace period that is no longer than the exit takes.
func TestRequestsOfAShortGracePeriodAreAnswered(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(grace.String(), func(t *testing.T) {
			outcomes := make(chan outcome, 20)
			runFleet(t, func(f *fleet) {
				f.warmUp()
				settings := f.settings(0)
				settings.GracePeriod = grace
				f.nodes[0].Reload(settings)
				for i := range cap(outcomes) {
					go func() {
						outcomes <- f.callWithHeaders(0, "/old/x?stall=0", fmt.Sprintf("s%d", i), strings.NewReader("body"), map[string]string{
							"X-Persimmonridge-Token-Counts": "1000,18", "X-Persimmonridge-Length-Hint": "18",
						})
					}()
				}
				bubble.Sleep(300 * time.Millisecond)
				stoppedAt := time.Now()
				f.stop(0)
				require.Less(t, time.Since(stoppedAt), grace)
				bubble.Sleep(2 * stallTime)
			})
			for range cap(outcomes) {
				o := <-outcomes
				require.NoError(t, o.err)
				require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, o.status)
			}
		})
	}
}
