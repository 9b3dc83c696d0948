package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// runAccounted runs a script against a server with an account of 1 MB.
func runAccounted(t *testing.T, script func(f *fixture)) {
	runServer(t, 0, func(f *fixture) {
		f.server.Memory = memory.New(1<<20, nil)
		script(f)
		f.stop()
		require.Zero(t, f.server.Memory.Stats().Held[memory.Header])
	})
}

// Guards against headers over the configured limit that are read to their end, or without end, and
// against a refusal that waits for it.
func TestHeaderOverTheLimitIsRefusedBeforeItsEnd(t *testing.T) {
	const limit = 16 << 10
	runAccounted(t, func(f *fixture) {
		f.setLimits(catalog.Limits{IdleTimeout: idleLimit, MaxHeaderBytes: limit})
		c := f.dial()
		began := time.Now()
		require.NoError(t, c.write("GET / HTTP/1.1\r\nHost: h\r\nX-Pad: "+strings.Repeat("p", limit+8<<10)))
		response, err := http.ReadResponse(c.reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
		require.True(t, response.Close)
		require.Less(t, time.Since(began), 10*time.Millisecond)
		_, err = c.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		// A header of the largest size is served, whatever comes behind it.
		largest := f.dial()
		require.NoError(t, largest.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\nX-Pad: "+strings.Repeat("p", limit-100)+"\r\n\r\n"+strings.Repeat("b", 5000)))
		require.NoError(t, largest.read())
	})
}

// Guards against short header lines, which hold several times their bytes, of many connections
// together, against a refusal that does not say that nothing has run and when to come back, and
// against memory of headers that is not released.
func TestHeadersBeyondTheMemoryAreRefused(t *testing.T) {
	var lines strings.Builder
	for i := range 500 {
		fmt.Fprintf(&lines, "X-%d: v\r\n", i)
	}
	runAccounted(t, func(f *fixture) {
		// Each holds 120 KB of 256 KB.
		for range 2 {
			require.NoError(t, f.dial().write("GET / HTTP/1.1\r\nHost: h\r\n"+lines.String()))
		}
		bubble.Sleep(time.Millisecond)
		require.NotZero(t, f.server.Memory.Stats().Held[memory.Header])
		refused := f.dial()
		require.NoError(t, refused.write("GET / HTTP/1.1\r\nHost: h\r\n"+lines.String()+"\r\n"))
		response, err := http.ReadResponse(refused.reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, "1.000", response.Header.Get("Retry-After"))
		_, err = f.dial().call()
		require.NoError(t, err, "a header of usual size needs no room")
		bubble.Sleep(11 * time.Second)
		require.Zero(t, f.server.Memory.Stats().Held[memory.Header], "the header timeout has passed")
		c := f.dial()
		require.NoError(t, c.write("GET / HTTP/1.1\r\nHost: h\r\n"+lines.String()+"\r\n"))
		require.NoError(t, c.read())
		bubble.Sleep(time.Millisecond)
		require.Zero(t, f.server.Memory.Stats().Held[memory.Header], "the request was answered")
	})
}
