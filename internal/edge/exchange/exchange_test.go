package exchange_test

import (
	"bufio"
	"context"
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

var names = exchange.Names{ID: "Request-Id", Seal: "Seal", NotRun: "Not-Run", Load: "Load"}

// upstream answers each request on each connection by a script.
type upstream struct {
	address string
	// requests has the head and body of what came.
	requests chan string
	// connections counts those accepted.
	connections chan struct{}
}

// reply writes an answer; it returns false to close the connection.
type reply func(conn net.Conn, number int) bool

func serve(t *testing.T, answer reply) *upstream {
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
			go u.talk(conn, number, answer)
		}
	}()
	return u
}

func (u *upstream) talk(conn net.Conn, number int, answer reply) {
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

func client(t *testing.T) *exchange.Client {
	t.Helper()
	var dialer net.Dialer
	pool := exchange.NewPool(dialer.DialContext)
	t.Cleanup(func() { require.NoError(t, pool.Close()) })
	return exchange.NewClient(pool, names, time.Now)
}

func request(id string) exchange.Request {
	return exchange.Request{Method: "POST", Target: "/a//b?x=%2f", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: []byte("body"), ID: id}
}

func do(t *testing.T, c *exchange.Client, u *upstream, id string) (string, error) {
	t.Helper()
	answer, err := c.Do(context.Background(), u.address, request(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer)
	answer.Close(err == nil)
	return string(body), err
}

const whole = "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nLoad: 3,1,12\nContent-Length: 2\n\nok"

// The upstream must get the caller's method, path and query byte for byte: a
// path that a library tidied up is another request.
func TestTargetIsPassedByteForByte(t *testing.T) {
	u := serve(t, func(conn net.Conn, _ int) bool { return write(conn, whole) })
	body, err := do(t, client(t), u, "one")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Equal(t, "POST /a//b?x=%2f body", <-u.requests)
}

func TestAnswerTellsWhatUpstreamSays(t *testing.T) {
	u := serve(t, func(conn net.Conn, _ int) bool {
		return write(conn, "HTTP/1.1 503 Busy\nRequest-Id: one\nNot-Run: 1\nLoad: 12,4,12\nContent-Length: 0\n\n")
	})
	answer, err := client(t).Do(context.Background(), u.address, request("one"))
	require.NoError(t, err)
	require.True(t, answer.NotRun)
	require.False(t, answer.Sealed)
	require.Equal(t, exchange.Load{Running: 12, Waiting: 4, Slots: 12}, *answer.Load)
	answer.Close(true)
}

// Two requests after each other share a connection when nothing is wrong:
// each new connection to an upstream costs it a handshake.
func TestConnectionIsUsedAgain(t *testing.T) {
	u := serve(t, func(conn net.Conn, _ int) bool { return write(conn, whole) })
	c := client(t)
	for range 3 {
		_, err := do(t, c, u, "one")
		require.NoError(t, err)
	}
	require.Len(t, u.connections, 1)
}

// A request that may not run twice was lost with the first bytes on a connection
// whose upstream had been gone for seconds: one that was idle for over a second is
// not trusted with it.
func TestRequestThatMayNotRepeatIsNotSentOnALongIdleConnection(t *testing.T) {
	for _, c := range []struct {
		unsafe bool
		idle   time.Duration
		dials  int
	}{
		{unsafe: true, idle: 900 * time.Millisecond, dials: 1},
		{unsafe: true, idle: 1100 * time.Millisecond, dials: 2},
		{unsafe: false, idle: 1100 * time.Millisecond, dials: 1},
	} {
		u := serve(t, func(conn net.Conn, _ int) bool { return write(conn, whole) })
		var dialer net.Dialer
		pool := exchange.NewPool(dialer.DialContext)
		now := time.Unix(1000, 0)
		client := exchange.NewClient(pool, names, func() time.Time { return now })
		for range 2 {
			sent := request("one")
			sent.Unsafe = c.unsafe
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

// A caller got another caller's answer: the upstream was late with one and sent
// it where the next was due. The id tells the two apart, and the connection is
// not used again.
func TestLateAnswerToAnotherRequestIsSkipped(t *testing.T) {
	u := serve(t, func(conn net.Conn, _ int) bool {
		return write(conn, "HTTP/1.1 200 OK\nRequest-Id: other\nSeal: s\nContent-Length: 5\n\nwrong"+whole)
	})
	c := client(t)
	for range 2 {
		body, err := do(t, c, u, "one")
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Len(t, u.connections, 2)
}

// An upstream sends a second answer after a whole one. Taken for the answer to
// the next request, it would reach the wrong caller.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	sent := make(chan struct{}, 4)
	u := serve(t, func(conn net.Conn, _ int) bool {
		ok := write(conn, whole+"HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nContent-Length: 3\n\nbad")
		sent <- struct{}{}
		return ok
	})
	c := client(t)
	for range 3 {
		body, err := do(t, c, u, "one")
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		<-sent
	}
	require.Len(t, u.connections, 3)
}

// An answer that is cut short must never look whole, whether its length was
// told or not.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nContent-Length: 10\n\nok",
		"chunked": "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nTransfer-Encoding: chunked\n\n2\nok\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(conn net.Conn, _ int) bool {
				write(conn, text)
				return false
			})
			_, err := do(t, client(t), u, "one")
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// An answer without a length ends with its connection. One whose connection is
// reset on the way is not complete.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	u := serve(t, func(conn net.Conn, number int) bool {
		ok := write(conn, "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\n\nok")
		if number > 0 {
			ok = conn.(*net.TCPConn).SetLinger(0) == nil
		}
		return !ok
	})
	c := client(t)
	body, err := do(t, c, u, "one")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	_, err = do(t, c, u, "one")
	require.Error(t, err)
}

// Bytes that are no answer, an encoding that nobody asked for, or an answer to
// somebody else without end: the request may have run, and nothing of it is
// told to a caller as success.
func TestAnswersThatCannotBeTrusted(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\nRequest-Id: other\nSeal: s\nContent-Length: 0\n\n"
	for name, text := range map[string]string{
		"garbage": "\x16\x03\x01 nonsense\n\n",
		"encoded": "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nContent-Encoding: gzip\nContent-Length: 2\n\nok",
		"foreign": strings.Repeat(foreign, 5),
		"unended": "HTTP/1.1 200 OK\nRequest-Id: other\nSeal: s\n\nwrong",
	} {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(conn net.Conn, _ int) bool {
				write(conn, text)
				return false
			})
			_, err := do(t, client(t), u, "one")
			require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
		})
	}
}

// Nothing listens at the address: the request was not sent, and saying so lets
// it go to another upstream whatever it is.
func TestRefusedConnectionProvesThatNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = client(t).Do(context.Background(), address, request("one"))
	require.True(t, errorx.IsOfType(err, exchange.NotSent), "%v", err)
}

// An upstream that ran a request and lost its answer closes the connection. A
// library that sends again by itself, as net/http's transport does on a kept
// connection, would charge a customer twice.
func TestRequestIsSentOnceOnAKeptConnection(t *testing.T) {
	count := 0
	u := serve(t, func(conn net.Conn, _ int) bool {
		count++
		return count == 1 && write(conn, whole)
	})
	c := client(t)
	_, err := do(t, c, u, "one")
	require.NoError(t, err)
	_, err = do(t, c, u, "one")
	require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
	require.Len(t, u.requests, 2)
}

// An upstream answers before it has read a long body and reads on where the
// next request would begin. That connection must carry no other request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
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
			write(conn, whole)
		}
	}()
	c := client(t)
	for range 2 {
		long := request("one")
		long.Body = make([]byte, 32<<20)
		answer, err := c.Do(context.Background(), listener.Addr().String(), long)
		require.NoError(t, err)
		body, err := io.ReadAll(answer)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		answer.Close(true)
	}
	require.Len(t, connections, 2)
}

// A caller left. The upstream must learn of it at once, by the end of the
// connection, or it works for nobody.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	got, ended := make(chan struct{}), make(chan struct{})
	u := serve(t, func(conn net.Conn, _ int) bool {
		close(got)
		var one [1]byte
		_, err := conn.Read(one[:])
		require.Error(t, err)
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	c := client(t)
	go func() {
		_, err := c.Do(ctx, u.address, request("one"))
		failed <- err
	}()
	<-got
	cancel()
	require.Error(t, <-failed)
	<-ended
}
