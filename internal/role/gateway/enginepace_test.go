package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// loadHeader is the response header in which upstreams state their load and pace.
const loadHeader = "X-Persimmonridge-Instance-Load"

// slowEngines returns the metric of each gateway.
func (f *fleet) slowEngines() []string {
	var values []string
	for i := range gateways {
		for line := range strings.Lines(f.metrics(i)) {
			if value, found := strings.CutPrefix(line, "persimmonridge_engines_slow "); found {
				values = append(values, strings.TrimSpace(value))
			}
		}
	}
	return values
}

// Guards against slow engines that the scheduler does not hear of, whichever gateway gets
// their answers, and against a former scheduler that counts them, too.
func TestSchedulerCountsEnginesThatStateASlowPace(t *testing.T) {
	runFleet(t, func(f *fleet) {
		scheduler := f.scheduler()
		wantAtScheduler := func(n int) {
			want := make([]string, gateways)
			for i := range want {
				want[i] = "0"
			}
			want[scheduler] = fmt.Sprint(n)
			require.Equal(t, want, f.slowEngines())
		}
		for i := range engines {
			f.state(i, loadHeader, "0, 0, 8")
		}
		f.callAll(engines*slots, "/old/x")
		wantAtScheduler(0)
		f.state(0, loadHeader, "0, 0, 8, 250")
		f.state(1, loadHeader, "0, 0, 8, 400")
		f.state(2, loadHeader, "0, 0, 8, 4000000")
		f.callAll(engines*slots, "/old/x?events=1")
		wantAtScheduler(2)
		bubble.Sleep(3 * time.Second)
		wantAtScheduler(0)
	})
}
