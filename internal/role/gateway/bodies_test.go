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

// Guards against a request whose body is malformed or comes too slowly and whose
// connection ends without an answer: its caller can't tell whether it has run.
func TestBadBodyIsAnswered(t *testing.T) {
	const most = 4194304
	for _, c := range []struct {
		name, header, body string
		status             int
		after              time.Duration
	}{
		{"chunk without a length", "Transfer-Encoding: chunked", "zz\r\nbody\r\n0\r\n\r\n", http.StatusBadRequest, 0},
		{"chunk longer than it says", "Transfer-Encoding: chunked", "2\r\nbody\r\n0\r\n\r\n", http.StatusBadRequest, 0},
		{"chunk of a length that overflows", "Transfer-Encoding: chunked", strings.Repeat("f", 20) + "\r\n", http.StatusBadRequest, 0},
		{"endless line of a chunk", "Transfer-Encoding: chunked", "4;" + strings.Repeat("x", 8<<10), http.StatusBadRequest, 0},
		{"rest never sent", "Content-Length: 10", "body", http.StatusRequestTimeout, time.Second},
		{"chunks that stop", "Transfer-Encoding: chunked", "4\r\nbody\r\n", http.StatusRequestTimeout, time.Second},
		{"nothing sent", "Content-Length: 10", "", http.StatusRequestTimeout, time.Second},
		{"too long", fmt.Sprintf("Content-Length: %d", most+1), "", http.StatusRequestEntityTooLarge, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			play(t, func(f *fleet) {
				conn, err := f.network.DialContext(t.Context(), "tcp", callersAt(0))
				require.NoError(t, err)
				begun := time.Now()
				_, err = fmt.Fprintf(conn, "POST /old/x HTTP/1.1\r\nHost: h\r\nApi-Key: key\r\n%s: one\r\nX-Persimmonridge-Deadline-Ms: 1000\r\n%s\r\n\r\n%s", id, c.header, c.body)
				require.NoError(t, err)
				require.NoError(t, conn.SetReadDeadline(begun.Add(time.Minute)))
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				require.Equal(t, c.status, response.StatusCode)
				require.GreaterOrEqual(t, time.Since(begun), c.after)
				require.Less(t, time.Since(begun), c.after+100*time.Millisecond)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				_, err = reader.ReadByte()
				require.ErrorIs(t, err, io.EOF, "what follows cannot be told from the body")
				require.Empty(t, f.most, "no engine has run it")
				require.NoError(t, conn.Close())
			})
		})
	}
}
