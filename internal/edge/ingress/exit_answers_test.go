package ingress_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// answersPath is answered 150 ms after the exit, as by a process that gets little processor
	// time; begunPath was answered in part; silentPath is not answered.
	answersPath = "/answers"
	begunPath   = "/begun"
	silentPath  = "/silent"
	exitDelay   = 150 * time.Millisecond
)

// exitHandler answers requests at the exit of the process, according to their paths.
func exitHandler(exit context.Context) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn := ingress.ConnOf(r.Context())
		conn.AnswerAtExit()
		switch r.URL.Path {
		case answersPath:
			<-exit.Done()
			bubble.Sleep(exitDelay)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadGateway)
			return
		case begunPath:
			conn.BeginAnswer()
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// Guards against requests whose connection the exit closes while they are being answered, because
// the process got no processor between the time to answer them and the time to exit. Answers that
// have begun are cut at once, and a request that is not answered does not hold the exit up.
func TestRequestsThatAreAnsweredAtTheExitGetTheirAnswers(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		exit, endExit := context.WithCancel(t.Context())
		loopback := network.New()
		server := ingress.New(ingress.Dependencies{
			Handler: exitHandler(exit), Catalog: func() *catalog.Catalog { return nil }, Metrics: new(closedCounts),
			Logger: slog.New(slog.DiscardHandler), Now: time.Now,
		})
		listener, err := loopback.Listen(listenAddress)
		require.NoError(t, err)
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		conns := map[string]net.Conn{}
		for _, path := range []string{answersPath, begunPath, silentPath} {
			conns[path], err = loopback.DialContext(t.Context(), "tcp", listenAddress)
			require.NoError(t, err)
			_, err = conns[path].Write([]byte(request(path)))
			require.NoError(t, err)
		}
		bubble.Sleep(time.Millisecond)
		exitedAt := time.Now()
		endExit()
		shutdown := make(chan error, 1)
		go func() { shutdown <- server.Shutdown(exit) }()

		received, _ := io.ReadAll(conns[begunPath])
		require.Empty(t, received)
		require.Less(t, time.Since(exitedAt), 10*time.Millisecond)
		received, err = io.ReadAll(conns[answersPath])
		require.NoError(t, err)
		require.Contains(t, string(received), "502 Bad Gateway")
		require.Equal(t, exitDelay, time.Since(exitedAt))
		received, _ = io.ReadAll(conns[silentPath])
		require.Empty(t, received)
		require.NoError(t, <-shutdown)
		require.Less(t, time.Since(exitedAt), 400*time.Millisecond)
		require.NoError(t, <-served)
	})
}
