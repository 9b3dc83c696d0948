// Package ingress owns callers' connections: it accepts them, closes those that
// are idle for too long, and ends them in order when the process stops.
package ingress

import (
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

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// headerTimeout and headerBytes apply until a configuration is known, and where
	// it states none.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
	// maxHeaderBytes bounds what a header may take of the process's memory, whatever
	// the configuration allows.
	maxHeaderBytes = 256 << 10
	// unreadBodyTimeout bounds a body that the handler does not read: http.Server
	// reads on before it answers.
	unreadBodyTimeout = 2 * time.Second
	// idleTimeout applies until a configuration is known.
	idleTimeout = 15 * time.Second
	// lingerAfterStop is how long callers may still send on open connections
	// after a stop began: the balancer takes two seconds to notice, and callers
	// that were told to use another connection do so with their next request.
	lingerAfterStop = 3500 * time.Millisecond
	// drainPollInterval is how often a stopping process looks whether it is done.
	drainPollInterval = 50 * time.Millisecond
	// settleBeforeEnd is kept between the last request's end and the closing
	// of its connection, so that the answer's last bytes are on their way.
	settleBeforeEnd = 100 * time.Millisecond
)

// CloseReason names why this process closed a caller's connection.
type CloseReason string

// The reasons.
const (
	// CloseIdle: no request came within the idle limit, or before a stop ended.
	CloseIdle CloseReason = "idle"
	// CloseInFlight: a request was in flight, and its caller still there.
	CloseInFlight CloseReason = "in-flight"
)

// Metrics counts what becomes of callers' connections.
type Metrics interface {
	// ConnectionClosed counts a connection that this process closed.
	ConnectionClosed(reason CloseReason)
}

// Parts are what a Server works with.
type Parts struct {
	Handler http.Handler
	// Catalog returns the configuration in force, or nil before the first.
	Catalog func() *catalog.Catalog
	Metrics Metrics
	Logger  *slog.Logger
	Now     func() time.Time
}

// Server serves callers.
type Server struct {
	Parts
	http *http.Server

	// draining tells that connections end as soon as they are idle.
	draining atomic.Bool
	active   atomic.Int64

	mu       sync.Mutex
	listener *listener
	// served is closed when no more connections are accepted.
	served chan struct{}
	conns  map[*Conn]struct{}
}

// New returns a server that hands requests to the handler. Serve starts it.
func New(parts Parts) *Server {
	s := &Server{Parts: parts, conns: make(map[*Conn]struct{})}
	s.http = &http.Server{
		Handler: s.count(parts.Handler), MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.state, ConnContext: withConn, DisableGeneralOptionsHandler: true,
		ErrorLog: slog.NewLogLogger(parts.Logger.Handler(), slog.LevelWarn),
	}
	return s
}

// Serve accepts connections until the server is stopped.
func (s *Server) Serve(l net.Listener) error {
	conns, served := newListener(l, s), make(chan struct{})
	defer close(served)
	s.mu.Lock()
	s.listener, s.served = conns, served
	s.mu.Unlock()
	err := s.http.Serve(conns)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() {
		return nil
	}
	return err
}

func (s *Server) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		conn := ConnOf(r.Context())
		conn.setInFlight(true)
		answered := false
		defer func() {
			// What is closed after a handler's panic was in flight, unless the
			// caller left.
			if answered || r.Context().Err() != nil {
				conn.setInFlight(false)
			}
		}()
		if r.Body != http.NoBody {
			deadline := s.Now().Add(unreadBodyTimeout)
			if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
				s.Logger.Debug("no read deadline", "err", err)
			}
		}
		if size, most := headerSize(r), s.headerMost(); size > most {
			s.Logger.Warn("header too large", "bytes", size, "most", most)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		} else {
			next.ServeHTTP(w, r)
		}
		answered = true
	})
}

// state tells a connection when a request begins and when it has ended. One that
// came with the request before it is in http.Server's buffer and needs no read.
func (s *Server) state(conn net.Conn, state http.ConnState) {
	c := conn.(*Conn)
	switch state {
	case http.StateActive:
		// A connection that takes no deadline is closed already.
		_ = c.endHeader(s.Now())
	case http.StateIdle:
		c.beginIdle(s.Now())
	}
}

func (s *Server) track(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) untrack(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) openConns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// idleLimit is how long a connection may be idle. It may change while the process
// runs, which http.Server's own time-out may not.
func (s *Server) idleLimit() time.Duration {
	if s.draining.Load() {
		return 0
	}
	if c := s.Catalog(); c != nil && c.Limits().IdleTimeout > 0 {
		return c.Limits().IdleTimeout
	}
	return idleTimeout
}

// headerLimit is how long a header may take from its first byte on.
func (s *Server) headerLimit() time.Duration {
	limit := headerTimeout
	if c := s.Catalog(); c != nil && c.Limits().HeaderTimeout > 0 {
		limit = c.Limits().HeaderTimeout
	}
	if s.draining.Load() {
		return min(limit, drainHeaderTimeout)
	}
	return limit
}

// headerMost is how many bytes a header may have.
func (s *Server) headerMost() int {
	if c := s.Catalog(); c != nil && c.Limits().HeaderBytes > 0 {
		return c.Limits().HeaderBytes
	}
	return headerBytes
}

// headerSize returns the bytes of a request's header. A few fields that http.Server
// takes out are not counted.
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

// Stop ends the server in order: open connections are served until callers had
// time to leave them, and what runs is finished. What still runs when the context
// ends is cut.
func (s *Server) Stop(ctx context.Context) error {
	quietFrom := s.Now().Add(lingerAfterStop)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.http.Close()
		case now := <-ticker.C:
			if now.After(quietFrom) && s.active.Load() == 0 {
				return s.drain(ctx)
			}
		}
	}
}

// drain ends idle connections and waits for the others. http.Server's Shutdown
// closes a connection as idle until the next request's header is parsed, and
// drops a request that was read meanwhile.
func (s *Server) drain(ctx context.Context) error {
	time.Sleep(settleBeforeEnd)
	s.draining.Store(true)
	err := s.stopAccepting(ctx)
	for _, c := range s.openConns() {
		// A connection that cannot be interrupted is closed already.
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
	return errors.Join(err, s.http.Close())
}

// stopAccepting closes the listener and waits until the last connection that it
// accepted is tracked.
func (s *Server) stopAccepting(ctx context.Context) error {
	s.mu.Lock()
	l, served := s.listener, s.served
	s.mu.Unlock()
	if l == nil {
		return nil
	}
	err := l.Close()
	select {
	case <-served:
	case <-ctx.Done():
	}
	return err
}
