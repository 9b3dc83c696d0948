package flow_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against a complete stream that the exit cuts while its caller takes it.
func TestCompleteStreamIsNotCutWhileItsCallerTakesItAtTheExit(t *testing.T) {
	for _, delay := range []time.Duration{-100 * time.Millisecond, -20 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			runSlow(t, ampleMemory, func(f *slowFixture) {
				const events, size = 30, 20 << 10
				f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, events, size, 0) })
				f.shutdownSince = time.Now().Add(-3 * time.Second)
				_, exitAt, _ := f.shutdown()
				var endExit context.CancelFunc
				f.exit, endExit = context.WithDeadline(f.t.Context(), exitAt)
				defer endExit()
				caller := f.send("/long/x", "key", "r1", "X-Persimmonridge-Token-Counts: 1000,18\r\nContent-Length: 0\r\n", "")
				go f.shutDown(time.Until(exitAt))
				bubble.Sleep(time.Until(exitAt.Add(delay)))
				response, body, err := caller.read()
				require.NoError(f.t, err)
				require.Equal(f.t, http.StatusOK, response.StatusCode)
				require.Equal(f.t, eventTexts(1, events, size), body)
			})
		})
	}
}

// Guards against a request that is passed on to an upstream though it came after the time at
// which requests are given up before the exit.
func TestRequestThatComesWhenTheProcessExitsIsNotPassedOn(t *testing.T) {
	for range 200 {
		runSlow(t, ampleMemory, func(f *slowFixture) {
			f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, 1, 10, 0) })
			exit, endExit := context.WithCancel(f.t.Context())
			endExit()
			f.exit = exit
			response, _, err := f.send("/read/x", "key", "r1", "Content-Length: 4\r\n", "body").read()
			require.NoError(f.t, err)
			require.Equal(f.t, http.StatusServiceUnavailable, response.StatusCode)
			require.Empty(f.t, f.record().executed)
		})
	}
}
