package relay_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/standin/relay"
)

// After Silence an existing connection neither answers nor ends, and a new one works.
func TestOldConnectionsFallSilentNewOnesWork(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := relay.New(listener, target.Addr().String())
	echo := func(conn net.Conn, within time.Duration) error {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	existing, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	require.NoError(t, echo(existing, time.Minute))
	require.Equal(t, 1, r.Silence())
	var timeout net.Error
	require.ErrorAs(t, echo(existing, 100*time.Millisecond), &timeout)
	require.True(t, timeout.Timeout())
	newConn, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	require.NoError(t, echo(newConn, time.Minute))
	require.NoError(t, existing.Close())
	require.NoError(t, newConn.Close())
	require.NoError(t, r.Close())
	require.NoError(t, target.Close())
}

// While the way back is cut the target receives data and its answers are lost; when
// the cut ends, connections that existed during it are closed.
func TestWayBackIsCut(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	atTarget := make(chan byte, 1)
	go func() {
		conn, err := target.Accept()
		if err != nil {
			return
		}
		received := make([]byte, 1)
		if _, err := io.ReadFull(conn, received); err == nil {
			atTarget <- received[0]
			_, _ = conn.Write(received)
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := relay.New(listener, target.Addr().String())
	r.SetMute(true)
	conn, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	_, err = conn.Write([]byte("x"))
	require.NoError(t, err)
	require.Equal(t, byte('x'), <-atTarget)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout, "the answer is lost")
	require.True(t, timeout.Timeout())
	r.SetMute(false)
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err, "the connection ends with the cut")
	require.NoError(t, conn.Close())
	require.NoError(t, r.Close())
	require.NoError(t, target.Close())
}

// While the relay is held, connections and data are accepted and neither side hears of the
// other; on release all arrives in order with the ends of connections, data before a reset
// included, and answers still reach a caller that closed only its own direction.
func TestHeldConnectionsDeliverEverythingOnRelease(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := relay.New(listener, target.Addr().String())
	dial := func() *net.TCPConn {
		conn, err := net.Dial("tcp", r.Addr())
		require.NoError(t, err)
		return conn.(*net.TCPConn)
	}
	send := func(conn net.Conn, text string) {
		_, err := conn.Write([]byte(text))
		require.NoError(t, err)
	}
	received := make(chan string, 3)
	first := make(chan struct{})
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				one := make([]byte, 1)
				if _, err := io.ReadFull(conn, one); err != nil {
					return
				}
				if one[0] == 'x' {
					close(first)
				}
				rest, _ := io.ReadAll(conn)
				received <- string(one) + string(rest)
				_, _ = conn.Write([]byte("answer"))
				_ = conn.Close()
			}()
		}
	}()
	existing := dial()
	send(existing, "x")
	<-first
	r.Hold(true)
	send(existing, "y")
	require.NoError(t, existing.CloseWrite())
	halfClosed := dial()
	send(halfClosed, "half-closed")
	require.NoError(t, halfClosed.CloseWrite())
	wasReset := dial()
	send(wasReset, "reset")
	require.NoError(t, wasReset.SetLinger(0))
	require.NoError(t, wasReset.Close())
	for _, conn := range []net.Conn{existing, halfClosed} {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		_, err = conn.Read(make([]byte, 1))
		var timeout net.Error
		require.ErrorAs(t, err, &timeout)
		require.True(t, timeout.Timeout(), "%v", err)
	}
	require.Empty(t, received)
	r.Hold(false)
	require.ElementsMatch(t, []string{"xy", "half-closed", "reset"}, []string{<-received, <-received, <-received})
	for _, conn := range []net.Conn{existing, halfClosed} {
		require.NoError(t, conn.SetReadDeadline(time.Time{}))
		answer, err := io.ReadAll(conn)
		require.NoError(t, err)
		require.Equal(t, "answer", string(answer))
		require.NoError(t, conn.Close())
	}
	r.Hold(true)
	waiting := dial()
	require.NoError(t, r.Close(), "a held relay closes")
	require.NoError(t, waiting.Close())
	require.NoError(t, target.Close())
}
