package exchange_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
)

// settlements receives how the requests of a test were settled.
type settlements chan exchange.Settlement

// sendAndGiveUp sends a request that is given up after a moment, and returns its error.
func (s settlements) sendAndGiveUp(t *testing.T, client *exchange.Client, address string, body []byte) error {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := request("one")
	r.Body = body
	r.Admit = func() (func(exchange.Settlement), bool) {
		time.AfterFunc(100*time.Millisecond, cancel)
		return func(how exchange.Settlement) { s <- how }, true
	}
	answer, err := client.Do(ctx, address, r)
	if err == nil {
		answer.Close(true)
	}
	return err
}

// listenUnread returns the address of a listener whose kernel accepts connections and bytes,
// and which accepts them itself only when accept is called.
func listenUnread(t *testing.T) (address string, accept func() net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), func() net.Conn {
		conn, err := listener.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
}

// Guards against a request that counts as gone when it is given up, though a paused upstream's
// kernel has it: it counts until the upstream has seen the end of the connection.
func TestRequestThatWasGivenUpIsSettledWhenItsUpstreamHasReadIt(t *testing.T) {
	address, accept := listenUnread(t)
	settled := make(settlements, 1)
	require.Error(t, settled.sendAndGiveUp(t, newClient(t), address, []byte("body")))
	require.Empty(t, settled, "the upstream has not read the request")

	conn := accept()
	text, err := io.ReadAll(conn)
	require.NoError(t, err, "the upstream is told that the request was given up")
	require.Contains(t, string(text), "\r\n\r\nbody")
	require.Empty(t, settled)
	require.NoError(t, conn.Close())
	require.Equal(t, exchange.Ended, <-settled)
}

// Guards against an answer to a request that was given up which is waited for to its end.
func TestRequestThatWasGivenUpIsSettledByTheFirstByteOfAnAnswer(t *testing.T) {
	address, accept := listenUnread(t)
	settled := make(settlements, 1)
	require.Error(t, settled.sendAndGiveUp(t, newClient(t), address, nil))
	conn := accept()
	require.True(t, write(conn, "HTTP/1.1 200 OK\n"))
	require.Equal(t, exchange.Answered, <-settled)
}

// Guards against the rest of a request that arrives after it was given up, once its upstream
// reads on.
func TestRestOfARequestThatWasGivenUpNeverArrives(t *testing.T) {
	address, accept := listenUnread(t)
	settled := make(settlements, 1)
	body := bytes.Repeat([]byte("b"), 32<<20)
	require.Error(t, settled.sendAndGiveUp(t, newClient(t), address, body))
	received, err := io.ReadAll(accept())
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.NotEmpty(t, received)
	require.Less(t, len(received), len(body))
	require.Empty(t, settled, "the upstream may take what it has for a request")
}

// silentConn is a connection whose peer's kernel acknowledges nothing: its socket is one whose
// bytes nobody reads.
type silentConn struct {
	net.Conn
	socket syscall.Conn
}

func (c silentConn) SyscallConn() (syscall.RawConn, error) { return c.socket.SyscallConn() }

// fillSendQueue writes to a connection whose peer reads nothing until its kernel has more bytes
// that were not acknowledged than a request has.
func fillSendQueue(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	for queued := 0; queued < 64<<10; {
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := conn.Write(make([]byte, 32<<20))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the peer reads nothing")
		require.NoError(t, raw.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }))
	}
}

// Guards against a retry that counts as unsettled though nothing of it was acknowledged, so that
// its connection's reset has discarded all of it.
func TestRequestThatWasGivenUpUnacknowledgedIsSettledAtOnce(t *testing.T) {
	address, _ := listenUnread(t)
	pool := exchange.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		require.NoError(t, err)
		full, err := dialer.DialContext(ctx, network, address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = full.Close() })
		fillSendQueue(t, full.(*net.TCPConn))
		return silentConn{conn, full.(*net.TCPConn)}, nil
	})
	t.Cleanup(func() { require.NoError(t, pool.Close()) })
	settled := make(settlements, 1)
	require.Error(t, settled.sendAndGiveUp(t, exchange.NewClient(pool, names, time.Now), address, nil))
	require.Equal(t, exchange.Discarded, <-settled)
}

// Guards against retries that are refused for a minute because an upstream never closes the
// connections of requests that were given up, although it answers others.
func TestRequestThatWasGivenUpIsSettledByTheAnswerToALaterOne(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, number int) bool {
		if number == 0 {
			<-t.Context().Done()
		}
		return write(conn, completeAnswer)
	})
	client, settled := newClient(t), make(settlements, 1)
	require.Error(t, settled.sendAndGiveUp(t, client, u.address, nil))
	require.Empty(t, settled)
	_, err := roundTrip(t, client, u, "one")
	require.NoError(t, err)
	require.Equal(t, exchange.Outlived, <-settled)
}

// Guards against a pool that is closed while it still waits for upstreams, and leaves goroutines.
func TestClosedPoolWaitsForNoUpstream(t *testing.T) {
	address, _ := listenUnread(t)
	pool := exchange.NewPool(new(net.Dialer).DialContext)
	settled := make(settlements, 1)
	require.Error(t, settled.sendAndGiveUp(t, exchange.NewClient(pool, names, time.Now), address, nil))
	require.NoError(t, pool.Close())
	require.Equal(t, exchange.Ended, <-settled)
}

// Guards against a retry that is never settled although it was answered, or failed.
func TestRequestIsSettledByItsAnswerOrTheEndOfItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		how  exchange.Settlement
	}{
		"answered": {completeAnswer, exchange.Answered},
		"closed":   {"", exchange.Ended},
		"garbage":  {"garbage\n", exchange.Ended},
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(conn net.Conn, _ int) bool { write(conn, c.text); return false })
			settled := make(settlements, 1)
			r := request("one")
			r.Header = http.Header{}
			r.Admit = func() (func(exchange.Settlement), bool) {
				return func(how exchange.Settlement) { settled <- how }, true
			}
			answer, err := newClient(t).Do(t.Context(), u.address, r)
			if err == nil {
				answer.Close(false)
			}
			require.Equal(t, c.how, <-settled)
		})
	}
}
