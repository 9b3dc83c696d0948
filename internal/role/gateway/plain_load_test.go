package gateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

const (
	plainLoadHeader  = "X-Persimmonridge-Instance-Load"
	plainUpstreams   = 3
	plainSlots       = 6
	plainQueue       = 24
	plainWork        = 15 * time.Millisecond
	plainDue         = 120 * time.Millisecond
	plainPerSecond   = 250
	plainPath        = "/plain/x"
	plainFourValues  = 4
	plainThreeValues = 3
)

// plainFleet has, besides the fleet's engines, three upstreams of a plain service.
type plainFleet struct {
	*fleet
	values    int
	upstreams []*plainServer
}

// plainServer is an upstream with slots and a queue that states its load in each response.
type plainServer struct {
	fleet   *plainFleet
	slots   chan struct{}
	mu      sync.Mutex
	waiting int
	others  int
	got     int
	slow    bool
}

func plainAddress(i int) string { return fmt.Sprintf("10.0.2.%d:80", i+1) }

// runPlainFleet runs the script with plain upstreams that state the number of values.
func runPlainFleet(t *testing.T, values int, script func(f *plainFleet)) {
	runFleet(t, func(f *fleet) {
		p := &plainFleet{fleet: f, values: values}
		for i := range plainUpstreams {
			u := &plainServer{fleet: p, slots: make(chan struct{}, plainSlots)}
			p.upstreams = append(p.upstreams, u)
			f.serve(plainAddress(i), u)
			f.store.Put(fmt.Sprint("servers/plain-", i), fmt.Sprintf(
				`{"service":"bookings","address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready"}`, plainAddress(i), plainSlots))
		}
		f.store.Put("op/config", fmt.Sprintf(`{"version":2,
			"routes":[{"name":"r","hostname":"h","prefix":"/plain/","kind":"idempotent","timeoutMs":%d,"targetLatencyMs":%[1]d,
				"service":"bookings","maxAttempts":2}],
			"services":[{"name":"bookings","slots":%d}],
			"tenants":[{"name":"studio","apiKeys":["key"]}]}`, plainDue.Milliseconds(), plainSlots))
		bubble.Sleep(2 * time.Second)
		script(p)
	})
}

// state returns the value of the load header.
func (u *plainServer) state() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	pace := 100
	if u.slow {
		pace = 300
	}
	running := len(u.slots)
	value := fmt.Sprintf("%d,%d,%d", min(plainSlots, running+u.others), u.waiting+max(0, running+u.others-plainSlots), plainSlots)
	if u.fleet.values == plainFourValues {
		value += fmt.Sprintf(",%d", pace)
	}
	return value
}

// enter reports whether there is room for a request.
func (u *plainServer) enter() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.got++
	if len(u.slots)+u.waiting+u.others >= plainSlots+plainQueue {
		return false
	}
	u.waiting++
	return true
}

func (u *plainServer) work() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
	work := time.Duration(float64(plainWork) * (0.5 + rand.Float64()))
	if u.slow {
		work *= 3
	}
	return work
}

// ServeHTTP implements http.Handler.
func (u *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
	if !u.enter() {
		w.Header().Set(plainLoadHeader, u.state())
		w.Header().Set(notExecutedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.slots <- struct{}{}
	bubble.Sleep(u.work())
	w.Header().Set(plainLoadHeader, u.state())
	<-u.slots
	w.Header().Set(sealHeader, "s")
	_, _ = io.WriteString(w, "done")
}

// fill has the requests of others fill the slots and the queue from now on.
func (u *plainServer) fill() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.others = plainSlots + plainQueue
}

// takeTurns has one upstream after the other take three times as long for a second. It
// returns the share of requests that went to the slow one.
func (f *plainFleet) takeTurns(turns int) func() float64 {
	slow, total := 0, 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range turns {
			before := f.got()
			f.slow(i%plainUpstreams, true)
			bubble.Sleep(time.Second)
			f.slow(i%plainUpstreams, false)
			for j, got := range f.got() {
				total += got - before[j]
				if j == i%plainUpstreams {
					slow += got - before[j]
				}
			}
		}
	}()
	return func() float64 {
		<-done
		return float64(slow) / float64(total)
	}
}

func (f *plainFleet) slow(upstream int, slow bool) {
	u := f.upstreams[upstream]
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slow = slow
}

func (f *plainFleet) got() []int {
	got := make([]int, plainUpstreams)
	for i, u := range f.upstreams {
		u.mu.Lock()
		got[i] = u.got
		u.mu.Unlock()
	}
	return got
}

// pressPlain sends requests at random times to the gateways. It returns how many were sent,
// and the share that was not served in time.
func (f *plainFleet) pressPlain(gatewaysCalled []int, during time.Duration) (requests int, missed float64) {
	random := rand.New(rand.NewPCG(1, 1))
	var clients []*http.Client
	for range gateways {
		transport := &http.Transport{DialContext: f.network.DialContext, MaxIdleConnsPerHost: 200}
		defer transport.CloseIdleConnections()
		clients = append(clients, &http.Client{Transport: transport})
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	bad := 0
	for end := time.Now().Add(during); time.Now().Before(end); requests++ {
		gateway, id := gatewaysCalled[random.IntN(len(gatewaysCalled))], fmt.Sprintf("p%d-%d", end.UnixNano(), requests)
		wg.Go(func() {
			start := time.Now()
			if !f.served(clients[gateway], gateway, id) || time.Since(start) > plainDue {
				mu.Lock()
				defer mu.Unlock()
				bad++
			}
		})
		bubble.Sleep(time.Duration(random.ExpFloat64() / plainPerSecond * float64(time.Second)))
	}
	wg.Wait()
	return requests, float64(bad) / float64(requests)
}

func (f *plainFleet) served(client *http.Client, gateway int, id string) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+callerAddress(gateway)+plainPath, strings.NewReader("body"))
	require.NoError(f.t, err)
	r.Host = "h"
	for name, value := range map[string]string{attemptIDHeader: id, "Api-Key": "key", "X-Persimmonridge-Deadline-Ms": "1000"} {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err == nil && response.StatusCode == http.StatusOK
}

// metric returns the sum of a metric's values over the gateways.
func (f *plainFleet) metric(name string) float64 {
	sum := 0.0
	for i := range gateways {
		for line := range strings.Lines(f.metrics(i)) {
			var value float64
			if fields := strings.Fields(line); len(fields) == 2 && fields[0] == name {
				_, err := fmt.Sscan(fields[1], &value)
				require.NoError(f.t, err)
				sum += value
			}
		}
	}
	return sum
}

// plainConditions prepare a fleet, and return the gateways that callers use. Each removes a
// source of load samples, at once or after a second.
var plainConditions = map[string]func(f *plainFleet) []int{
	"in touch": func(*plainFleet) []int { return []int{0, 1, 2} },
	"a gateway cannot reach the scheduler": func(f *plainFleet) []int {
		isolated := (f.scheduler() + 1) % gateways
		f.network.Vanish(linkAddress(isolated))
		bubble.Sleep(3 * time.Second)
		require.Contains(f.t, f.metrics(isolated), "\npersimmonridge_gateways_heard 1\n")
		return []int{0, 1, 2}
	},
	"the scheduler is lost": func(f *plainFleet) []int {
		lost := f.scheduler()
		go func() {
			bubble.Sleep(time.Second)
			f.network.Vanish(linkAddress(lost))
			f.dialer(lost).severed.Store(true)
		}()
		return []int{(lost + 1) % gateways, (lost + 2) % gateways}
	},
}

// Load: 250 requests a second at three gateways before three plain upstreams, one of which
// others keep full. Guards against gateways that go on sending to it.
func TestPlainUpstreamThatOthersKeepFullGetsFewRequests(t *testing.T) {
	for _, values := range []int{plainThreeValues, plainFourValues} {
		for name, prepare := range plainConditions {
			t.Run(fmt.Sprint(name, ", ", values, " values"), func(t *testing.T) {
				runPlainFleet(t, values, func(f *plainFleet) {
					f.upstreams[0].fill()
					called := prepare(f)
					requests, missed := f.pressPlain(called, 3*time.Second)
					share := float64(f.got()[0]) / float64(requests)
					t.Logf("share %.3f, missed %.3f", share, missed)
					require.LessOrEqual(t, share, 0.10)
					require.LessOrEqual(t, missed, 0.10)
				})
			})
		}
	}
}

// Load: 250 requests a second at three gateways before three plain upstreams, each of which
// takes three times as long for a second in turn and states it. Guards against gateways that
// send on to the slow one.
func TestSlowPlainUpstreamGetsFewRequests(t *testing.T) {
	for name, prepare := range plainConditions {
		t.Run(name, func(t *testing.T) {
			runPlainFleet(t, plainFourValues, func(f *plainFleet) {
				called := prepare(f)
				slowShare := f.takeTurns(6)
				_, missed := f.pressPlain(called, 6*time.Second)
				share := slowShare()
				t.Logf("share %.3f, missed %.3f", share, missed)
				require.LessOrEqual(t, share, 0.15)
				require.LessOrEqual(t, missed, 0.10)
				require.Positive(t, f.metric(`persimmonridge_load_reports_total{direction="sent"}`))
				require.Positive(t, f.metric(`persimmonridge_load_sample_age_seconds_count`))
			})
		})
	}
}

// Guards against messages for services that report no pace.
func TestNoLoadIsReportedForThreeValues(t *testing.T) {
	runPlainFleet(t, plainThreeValues, func(f *plainFleet) {
		_, missed := f.pressPlain([]int{0, 1, 2}, 2*time.Second)
		require.LessOrEqual(t, missed, 0.10)
		require.Zero(t, f.metric(`persimmonridge_load_reports_total{direction="sent"}`))
	})
}

// Guards against samples that don't pass: a gateway without callers of its own gets the
// samples that the others received, after at most a second.
func TestGatewayHearsTheLoadThatOthersReceived(t *testing.T) {
	runPlainFleet(t, plainFourValues, func(f *plainFleet) {
		scheduler := f.scheduler()
		quiet, busy := (scheduler+1)%gateways, (scheduler+2)%gateways
		client := &http.Client{Transport: &http.Transport{DialContext: f.network.DialContext, DisableKeepAlives: true}}
		require.True(t, f.served(client, quiet, "first"))
		require.True(t, f.served(client, quiet, "second"))
		// Two requests show it two of three upstreams at most, so it needs the others' samples.
		f.pressPlain([]int{busy}, time.Second)
		bubble.Sleep(1200 * time.Millisecond)
		require.Contains(t, f.metrics(quiet), fmt.Sprintf("\npersimmonridge_upstreams_paced %d\n", plainUpstreams))
		require.Contains(t, f.metrics(scheduler), fmt.Sprintf("\npersimmonridge_upstreams_paced %d\n", plainUpstreams))
	})
}
