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
