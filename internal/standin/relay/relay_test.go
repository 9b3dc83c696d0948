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
