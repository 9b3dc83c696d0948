// Package ingress owns callers' connections: it accepts them, closes those that
// are idle for too long, and ends them in order when the process stops.
package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
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

// CloseReason names why this process closed a caller's connection.
type CloseReason string

// The reasons.
const (
	// CloseIdle: no request came within the idle limit.
	CloseIdle CloseReason = "idle"
	// CloseInHand: a request was in hand when the process ended.
	CloseInHand CloseReason = "in-hand"
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

	closing atomic.Bool
	active  atomic.Int64
}

// New returns a server that hands requests to the handler. Serve starts it.
func New(parts Parts) *Server {
	s := &Server{Parts: parts}
	s.http = &http.Server{
		Handler: s.count(parts.Handler), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes,
		ConnState: s.state, ConnContext: withConn, DisableGeneralOptionsHandler: true,
		ErrorLog: slog.NewLogLogger(parts.Logger.Handler(), slog.LevelWarn),
	}
	return s
}

// Serve accepts connections until the server is stopped.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(listener{Listener: l, server: s})
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
		conn := ConnOf(r.Context())
		conn.serve(true)
		defer conn.serve(false)
		next.ServeHTTP(w, r)
	})
}

// state tells a connection when a request has ended, and when one begins of which
// all bytes came with the one before.
func (s *Server) state(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		conn.(*Conn).beginIdle(s.Now())
	case http.StateActive:
		conn.(*Conn).endIdle(s.Now())
	}
}

// idleLimit is how long a connection may be idle. It may change while the process
// runs, which http.Server's own time-out may not.
func (s *Server) idleLimit() time.Duration {
	if c := s.Catalog(); c != nil && c.Limits().IdleTimeout > 0 {
		return c.Limits().IdleTimeout
	}
	return idleTimeout
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
