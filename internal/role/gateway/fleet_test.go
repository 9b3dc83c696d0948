package gateway_test

import (
	"cmp"
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
	"github.com/persimmonridge/persimmonridge/internal/limit/warmup"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/role/gateway"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/platform"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	attemptIDHeader   = "X-Persimmonridge-Attempt-Id"
	sealHeader        = "X-Persimmonridge-Response-Seal"
	notExecutedHeader = "X-Persimmonridge-Not-Executed"
	gateways          = 3
	engines           = 4
	slots             = 2
	// linkPort ends the addresses at which gateways accept each other.
	linkPort = ":81"
	// longPath is the path of a stream of longEvents events; others have three.
	longPath   = "/old/long"
	longEvents = 60
)

// fleet is a set of gateways and engines and a store on an in-memory network.
type fleet struct {
	t       *testing.T
	network *network.Network
	// size is the number of gateways, and slots that of each engine.
	size, slots int
	// links holds the links of the gateways that have one of limited bandwidth.
	links map[int]*network.Link
	// storeOverLinks is set if the connections to the store are over the links, too.
	storeOverLinks bool
	store          *standin.Store
	cancels        []context.CancelFunc
	stopOnce       []*sync.Once
	exits          []chan error
	servers        []*http.Server
	nodes          []*gateway.Gateway
	logger         *slog.Logger
	dialers        map[int]*dialer
	// sockets holds, by gateway, the listeners and accepted connections of its process.
	sockets map[int]*sockets
	// configApply is the setting of the gateways, two seconds if it is 0.
	configApply time.Duration
	// relayedFleet is the setting of the gateways.
	relayedFleet int
	// turnedAway holds the gateways that the store turns away.
	turnedAway map[int]bool
	// writeFaults holds how the store fails the writes of gateways whose reads it answers.
	writeFaults map[int]writeFault

	mu sync.Mutex
	// broken holds the IDs of requests that an engine broke off once.
	broken map[string]bool
	// peakLoad and running hold, by engine, the largest and the present number of
	// running requests.
	peakLoad map[string]int
	running  map[string]int
	// arrivals holds, by engine, when it got requests.
	arrivals map[string][]time.Time
	// stated holds, by engine, the headers that it adds to its answers.
	stated map[string]map[string]string
	// refuses holds the engines that turn all requests away, and senders, by engine, the IDs
	// of the requests in arrivals.
	refuses map[string]bool
	senders map[string][]string
	// resets is set while engines reset all requests, and errors while they answer all with an
	// error. observe is called with each request that reaches an engine, if it is not nil.
	resets, errors bool
	observe        func(at time.Time, id string)
}

// storeAddress returns the store's address for one gateway; each has its own, so that
// one gateway can be cut off from the store.
func storeAddress(i int) string  { return fmt.Sprintf("10.0.9.%d:80", i+1) }
func callerAddress(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }
func linkAddress(i int) string   { return fmt.Sprintf("10.0.0.%d%s", i+1, linkPort) }
func engineAddress(i int) string { return fmt.Sprintf("10.0.1.%d:80", i+1) }

// runFleet starts a fleet in fake time, runs the script and stops the fleet.
func runFleet(t *testing.T, script func(f *fleet)) {
	runLoggedFleet(t, slog.New(slog.DiscardHandler), script)
}

// runLoggedFleet is runFleet with the logger of all gateways.
func runLoggedFleet(t *testing.T, logger *slog.Logger, script func(f *fleet)) {
	playFleet(t, &fleet{size: gateways, slots: slots, logger: logger}, script)
}

// playFleet is runFleet with a fleet of the given size, slots, links and logger.
func playFleet(t *testing.T, f *fleet, script func(f *fleet)) {
	bubble.Run(t, func(t *testing.T) {
		f.t, f.network, f.store = t, network.New(), standin.NewStore()
		f.broken, f.peakLoad, f.running = map[string]bool{}, map[string]int{}, map[string]int{}
		f.arrivals, f.stated = map[string][]time.Time{}, map[string]map[string]string{}
		f.turnedAway, f.writeFaults = map[int]bool{}, map[int]writeFault{}
		f.refuses, f.senders = map[string]bool{}, map[string][]string{}
		for i := range f.size {
			f.serve(storeAddress(i), f.storeOf(i))
		}
		for i := range engines {
			f.serve(engineAddress(i), f.engine(engineAddress(i)))
			f.store.Put("servers/engine-"+strconv.Itoa(i), fmt.Sprintf(
				`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready"}`, engineAddress(i), f.slots))
		}
		f.putConfig(1, "/old/")
		for i := range f.size {
			f.start(i)
		}
		bubble.Sleep(2 * time.Second)
		script(f)
		for i := range f.size {
			f.stop(i)
		}
		for _, server := range f.servers {
			require.NoError(t, server.Close())
		}
	})
}

// storeOf returns the store as one gateway reaches it: it may turn that one away.
func (f *fleet) storeOf(i int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		away, fault := f.turnedAway[i], f.writeFaults[i]
		f.mu.Unlock()
		if r.Method == http.MethodGet {
			fault = writesWork
		}
		switch {
		case away || fault == writesRefused:
			w.WriteHeader(http.StatusServiceUnavailable)
		case fault == writesUnanswered:
			// The end of the connection is noticed only after the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case fault == writesCut:
			panic(http.ErrAbortHandler)
		default:
			f.store.ServeHTTP(w, r)
		}
	})
}

// writeFault is how the store fails writes.
type writeFault int

const (
	writesWork writeFault = iota
	writesRefused
	writesUnanswered
	writesCut
)

// failWrites sets how the store fails the writes of a gateway.
func (f *fleet) failWrites(gateway int, fault writeFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeFaults[gateway] = fault
}

// turnAway makes the store turn gateways away, or serve them again.
func (f *fleet) turnAway(away bool, gateways ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range gateways {
		f.turnedAway[i] = away
	}
}

func (f *fleet) serve(address string, handler http.Handler) {
	listener, err := f.network.Listen(address)
	require.NoError(f.t, err)
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// stallTime is how long an engine stalls: longer than any caller of these tests waits.
const stallTime = 20 * time.Second

// engine returns a handler that streams events a tenth of a second apart and counts
// its running requests. The query may state the number of events, after how many the first
// attempt breaks off, and after how many it stalls; a resumed stream goes on after the last
// event it had.
func (f *fleet) engine(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.running[name]++
		f.arrivals[name] = append(f.arrivals[name], time.Now())
		f.peakLoad[name] = max(f.peakLoad[name], f.running[name])
		for header, value := range f.stated[name] {
			w.Header().Set(header, value)
		}
		f.senders[name] = append(f.senders[name], r.Header.Get(attemptIDHeader))
		refuses, resets, errors, observe := f.refuses[name], f.resets, f.errors, f.observe
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			f.running[name]--
			f.mu.Unlock()
		}()
		if observe != nil {
			observe(time.Now(), r.Header.Get(attemptIDHeader))
		}
		if resets {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
		if refuses {
			w.Header().Set(notExecutedHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(sealHeader, "s")
		if errors {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		events := 3
		if r.URL.Path == longPath {
			events = longEvents
		}
		query := r.URL.Query()
		if n, err := strconv.Atoi(query.Get("events")); err == nil {
			events = n
		}
		stallAfter := -1
		if n, err := strconv.Atoi(query.Get("stall")); err == nil {
			stallAfter = n
		}
		breakAfter, err := strconv.Atoi(query.Get("break"))
		id := r.Header.Get(attemptIDHeader)
		f.mu.Lock()
		breaks := err == nil && !f.broken[id]
		f.broken[id] = f.broken[id] || breaks
		f.mu.Unlock()
		resumeAfter := 0
		if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			resumeAfter = n
		}
		for i := resumeAfter; i < events; i++ {
			if breaks && i == breakAfter {
				panic(http.ErrAbortHandler)
			}
			if i == stallAfter {
				bubble.Sleep(stallTime)
				panic(http.ErrAbortHandler)
			}
			bubble.Sleep(100 * time.Millisecond)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	})
}

func (f *fleet) putConfig(version int, prefix string) {
	f.store.Put("op/config", fmt.Sprintf(`{"version":%d,
		"routes":[{"name":"r","hostname":"h","prefix":%q,"kind":"streaming","timeoutMs":15000,"targetLatencyMs":600,
			"service":"tutor","maxAttempts":2,"streamResume":true,"gapAimMs":250}],
		"services":[{"name":"tutor","engine":{"slots":%d,"stride":6}}],
		"limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},
		"tenants":[{"name":"studio","apiKeys":["key"]}]}`, version, prefix, f.slots))
}

func (f *fleet) start(i int) {
	ctx, cancel := context.WithCancel(f.t.Context())
	f.cancels = append(f.cancels, cancel)
	f.stopOnce = append(f.stopOnce, &sync.Once{})
	f.exits = append(f.exits, make(chan error, 1))
	f.nodes = append(f.nodes, f.run(ctx, i))
}

// run starts a gateway's process.
func (f *fleet) run(ctx context.Context, i int) *gateway.Gateway {
	settings, exit, process := f.settings(i), f.exits[i], &sockets{}
	f.mu.Lock()
	if f.sockets == nil {
		f.sockets = make(map[int]*sockets)
	}
	f.sockets[i] = process
	f.mu.Unlock()
	g := gateway.New(gateway.Dependencies{
		Settings: settings, Store: platform.NewStore(storeAddress(i), f.dialStore(i)), Decoder: platform.Decoder{},
		Headers: platform.Headers{}, AnswerHeaders: platform.AnswerHeaders(), Dialer: f.dialer(i),
		Listen: func(_, address string) (net.Listener, error) { return f.listen(i, process, address) },
		Logger: f.logger.With("node", settings.Name), Now: time.Now,
	})
	go func() { exit <- g.Run(ctx) }()
	return g
}

// listen opens a listener of the gateway's process.
func (f *fleet) listen(i int, process *sockets, address string) (net.Listener, error) {
	l, err := f.network.Listen(address)
	if err != nil {
		return nil, err
	}
	l = &socketListener{Listener: l, sockets: process}
	process.add(l)
	if f.links[i] == nil {
		return l, nil
	}
	return f.links[i].Listener(l), nil
}

func (f *fleet) settings(i int) gateway.Settings {
	return gateway.Settings{
		LinkBytesPerSecond: f.links[i].BytesPerSecond(),
		Name:               "gateway-" + strconv.Itoa(i), Domain: "a", CallerAddress: callerAddress(i), LinkAddress: linkAddress(i),
		ReadinessAddress: fmt.Sprintf("10.0.0.%d:82", i+1), MetricsAddress: fmt.Sprintf("10.0.0.%d:83", i+1),
		RelayedFleet: f.relayedFleet,
		GracePeriod:  8 * time.Second, ConfigApplyLimit: cmp.Or(f.configApply, 2*time.Second), Quota: quota.Options{StartFull: true},
		Retry:     retry.Settings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		ConfigKey: platform.ConfigPrefix, UpstreamPrefix: platform.UpstreamPrefix, OrderPrefix: platform.RolloutPrefix,
		EvacuationPrefix: platform.EvacuationPrefix, Regions: map[string]string{"a": "north", "b": "south"},
		WarmUp: warmup.Limit{Factor: 1.5, Slack: 5},
	}
}

// stop stops a gateway gracefully and waits for its end. Further calls, as runFleet
// makes after the script, only wait.
func (f *fleet) stop(i int) {
	f.stopOnce[i].Do(func() {
		f.cancels[i]()
		require.NoError(f.t, <-f.exits[i])
	})
}

// outcome is the result of a call as its caller sees it.
type outcome struct {
	status int
	body   string
	err    error
	took   time.Duration
	// retryAfter is the Retry-After header.
	retryAfter string
}

func (f *fleet) call(i int, path, attemptID string) outcome {
	return f.callFor(i, path, attemptID, "1000,100", "18")
}

// callFor calls a gateway with the given token counts and length hint.
func (f *fleet) callFor(i int, path, attemptID, tokenCounts, lengthHint string) outcome {
	return f.callWithBody(i, path, attemptID, tokenCounts, lengthHint, strings.NewReader("body"))
}

func (f *fleet) callWithBody(i int, path, attemptID, tokenCounts, lengthHint string, body io.Reader) outcome {
	return f.callWithHeaders(i, path, attemptID, body, map[string]string{
		"X-Persimmonridge-Token-Counts": tokenCounts, "X-Persimmonridge-Length-Hint": lengthHint,
	})
}

// callWithHeaders calls a gateway with the given headers besides those of each request.
func (f *fleet) callWithHeaders(i int, path, attemptID string, body io.Reader, headers map[string]string) outcome {
	client := &http.Client{Transport: &http.Transport{DialContext: f.network.DialContext, DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+callerAddress(i)+path, body)
	require.NoError(f.t, err)
	r.Host = "h"
	for name, value := range map[string]string{attemptIDHeader: attemptID, "Api-Key": "key", "X-Persimmonridge-Deadline-Ms": "15000"} {
		r.Header.Set(name, value)
	}
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	start := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return outcome{err: err}
	}
	received, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return outcome{
		status: response.StatusCode, body: string(received), err: err, took: time.Since(start),
		retryAfter: response.Header.Get("Retry-After"),
	}
}

// callAll makes concurrent calls, spread over the gateways, and returns their outcomes.
func (f *fleet) callAll(count int, path string) []outcome {
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

// schedules reports whether the gateway considers itself the scheduler.
func (f *fleet) schedules(i int) bool {
	return strings.Contains(f.metrics(i), "\npersimmonridge_schedules 1\n")
}

// scheduler returns the gateway that grants engine slots.
func (f *fleet) scheduler() int {
	for i := range f.size {
		if f.schedules(i) {
			return i
		}
	}
	require.Fail(f.t, "no gateway is the scheduler")
	return 0
}

// warmUp makes calls from which the scheduler learns the engines' speeds.
func (f *fleet) warmUp() {
	for range 4 {
		require.Equal(f.t, engines*slots, countServed(f.callAll(engines*slots, "/old/x")))
	}
}

func countServed(outcomes []outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.status == http.StatusOK && o.err == nil {
			n++
		}
	}
	return n
}
