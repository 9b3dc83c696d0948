package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against closing a connection without an answer when the request's body is
// malformed or comes too slowly: the caller could not tell whether the request ran.
func TestMalformedOrSlowBodyGetsAnAnswer(t *testing.T) {
	const maxBodyBytes = 4194304
	for _, c := range []struct {
		name, header, body string
		status             int
		delay              time.Duration
	}{
		{"chunk size missing", "Transfer-Encoding: chunked", "zz\r\nbody\r\n0\r\n\r\n", http.StatusBadRequest, 0},
		{"chunk longer than its size", "Transfer-Encoding: chunked", "2\r\nbody\r\n0\r\n\r\n", http.StatusBadRequest, 0},
		{"chunk size overflows", "Transfer-Encoding: chunked", strings.Repeat("f", 20) + "\r\n", http.StatusBadRequest, 0},
		{"chunk extension too long", "Transfer-Encoding: chunked", "4;" + strings.Repeat("x", 8<<10), http.StatusBadRequest, 0},
		{"body incomplete", "Content-Length: 10", "body", http.StatusRequestTimeout, time.Second},
		{"chunked body incomplete", "Transfer-Encoding: chunked", "4\r\nbody\r\n", http.StatusRequestTimeout, time.Second},
		{"body missing", "Content-Length: 10", "", http.StatusRequestTimeout, time.Second},
		{"body too large", fmt.Sprintf("Content-Length: %d", maxBodyBytes+1), "", http.StatusRequestEntityTooLarge, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				conn, err := f.network.DialContext(t.Context(), "tcp", callerAddress(0))
				require.NoError(t, err)
				start := time.Now()
				_, err = fmt.Fprintf(conn, "POST /old/x HTTP/1.1\r\nHost: h\r\nApi-Key: key\r\n%s: one\r\nX-Persimmonridge-Deadline-Ms: 1000\r\n%s\r\n\r\n%s", attemptIDHeader, c.header, c.body)
				require.NoError(t, err)
				require.NoError(t, conn.SetReadDeadline(start.Add(time.Minute)))
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				require.Equal(t, c.status, response.StatusCode)
				require.GreaterOrEqual(t, time.Since(start), c.delay)
				require.Less(t, time.Since(start), c.delay+100*time.Millisecond)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				_, err = reader.ReadByte()
				require.ErrorIs(t, err, io.EOF, "the connection must be closed, since the end of the body is unknown")
				require.Empty(t, f.peakLoad, "no engine may run the request")
				require.NoError(t, conn.Close())
			})
		})
	}
}
