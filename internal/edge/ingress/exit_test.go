package ingress_test

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// Guards against requests that a shutdown cuts and that leave no line in the log, because the
// process ends before their handlers do.
func TestShutdownWaitsForTheHandlersOfRequestsThatItCuts(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		var lines strings.Builder
		var ended atomic.Int64
		loopback := network.New()
		server := ingress.New(ingress.Dependencies{
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/begun" {
					ingress.ConnOf(r.Context()).BeginAnswer()
				}
				<-r.Context().Done()
				bubble.Sleep(20 * time.Millisecond) // as a process that gets little processor time
				ended.Add(1)
				panic(http.ErrAbortHandler)
			}),
			Catalog: func() *catalog.Catalog { return nil }, Metrics: new(closedCounts),
			Logger: slog.New(slog.NewTextHandler(&lines, nil)), Now: time.Now,
		})
		listener, err := loopback.Listen(listenAddress)
		require.NoError(t, err)
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		for _, path := range []string{"/begun", "/none", "/begun"} {
			conn, err := loopback.DialContext(t.Context(), "tcp", listenAddress)
			require.NoError(t, err)
			_, err = conn.Write([]byte(request(path)))
			require.NoError(t, err)
		}
		bubble.Sleep(time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.NoError(t, server.Shutdown(ctx))
		require.EqualValues(t, 3, ended.Load())
		require.Contains(t, lines.String(), "answers-begun=2 unanswered=1")
		require.NoError(t, <-served)
	})
}
