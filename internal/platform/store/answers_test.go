package store_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/platform/store"
	"github.com/persimmonridge/persimmonridge/internal/proof/early"
	"github.com/persimmonridge/persimmonridge/internal/proof/heads"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// malformed holds functions that return an answer with the body whose head is none.
var malformed = map[string]func(body string) string{
	"status 000":         func(body string) string { return "HTTP/1.1 000 OK\r\n\r\n" + body },
	"status 600":         func(body string) string { return "HTTP/1.1 600 Odd\r\n\r\n" + body },
	"blank after a name": func(body string) string { return "HTTP/1.1 200 OK\r\nX-Y : v\r\n\r\n" + body },
	"old coding":         func(body string) string { return "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body },
	"informational": func(body string) string {
		return "HTTP/1.1 103 Early Hints\r\nX Y: v\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + body
	},
}

// newClient returns a client of a store that answers with the text.
func newClient(t *testing.T, text string) *store.Client {
	t.Helper()
	memory := network.New()
	listener, err := memory.Listen("10.0.0.1:80")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go heads.Serve(listener, text)
	client := store.New([]string{"http://" + listener.Addr().String()}, time.Now, memory)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	return client
}

// Guards against bytes that are no answer and tell that a key does not exist, that a write took
// effect or did not, or that a session has expired.
func TestMalformedAnswerTellsNothing(t *testing.T) {
	for name, answer := range malformed {
		t.Run(name, func(t *testing.T) {
			_, err := newClient(t, answer("null")).Get(t.Context(), store.Watches, "key")
			require.True(t, errorx.IsOfType(err, store.Unavailable), "%v", err)
			for _, body := range []string{"true", "false", "4\r\ntrue\r\n0\r\n\r\n"} {
				_, err = newClient(t, answer(body)).Swap(t.Context(), store.Watches, "key", []byte("v"), 0)
				require.True(t, errorx.IsOfType(err, store.Indeterminate), "%q: %v", body, err)
			}
			_, err = newClient(t, answer("[]")).RenewSession(t.Context(), "s")
			require.True(t, errorx.IsOfType(err, store.Indeterminate), "%v", err)
			_, err = newClient(t, answer(`{"ID":"s"}`)).CreateSession(t.Context(), "n", time.Second)
			require.True(t, errorx.IsOfType(err, store.Indeterminate), "%v", err)
		})
	}
}

// connDialer opens the connection.
type connDialer struct{ conn net.Conn }

// DialContext implements store.Dialer.
func (d connDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return d.conn, nil
}

// Guards against a part of an early answer that tells that a write did not take effect, because
// its reset was told to the write alone.
func TestResetThatIsToldToTheWriteTellsNothing(t *testing.T) {
	for _, body := range []string{"true", "tru", ""} {
		conn := early.NewConn("HTTP/1.1 200 OK\n\n"+body, syscall.ECONNRESET, 0)
		client := store.New([]string{"http://store"}, time.Now, connDialer{conn})
		_, err := client.Swap(t.Context(), store.Watches, "key", make([]byte, 100<<10), 0)
		require.True(t, errorx.IsOfType(err, store.Indeterminate), "%q: %v", body, err)
		require.NoError(t, client.Close())
	}
}
