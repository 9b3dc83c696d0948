package flow_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
	"github.com/persimmonridge/persimmonridge/platform"
)

const (
	gatewayAddress = "10.0.0.1:80"
	// unreadLimit is how long an upstream waits for its answer to be read before it cuts
	// the answer off.
	unreadLimit = 2 * time.Second
	// smallMemory is an account that a few bodies fill, and ampleMemory one that holds all
	// that a test sends.
	smallMemory = 1 << 20
	ampleMemory = 64 << 20
)

// slowFixture is a Handler on an in-memory network in fake time, with a memory account.
// Callers connect by themselves and may leave an answer unread.
type slowFixture struct {
	*fixture
	network *network.Network
	account *memory.Account
	ingress *ingress.Server

	// exit ends as that of the flow.Dependencies.
	exit context.Context
	// accepted is the gateway's side of the last caller's connection.
	accepted net.Conn

	statesMu sync.Mutex
	// accountStates are the changes of the account between full and room.
	accountStates []bool
	// released are the times since the start at which placements were released.
	startedAt time.Time
	released  []time.Duration
	// cutOff counts the answers that upstreams cut off as unread.
	cutOff int
}

// runSlow runs the script in fake time with an account of the limit.
func runSlow(t *testing.T, limit int64, script func(f *slowFixture)) {
	bubble.Run(t, func(t *testing.T) {
		f := &slowFixture{fixture: &fixture{t: t, retryBudget: 1000}, network: network.New(), startedAt: time.Now(), exit: t.Context()}
		f.content = catalog.Content{
			Version: 1,
			Routes: []catalog.Route{
				{Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Idempotent, Timeout: time.Minute, MaxAttempts: 2},
				{Name: "pay", Host: "h", Prefix: "/pay/", Kind: catalog.NonIdempotent, Timeout: time.Minute, MaxAttempts: 1},
				{Name: "long", Host: "h", Prefix: "/long/", Kind: catalog.Streaming, Resumable: true, Timeout: time.Minute, MaxAttempts: 2},
			},
			Services:   []catalog.Service{{Name: "s"}},
			Workspaces: []catalog.Workspace{{Name: "studio", APIKeys: []string{"key"}, Tier: -1}, {Name: "other", APIKeys: []string{"other"}, Tier: -1}},
		}
		for i := range f.content.Routes {
			f.content.Routes[i].Targets = []catalog.Target{{Service: "s", Weight: 1}}
		}
		f.account = memory.New(limit, func(full bool, _, _ int64) {
			f.statesMu.Lock()
			defer f.statesMu.Unlock()
			f.accountStates = append(f.accountStates, full)
		})
		pool := exchange.NewPool(f.network.DialContext)
		current := catalog.New(f.content)
		handler := flow.New(flow.Dependencies{
			Headers: platform.Headers{}, Client: exchange.NewClient(pool, platform.AnswerHeaders(), time.Now),
			Catalog: func() *catalog.Catalog { return current }, Picker: slowPicker{f},
			Quota: f, Retries: lockedRetries{f}, Crashes: slowCrashes{f}, Metrics: metrics{}, Logger: slog.New(slog.DiscardHandler),
			Now: time.Now, ShutdownStatus: f.shutdown, Memory: f.account,
			Exit: func() context.Context { return f.exit },
		})
		f.ingress = ingress.New(ingress.Dependencies{
			Handler: handler, Catalog: func() *catalog.Catalog { return current }, Metrics: closedMetrics{},
			Logger: slog.New(slog.DiscardHandler), Now: time.Now,
		})
		listener, err := f.network.Listen(gatewayAddress)
		require.NoError(t, err)
		served := make(chan error, 1)
		go func() { served <- f.ingress.Serve(slowListener{Listener: listener, fixture: f}) }()
		script(f)
		f.shutDown(time.Minute)
		require.NoError(t, <-served)
		require.NoError(t, pool.Close())
		synctest.Wait()
		stats := f.account.Stats()
		for _, kind := range memory.Kinds() {
			require.Zero(t, stats.Held[kind], "bytes of kind %s are still held", kind)
		}
	})
}

// shutDown stops the server, and aborts what still runs after the grace period.
func (f *slowFixture) shutDown(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	_ = f.ingress.Shutdown(ctx)
}

// slowListener records the connections that it accepts.
type slowListener struct {
	net.Listener
	fixture *slowFixture
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.fixture.statesMu.Lock()
	defer l.fixture.statesMu.Unlock()
	if err == nil {
		l.fixture.accepted = conn
	}
	return conn, err
}

type closedMetrics struct{}

func (closedMetrics) ConnectionClosed(ingress.CloseReason) {}

// lockedRetries is a retry budget that never ends; the fixture's is not safe for concurrent
// requests.
type lockedRetries struct{ *slowFixture }

func (lockedRetries) Sent(time.Time, string)         {}
func (lockedRetries) Reserve(time.Time, string) bool { return true }
func (lockedRetries) Spend(time.Time, string) bool   { return true }
func (lockedRetries) Await(string) func()            { return nil }
func (lockedRetries) Release(string)                 {}

// slowPicker returns the upstreams in their order and records when placements are released.
type slowPicker struct{ *slowFixture }

// Pick implements flow.Picker.
func (p slowPicker) Pick(_ context.Context, _ time.Time, a flow.PlacementRequest) (flow.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placementRequests = append(p.placementRequests, a)
	if len(a.ExcludedUpstreams) >= len(p.upstreams) {
		return nil, flow.RefusePlacement(1500*time.Millisecond, "none left")
	}
	return slowPlacement{placement: placement{fixture: p.fixture, upstream: p.upstreams[len(a.ExcludedUpstreams)]}, slow: p.slowFixture}, nil
}

type slowPlacement struct {
	placement
	slow *slowFixture
}

// Release implements flow.Placement.
func (p slowPlacement) Release(now time.Time, o flow.Outcome, tokens int) {
	p.placement.Release(now, o, tokens)
	p.slow.statesMu.Lock()
	defer p.slow.statesMu.Unlock()
	p.slow.released = append(p.slow.released, now.Sub(p.slow.startedAt))
}

// slowCrashes is a flow.CrashTracker that counts what it is told.
type slowCrashes struct{ *slowFixture }

func (slowCrashes) Blocked(time.Time, flow.CrashKey) bool           { return false }
func (slowCrashes) WhenBlocked(flow.CrashKey, func()) (stop func()) { return func() {} }
func (slowCrashes) Sent(time.Time, roster.Upstream, flow.CrashKey) (done func()) {
	return func() {}
}

func (c slowCrashes) Broke(now time.Time, upstream roster.Upstream, key flow.CrashKey, justBegun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fixture.Broke(now, upstream, key, justBegun)
}
func (slowCrashes) Unanswered(time.Time, roster.Upstream, flow.CrashKey) {}

func (c slowCrashes) Served(now time.Time, key flow.CrashKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fixture.Served(now, key)
}
func (slowCrashes) Survived(time.Time, flow.CrashKey) {}
func (slowCrashes) Down(time.Time, roster.Upstream)   {}

// serveUpstream adds an upstream that executes requests with the function. It cuts off an answer that is unread for unreadLimit.
func (f *slowFixture) serveUpstream(name string, execute func(w *upstreamWriter, request *http.Request)) {
	address := fmt.Sprintf("10.0.1.%d:80", len(f.upstreams)+1)
	listener, err := f.network.Listen(address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	f.upstreams = append(f.upstreams, roster.Upstream{ID: name, Service: "s", Address: address, Slots: 8})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.execute(conn, name, execute)
		}
	}()
}

func (f *slowFixture) execute(conn net.Conn, name string, execute func(w *upstreamWriter, request *http.Request)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	f.mu.Lock()
	f.executed = append(f.executed, name+" after "+request.Header.Get("Last-Event-Id"))
	f.mu.Unlock()
	execute(&upstreamWriter{fixture: f, conn: conn, id: request.Header.Get(idHeader)}, request)
}

// upstreamWriter writes an upstream's answer.
type upstreamWriter struct {
	fixture *slowFixture
	conn    net.Conn
	id      string
	failed  bool
}

// write writes a part of the answer, and reports whether it was taken in time.
func (w *upstreamWriter) write(text string) bool {
	if w.failed {
		return false
	}
	_ = w.conn.SetWriteDeadline(time.Now().Add(unreadLimit))
	if _, err := io.WriteString(w.conn, text); err != nil {
		w.failed = true
		w.fixture.mu.Lock()
		w.fixture.cutOff++
		w.fixture.mu.Unlock()
		return false
	}
	return true
}

func (w *upstreamWriter) header() string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + w.id + "\r\n" + sealHeader + ": s\r\n"
}

// stream writes events first to last, one each interval, as chunks, and then the end.
func (w *upstreamWriter) stream(first, last, size int, interval time.Duration) {
	w.openStream()
	w.events(first, last, size, interval)
	w.write("0\r\n\r\n")
}

func (w *upstreamWriter) openStream() {
	w.write(w.header() + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func (w *upstreamWriter) events(first, last, size int, interval time.Duration) {
	for i := first; i <= last; i++ {
		bubble.Sleep(interval)
		text := eventText(i, size)
		if !w.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) {
			return
		}
	}
}

// eventText returns the text of the event with the number.
func eventText(number, size int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("x", size))
}

// eventTexts returns the events first to last.
func eventTexts(first, last, size int) string {
	var all strings.Builder
	for i := first; i <= last; i++ {
		all.WriteString(eventText(i, size))
	}
	return all.String()
}

// slowCaller is a connection of a caller that reads when the test wants.
type slowCaller struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

// send sends a request on a connection of its own.
func (f *slowFixture) send(path, key, id, header, body string) *slowCaller {
	conn, err := f.network.DialContext(f.t.Context(), "tcp", gatewayAddress)
	require.NoError(f.t, err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nApi-Key: %s\r\n%s: %s\r\n%s\r\n%s", path, key, idHeader, id, header, body)
	require.NoError(f.t, err)
	return &slowCaller{Conn: conn, t: f.t, reader: bufio.NewReader(conn)}
}

// read reads the answer to its end and closes the connection.
func (s *slowCaller) read() (*http.Response, string, error) {
	defer func() { _ = s.Close() }()
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// readSlowly reads the answer with a pause after each part.
func (s *slowCaller) readSlowly(part int, pause time.Duration) (string, error) {
	defer func() { _ = s.Close() }()
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	for {
		_, err := io.CopyN(&text, response.Body, int64(part))
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		bubble.Sleep(pause)
	}
}

// heldBytes returns the bytes that the account holds.
func (f *slowFixture) heldBytes() int64 {
	total := int64(0)
	for _, n := range f.account.Stats().Held {
		total += n
	}
	return total
}

// record is what the handler has done so far.
type record struct {
	outcomes             []flow.Outcome
	released             []time.Duration
	executed, crashes    []string
	cutOff, sentRequests int
	accountStates        []bool
}

// record returns what the handler has done so far.
func (f *slowFixture) record() record {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statesMu.Lock()
	defer f.statesMu.Unlock()
	return record{
		outcomes: slices.Clone(f.outcomes), released: slices.Clone(f.released), executed: slices.Clone(f.executed),
		crashes: slices.Clone(f.crashReports), cutOff: f.cutOff, sentRequests: len(f.placementRequests), accountStates: slices.Clone(f.accountStates),
	}
}
