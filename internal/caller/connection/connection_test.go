package connection_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/caller/connection"
)

// lingering records the linger times that were set.
type lingering struct {
	net.Conn
	seconds []int
}

// SetLinger implements the method of net.TCPConn.
func (l *lingering) SetLinger(seconds int) error {
	l.seconds = append(l.seconds, seconds)
	return nil
}

func request(t *testing.T, major, minor int, c net.Conn) *http.Request {
	t.Helper()
	r := (&http.Request{ProtoMajor: major, ProtoMinor: minor}).WithContext(t.Context())
	if c == nil {
		return r
	}
	return r.WithContext(connection.NewContext(r.Context(), c))
}

func TestConnectionOfHTTP10IsResetUntilItsAnswerIsComplete(t *testing.T) {
	conn := &lingering{}
	ending := connection.EndingOf(request(t, 1, 0, conn))
	require.NoError(t, ending.Begin())
	require.Equal(t, []int{0}, conn.seconds)
	require.NoError(t, ending.Complete())
	require.Equal(t, []int{0, -1}, conn.seconds)
}

func TestConnectionOfHTTP11IsNotReset(t *testing.T) {
	conn := &lingering{}
	ending := connection.EndingOf(request(t, 1, 1, conn))
	require.NoError(t, ending.Begin())
	require.NoError(t, ending.Complete())
	require.Empty(t, conn.seconds)
}

// Guards against an answer without a length on a connection whose end cannot be made a reset.
func TestConnectionThatCannotBeResetIsAnError(t *testing.T) {
	plain, _ := net.Pipe()
	for _, conn := range []net.Conn{nil, plain} {
		err := connection.EndingOf(request(t, 1, 0, conn)).Begin()
		require.True(t, errorx.IsOfType(err, connection.NoReset), "%v", err)
		require.NoError(t, connection.EndingOf(request(t, 1, 1, conn)).Begin())
	}
}
