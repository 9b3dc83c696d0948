// Package ingress accepts callers' connections, closes those that are idle for too
// long, and drains them when the process shuts down.
package ingress

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// defaultHeaderTimeout and defaultHeaderBytes apply until a configuration is
	// loaded, and if it does not set them.
	defaultHeaderTimeout = 10 * time.Second
	defaultHeaderBytes   = 64 << 10
	// maxHeaderBytes bounds the memory for one header, whatever the configuration
	// allows.
	maxHeaderBytes = 256 << 10
	// unreadBodyTimeout limits the time to receive a body that the handler does not
	// read: http.Server reads the rest of it before it answers.
	unreadBodyTimeout = 2 * time.Second
	// defaultIdleTimeout applies until a configuration is loaded, and if it sets none.
	defaultIdleTimeout = 15 * time.Second
	// shutdownLinger is how long open connections still accept requests after the
	// start of a shutdown: the load balancer takes two seconds to notice it, and
	// callers that were told to close their connection do so before their next
	// request.
	shutdownLinger = 3500 * time.Millisecond
	// drainPollInterval is how often a shutdown checks whether it is complete.
	drainPollInterval = 50 * time.Millisecond
	// flushDelay is the time between the end of the last request and the closing of
	// its connection, in which the last bytes of the answer are sent.
	flushDelay = 100 * time.Millisecond
)

// CloseReason is why this process closed a caller's connection.
type CloseReason string

// Reasons for closing a connection.
const (
	// CloseIdle: no request arrived within the idle limit or before the end of a
	// shutdown.
	CloseIdle CloseReason = "idle"
	// CloseInFlight: a request was in flight, and its caller still connected.
	CloseInFlight CloseReason = "in-flight"
	// CloseBusy: the connection was new and not taken.
	CloseBusy CloseReason = "busy"
	// CloseCrowded: the connection waited for a request, or for the rest of its header, and gave
	// way to others.
	CloseCrowded CloseReason = "crowded"
	// CloseHeader: the header was too large, or there was no memory for it.
	CloseHeader CloseReason = "header"
)

// Metrics counts closed connections of callers.
type Metrics interface {
	// ConnectionClosed counts a connection that this process closed.
	ConnectionClosed(reason CloseReason)
}

// Dependencies holds the dependencies of a Server.
type Dependencies struct {
	Handler http.Handler
	// Catalog returns the active configuration, or nil before the first is loaded.
	Catalog func() *catalog.Catalog
	Metrics Metrics
	Logger  *slog.Logger
	Now     func() time.Time
	// Take reports whether a new connection is taken. The others are closed at once, with
	// nothing read. If it is nil, all are taken.
	Take func(now time.Time) bool
	// Memory bounds the open connections and the bytes of large headers; nil bounds neither.
	Memory *memory.Account
}

// Server is an HTTP server for callers.
type Server struct {
	Dependencies
	httpServer *http.Server
	turns      turns

	// draining reports that connections are closed as soon as they are idle.
	draining       atomic.Bool
	activeRequests atomic.Int64

	mu       sync.Mutex
	listener *listener
	// acceptDone is closed when no more connections are accepted.
	acceptDone chan struct{}
	conns      map[*Conn]struct{}
	// waiting holds the connections without a request, that which changed last at the end.
	waiting list.List
	// crowdedLoggedAt is when the log last told that connections give way.
	crowdedLoggedAt time.Time
}

// New returns a server with the given dependencies. Serve starts it.
func New(deps Dependencies) *Server {
	s := &Server{Dependencies: deps, conns: make(map[*Conn]struct{}), turns: newTurns()}
	s.httpServer = &http.Server{
		Handler: s.trackRequest(deps.Handler), MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.trackState, ConnContext: withConn, DisableGeneralOptionsHandler: true,
		ErrorLog: slog.NewLogLogger(deps.Logger.Handler(), slog.LevelWarn),
	}
	return s
}

// Serve accepts connections until the server is stopped.
func (s *Server) Serve(l net.Listener) error {
	conns, acceptDone := newListener(l, s), make(chan struct{})
	defer close(acceptDone)
	s.mu.Lock()
	s.listener, s.acceptDone = conns, acceptDone
	s.mu.Unlock()
	err := s.httpServer.Serve(conns)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() {
		return nil
	}
	return err
}

func (s *Server) trackRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.activeRequests.Add(1)
		defer s.activeRequests.Add(-1)
		conn := ConnOf(r.Context())
		conn.setInFlight(true)
		answered := false
		defer func() {
			// A handler that panics leaves the request in flight, so that the
			// closing of its connection is counted, unless the caller disconnected.
			if answered || r.Context().Err() != nil {
				conn.setInFlight(false)
			}
		}()
		if r.Body != http.NoBody {
			deadline := s.Now().Add(unreadBodyTimeout)
			if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
				s.Logger.Debug("could not set the read deadline", "err", err)
			}
		}
		if size, limit := headerSize(r), s.headerByteLimit(); size > limit {
			s.Logger.Warn("header too large", "bytes", size, "most", limit)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		} else {
			next.ServeHTTP(w, r)
		}
		answered = true
	})
}

// trackState updates a connection when a request begins and when it has ended. A
// pipelined request is already in the buffer of http.Server and begins without a
// read.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	c := conn.(*Conn)
	switch state {
	case http.StateActive:
		s.endWait(c)
		c.EndTurn()
		// The deadline can only fail to be set on a closed connection.
		_ = c.endHeader(s.Now())
	case http.StateIdle:
		c.header.close(s.Now())
		c.EndTurn()
		if err := c.restoreBuffers(); err != nil {
			s.Logger.Debug("could not restore the buffers", "err", err)
		}
		c.beginIdle(s.Now())
		s.beginWait(c)
	}
}

func (s *Server) openConns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// idleLimit returns how long a connection may be idle. Unlike the IdleTimeout of
// http.Server, it may change while the process runs.
func (s *Server) idleLimit() time.Duration {
	if s.draining.Load() {
		return 0
	}
	if c := s.Catalog(); c != nil && c.Limits().IdleTimeout > 0 {
		return c.Limits().IdleTimeout
	}
	return defaultIdleTimeout
}

// headerLimit returns how long a header may take from its first byte to its end.
func (s *Server) headerLimit() time.Duration {
	limit := defaultHeaderTimeout
	if c := s.Catalog(); c != nil && c.Limits().HeaderTimeout > 0 {
		limit = c.Limits().HeaderTimeout
	}
	if s.draining.Load() {
		return min(limit, drainHeaderTimeout)
	}
	return limit
}

// headerByteLimit returns how many bytes a header may have.
func (s *Server) headerByteLimit() int {
	if c := s.Catalog(); c != nil && c.Limits().MaxHeaderBytes > 0 {
		return min(c.Limits().MaxHeaderBytes, maxHeaderBytes)
	}
	return defaultHeaderBytes
}

// headerSize returns the bytes of a request's header, without the few fields that
// http.Server removes from it.
func headerSize(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators
	size += len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// Shutdown shuts the server down gracefully: open connections are served until callers
// had time to leave them, and requests in flight complete. Those that still run
// when the context ends are aborted.
func (s *Server) Shutdown(ctx context.Context) error {
	drainFrom := s.Now().Add(shutdownLinger)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.abort()
		case now := <-ticker.C:
			if now.After(drainFrom) && s.activeRequests.Load() == 0 {
				return s.drain(ctx)
			}
		}
	}
}

// drain closes idle connections and waits for the others. It replaces Shutdown of
// http.Server, which takes a connection for idle until the header of the next
// request is parsed, and so drops requests that have been read.
func (s *Server) drain(ctx context.Context) error {
	time.Sleep(flushDelay)
	s.draining.Store(true)
	err := s.stopAccepting(ctx)
	for _, c := range s.openConns() {
		// Interrupting only fails on a closed connection.
		_ = c.interrupt(s.Now())
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for len(s.openConns()) > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return errors.Join(err, s.abort())
}

// stopAccepting closes the listener and waits until the last accepted connection is
// tracked.
func (s *Server) stopAccepting(ctx context.Context) error {
	s.mu.Lock()
	l, acceptDone := s.listener, s.acceptDone
	s.mu.Unlock()
	if l == nil {
		return nil
	}
	err := l.Close()
	select {
	case <-acceptDone:
	case <-ctx.Done():
	}
	return err
}
