// Package ingress owns callers' connections: it accepts them, closes those that
// are idle for too long, and ends them in order when the process stops.
package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// headerTimeout and headerBytes apply until a configuration is known.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
	// idleTimeout applies until a configuration is known.
	idleTimeout = 15 * time.Second
	// lingerAfterStop is how long callers may still send on open connections
	// after a stop began: the balancer takes two seconds to notice, and callers
	// that were told to use another connection do so with their next request.
	lingerAfterStop = 3500 * time.Millisecond
	// idleCheck is how often a stopping process looks whether it is done.
	idleCheck = 50 * time.Millisecond
	// settleBeforeEnd is kept between the last request's end and the closing
	// of its connection, so that the answer's last bytes are on their way.
	settleBeforeEnd = 100 * time.Millisecond
)

// Metrics counts what becomes of callers' connections.
type Metrics interface {
	// ConnectionClosed counts a connection that this process closed, and whether
	// a request was in hand on it.
	ConnectionClosed(reason CloseReason, inHand bool)
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

	closing atomic.Bool
	active  atomic.Int64

	mu   sync.Mutex
	idle map[net.Conn]*time.Timer
}

// New returns a server that hands requests to the handler. Serve starts it.
func New(parts Parts) *Server {
	s := &Server{Parts: parts, idle: make(map[net.Conn]*time.Timer)}
	s.http = &http.Server{
		Handler: s.count(parts.Handler), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes,
		ConnState: s.state, ConnContext: withConn, DisableGeneralOptionsHandler: true,
		ErrorLog: slog.NewLogLogger(parts.Logger.Handler(), slog.LevelWarn),
	}
	return s
}

// Serve accepts connections until the server is stopped.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(listener{l})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Closing tells whether callers are to use another connection.
func (s *Server) Closing() bool { return s.closing.Load() }

func (s *Server) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// state arms a timer for each idle connection. The configured limit may change
// while the process runs, which http.Server's own time-out may not.
func (s *Server) state(raw net.Conn, state http.ConnState) {
	conn := raw.(*Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if timer := s.idle[conn]; timer != nil {
		timer.Stop()
		delete(s.idle, conn)
	}
	if state != http.StateIdle {
		conn.endIdle(s.Now())
		return
	}
	conn.beginIdle(s.Now())
	limit := idleTimeout
	if c := s.Catalog(); c != nil && c.Limits().IdleTimeout > 0 {
		limit = c.Limits().IdleTimeout
	}
	s.idle[conn] = time.AfterFunc(limit, func() {
		s.Metrics.ConnectionClosed(CloseIdle, conn.closeAs(CloseIdle))
	})
}

// Stop ends the server in order: answers carry the wish to close, open
// connections are served until callers had time to leave them, and what runs
// is finished. What still runs when the context ends is cut.
func (s *Server) Stop(ctx context.Context) error {
	s.closing.Store(true)
	quietFrom := time.Now().Add(lingerAfterStop)
	ticker := time.NewTicker(idleCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.http.Close()
		case now := <-ticker.C:
			if now.After(quietFrom) && s.active.Load() == 0 {
				return s.shutdown(ctx)
			}
		}
	}
}

func (s *Server) shutdown(ctx context.Context) error {
	time.Sleep(settleBeforeEnd)
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}
