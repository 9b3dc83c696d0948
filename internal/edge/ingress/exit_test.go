package ingress_test

import (
	"context"
	"io"
	"log/slog"
	"net"
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

// exitingServer is a server whose shutdown ends while requests are in flight.
type exitingServer struct {
	t       *testing.T
	network *network.Network
	server  *ingress.Server
	served  chan error
}

func newExitingServer(t *testing.T, handler http.HandlerFunc, logger *slog.Logger) *exitingServer {
	s := &exitingServer{t: t, network: network.New(), served: make(chan error, 1)}
	s.server = ingress.New(ingress.Dependencies{
		Handler: handler, Catalog: func() *catalog.Catalog { return nil }, Metrics: new(closedCounts), Logger: logger, Now: time.Now,
	})
	listener, err := s.network.Listen(listenAddress)
	require.NoError(t, err)
	go func() { s.served <- s.server.Serve(listener) }()
	return s
}

// send sends requests, each on a connection of its own, and returns when all are in flight.
func (s *exitingServer) send(paths ...string) []net.Conn {
	var conns []net.Conn
	for _, path := range paths {
		conn, err := s.network.DialContext(s.t.Context(), "tcp", listenAddress)
		require.NoError(s.t, err)
		_, err = conn.Write([]byte(request(path)))
		require.NoError(s.t, err)
		conns = append(conns, conn)
	}
	bubble.Sleep(time.Millisecond)
	return conns
}

const (
	// answersPath is answered exitDelay after the exit, as by a process that gets little processor
	// time; begunPath was answered in part; silentPath is not answered.
	answersPath = "/answers"
	begunPath   = "/begun"
	silentPath  = "/silent"
	exitDelay   = 150 * time.Millisecond
	// handlerDelay is how long a handler takes to end after its connection was closed.
	handlerDelay = 20 * time.Millisecond
)

// Guards against requests that a shutdown cuts and that leave no line in the log, because the
// process ends before their handlers do.
func TestShutdownWaitsForTheHandlersOfRequestsThatItCuts(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		var lines strings.Builder
		var ended atomic.Int64
		s := newExitingServer(t, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == begunPath {
				ingress.ConnOf(r.Context()).BeginAnswer()
			}
			<-r.Context().Done()
			bubble.Sleep(handlerDelay)
			ended.Add(1)
			panic(http.ErrAbortHandler)
		}, slog.New(slog.NewTextHandler(&lines, nil)))
		s.send(begunPath, silentPath, begunPath)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.NoError(t, s.server.Shutdown(ctx))
		require.EqualValues(t, 3, ended.Load())
		require.Contains(t, lines.String(), "answers-begun=2 unanswered=1")
		require.NoError(t, <-s.served)
	})
}

// Guards against requests whose connection the exit closes while they are being answered, because
// the process got no processor between the time to answer them and the time to exit. Answers that
// have begun are cut at once, and a request that is not answered does not hold the exit up.
func TestRequestsThatAreAnsweredAtTheExitGetTheirAnswers(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		exit, endExit := context.WithCancel(t.Context())
		s := newExitingServer(t, func(w http.ResponseWriter, r *http.Request) {
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
		}, slog.New(slog.DiscardHandler))
		conns := s.send(answersPath, begunPath, silentPath)
		exitedAt := time.Now()
		endExit()
		shutdown := make(chan error, 1)
		go func() { shutdown <- s.server.Shutdown(exit) }()

		received, _ := io.ReadAll(conns[1])
		require.Empty(t, received)
		require.Less(t, time.Since(exitedAt), 10*time.Millisecond)
		received, err := io.ReadAll(conns[0])
		require.NoError(t, err)
		require.Contains(t, string(received), "502 Bad Gateway")
		require.Equal(t, exitDelay, time.Since(exitedAt))
		received, _ = io.ReadAll(conns[2])
		require.Empty(t, received)
		require.NoError(t, <-shutdown)
		require.Less(t, time.Since(exitedAt), 400*time.Millisecond)
		require.NoError(t, <-s.served)
	})
}
