package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
)

var names = exchange.HeaderNames{RequestID: "Request-Id", Seal: "Seal", NotExecuted: "Not-Run", Load: "Load", RateLimit: "Limit", Leaving: "Leaving"}

// upstream answers each request by a script.
type upstream struct {
	address string
	// requests holds the method, target and body of each request.
	requests chan string
	// connections holds an element for each accepted connection.
	connections chan struct{}
}

// answerFunc writes an answer on the connection with the number. It returns false to
// close the connection.
type answerFunc func(conn net.Conn, number int) bool

func startUpstream(t *testing.T, answer answerFunc) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{address: listener.Addr().String(), requests: make(chan string, 16), connections: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.connections <- struct{}{}
			go u.serveConn(conn, number, answer)
		}
	}()
	return u
}

func (u *upstream) serveConn(conn net.Conn, number int, answer answerFunc) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		u.requests <- request.Method + " " + request.RequestURI + " " + string(body)
		if !answer(conn, number) {
			return
		}
	}
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
	return err == nil
}

func newClient(t *testing.T) *exchange.Client {
	t.Helper()
	var dialer net.Dialer
	pool := exchange.NewPool(dialer.DialContext)
	t.Cleanup(func() { require.NoError(t, pool.Close()) })
	return exchange.NewClient(pool, names, time.Now)
}

func request(id string) exchange.Request {
	return exchange.Request{Method: "POST", Target: "/a//b?x=%2f", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: []byte("body"), ID: id}
}

func roundTrip(t *testing.T, c *exchange.Client, u *upstream, id string) (string, error) {
	t.Helper()
	answer, err := c.Do(context.Background(), u.address, request(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer)
	answer.Close(err == nil)
	return string(body), err
}

const completeAnswer = "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nLoad: 3,1,12\nContent-Length: 2\n\nok"

// Guards against a library that normalizes the path, which makes it another request:
// the upstream must get the caller's method, path and query byte for byte.
func TestTargetIsPassedByteForByte(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ int) bool { return write(conn, completeAnswer) })
	body, err := roundTrip(t, newClient(t), u, "one")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Equal(t, "POST /a//b?x=%2f body", <-u.requests)
}

func TestAnswerHeadersAreParsed(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ int) bool {
		return write(conn, "HTTP/1.1 503 Busy\nRequest-Id: one\nNot-Run: 1\nLoad: 12,4,12\nContent-Length: 0\n\n")
	})
	answer, err := newClient(t).Do(context.Background(), u.address, request("one"))
	require.NoError(t, err)
	require.True(t, answer.NotExecuted)
	require.False(t, answer.Sealed)
	require.Equal(t, exchange.Load{Running: 12, Waiting: 4, Slots: 12}, *answer.Load)
	answer.Close(true)
}

// Guards against load statements that are dropped as a whole because they hold a figure more
// than expected, or a pace that cannot be true.
func TestStatedLoadIsParsed(t *testing.T) {
	usual := exchange.Load{Running: 3, Waiting: 1, Slots: 6}
	paced := func(pace float64) exchange.Load { return exchange.Load{Running: 3, Waiting: 1, Slots: 6, Pace: pace} }
	for value, want := range map[string]*exchange.Load{
		"3,1,6": &usual, " 3, 1 ,6 ": &usual,
		"3,1,6,100": ptr(paced(1)), "3,1,6, 250": ptr(paced(2.5)), "3,1,6,80.5": ptr(paced(0.805)), "3,1,6,300,7,x": ptr(paced(3)),
		"3,1,6,": &usual, "3,1,6,0": &usual, "3,1,6,-100": &usual, "3,1,6,NaN": &usual, "3,1,6,+Inf": &usual, "3,1,6,fast": &usual,
		"3,1,6,9": &usual, "3,1,6,10001": &usual,
		"": nil, "3,1": nil, "3,1,x": nil, "-3,1,6": nil, "3,,6,100": nil,
	} {
		t.Run(value, func(t *testing.T) {
			u := startUpstream(t, func(conn net.Conn, _ int) bool {
				return write(conn, "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nLoad: "+value+"\nContent-Length: 2\n\nok")
			})
			answer, err := newClient(t).Do(context.Background(), u.address, request("one"))
			require.NoError(t, err)
			require.Equal(t, want, answer.Load)
			answer.Close(true)
		})
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against a stated limit that cannot be right and is taken for one, or for none.
func TestStatedRateLimitIsParsed(t *testing.T) {
	for value, want := range map[string]exchange.RateLimit{
		"":      {},
		"2.2":   {Stated: true, Valid: true, PerSecond: 2.2},
		" 7 ":   {Stated: true, Valid: true, PerSecond: 7},
		"0":     {Stated: true, Valid: true},
		"-1":    {Stated: true},
		"NaN":   {Stated: true},
		"+Inf":  {Stated: true},
		"1e999": {Stated: true},
		"few":   {Stated: true},
	} {
		u := startUpstream(t, func(conn net.Conn, _ int) bool {
			header := ""
			if value != "" {
				header = "Limit: " + value + "\n"
			}
			return write(conn, strings.Replace(completeAnswer, "Seal", header+"Seal", 1))
		})
		answer, err := newClient(t).Do(context.Background(), u.address, request("one"))
		require.NoError(t, err)
		require.Equal(t, want, answer.RateLimit, value)
		answer.Close(false)
	}
}

// Guards against any other value that is taken for an upstream that leaves.
func TestLeavingIsParsed(t *testing.T) {
	for value, want := range map[string]bool{"1": true, " 1 ": true, "0": false, "11": false, "soon": false} {
		u := startUpstream(t, func(conn net.Conn, _ int) bool {
			return write(conn, strings.Replace(completeAnswer, "Seal", "Leaving: "+value+"\nSeal", 1))
		})
		answer, err := newClient(t).Do(context.Background(), u.address, request("one"))
		require.NoError(t, err)
		require.Equal(t, want, answer.Leaving, value)
		answer.Close(false)
	}
}

// Guards against a time to rest that cannot be right, and against one that is read from an
// answer that turns nothing away.
func TestRestIsParsed(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\nRequest-Id: one\nNot-Run: 1\nRetry-After: %s\nContent-Length: 0\n\n"
	for _, test := range []struct {
		answer, value string
		want          time.Duration
	}{
		{refusal, "3", 3 * time.Second},
		{refusal, " 0.25 ", 250 * time.Millisecond},
		{refusal, "1e12", time.Hour},
		{refusal, "0", 0},
		{refusal, "-3", 0},
		{refusal, "NaN", 0},
		{refusal, "Inf", 0},
		{refusal, "1e999", 0},
		{refusal, "soon", 0},
		{strings.Replace(refusal, "503 Busy", "429 Many", 1), "3", 3 * time.Second},
		{strings.Replace(refusal, "503 Busy", "421 Other", 1), "3", 0},
		{strings.Replace(refusal, "Not-Run", "Seal", 1), "3", 3 * time.Second},
		{strings.NewReplacer("Not-Run", "Seal", "503 Busy", "429 Many").Replace(refusal), "3", 0},
		{strings.NewReplacer("Not-Run", "Seal", "503 Busy", "200 OK").Replace(refusal), "3", 0},
	} {
		u := startUpstream(t, func(conn net.Conn, _ int) bool { return write(conn, fmt.Sprintf(test.answer, test.value)) })
		answer, err := newClient(t).Do(context.Background(), u.address, request("one"))
		require.NoError(t, err)
		require.Equal(t, test.want, answer.RetryAfter, test.value)
		answer.Close(false)
	}
}

// Consecutive requests share a connection, since each new one costs the upstream a
// handshake.
func TestConnectionIsReused(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ int) bool { return write(conn, completeAnswer) })
	c := newClient(t)
	for range 3 {
		_, err := roundTrip(t, c, u, "one")
		require.NoError(t, err)
	}
	require.Len(t, u.connections, 1)
}

// Guards against a non-idempotent request that is lost on a connection whose upstream
// has been gone for seconds. A connection that was idle for over a second is not
// reused for it.
func TestNonIdempotentRequestIsNotSentOnALongIdleConnection(t *testing.T) {
	for _, c := range []struct {
		unsafe bool
		idle   time.Duration
		dials  int
	}{
		{unsafe: true, idle: 900 * time.Millisecond, dials: 1},
		{unsafe: true, idle: 1100 * time.Millisecond, dials: 2},
		{unsafe: false, idle: 1100 * time.Millisecond, dials: 1},
	} {
		u := startUpstream(t, func(conn net.Conn, _ int) bool { return write(conn, completeAnswer) })
		var dialer net.Dialer
		pool := exchange.NewPool(dialer.DialContext)
		now := time.Unix(1000, 0)
		client := exchange.NewClient(pool, names, func() time.Time { return now })
		for range 2 {
			sent := request("one")
			sent.NonIdempotent = c.unsafe
			answer, err := client.Do(t.Context(), u.address, sent)
			require.NoError(t, err)
			_, err = io.ReadAll(answer)
			require.NoError(t, err)
			answer.Close(true)
			now = now.Add(c.idle)
		}
		require.Len(t, u.connections, c.dials, "%+v", c)
		require.NoError(t, pool.Close())
	}
}

// Guards against a caller that gets another caller's answer, because the upstream
// sends it late, in place of the next one. The ID distinguishes the two, and the
// connection is not reused.
func TestLateAnswerToAnotherRequestIsSkipped(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ int) bool {
		return write(conn, "HTTP/1.1 200 OK\nRequest-Id: other\nSeal: s\nContent-Length: 5\n\nwrong"+completeAnswer)
	})
	c := newClient(t)
	for range 2 {
		body, err := roundTrip(t, c, u, "one")
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Len(t, u.connections, 2)
}

// Guards against an upstream that sends a second answer after a complete one. Taken
// for the answer to the next request, it would reach the wrong caller.
func TestBytesAfterAnAnswerCloseTheConnection(t *testing.T) {
	sent := make(chan struct{}, 4)
	u := startUpstream(t, func(conn net.Conn, _ int) bool {
		ok := write(conn, completeAnswer+"HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nContent-Length: 3\n\nbad")
		sent <- struct{}{}
		return ok
	})
	c := newClient(t)
	for range 3 {
		body, err := roundTrip(t, c, u, "one")
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		<-sent
	}
	require.Len(t, u.connections, 3)
}

// A truncated answer must never look complete, whether its length is stated or not.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nContent-Length: 10\n\nok",
		"chunked": "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nTransfer-Encoding: chunked\n\n2\nok\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(conn net.Conn, _ int) bool {
				write(conn, text)
				return false
			})
			_, err := roundTrip(t, newClient(t), u, "one")
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// An answer without a length ends when its connection is closed. If the connection is
// reset, the answer is incomplete.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, number int) bool {
		ok := write(conn, "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\n\nok")
		if number > 0 {
			ok = conn.(*net.TCPConn).SetLinger(0) == nil
		}
		return !ok
	})
	c := newClient(t)
	body, err := roundTrip(t, c, u, "one")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	_, err = roundTrip(t, c, u, "one")
	require.Error(t, err)
}

// An answer that is malformed, has an unrequested encoding or belongs to another
// request and has no end: the request may have been executed, and its caller must not
// be told that it succeeded.
func TestUntrustworthyAnswerIsLost(t *testing.T) {
	unrelated := "HTTP/1.1 200 OK\nRequest-Id: other\nSeal: s\nContent-Length: 0\n\n"
	for name, text := range map[string]string{
		"garbage":                   "\x16\x03\x01 nonsense\n\n",
		"encoded":                   "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nContent-Encoding: gzip\nContent-Length: 2\n\nok",
		"other request":             strings.Repeat(unrelated, 5),
		"other request without end": "HTTP/1.1 200 OK\nRequest-Id: other\nSeal: s\n\nwrong",
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(conn net.Conn, _ int) bool {
				write(conn, text)
				return false
			})
			_, err := roundTrip(t, newClient(t), u, "one")
			require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
		})
	}
}

// If the connection is refused, the request was not sent, and may be sent to another
// upstream even if it is not idempotent.
func TestRefusedConnectionMeansNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = newClient(t).Do(context.Background(), address, request("one"))
	require.True(t, errorx.IsOfType(err, exchange.NotSent), "%v", err)
}

// Guards against automatic retries on a reused connection, as by the Transport of
// net/http. If the upstream executes a request and closes the connection without an
// answer, a retry would charge a customer twice.
func TestRequestIsSentOnceOnAReusedConnection(t *testing.T) {
	count := 0
	u := startUpstream(t, func(conn net.Conn, _ int) bool {
		count++
		return count == 1 && write(conn, completeAnswer)
	})
	c := newClient(t)
	_, err := roundTrip(t, c, u, "one")
	require.NoError(t, err)
	_, err = roundTrip(t, c, u, "one")
	require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
	require.Len(t, u.requests, 2)
}

// An upstream that answers before it has read a long body would take the next request
// for the rest of it. The connection must not be reused.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections := make(chan struct{}, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- struct{}{}
			write(conn, completeAnswer)
		}
	}()
	c := newClient(t)
	for range 2 {
		sent := request("one")
		sent.Body = make([]byte, 32<<20)
		answer, err := c.Do(context.Background(), listener.Addr().String(), sent)
		require.NoError(t, err)
		body, err := io.ReadAll(answer)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		answer.Close(true)
	}
	require.Len(t, connections, 2)
}

// When a caller disconnects, the connection to the upstream must be closed at once, or
// the upstream goes on working for nobody.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	received, ended := make(chan struct{}), make(chan struct{})
	u := startUpstream(t, func(conn net.Conn, _ int) bool {
		close(received)
		var buffer [1]byte
		_, err := conn.Read(buffer[:])
		require.Error(t, err)
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	callErr := make(chan error, 1)
	c := newClient(t)
	go func() {
		_, err := c.Do(ctx, u.address, request("one"))
		callErr <- err
	}()
	<-received
	cancel()
	require.Error(t, <-callErr)
	<-ended
}
