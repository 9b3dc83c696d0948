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

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
	"github.com/persimmonridge/persimmonridge/platform"
)

const (
	id   = "X-Persimmonridge-Attempt-Id"
	seal = "X-Persimmonridge-Response-Seal"
)

// site is a flow in front of scripted upstreams, and what was seen of it.
type site struct {
	t       *testing.T
	front   *httptest.Server
	content catalog.Content
	ups     []roster.Upstream
	headers map[string]string

	mu       sync.Mutex
	runs     []string
	asks     []flow.Ask
	outcomes []flow.Outcome
	returned float64
	leaving  time.Time
	// elsewhere tells that another process takes requests.
	elsewhere bool
	// settles is how often a request asks for its quota until it is known.
	settles int
	budget  int
	blocked bool
}

func newSite(t *testing.T) *site {
	s := &site{t: t, budget: 10}
	s.content = catalog.Content{
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
		Workspaces: []catalog.Workspace{{Name: "studio", Keys: []string{"key"}, Tier: -1}},
	}
	for i := range s.content.Routes {
		s.content.Routes[i].Targets = []catalog.Target{{Service: "s", Weight: 1}}
	}
	s.start()
	return s
}

func (s *site) start() {
	var dialer net.Dialer
	pool := exchange.NewPool(dialer.DialContext)
	handler := flow.New(flow.Parts{
		Translator: platform.Headers{}, Client: exchange.NewClient(pool, platform.AnswerNames(), time.Now),
		Catalog: func() *catalog.Catalog {
			if s.content.Version == 0 {
				return nil
			}
			return catalog.New(s.content)
		},
		Picker: s, Quota: s, Retries: retries{s}, Crashes: s, Metrics: metrics{},
		Logger: slog.New(slog.DiscardHandler), Now: time.Now, Leaving: s.stopping,
		Elsewhere: func() bool { return s.elsewhere },
	})
	s.front = httptest.NewServer(handler)
	s.t.Cleanup(s.front.Close)
	s.t.Cleanup(func() { require.NoError(s.t, pool.Close()) })
}

// upstream adds an upstream that answers with the text, in which ID stands for
// the request's id, and then closes the connection.
func (s *site) upstream(name, text string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = listener.Close() })
	s.ups = append(s.ups, roster.Upstream{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.answer(conn, name, text)
		}
	}()
}

func (s *site) answer(conn net.Conn, name, text string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, name+" after "+request.Header.Get("Last-Event-Id")+" tenant "+
		request.Header.Get("X-Persimmonridge-Tenant")+" key "+request.Header.Get("Api-Key"))
	s.mu.Unlock()
	text = strings.ReplaceAll(strings.ReplaceAll(text, "ID", request.Header.Get(id)), "\n", "\r\n")
	if text == "" {
		_, _ = io.Copy(io.Discard, conn) // silent until the other end closes
	}
	_, _ = io.WriteString(conn, text)
}

// down adds an upstream at which nothing listens.
func (s *site) down(name string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.ups = append(s.ups, roster.Upstream{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
	require.NoError(s.t, listener.Close())
}

type place struct {
	site *site
	up   roster.Upstream
}

func (p place) Upstream() roster.Upstream     { return p.up }
func (p place) Load(time.Time, exchange.Load) {}
func (p place) Started(time.Time)             {}
func (p place) Done(_ time.Time, o flow.Outcome, _ int) {
	p.site.mu.Lock()
	defer p.site.mu.Unlock()
	p.site.outcomes = append(p.site.outcomes, o)
}

// Pick implements flow.Picker: the upstreams in their order.
func (s *site) Pick(_ context.Context, _ time.Time, a flow.Ask) (flow.Place, error) {
	s.asks = append(s.asks, a)
	if len(a.Exclude) >= len(s.ups) {
		return nil, flow.RefusePlace(1500*time.Millisecond, "none left")
	}
	return place{site: s, up: s.ups[len(a.Exclude)]}, nil
}

func (s *site) Take(time.Time, *catalog.Workspace, float64) (bool, time.Duration) {
	return s.returned >= 0 && s.settles <= 0, time.Second
}

func (s *site) Settles(time.Time) bool {
	s.settles--
	return s.settles >= 0
}

func (s *site) Return(_ *catalog.Workspace, cost float64) { s.returned += cost }

type metrics struct{}

func (metrics) Finished(string, int, string, time.Duration) {}
func (metrics) FirstEvent(int, time.Duration)               {}
func (metrics) Sent(string, flow.Outcome)                   {}

func (s *site) Blocked(time.Time, uint64) bool  { return s.blocked }
func (s *site) Broke(time.Time, string, uint64) {}
func (s *site) Down(time.Time, string)          {}
func (s *site) stopping() (since, until time.Time, leaving bool) {
	return s.leaving, s.leaving.Add(8 * time.Second), !s.leaving.IsZero()
}

// retries grants the site's budget of repeats.
type retries struct{ site *site }

func (retries) Sent(time.Time, string) {}

func (r retries) Take(time.Time, string) bool {
	r.site.budget--
	return r.site.budget >= 0
}

// call makes one request and returns the status, body and whether it ended well.
func (s *site) call(path string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, s.front.URL+path, strings.NewReader("body"))
	require.NoError(s.t, err)
	request.Host = "h"
	request.Header.Set(id, "r1")
	request.Header.Set("Api-Key", "key")
	for name, value := range s.headers {
		request.Header.Set(name, value)
	}
	response, err := s.front.Client().Do(request)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(s.t, response.Body.Close())
	return response, string(body), err
}

const (
	okAnswer   = "HTTP/1.1 200 OK\n" + id + ": ID\n" + seal + ": s\nContent-Length: 2\n\nok"
	failure    = "HTTP/1.1 500 Oops\n" + id + ": ID\n" + seal + ": s\nContent-Length: 3\n\nbad"
	declined   = "HTTP/1.1 503 Busy\n" + id + ": ID\nX-Persimmonridge-Not-Executed: 1\nContent-Length: 0\n\n"
	unsealed   = "HTTP/1.1 200 OK\n" + id + ": ID\nContent-Length: 2\n\nok"
	streamHead = "HTTP/1.1 200 OK\n" + id + ": ID\n" + seal + ": s\nContent-Type: text/event-stream\n\n"
	torn       = "HTTP/1.1 200 OK\n" + id + ": ID\n" + seal + ": first\nTransfer-Encoding: chunked\n\n" +
		"12\nid: 1\ndata: a\n\n\nd\nid: 2\ndata: \n"
)

func TestAnswerIsPassedOn(t *testing.T) {
	s := newSite(t)
	s.upstream("one", okAnswer)
	response, body, err := s.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "s", response.Header.Get(seal))
	require.Equal(t, "ok", body)
	require.Equal(t, []string{"one after  tenant studio key "}, s.runs, "the key stays here, the workspace's name goes")
}

// A payment ran, and its answer was lost. Sent to another upstream it would be
// charged twice; refused as not run it would be sent again by its caller.
func TestLostAnswerOfAPaymentIsNeitherRepeatedNorDenied(t *testing.T) {
	for name, text := range map[string]string{"closed": "HTTP/1.1 200", "unsealed": unsealed, "other id": strings.ReplaceAll(okAnswer, "ID", "zz")} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.upstream("one", text)
			s.upstream("two", okAnswer)
			response, _, err := s.call("/pay/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Len(t, s.runs, 1)
		})
	}
}

// The upstreams of a payment are gone or full: it has not run, and may go on to
// the next one, or be refused with the time to come back.
func TestPaymentMovesOnWhenItHasNotRun(t *testing.T) {
	s := newSite(t)
	s.down("gone")
	s.upstream("full", declined)
	s.upstream("three", okAnswer)
	response, _, err := s.call("/pay/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, []flow.Outcome{flow.Unreached, flow.Declined, flow.Answered}, s.outcomes)
}

func TestPaymentThatHasNotRunIsRefusedAsSuch(t *testing.T) {
	s := newSite(t)
	s.down("gone")
	response, _, err := s.call("/pay/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1.500", response.Header.Get("Retry-After"))
}

// A failed read is tried on another upstream, as often as its route allows and
// the fleet's budget has room; then the failure is told as it is.
func TestFailedReadIsRepeatedWithinItsBounds(t *testing.T) {
	s := newSite(t)
	s.upstream("one", failure)
	s.upstream("two", okAnswer)
	response, _, err := s.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)

	s = newSite(t)
	s.upstream("one", failure)
	s.upstream("two", failure)
	s.upstream("three", okAnswer)
	response, body, err := s.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Equal(t, "bad", body)
	require.Len(t, s.runs, 2)
}

// An upstream dies inside an event. The caller's stream goes on from another
// upstream behind the last whole event, with the header of the first; of the
// torn piece nothing is seen.
func TestTornStreamIsResumedBehindTheLastWholeEvent(t *testing.T) {
	s := newSite(t)
	s.upstream("one", torn)
	s.upstream("two", streamHead+"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	response, body, err := s.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, "first", response.Header.Get(seal))
	require.Equal(t, "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3\r\ndata: c\r\n\r\n", body)
	require.Contains(t, s.runs[1], "two after 1 ")
}

// Sixteen engines crashed in a burst. Streams that could go on elsewhere were
// broken off with "no place in time": their first event had been due seconds
// before, so the scheduler took them for requests that are late anyway.
func TestResumedStreamIsNotLateBeforeItIsAskedFor(t *testing.T) {
	s := newSite(t)
	s.content.Routes[2].Objective = 10 * time.Millisecond
	s.upstream("one", torn)
	s.upstream("two", streamHead+"id: 2\ndata: b\n\n")
	_, _, err := s.call("/long/x")
	require.NoError(t, err)
	require.Len(t, s.asks, 2)
	require.True(t, s.asks[1].Again)
	require.GreaterOrEqual(t, s.asks[1].Due.Sub(s.asks[0].Due), time.Second)
}

// A stream that may not be resumed breaks off. What the caller has must not
// look complete, and the other upstream is not asked.
func TestStreamThatMayNotBeResumedBreaksOff(t *testing.T) {
	s := newSite(t)
	s.upstream("one", torn)
	s.upstream("two", streamHead)
	_, body, err := s.call("/once/x")
	require.Error(t, err)
	require.NotContains(t, body, "id: 2")
	require.Len(t, s.runs, 1)
}

// The upstream says nothing until the route's time is over. The caller gets its
// final answer then, and not one that says the request has not run.
func TestSilentUpstreamEndsAtTheRoutesTime(t *testing.T) {
	s := newSite(t)
	s.upstream("one", "")
	response, _, err := s.call("/short/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
}

// Repeats share a budget over the fleet. When it is spent a read is not sent
// again, which would add load to services that fail already; the caller gets
// the failure that the upstream answered.
func TestSpentBudgetEndsRepeats(t *testing.T) {
	s := newSite(t)
	s.budget = 0
	s.upstream("one", failure)
	s.upstream("two", okAnswer)
	response, _, err := s.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Len(t, s.runs, 1)
}

func TestWhoMayPass(t *testing.T) {
	s := newSite(t)
	s.upstream("one", okAnswer)
	for path, want := range map[string]int{"/read/x": http.StatusOK, "/nowhere/": http.StatusNotFound, "/read": http.StatusNotFound} {
		response, _, err := s.call(path)
		require.NoError(t, err)
		require.Equal(t, want, response.StatusCode, path)
	}
	s.content.Workspaces[0].Keys = nil
	response, _, err := s.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	response, _, err = s.call("/open/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// A process that knows no configuration yet must not deny what may be allowed.
func TestNoConfigurationIsNoDenial(t *testing.T) {
	s := newSite(t)
	s.content.Version = 0
	response, _, err := s.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

// A process that stops still has open connections. A long stream that begins
// shortly before the end would be cut by it; it is refused at once, while a
// short request is served.
func TestStoppingProcessBeginsNothingThatItCannotEnd(t *testing.T) {
	s := newSite(t)
	s.upstream("one", okAnswer)
	s.leaving = time.Now().Add(-5 * time.Second)
	response, _, err := s.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	s.content.Routes[1].Timeout = time.Second
	response, _, err = s.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a stream that is taken late in a stop, outruns the guess of its
// length and is cut: late ones are planned with more than the guess, though never
// with more than they may generate.
func TestLateStreamIsPlannedWithMoreThanItsGuess(t *testing.T) {
	s := newSite(t)
	s.upstream("one", streamHead)
	for _, c := range []struct {
		since       time.Duration
		most, guess string
		ending      flow.Ending
		planned     int
	}{
		{time.Second, "1000,100", "20", flow.EndLikely, 20},
		{2500 * time.Millisecond, "1000,100", "20", flow.EndSure, 40},
		{3 * time.Second, "1000,100", "20", flow.EndSure, 40},
		{3 * time.Second, "1000,30", "20", flow.EndSure, 30},
	} {
		s.leaving = time.Now().Add(-c.since)
		s.headers = map[string]string{"X-Persimmonridge-Token-Counts": c.most, "X-Persimmonridge-Length-Hint": c.guess}
		_, _, err := s.call("/long/x")
		require.NoError(t, err)
		asked := s.asks[len(s.asks)-1]
		require.Equal(t, c.ending, asked.Ending)
		require.Equal(t, c.planned, asked.Output)
	}
}

// Guards against a stream that is taken late in a stop, outruns any guess of its
// length and is cut, though another process would have served it whole.
func TestLateStreamIsPlannedWithAllThatItMayGenerateWhileOthersTakeIt(t *testing.T) {
	s := newSite(t)
	s.upstream("one", streamHead)
	for _, c := range []struct {
		since     time.Duration
		elsewhere bool
		ending    flow.Ending
		planned   int
	}{
		{time.Second, true, flow.EndLikely, 20},
		{3 * time.Second, true, flow.EndSure, 100},
		{3 * time.Second, false, flow.EndSure, 40},
	} {
		s.leaving, s.elsewhere = time.Now().Add(-c.since), c.elsewhere
		s.headers = map[string]string{"X-Persimmonridge-Token-Counts": "1000,100", "X-Persimmonridge-Length-Hint": "20"}
		_, _, err := s.call("/long/x")
		require.NoError(t, err)
		asked := s.asks[len(s.asks)-1]
		require.Equal(t, c.ending, asked.Ending)
		require.Equal(t, c.planned, asked.Output)
	}
}

func TestRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	s := newSite(t)
	s.upstream("one", okAnswer)
	s.blocked = true
	response, _, err := s.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Empty(t, s.runs)
}

// Guards against callers below their quota who are refused by a process that has
// just started and does not know what is left of it.
func TestRequestIsHeldUntilItsQuotaIsKnown(t *testing.T) {
	s := newSite(t)
	s.upstream("one", okAnswer)
	s.content.Workspaces[0].PerSecond, s.settles = 1, 3
	response, _, err := s.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Zero(t, s.settles)
}

// A request beyond the quota is refused as not run; one that is refused for
// want of a place costs its workspace nothing.
func TestQuotaIsTakenAndGivenBack(t *testing.T) {
	s := newSite(t)
	s.content.Workspaces[0].PerSecond = 1
	response, _, err := s.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.InDelta(t, 1, s.returned, 0)
	s.returned = -1
	response, _, err = s.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	require.Equal(t, "1.000", response.Header.Get("Retry-After"))
}
