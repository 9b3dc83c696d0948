package flow_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// Guards against a truncated answer that looks complete to a caller that closes its
// sending side and still reads: net/http takes it for disconnected.
func TestHalfClosedCallerGetsNoTruncatedAnswerAsComplete(t *testing.T) {
	for name, text := range map[string]string{"before the answer": "", "within the stream": brokenStream} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			f.upstreams = append(f.upstreams, roster.Upstream{ID: "one", Service: "s", Address: listener.Addr().String(), Slots: 8})
			read := make(chan struct{}, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, strings.ReplaceAll(strings.ReplaceAll(text, "ID", request.Header.Get(idHeader)), "\n", "\r\n"))
				read <- struct{}{}
				_, _ = io.Copy(io.Discard, conn)
			}()
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			request, err := http.NewRequest(http.MethodPost, "http://h/once/x", strings.NewReader("body"))
			require.NoError(t, err)
			request.Header.Set(idHeader, "r1")
			request.Header.Set("Api-Key", "key")
			require.NoError(t, request.Write(conn))
			<-read
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			response, err := http.ReadResponse(bufio.NewReader(conn), request)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}
