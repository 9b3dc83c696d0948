package exchange_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/proof/early"
)

// uploadBody does not fit into the buffers of a connection, so that an upstream that does not read
// it blocks its writing.
var uploadBody = bytes.Repeat([]byte("u"), 32<<20)

func upload() exchange.Request {
	r := request("one")
	r.Body = uploadBody
	return r
}

// writeFirstConn reads on only once a write has failed. The kernel tells a reset once, to the call
// that asks first.
type writeFirstConn struct {
	net.Conn
	failed chan struct{}
	once   sync.Once
	// read is set by the first read.
	read bool
}

// Read implements net.Conn.
func (c *writeFirstConn) Read(p []byte) (int, error) {
	if c.read {
		<-c.failed
	}
	c.read = true
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// Close implements net.Conn.
func (c *writeFirstConn) Close() error {
	c.once.Do(func() { close(c.failed) })
	return c.Conn.Close()
}

// startEarlyUpstream starts an upstream that answers after the first byte of a request, without
// reading the rest, and ends the connection as end does. It returns its address.
func startEarlyUpstream(t *testing.T, text string, end func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			var first [1]byte
			if _, err := conn.Read(first[:]); err == nil && write(conn, text) {
				end(conn.(*net.TCPConn))
			}
		}
	}()
	return listener.Addr().String()
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

const headWithoutLength = "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\n\n"

// Guards against a part of an answer that is taken for all of it, because the reset of its
// connection was told to the write of the request and the read gets a plain end.
func TestResetThatIsToldToTheWriteIsNoEnd(t *testing.T) {
	for name, text := range map[string]string{
		"part of a body": headWithoutLength + "part",
		"version 1.0":    "HTTP/1.0 200 OK\nRequest-Id: one\nSeal: s\n\npart",
		"failure":        "HTTP/1.1 500 No\nRequest-Id: one\nSeal: s\n\npart",
		"stream":         "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nContent-Type: text/event-stream\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"length":         "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nContent-Length: 5\n\npart",
		"chunks":         "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nTransfer-Encoding: chunked\n\n4\npart\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool := exchange.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				return &writeFirstConn{Conn: conn, failed: make(chan struct{})}, err
			})
			t.Cleanup(func() { require.NoError(t, pool.Close()) })
			answer, err := exchange.NewClient(pool, names, time.Now).Do(t.Context(), startEarlyUpstream(t, text, reset), upload())
			require.NoError(t, err)
			defer answer.Close(false)
			body, err := io.ReadAll(answer)
			require.Error(t, err, "%q was taken for a whole body", body)
		})
	}
}

// Guards against an early answer that is lost although its upstream has ended it in order: it
// stopped reading the request, reads it later, or resets the connection after its end.
func TestEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"reads no more": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
		"reads later": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"reset after the end": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			reset(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer, err := newClient(t).Do(t.Context(), startEarlyUpstream(t, headWithoutLength+"whole", end), upload())
			require.NoError(t, err)
			defer answer.Close(false)
			body, err := io.ReadAll(answer)
			require.NoError(t, err)
			require.Equal(t, "whole", string(body))
		})
	}
}

// Guards against an end that is believed while a write is still under way that alone was told the
// reset, and against one that is awaited for as long as the upstream does not read.
func TestWriteThatIsUnderWayIsAskedForAReset(t *testing.T) {
	for name, c := range map[string]struct {
		told  error
		after time.Duration
		whole bool
	}{
		"reset":                         {told: syscall.ECONNRESET},
		"reset, told late":              {told: syscall.ECONNRESET, after: time.Hour},
		"time-out of the kernel":        {told: syscall.ETIMEDOUT, after: time.Hour},
		"host is gone":                  {told: syscall.EHOSTUNREACH, after: time.Hour},
		"reads no more":                 {told: syscall.EPIPE, after: time.Hour, whole: true},
		"reads no more, in memory":      {told: io.ErrClosedPipe, after: time.Hour, whole: true},
		"does not read, sending closed": {whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := early.NewConn(headWithoutLength+"body", c.told, c.after)
				pool := exchange.NewPool(func(context.Context, string, string) (net.Conn, error) { return conn, nil })
				answer, err := exchange.NewClient(pool, names, time.Now).Do(t.Context(), "upstream", upload())
				require.NoError(t, err)
				body, err := io.ReadAll(answer)
				if c.whole {
					require.NoError(t, err)
					require.Equal(t, "body", string(body))
				} else {
					require.ErrorIs(t, err, c.told)
				}
				answer.Close(false)
				require.NoError(t, pool.Close())
			})
		})
	}
}

// Guards against a request that may have run and counts as not sent, or as sent on a stale
// connection, because its write was told the reset that came in place of an answer.
func TestResetThatIsToldToTheWriteBeforeTheAnswerIsALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := early.NewConn("", syscall.ECONNRESET, time.Second)
		pool := exchange.NewPool(func(context.Context, string, string) (net.Conn, error) { return conn, nil })
		_, err := exchange.NewClient(pool, names, time.Now).Do(t.Context(), "upstream", upload())
		require.True(t, errorx.IsOfType(err, exchange.Lost), "%v", err)
		require.False(t, errorx.IsOfType(err, exchange.Stale), "%v", err)
		require.NoError(t, pool.Close())
	})
}

// Guards against a connection that is kept although the write of a request was told its reset.
func TestConnectionOfAnEarlyAnswerIsNotKept(t *testing.T) {
	text := "HTTP/1.1 200 OK\nRequest-Id: one\nSeal: s\nContent-Length: 5\n\nwhole"
	client := newClient(t)
	address := startEarlyUpstream(t, text, reset)
	for range 2 {
		answer, err := client.Do(t.Context(), address, upload())
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.Status)
		body, err := io.ReadAll(answer)
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
		answer.Close(true)
	}
}
