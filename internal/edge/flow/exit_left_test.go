package flow_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against a stream that comes late in a stop, is passed on as it comes because there is no
// memory for all of it, and is cut at the exit because its engine stalls.
func TestStreamOfAStalledEngineIsNotCutForWantOfMemory(t *testing.T) {
	var status int
	var bodyErr error
	runSlow(t, 100<<10, func(f *slowFixture) {
		f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) {
			w.openStream()
			w.events(1, 30, 10<<10, 0)
			bubble.Sleep(20 * time.Second)
		})
		f.shutdownSince = time.Now().Add(-3 * time.Second)
		_, exitAt, _ := f.shutdown()
		var endExit context.CancelFunc
		f.exit, endExit = context.WithDeadline(f.t.Context(), exitAt.Add(-40*time.Millisecond))
		defer endExit()
		caller := f.send("/long/x", "key", "r1", "X-Persimmonridge-Token-Counts: 1000,18\r\nContent-Length: 0\r\n", "")
		go f.shutDown(time.Until(exitAt))
		var response *http.Response
		response, _, bodyErr = caller.read()
		status = response.StatusCode
		bubble.Sleep(30 * time.Second)
	})
	require.NoError(t, bodyErr, "status %d", status)
}

// Guards against a request that is pipelined behind another one in a stop, and gets no answer
// because the connection ends with the answer to the first.
func TestRequestPipelinedInAStopIsAnswered(t *testing.T) {
	var secondErr error
	runSlow(t, ampleMemory, func(f *slowFixture) {
		f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, 3, 10, 10*time.Millisecond) })
		f.shutdownSince = time.Now().Add(-time.Second)
		caller := f.send("/long/x", "key", "r1", "Content-Length: 0\r\n\r\nPOST /long/y HTTP/1.1\r\nHost: h\r\nApi-Key: key\r\n"+idHeader+": r2\r\nContent-Length: 0\r\n", "")
		first, err := http.ReadResponse(caller.reader, nil)
		require.NoError(f.t, err)
		_, err = io.ReadAll(first.Body)
		require.NoError(f.t, err)
		_, secondErr = http.ReadResponse(caller.reader, nil)
	})
	require.NoError(t, secondErr)
}
