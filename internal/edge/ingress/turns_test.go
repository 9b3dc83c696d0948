package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

const (
	largeBody = 64 << 10
	// processingTime stands for the processor time of a piece of a body.
	processingTime = time.Second
)

// sendLarge begins a request with a large body.
func (c *caller) sendLarge() {
	// The write fails if the connection is closed meanwhile.
	_ = c.write(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", largeBody, strings.Repeat("b", largeBody)))
}

// Guards against many connections with large requests that keep the processor from ordinary ones:
// few are processed at once, usual requests pass, and turns of connections that end are not lost.
func TestFewLargeRequestsAreProcessedAtOnce(t *testing.T) {
	turns := runtime.GOMAXPROCS(0) + 1
	crowd := 3 * turns
	var processed, most atomic.Int64
	process := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength < largeBody {
			_, _ = io.WriteString(w, "whole")
			return
		}
		piece := make([]byte, largeBody/2)
		if _, err := io.ReadFull(r.Body, piece); err == nil {
			most.Store(max(most.Load(), processed.Add(1)))
			bubble.Sleep(processingTime)
			processed.Add(-1)
			_, _ = io.Copy(io.Discard, r.Body)
			ingress.ConnOf(r.Context()).EndTurn()
		}
		_, _ = io.WriteString(w, "whole")
	})
	runServer(t, 0, func(f *fixture) {
		f.handle = process
		var answered sync.WaitGroup
		clients := make([]*caller, crowd)
		for i := range clients {
			clients[i] = f.dial()
			go clients[i].sendLarge()
		}
		bubble.Sleep(processingTime / 2)
		require.EqualValues(t, turns, most.Load())
		ordinary, began := f.dial(), time.Now()
		require.NoError(t, ordinary.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"))
		require.NoError(t, ordinary.read())
		require.Less(t, time.Since(began), processingTime/2)
		// Those that wait for a turn end before they get one.
		for _, c := range clients[turns:] {
			require.NoError(t, c.conn.Close())
		}
		for _, c := range clients[:turns] {
			answered.Go(func() { _ = c.read() })
		}
		answered.Wait()
		late := f.dial()
		go late.sendLarge()
		require.NoError(t, late.read())
		require.EqualValues(t, turns, most.Load())
		require.Zero(t, processed.Load())
	})
}
