package flow_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/caller/connection"
	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
	"github.com/persimmonridge/persimmonridge/platform"
)

const (
	idHeader   = "X-Persimmonridge-Attempt-Id"
	sealHeader = "X-Persimmonridge-Response-Seal"
)

// fixture is a Handler in front of scripted upstreams. It implements the Handler's
// dependencies and records what the Handler did.
type fixture struct {
	t         *testing.T
	server    *httptest.Server
	content   catalog.Content
	upstreams []roster.Upstream
	headers   map[string]string

	// fakes guards what the fakes record; other locks may be held.
	fakes             sync.Mutex
	mu                sync.Mutex
	executed          []string
	placementRequests []flow.PlacementRequest
	outcomes          []flow.Outcome
	quota             quotaRecord
	shutdownSince     time.Time
	// otherAccepts reports that another process accepts requests.
	otherAccepts bool
	// acceptNoticed reports that another process accepts requests once the load balancer
	// has noticed the shutdown, and nextAccepting is after what time one has started again.
	acceptNoticed bool
	nextAccepting time.Duration
	// pendingQuotaRequests is the number of quota requests until the usage totals
	// are known.
	pendingQuotaRequests int
	retryBudget          int
	// requestsCounted is how many requests were told to the budget.
	requestsCounted int
	blocked         bool
	// whenBlocked is what the handler wants called when its request becomes blocked.
	whenBlocked  func()
	crashReports []string
	// served is the number of requests that were recorded as served.
	served int
	dial   exchange.Dial
	// picker is the fixture itself, unless a test replaces it and starts again.
	picker flow.Picker
	// guard is nil unless a test sets it and starts again.
	guard *guard
	// domains holds the failure domains of each region.
	domains map[string][]string
	// unfinished is nil unless a test sets it and starts again.
	unfinished *memory.Budget
	// memory is the network of the upstreams if they are reached in memory.
	memory *network.Network
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, retryBudget: 10, dial: new(net.Dialer).DialContext}
	f.picker = f
	f.content = catalog.Content{
		Version: 1,
		Routes: []catalog.Route{
			{Name: "pay", Host: "h", Prefix: "/pay/", Kind: catalog.NonIdempotent, Timeout: time.Minute, MaxAttempts: 3},
			{Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Idempotent, Timeout: time.Minute, MaxAttempts: 2},
			{Name: "long", Host: "h", Prefix: "/long/", Kind: catalog.Streaming, Resumable: true, Timeout: time.Minute, MaxAttempts: 2},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: catalog.Streaming, Timeout: time.Minute, MaxAttempts: 2},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: catalog.NonIdempotent, Timeout: 20 * time.Millisecond, MaxAttempts: 1},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: catalog.Idempotent, Timeout: time.Minute, MaxAttempts: 1, Public: true},
		},
		Services:   []catalog.Service{{Name: "s"}},
		Workspaces: []catalog.Workspace{{Name: "studio", APIKeys: []string{"key"}, Tier: -1}},
	}
	for i := range f.content.Routes {
		f.content.Routes[i].Targets = []catalog.Target{{Service: "s", Weight: 1}}
	}
	f.start()
	return f
}

func (f *fixture) start() {
	pool := exchange.NewPool(f.dial)
	handler := flow.New(flow.Dependencies{
		Headers: platform.Headers{}, Client: exchange.NewClient(pool, platform.AnswerHeaders(), time.Now),
		Catalog: func() *catalog.Catalog {
			if f.content.Version == 0 {
				return nil
			}
			return catalog.New(f.content)
		},
		Picker: f.picker, Quota: f, Retries: retries{f}, Crashes: f, Metrics: metrics{},
		Logger: slog.New(slog.DiscardHandler), Now: time.Now, ShutdownStatus: f.shutdown,
		OthersAccept:  func(noticed bool) bool { return f.otherAccepts || noticed && f.acceptNoticed },
		NextAccepting: func(now time.Time) time.Time { return now.Add(f.nextAccepting) },
	})
	if f.guard != nil {
		handler.Guard = f.guard
	}
	handler.Domains, handler.Unfinished = f.domainsIn, f.unfinished
	f.server = httptest.NewUnstartedServer(handler)
	f.server.Config.ConnContext = connection.NewContext
	f.server.Start()
	f.t.Cleanup(f.server.Close)
	f.t.Cleanup(func() { require.NoError(f.t, pool.Close()) })
}

// addUpstream adds an upstream that answers with the text, in which ID is replaced
// by the request's ID, and then closes the connection.
func (f *fixture) addUpstream(name, text string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	f.upstreams = append(f.upstreams, roster.Upstream{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.answerOne(conn, name, text)
		}
	}()
}

func (f *fixture) answerOne(conn net.Conn, name, text string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	f.mu.Lock()
	f.executed = append(f.executed, name+" after "+request.Header.Get("Last-Event-Id")+" tenant "+
		request.Header.Get("X-Persimmonridge-Tenant")+" key "+request.Header.Get("Api-Key"))
	f.mu.Unlock()
	text = strings.ReplaceAll(strings.ReplaceAll(text, "ID", request.Header.Get(idHeader)), "\n", "\r\n")
	if text == "" {
		_, _ = io.Copy(io.Discard, conn) // sends nothing until the peer closes
	}
	_, _ = io.WriteString(conn, text)
}

// addUnreachable adds an upstream that refuses connections.
func (f *fixture) addUnreachable(name string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.upstreams = append(f.upstreams, roster.Upstream{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
	require.NoError(f.t, listener.Close())
}

type placement struct {
	fixture  *fixture
	upstream roster.Upstream
}

func (p placement) Upstream() roster.Upstream           { return p.upstream }
func (p placement) ReportLoad(time.Time, exchange.Load) {}
func (p placement) AnswerStarted(time.Time)             {}
func (p placement) Release(_ time.Time, o flow.Outcome, _ int) {
	p.fixture.mu.Lock()
	defer p.fixture.mu.Unlock()
	p.fixture.outcomes = append(p.fixture.outcomes, o)
}

// Pick implements flow.Picker. It returns the upstreams in their order.
func (f *fixture) Pick(_ context.Context, _ time.Time, a flow.PlacementRequest) (flow.Placement, error) {
	f.fakes.Lock()
	defer f.fakes.Unlock()
	f.placementRequests = append(f.placementRequests, a)
	if len(a.ExcludedUpstreams) >= len(f.upstreams) {
		return nil, flow.RefusePlacement(1500*time.Millisecond, "none left")
	}
	return placement{fixture: f, upstream: f.upstreams[len(a.ExcludedUpstreams)]}, nil
}

type metrics struct{}

func (metrics) RequestFinished(string, int, string, time.Duration) {}
func (metrics) QuotaRefused(flow.QuotaStage)                       {}
func (metrics) FirstEventSent(int, time.Duration)                  {}
func (metrics) AttemptFinished(string, flow.Outcome)               {}

func (f *fixture) Blocked(time.Time, flow.CrashKey) bool { return f.blocked }
func (f *fixture) shutdown() (since, until time.Time, leaving bool) {
	return f.shutdownSince, f.shutdownSince.Add(8 * time.Second), !f.shutdownSince.IsZero()
}

// retries implements flow.RetryBudget with the fixture's budget.
type retries struct{ fixture *fixture }

func (r retries) Sent(time.Time, string) {
	r.fixture.fakes.Lock()
	defer r.fixture.fakes.Unlock()
	r.fixture.requestsCounted++
}

func (r retries) Reserve(time.Time, string) bool {
	r.fixture.fakes.Lock()
	defer r.fixture.fakes.Unlock()
	if r.fixture.retryBudget <= 0 {
		return false
	}
	r.fixture.retryBudget--
	return true
}

func (retries) Spend(time.Time, string) bool { return true }

func (retries) Await(string) func() { return nil }

func (r retries) Release(string) {
	r.fixture.fakes.Lock()
	defer r.fixture.fakes.Unlock()
	r.fixture.retryBudget++
}

// call makes one request and returns the response and its body.
func (f *fixture) call(path string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, f.server.URL+path, strings.NewReader("body"))
	require.NoError(f.t, err)
	request.Host = "h"
	request.Header.Set(idHeader, "r1")
	request.Header.Set("Api-Key", "key")
	for name, value := range f.headers {
		request.Header.Set(name, value)
	}
	response, err := f.server.Client().Do(request)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(f.t, response.Body.Close())
	return response, string(body), err
}

const (
	successAnswer  = "HTTP/1.1 200 OK\n" + idHeader + ": ID\n" + sealHeader + ": s\nContent-Length: 2\n\nok"
	failureAnswer  = "HTTP/1.1 500 Oops\n" + idHeader + ": ID\n" + sealHeader + ": s\nContent-Length: 3\n\nbad"
	declinedAnswer = "HTTP/1.1 503 Busy\n" + idHeader + ": ID\nX-Persimmonridge-Not-Executed: 1\nContent-Length: 0\n\n"
	unsealedAnswer = "HTTP/1.1 200 OK\n" + idHeader + ": ID\nContent-Length: 2\n\nok"
	streamHeader   = "HTTP/1.1 200 OK\n" + idHeader + ": ID\n" + sealHeader + ": s\nContent-Type: text/event-stream\n\n"
	brokenStream   = "HTTP/1.1 200 OK\n" + idHeader + ": ID\n" + sealHeader + ": first\nTransfer-Encoding: chunked\n\n" +
		"12\nid: 1\ndata: a\n\n\nd\nid: 2\ndata: \n"
)
