package flow_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// idleCloser is an upstream that answers the first request on each connection and
// later closes the connection without having announced it.
type idleCloser struct {
	listener  net.Listener
	closeIdle chan struct{}
	// idleClosed receives once an idle connection is closed, and requests the number
	// of the connection for each request read.
	idleClosed chan struct{}
	requests   chan int
}

// addIdleCloser adds an upstream that closes a connection after its first answer:
// once closeIdle receives, or, if closeIdle is nil, once it has read a second request.
func (f *fixture) addIdleCloser(name string, closeIdle chan struct{}) *idleCloser {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	u := &idleCloser{listener: listener, closeIdle: closeIdle, idleClosed: make(chan struct{}, 8), requests: make(chan int, 8)}
	f.upstreams = append(f.upstreams, roster.Upstream{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, number)
		}
	}()
	return u
}

func (u *idleCloser) serve(conn net.Conn, number int) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	u.requests <- number
	_, _ = io.WriteString(conn, strings.ReplaceAll(strings.ReplaceAll(successAnswer, "ID", request.Header.Get(idHeader)), "\n", "\r\n"))
	if u.closeIdle != nil {
		<-u.closeIdle
		_ = conn.Close()
		u.idleClosed <- struct{}{}
		return
	}
	if _, err := http.ReadRequest(reader); err == nil {
		u.requests <- number
	}
}

// blindConn hides the socket of a connection, so that its end is seen only after the
// next request was sent on it.
type blindConn struct{ net.Conn }

// newBlindFixture returns a fixture whose pool does not see that an idle connection
// was closed, as if the close were still on its way.
func newBlindFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return blindConn{conn}, err
	}
	f.start()
	return f
}

func (f *fixture) Sent(time.Time, roster.Upstream, flow.CrashKey) (done func()) { return func() {} }

func (f *fixture) Broke(_ time.Time, upstream roster.Upstream, _ flow.CrashKey, _ bool) {
	f.report(upstream.ID + " broke")
}

func (f *fixture) Down(_ time.Time, upstream roster.Upstream) {
	f.report(upstream.ID + " down")
}

func (f *fixture) Unanswered(_ time.Time, upstream roster.Upstream, _ flow.CrashKey) {
	f.report(upstream.ID + " unanswered")
}

func (f *fixture) report(text string) {
	f.fakes.Lock()
	defer f.fakes.Unlock()
	f.crashReports = append(f.crashReports, text)
}

func (f *fixture) Served(time.Time, flow.CrashKey) {
	f.fakes.Lock()
	defer f.fakes.Unlock()
	f.served++
}

func (f *fixture) Survived(time.Time, flow.CrashKey) {}

func (f *fixture) WhenBlocked(_ flow.CrashKey, blocked func()) (stop func()) {
	set := func(blocked func()) {
		f.fakes.Lock()
		defer f.fakes.Unlock()
		f.whenBlocked = blocked
	}
	set(blocked)
	return func() { set(nil) }
}

func (f *fixture) requireStatus(path string, want int) {
	f.t.Helper()
	response, _, err := f.call(path)
	require.NoError(f.t, err)
	require.Equal(f.t, want, response.StatusCode, path)
}

// Guards against a 502 for a request that may run more than once, because its
// upstream closed the idle connection while the request was on its way. The request
// is sent once more to the same upstream, although its route allows no second one.
func TestRepeatableRequestOnAStaleConnectionIsSentOnANewOne(t *testing.T) {
	f := newBlindFixture(t)
	u := f.addIdleCloser("one", make(chan struct{}, 1))
	f.requireStatus("/open/x", http.StatusOK)
	u.closeIdle <- struct{}{}
	<-u.idleClosed
	f.requireStatus("/open/x", http.StatusOK)
	require.Equal(t, 1, <-u.requests)
	require.Equal(t, 2, <-u.requests)
	require.Empty(t, u.requests)
	require.Equal(t, []flow.Outcome{flow.Answered, flow.Answered}, f.outcomes)
	require.Equal(t, 9, f.retryBudget)
	require.Empty(t, f.crashReports)
}

// awaitClose waits until the peer's close of the connection has arrived. It reads nothing.
func awaitClose(t *testing.T, conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err == nil && n == 0
	}))
}

// If the close has arrived before the next request, nothing is sent on the connection
// and no retry is charged, also for a request that may run only once.
func TestConnectionThatIsSeenClosedIsNotUsed(t *testing.T) {
	for _, path := range []string{"/open/x", "/pay/x"} {
		f := newFixture(t)
		var dialed []*net.TCPConn
		f.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if tcp, ok := conn.(*net.TCPConn); ok {
				dialed = append(dialed, tcp)
			}
			return conn, err
		}
		f.start()
		u := f.addIdleCloser("one", make(chan struct{}, 1))
		f.requireStatus(path, http.StatusOK)
		u.closeIdle <- struct{}{}
		<-u.idleClosed
		awaitClose(t, dialed[0])
		f.requireStatus(path, http.StatusOK)
		require.Len(t, u.requests, 2)
		require.Equal(t, 10, f.retryBudget)
	}
}

// A request that may run only once must not be sent again: an upstream that closes
// the connection may have executed it.
func TestNonIdempotentRequestOnAStaleConnectionIsNotSentAgain(t *testing.T) {
	f := newBlindFixture(t)
	u := f.addIdleCloser("one", make(chan struct{}, 1))
	f.addUpstream("two", successAnswer)
	f.requireStatus("/pay/x", http.StatusOK)
	u.closeIdle <- struct{}{}
	<-u.idleClosed
	f.requireStatus("/pay/x", http.StatusBadGateway)
	require.Len(t, u.requests, 1)
	require.Empty(t, f.executed)
	require.Equal(t, []string{"one broke"}, f.crashReports)
}

// An upstream that executes each second request of a connection without answering
// gets one more send, and no further ones.
func TestRequestOnAStaleConnectionIsSentOnceMore(t *testing.T) {
	f := newBlindFixture(t)
	u := f.addIdleCloser("one", nil)
	f.requireStatus("/open/x", http.StatusOK)
	f.requireStatus("/open/x", http.StatusOK)
	require.Equal(t, []int{1, 1, 2}, []int{<-u.requests, <-u.requests, <-u.requests})
	require.Empty(t, u.requests)
	require.Equal(t, 9, f.retryBudget)
}

// Guards against sends on new connections beyond the retry budget, which the fleet
// shares: when a service closes many connections, they would double its load.
func TestSendOnANewConnectionNeedsTheRetryBudget(t *testing.T) {
	f := newBlindFixture(t)
	u := f.addIdleCloser("one", make(chan struct{}, 1))
	f.requireStatus("/open/x", http.StatusOK)
	f.retryBudget = 0
	u.closeIdle <- struct{}{}
	<-u.idleClosed
	f.requireStatus("/open/x", http.StatusBadGateway)
	require.Len(t, u.requests, 1)
}

// An upstream that accepts no new connection either has probably crashed. The request
// counts as sent to it, and goes to another one if its route allows that. This costs
// one retry if one more was sent, and none if not.
func TestRequestOnAStaleConnectionToACrashedUpstream(t *testing.T) {
	for path, want := range map[string]struct{ status, budgetLeft int }{"/open/x": {http.StatusBadGateway, 10}, "/read/x": {http.StatusOK, 9}} {
		t.Run(path, func(t *testing.T) {
			f := newBlindFixture(t)
			u := f.addIdleCloser("one", make(chan struct{}, 1))
			f.addUpstream("two", successAnswer)
			f.requireStatus(path, http.StatusOK)
			require.NoError(t, u.listener.Close())
			u.closeIdle <- struct{}{}
			<-u.idleClosed
			f.requireStatus(path, want.status)
			require.Equal(t, flow.Interrupted, f.outcomes[1])
			require.Equal(t, []string{"one broke", "one down"}, f.crashReports)
			require.Equal(t, want.budgetLeft, f.retryBudget)
			require.Len(t, u.requests, 1)
		})
	}
}

// The caller must not be told that a request was not executed if the upstream
// declines only the second send of it.
func TestDeclineAfterAStaleConnectionDoesNotMeanNotExecuted(t *testing.T) {
	f := newBlindFixture(t)
	u := f.addIdleCloser("one", make(chan struct{}, 1))
	f.requireStatus("/open/x", http.StatusOK)
	address := u.listener.Addr().String()
	require.NoError(t, u.listener.Close())
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		f.answerOne(conn, "one", declinedAnswer)
	}()
	u.closeIdle <- struct{}{}
	<-u.idleClosed
	f.requireStatus("/open/x", http.StatusBadGateway)
	require.Equal(t, []flow.Outcome{flow.Answered, flow.Declined}, f.outcomes)
}
