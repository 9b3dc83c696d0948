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

// stalledCase is a way in which a stream is under way in a gateway that stops, and whose engine
// stalls.
type stalledCase struct {
	name, path string
	// prepare is called before the stop, and beside before the request.
	prepare, beside func(f *fleet)
	// length is the stated counts of tokens, empty if none are.
	length string
}

var stalledCases = []stalledCase{
	{name: "retried", path: "/old/x?break=1&stall=2", length: "1000,18"},
	{name: "without the other gateways", path: "/old/x?stall=1", length: "1000,18", beside: func(f *fleet) {
		for i := range gateways {
			f.network.Vanish(linkAddress(i))
		}
	}},
	{name: "without the store", path: "/old/x?stall=1", length: "1000,18", beside: func(f *fleet) {
		f.turnAway(true, 0, 1, 2)
	}},
	{name: "unknown length", path: "/old/x?stall=1"},
	{name: "unknown pace", path: "/plain/x?stall=1", length: "1000,18", prepare: func(f *fleet) {
		f.putTwoServices(2, 15000)
	}},
	{name: "shorter timeout", path: "/old/x?stall=1", length: "1000,18", beside: func(f *fleet) { f.putTwoServices(2, 9000) }},
	{name: "longer timeout", path: "/old/x?stall=1", length: "1000,18", prepare: func(f *fleet) { f.putTwoServices(2, 500) },
		beside: func(f *fleet) { f.putTwoServices(3, 15000) }},
	{name: "all slots taken", path: "/old/x?stall=1", length: "1000,18", beside: func(f *fleet) {
		for i := range 2 * engines * slots {
			go f.callFor(i%gateways, "/old/x?events=20", fmt.Sprintf("busy%d", i), "1000,120", "120")
		}
	}},
}

// putTwoServices is a configuration with a second service that has no engines, at the same
// upstreams.
func (f *fleet) putTwoServices(version, timeoutMs int) {
	f.store.Put("op/config", fmt.Sprintf(`{"version":%d,
		"routes":[{"name":"r","hostname":"h","prefix":"/old/","kind":"streaming","timeoutMs":%d,"targetLatencyMs":600,
			"service":"tutor","maxAttempts":2,"streamResume":true,"gapAimMs":250},
			{"name":"p","hostname":"h","prefix":"/plain/","kind":"streaming","timeoutMs":%d,"targetLatencyMs":600,
			"service":"bare","maxAttempts":2,"streamResume":true,"gapAimMs":250}],
		"services":[{"name":"tutor","engine":{"slots":2,"stride":6}},{"name":"bare"}],
		"limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},
		"tenants":[{"name":"studio","apiKeys":["key"]}]}`, version, timeoutMs, timeoutMs))
	f.store.Put("servers/bare", fmt.Sprintf(
		`{"service":"bare","address":%q,"zone":"a","version":"v1","slots":8,"state":"ready"}`, bareAddress))
	bubble.Sleep(100 * time.Millisecond)
}

const bareAddress = "10.0.1.9:80"

// Guards against a stream that is cut at the exit because its engine stalls, however it came to be
// under way, later than two seconds after the start of the stop.
func TestNoStreamOfAStalledEngineIsCutHoweverItCameToRun(t *testing.T) {
	for _, c := range stalledCases {
		for _, stopping := range []int{1, gateways} {
			for _, since := range []time.Duration{2100, 4400, 7200} {
				t.Run(fmt.Sprintf("%s, %d stop, after %d ms", c.name, stopping, since), func(t *testing.T) {
					var o outcome
					runFleet(t, func(f *fleet) {
						f.serve(bareAddress, f.engine(bareAddress))
						f.warmUp()
						if c.prepare != nil {
							c.prepare(f)
						}
						f.stopSome(stopping)
						bubble.Sleep(since*time.Millisecond - 200*time.Millisecond)
						before := time.Now()
						if c.beside != nil {
							c.beside(f)
						}
						bubble.Sleep(time.Until(before.Add(200 * time.Millisecond)))
						headers := map[string]string{}
						if c.length != "" {
							headers["X-Persimmonridge-Token-Counts"], headers["X-Persimmonridge-Length-Hint"] = c.length, "18"
						}
						o = f.callWithHeaders(0, c.path, "stalls", strings.NewReader("body"), headers)
						t.Logf("status %d after %v, body %q", o.status, o.took, o.body)
						bubble.Sleep(2 * stallTime)
						for i := range gateways {
							f.network.Restore(linkAddress(i))
						}
						f.turnAway(false, 0, 1, 2)
					})
					require.NoError(t, o.err, "cut after %d events", strings.Count(o.body, "data:"))
					require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, o.status)
				})
			}
		}
	}
}
