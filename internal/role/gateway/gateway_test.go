package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/limit/retry"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/role/gateway"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/platform"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	id       = "X-Persimmonridge-Attempt-Id"
	seal     = "X-Persimmonridge-Response-Seal"
	gateways = 3
	engines  = 4
	slots    = 2
	// longPath is called for a stream that is much longer than the others.
	longPath   = "/old/long"
	longEvents = 60
)

// fleet is gateways, engines and a store on a network in memory.
type fleet struct {
	t       *testing.T
	network *network.Network
	store   *standin.Store
	cancel  []context.CancelFunc
	stopped []*sync.Once
	done    []chan error
	servers []*http.Server

	mu   sync.Mutex
	most map[string]int
	load map[string]int
}

// storeAt is one gateway's way to the store, so that it can be cut alone.
func storeAt(i int) string   { return fmt.Sprintf("10.0.9.%d:80", i+1) }
func callersAt(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }
func linksAt(i int) string   { return fmt.Sprintf("10.0.0.%d:81", i+1) }
func engineAt(i int) string  { return fmt.Sprintf("10.0.1.%d:80", i+1) }

// play runs the script on a fleet in fake time.
func play(t *testing.T, script func(f *fleet)) {
	bubble.Run(t, func(t *testing.T) {
		f := &fleet{t: t, network: network.New(), store: standin.NewStore(), most: map[string]int{}, load: map[string]int{}}
		for i := range gateways {
			f.serve(storeAt(i), f.store)
		}
		for i := range engines {
			f.serve(engineAt(i), f.engine(engineAt(i)))
			f.store.Put("servers/engine-"+strconv.Itoa(i), fmt.Sprintf(
				`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready"}`, engineAt(i), slots))
		}
		f.configure(1, "/old/")
		for i := range gateways {
			f.start(i)
		}
		bubble.Pass(2 * time.Second)
		script(f)
		for i := range gateways {
			f.stop(i)
		}
		for _, server := range f.servers {
			require.NoError(t, server.Close())
		}
	})
}

func (f *fleet) serve(at string, handler http.Handler) {
	listener, err := f.network.Listen(at)
	require.NoError(f.t, err)
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// engine streams three events a tenth of a second apart, or more of them, and
// counts what it runs.
func (f *fleet) engine(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.load[name]++
		f.most[name] = max(f.most[name], f.load[name])
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			f.load[name]--
			f.mu.Unlock()
		}()
		w.Header().Set(id, r.Header.Get(id))
		w.Header().Set(seal, "s")
		events := 3
		if r.URL.Path == longPath {
			events = longEvents
		}
		for i := range events {
			bubble.Pass(100 * time.Millisecond)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	})
}

func (f *fleet) configure(version int, prefix string) {
	f.store.Put("op/config", fmt.Sprintf(`{"version":%d,
		"routes":[{"name":"r","hostname":"h","prefix":%q,"kind":"streaming","timeoutMs":15000,"targetLatencyMs":600,
			"service":"tutor","maxAttempts":2,"streamResume":true,"gapAimMs":250}],
		"services":[{"name":"tutor","engine":{"slots":%d,"stride":6}}],
		"limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},
		"tenants":[{"name":"studio","apiKeys":["key"]}]}`, version, prefix, slots))
}

func (f *fleet) start(i int) {
	ctx, cancel := context.WithCancel(f.t.Context())
	f.cancel = append(f.cancel, cancel)
	f.stopped = append(f.stopped, &sync.Once{})
	f.done = append(f.done, make(chan error, 1))
	settings := gateway.Settings{
		Name: "gateway-" + strconv.Itoa(i), Domain: "a", Callers: callersAt(i), Links: linksAt(i),
		Readiness: fmt.Sprintf("10.0.0.%d:82", i+1), Metrics: fmt.Sprintf("10.0.0.%d:83", i+1),
		Grace: 8 * time.Second, Apply: 2 * time.Second, Quota: quota.Options{Full: true},
		Retry:     retry.Settings{Share: 0.2, Slack: 50, Window: 10 * time.Second},
		ConfigKey: platform.ConfigPrefix, UpstreamPrefix: platform.UpstreamPrefix, OrderPrefix: platform.RolloutPrefix,
	}
	g := gateway.New(gateway.Parts{
		Settings: settings, Store: platform.NewStore(storeAt(i), f.network.DialContext), Decoder: platform.Decoder{},
		Translator: platform.Headers{}, Names: platform.AnswerNames(), Dialer: f.network,
		Listen: func(_, at string) (net.Listener, error) { return f.network.Listen(at) },
		Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	go func() { f.done[i] <- g.Run(ctx) }()
}

// stop ends a gateway in order and waits for its end; a test may have begun it
// beside itself.
func (f *fleet) stop(i int) {
	f.stopped[i].Do(func() {
		f.cancel[i]()
		require.NoError(f.t, <-f.done[i])
	})
}

// outcome is what a caller saw.
type outcome struct {
	status int
	body   string
	err    error
	took   time.Duration
	// retryAfter is the header as sent.
	retryAfter string
}

func (f *fleet) call(i int, path, request string) outcome {
	return f.callFor(i, path, request, "1000,100", "18")
}

// callFor calls a gateway for a generation of the given tokens and guessed
// length.
func (f *fleet) callFor(i int, path, request, tokens, hint string) outcome {
	client := &http.Client{Transport: &http.Transport{DialContext: f.network.DialContext, DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+callersAt(i)+path, strings.NewReader("body"))
	require.NoError(f.t, err)
	r.Host = "h"
	for name, value := range map[string]string{
		id: request, "Api-Key": "key", "X-Persimmonridge-Deadline-Ms": "15000",
		"X-Persimmonridge-Token-Counts": tokens, "X-Persimmonridge-Length-Hint": hint,
	} {
		r.Header.Set(name, value)
	}
	begun := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return outcome{err: err}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return outcome{
		status: response.StatusCode, body: string(body), err: err, took: time.Since(begun),
		retryAfter: response.Header.Get("Retry-After"),
	}
}

// calls makes calls at once, spread over the gateways, and returns them.
func (f *fleet) calls(count int, path string) []outcome {
	outcomes := make([]outcome, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() { outcomes[i] = f.call(i%gateways, path, fmt.Sprintf("r%d-%d", time.Now().UnixNano(), i)) })
	}
	wg.Wait()
	return outcomes
}

func (f *fleet) metrics(i int) string {
	client := &http.Client{Transport: &http.Transport{DialContext: f.network.DialContext, DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://10.0.0.%d:83/metrics", i+1))
	require.NoError(f.t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	require.NoError(f.t, response.Body.Close())
	return string(text)
}

// scheduler returns the gateway that gives out places.
func (f *fleet) scheduler() int {
	for i := range gateways {
		if strings.Contains(f.metrics(i), "persimmonridge_schedules 1") {
			return i
		}
	}
	require.Fail(f.t, "nobody schedules")
	return 0
}

// warmUp lets the scheduler learn how fast the engines are.
func (f *fleet) warmUp() {
	for range 4 {
		require.Equal(f.t, engines*slots, served(f.calls(engines*slots, "/old/x")))
	}
}

func served(outcomes []outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.status == http.StatusOK && o.err == nil {
			n++
		}
	}
	return n
}

// Callers of three gateways fill all engines at once. Each gateway sees a third
// of them; without one place that counts, engines get more than their slots,
// and some stay idle.
func TestEnginesGetNoMoreThanTheirSlots(t *testing.T) {
	play(t, func(f *fleet) {
		require.Equal(t, engines*slots, served(f.calls(engines*slots, "/old/x")))
		for i := range engines {
			require.Equal(t, slots, f.most[engineAt(i)], "engine %d", i)
		}
	})
}

// What comes above the slots waits while it can be in time and is refused as
// not run after that; nobody is left without an answer.
func TestEveryCallerGetsAnAnswerInAnOverload(t *testing.T) {
	play(t, func(f *fleet) {
		outcomes := f.calls(6*engines*slots, "/old/x")
		require.GreaterOrEqual(t, served(outcomes), 2*engines*slots)
		for _, o := range outcomes {
			require.NoError(t, o.err)
			require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, o.status)
			require.Less(t, o.took, 3*time.Second)
		}
		for i := range engines {
			require.LessOrEqual(t, f.most[engineAt(i)], slots)
		}
	})
}

// The gateway that schedules stops, in order, while callers go on. The next one
// takes over, and no request is cut or waits for long.
func TestStopOfTheSchedulerIsNotNoticed(t *testing.T) {
	play(t, func(f *fleet) {
		go f.stop(0)
		for range 20 {
			for _, o := range []outcome{f.call(1, "/old/x", "a"+time.Now().String()), f.call(2, "/old/x", "b"+time.Now().String())} {
				require.NoError(t, o.err)
				require.Equal(t, http.StatusOK, o.status)
				require.Less(t, o.took, time.Second)
			}
		}
		bubble.Pass(10 * time.Second)
	})
}

// All gateways are told to stop, one shortly after each other, beside idle
// engines. Callers of the ones that were told first were refused for seconds,
// since a stream was measured by its route's 15 seconds and not by the half
// second that it takes; and nobody scheduled once the last one was told.
func TestStopsThatOverlapRefuseNobody(t *testing.T) {
	play(t, func(f *fleet) {
		f.warmUp()
		for i := range gateways {
			go f.stop(i)
			bubble.Pass(750 * time.Millisecond)
		}
		for i := range gateways {
			o := f.call(i, "/old/x", "after"+strconv.Itoa(i))
			require.NoError(t, o.err)
			require.Equal(t, http.StatusOK, o.status, "gateway %d", i)
		}
		bubble.Pass(10 * time.Second)
	})
}

// A gateway that stops gets a request whose length outruns what is left of its
// time. The caller is told at once, and to come back at once: another gateway
// has the time. Begun here, it would be cut in the middle.
func TestStoppingGatewayLeavesLongStreamsToOthers(t *testing.T) {
	play(t, func(f *fleet) {
		f.warmUp()
		go f.stop(0)
		bubble.Pass(3 * time.Second)
		o := f.callFor(0, "/old/x", "long", "1000,9000", "300")
		require.NoError(t, o.err)
		require.Equal(t, http.StatusServiceUnavailable, o.status)
		require.Less(t, o.took, 50*time.Millisecond)
		require.Equal(t, "0.010", o.retryAfter)
		require.Equal(t, http.StatusOK, f.callFor(1, "/old/x", "again", "1000,9000", "300").status)
		bubble.Pass(10 * time.Second)
	})
}

// Guards against a stream that is taken late in a stop, outruns the guess of its
// length and is cut: the caller gets all of it, or is told at once that it has
// not run.
func TestStreamThatOutrunsItsGuessIsNotCutByAStop(t *testing.T) {
	var o outcome
	play(t, func(f *fleet) {
		f.warmUp()
		go f.stop(0)
		bubble.Pass(3200 * time.Millisecond)
		o = f.callFor(0, longPath, "outruns", "1000,2940", "12")
		bubble.Pass(10 * time.Second)
	})
	require.NoError(t, o.err)
	if o.status == http.StatusOK {
		require.Equal(t, longEvents, strings.Count(o.body, "data:"))
		return
	}
	require.Equal(t, http.StatusServiceUnavailable, o.status)
	require.Less(t, o.took, 50*time.Millisecond)
}

// A new configuration adds a route and drops another. Two seconds after the
// store accepted it, every gateway goes by it.
func TestConfigurationIsInForceEverywhereWithinItsTime(t *testing.T) {
	play(t, func(f *fleet) {
		bubble.Pass(5 * time.Second)
		f.configure(2, "/new/")
		bubble.Pass(2 * time.Second)
		for i := range gateways {
			require.Equal(t, http.StatusOK, f.call(i, "/new/x", fmt.Sprint("new", i)).status)
			require.Equal(t, http.StatusNotFound, f.call(i, "/old/x", fmt.Sprint("old", i)).status)
		}
	})
}

// The store is silent for ten seconds; gateways go on with what they know. A
// change that was accepted at its return is in force two seconds later.
func TestStoreOutageIsSurvived(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.SetFault(standin.Silent)
		for range 10 {
			bubble.Pass(time.Second)
			require.Equal(t, gateways, served(f.calls(gateways, "/old/x")))
		}
		f.store.SetFault(standin.None)
		f.configure(2, "/new/")
		bubble.Pass(2 * time.Second)
		require.Equal(t, gateways, served(f.calls(gateways, "/new/x")))
	})
}

// An upstream says that it leaves. Two seconds later it gets nothing new.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.Put("servers/engine-0", fmt.Sprintf(
			`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"draining"}`, engineAt(0), slots))
		bubble.Pass(2 * time.Second)
		f.most[engineAt(0)] = 0
		require.Equal(t, (engines-1)*slots, served(f.calls((engines-1)*slots, "/old/x")))
		require.Zero(t, f.most[engineAt(0)])
	})
}

// The store turns one gateway away and serves the others. A new configuration,
// and the leaving of an upstream, reach it through its peers.
func TestGatewayThatTheStoreTurnsAwayIsToldByItsPeers(t *testing.T) {
	play(t, func(f *fleet) {
		const cut = 1
		f.network.Vanish(storeAt(cut))
		bubble.Pass(5 * time.Second)
		f.configure(2, "/new/")
		f.store.Put("servers/engine-0", fmt.Sprintf(
			`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"draining"}`, engineAt(0), slots))
		bubble.Pass(2 * time.Second)
		f.most[engineAt(0)] = 0
		require.Equal(t, http.StatusOK, f.call(cut, "/new/x", "a").status)
		require.Equal(t, http.StatusNotFound, f.call(cut, "/old/x", "b").status)
		require.Zero(t, f.most[engineAt(0)])
	})
}

// The gateway that schedules loses its power while requests wait for its word.
// They are asked of the next one, and served.
func TestDeathOfTheSchedulerLosesNoWaitingRequest(t *testing.T) {
	play(t, func(f *fleet) {
		f.network.Vanish(linksAt(0))
		f.network.Vanish(callersAt(0))
		for i := range 10 {
			for _, at := range []int{1, 2} {
				o := f.call(at, "/old/x", fmt.Sprint("r", i, at))
				require.Equal(t, http.StatusOK, o.status)
				require.Less(t, o.took, 2*time.Second)
			}
		}
	})
}

// All gateways lose their power at once. What the engines' speeds are was known
// to the one that scheduled; it is in the store, so that whoever schedules next
// need not learn it from streams that slow engines cannot end in time.
func TestSpeedsOfEnginesAreKeptInTheStore(t *testing.T) {
	play(t, func(f *fleet) {
		f.calls(engines*slots, "/old/x")
		bubble.Pass(2 * time.Second)
		for i := range engines {
			require.Contains(t, f.store.Value("engine-speeds"), fmt.Sprintf(`"id":"engine-%d"`, i))
		}
		written := f.store.Value("engine-speeds")
		bubble.Pass(20 * time.Second)
		require.Equal(t, written, f.store.Value("engine-speeds"), "nothing new is learned, nothing is written")
	})
}

// The store is away while engines show how fast they are, and the gateway that
// schedules dies before it is back. The next one took all engines for ordinary
// ones, though it had heard of each stream's place; it knows what was learned,
// and it is what the store is told at its return.
func TestNextSchedulerKnowsSpeedsThatTheStoreDoesNot(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.SetFault(standin.Silent)
		f.warmUp()
		bubble.Pass(3 * time.Second)
		f.stop(f.scheduler())
		f.store.SetFault(standin.None)
		bubble.Pass(8 * time.Second)
		for i := range engines {
			require.Contains(t, f.store.Value("engine-speeds"), "engine-"+strconv.Itoa(i))
		}
	})
}

// Operators order another version while its upstreams start beside the old
// ones. The gateway that schedules, and so steps the move, loses its power half
// way. Another one carries on from what is in the store: the move is completed
// before its deadline, and told once.
func TestMoveIsCompletedThoughItsHolderDies(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.Put("op/rollout/tutor", `{"service":"tutor","target":"v2","durationS":20}`)
		f.serve(engineAt(8), f.engine(engineAt(8)))
		f.store.Put("servers/engine-8", fmt.Sprintf(
			`{"service":"tutor","address":%q,"zone":"a","version":"v2","slots":%d,"state":"ready"}`, engineAt(8), slots))
		bubble.Pass(2 * time.Second)
		require.JSONEq(t, `{"state":"running","target":"v2"}`, f.store.Value("status/rollout/tutor"))
		for i := range 8 {
			require.Equal(t, http.StatusOK, f.call(1+i%2, "/old/x", fmt.Sprint("before", i)).status)
		}
		f.network.Vanish(linksAt(0))
		f.network.Vanish(callersAt(0))
		f.network.Vanish(storeAt(0))
		bubble.Pass(16 * time.Second)
		require.JSONEq(t, `{"state":"complete","target":"v2"}`, f.store.Value("status/rollout/tutor"))
		f.most[engineAt(8)] = 0
		require.Equal(t, http.StatusOK, f.call(1, "/old/x", "after").status)
		require.Positive(t, f.most[engineAt(8)], "after the move only the new version serves")
	})
}

// On call, somebody looks whether a gateway hears its peers, which configuration
// it goes by, what became of asks for places and what the store answers.
func TestMetricsTellWhatTheGatewayBelieves(t *testing.T) {
	play(t, func(f *fleet) {
		f.calls(engines*slots, "/old/x")
		text := f.metrics(0)
		for _, want := range []string{
			"persimmonridge_configuration_version 1", "persimmonridge_gateways_heard 3", "persimmonridge_upstreams 4",
			`persimmonridge_places_total{result="granted"}`, `persimmonridge_store_calls_total{call="watch",result="ok"}`,
			`persimmonridge_requests_total{outcome="answered",tier="0"}`,
		} {
			require.Contains(t, text, want)
		}
	})
}
