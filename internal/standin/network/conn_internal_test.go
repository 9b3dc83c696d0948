package network

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a truncated answer that looks complete: a process is killed, its
// handler returns because the read end of the connection is closed, and the end of
// the answer still passes the write end.
func TestCloseEndsWritesBeforeReads(t *testing.T) {
	near, far := newConnPair(New(), "a:1")
	// Close can't close the read end while the test holds its lock.
	far.in.mu.Lock()
	closed := make(chan error, 1)
	go func() { closed <- far.Close() }()
	require.Eventually(t, func() bool {
		_, err := far.Write([]byte("0\r\n\r\n"))
		return err != nil
	}, 5*time.Second, time.Millisecond, "writes pass while the connection is being closed")
	far.in.mu.Unlock()
	require.NoError(t, <-closed)
	_, err := far.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = near.Write([]byte("x"))
	require.Error(t, err)
}

// Guards against a connection that is closed to be reset and ends as if nothing were missing.
func TestClosingResetsAConnectionWithoutLinger(t *testing.T) {
	near, far := newConnPair(New(), "a:1")
	_, err := far.Write([]byte("part"))
	require.NoError(t, err)
	require.NoError(t, far.SetLinger(0))
	require.NoError(t, far.Close())
	data, err := io.ReadAll(near)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Equal(t, "part", string(data))

	near, far = newConnPair(New(), "a:1")
	require.NoError(t, far.SetLinger(0))
	require.NoError(t, far.SetLinger(-1))
	require.NoError(t, far.Close())
	_, err = io.ReadAll(near)
	require.NoError(t, err)
}
