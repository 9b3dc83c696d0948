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

func TestAnswerIsPassedOn(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", successAnswer)
	response, body, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "s", response.Header.Get(sealHeader))
	require.Equal(t, "ok", body)
	require.Equal(t, []string{"one after  tenant studio key "}, f.executed, "the upstream gets the workspace's name and not the API key")
}

// Guards against a payment that is executed twice after its answer was lost:
// because it is sent to another upstream, or because its caller is told that it was
// not executed and sends it again.
func TestNonIdempotentRequestWithLostAnswerIsNotRetriedOrRefused(t *testing.T) {
	for name, text := range map[string]string{"closed": "HTTP/1.1 200", "unsealed": unsealedAnswer, "other id": strings.ReplaceAll(successAnswer, "ID", "zz")} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addUpstream("one", text)
			f.addUpstream("two", successAnswer)
			response, _, err := f.call("/pay/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Len(t, f.executed, 1)
		})
	}
}

// A payment that no upstream has executed, because they are down or full, may be
// sent to the next one, or be refused with a Retry-After.
func TestNonIdempotentRequestIsRetriedIfNotExecuted(t *testing.T) {
	f := newFixture(t)
	f.addUnreachable("gone")
	f.addUpstream("full", declinedAnswer)
	f.addUpstream("three", successAnswer)
	response, _, err := f.call("/pay/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, []flow.Outcome{flow.Unreachable, flow.Declined, flow.Answered}, f.outcomes)
}

func TestNonIdempotentRequestThatWasNotExecutedIsRefusedWithRetryAfter(t *testing.T) {
	f := newFixture(t)
	f.addUnreachable("gone")
	response, _, err := f.call("/pay/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1.500", response.Header.Get("Retry-After"))
}

// A failed read is retried on another upstream within the attempts of its route
// and the fleet's retry budget. After that the failure is passed on unchanged.
func TestFailedReadIsRetriedUpToMaxAttempts(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", failureAnswer)
	f.addUpstream("two", successAnswer)
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)

	f = newFixture(t)
	f.addUpstream("one", failureAnswer)
	f.addUpstream("two", failureAnswer)
	f.addUpstream("three", successAnswer)
	response, body, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Equal(t, "bad", body)
	require.Len(t, f.executed, 2)
}

// An upstream dies within an event. The stream is resumed on another upstream
// after the last complete event. The caller gets the header of the first upstream
// and nothing of the partial event.
func TestBrokenStreamIsResumedAfterTheLastCompleteEvent(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", brokenStream)
	f.addUpstream("two", streamHeader+"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	response, body, err := f.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, "first", response.Header.Get(sealHeader))
	require.Equal(t, "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3\r\ndata: c\r\n\r\n", body)
	require.Contains(t, f.executed[1], "two after 1 ")
}

// Guards against resumable streams that are aborted with "no slot became free in
// time". After sixteen engines had crashed in a burst, the first events of their
// streams had been due seconds before, and the scheduler took them for requests
// that are late anyway.
func TestResumedStreamGetsANewDueTime(t *testing.T) {
	f := newFixture(t)
	f.content.Routes[2].LatencyTarget = 10 * time.Millisecond
	f.addUpstream("one", brokenStream)
	f.addUpstream("two", streamHeader+"id: 2\ndata: b\n\n")
	_, _, err := f.call("/long/x")
	require.NoError(t, err)
	require.Len(t, f.placementRequests, 2)
	require.True(t, f.placementRequests[1].Resent)
	require.GreaterOrEqual(t, f.placementRequests[1].NextEventDue.Sub(f.placementRequests[0].NextEventDue), time.Second)
}

// A broken stream whose route does not allow resuming is aborted. It must not look
// complete to the caller, and no other upstream gets the request.
func TestNonResumableStreamIsAborted(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", brokenStream)
	f.addUpstream("two", streamHeader)
	_, body, err := f.call("/once/x")
	require.Error(t, err)
	require.NotContains(t, body, "id: 2")
	require.Len(t, f.executed, 1)
}

// If the upstream does not answer within the route's timeout, the caller gets a
// gateway timeout and is not told that the request was not executed.
func TestSilentUpstreamTimesOut(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", "")
	response, _, err := f.call("/short/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
}

// Retries share a budget across the fleet. Once it is exhausted a read is not
// retried, which would add load to services that are already failing; the caller
// gets the upstream's failure.
func TestExhaustedRetryBudgetEndsRetries(t *testing.T) {
	f := newFixture(t)
	f.retryBudget = 0
	f.addUpstream("one", failureAnswer)
	f.addUpstream("two", successAnswer)
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Len(t, f.executed, 1)
}

// Guards against a share of retries that grows with each upstream that refuses a connection: the
// request was counted anew for each of them.
func TestRequestIsCountedOnceHoweverManyUpstreamsRefuseConnections(t *testing.T) {
	f := newFixture(t)
	for _, name := range []string{"one", "two", "three"} {
		f.addUnreachable(name)
	}
	f.addUpstream("four", successAnswer)
	f.requireStatus("/read/x", http.StatusOK)
	require.Equal(t, 1, f.requestsCounted)
	require.Equal(t, 10, f.retryBudget, "nothing was sent twice")
}

func TestRoutingAndAuthentication(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", successAnswer)
	for path, want := range map[string]int{"/read/x": http.StatusOK, "/nowhere/": http.StatusNotFound, "/read": http.StatusNotFound} {
		response, _, err := f.call(path)
		require.NoError(t, err)
		require.Equal(t, want, response.StatusCode, path)
	}
	f.content.Workspaces[0].APIKeys = nil
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	response, _, err = f.call("/open/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// A process without a configuration must answer that it is unavailable, and not
// that a route or key is unknown.
func TestMissingConfigurationIsUnavailable(t *testing.T) {
	f := newFixture(t)
	f.content.Version = 0
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

// Guards against a long stream that arrives shortly before the process exits, on a
// connection that is still open, and is cut off. It is refused at once, while a
// short request is served.
func TestRequestThatOutlastsAShutdownIsRefused(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", successAnswer)
	f.shutdownSince = time.Now().Add(-5 * time.Second)
	response, _, err := f.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	f.content.Routes[1].Timeout = time.Second
	response, _, err = f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a stream that is accepted late in a shutdown, exceeds its
// estimated length and is cut off. Late streams are planned with more than the
// estimate, though never with more than they may generate.
func TestLateStreamIsPlannedWithItsMaximum(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", streamHeader+"id: 1\ndata: a\n\n")
	for _, c := range []struct {
		since             time.Duration
		tokenCounts, hint string
		ending            flow.EndConstraint
		planned           int
	}{
		{time.Second, "1000,100", "20", flow.EndPreferred, 20},
		{2500 * time.Millisecond, "1000,100", "20", flow.EndRequired, 100},
		{3 * time.Second, "1000,100", "20", flow.EndRequired, 100},
		{3 * time.Second, "1000,30", "20", flow.EndRequired, 30},
	} {
		f.shutdownSince = time.Now().Add(-c.since)
		f.headers = map[string]string{"X-Persimmonridge-Token-Counts": c.tokenCounts, "X-Persimmonridge-Length-Hint": c.hint}
		_, _, err := f.call("/long/x")
		require.NoError(t, err)
		request := f.placementRequests[len(f.placementRequests)-1]
		require.Equal(t, c.ending, request.EndConstraint)
		require.Equal(t, c.planned, request.OutputTokens)
	}
}

// Guards against a stream that is accepted during a shutdown, exceeds any estimate of
// its length and is cut off, although another process could have served it.
func TestStreamInShutdownIsPlannedWithItsMaximumWhileOthersAccept(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", streamHeader+"id: 1\ndata: a\n\n")
	for _, c := range []struct {
		since        time.Duration
		otherAccepts bool
		ending       flow.EndConstraint
		planned      int
	}{
		{0, true, flow.EndRequired, 100},
		{time.Second, true, flow.EndRequired, 100},
		{time.Second, false, flow.EndPreferred, 20},
		{3 * time.Second, true, flow.EndRequired, 100},
		{3 * time.Second, false, flow.EndRequired, 100},
	} {
		f.shutdownSince, f.otherAccepts = time.Now().Add(-c.since), c.otherAccepts
		f.headers = map[string]string{"X-Persimmonridge-Token-Counts": "1000,100", "X-Persimmonridge-Length-Hint": "20"}
		_, _, err := f.call("/long/x")
		require.NoError(t, err)
		request := f.placementRequests[len(f.placementRequests)-1]
		require.Equal(t, c.ending, request.EndConstraint)
		require.Equal(t, c.planned, request.OutputTokens)
	}
}
