package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

// acceptRetryDelay is the delay after a failed Accept.
const acceptRetryDelay = 20 * time.Millisecond

// Handler serves one stream. It owns the stream and must close it.
type Handler func(ctx context.Context, s *Stream)

// Server accepts sessions and passes each of their streams to a handler.
type Server struct {
	listener   net.Listener
	handle     Handler
	unproven   *unproven
	lastNumber atomic.Uint64

	mu       sync.Mutex
	sessions map[uint64]*yamux.Session
	closed   bool
	wg       sync.WaitGroup
	cancel   context.CancelFunc
	ctx      context.Context
}

// ServerOption configures a server.
type ServerOption func(*Server)

// WithBudget sets the bound of what sessions hold on which no message was received yet. It should
// be MinUnprovenBytes at least. Without it, their number alone is bounded.
func WithBudget(budget Budget) ServerOption {
	return func(s *Server) { s.unproven.budget = budget }
}

// WithUnprovenSessions sets how many sessions may be open on which no message was received yet: 64
// without it. All peers may connect at once.
func WithUnprovenSessions(limit int) ServerOption {
	return func(s *Server) { s.unproven.limit = limit }
}

// Serve starts to accept sessions on the listener.
func Serve(listener net.Listener, handle Handler, options ...ServerOption) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener: listener, handle: handle, unproven: newUnproven(),
		sessions: make(map[uint64]*yamux.Session), ctx: ctx, cancel: cancel,
	}
	for _, option := range options {
		option(s)
	}
	s.wg.Add(1)
	go s.acceptSessions()
	return s
}

// Addr returns the listener's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) acceptSessions() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || s.ctx.Err() != nil {
				return
			}
			// Without free file descriptors, Accept fails immediately each time.
			wait.For(s.ctx, acceptRetryDelay)
			continue
		}
		s.startSession(conn)
	}
}

func (s *Server) startSession(conn net.Conn) {
	session := s.unproven.add(time.Now(), conn)
	frames := newFrameConn(session)
	frames.begin = session.beginFrame
	mux, err := yamux.Server(frames, muxConfig(serverPingInterval))
	if err != nil {
		closeQuietly(session)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		closeQuietly(mux)
		return
	}
	number := s.lastNumber.Add(1)
	s.sessions[number] = mux
	s.wg.Add(1)
	go s.acceptStreams(number, mux, session)
}

// acceptStreams serves the streams of a session, one at a time until a message was received.
func (s *Server) acceptStreams(number uint64, mux *yamux.Session, session *accepted) {
	defer s.wg.Done()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	var streams sync.WaitGroup
	for {
		conn, err := mux.AcceptStream()
		if err != nil {
			break
		}
		streams.Add(1)
		ended := make(chan struct{})
		go func() {
			defer streams.Done()
			defer close(ended)
			stream := NewStream(conn, number)
			stream.onMessage = session.prove
			s.handle(ctx, stream)
		}()
		select {
		case <-session.proven:
		case <-ended:
		}
	}
	cancel()
	streams.Wait()
	s.mu.Lock()
	delete(s.sessions, number)
	s.mu.Unlock()
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Close stops accepting, closes all sessions and waits for their handlers.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.cancel()
	s.mu.Lock()
	s.closed = true
	for _, mux := range s.sessions {
		closeQuietly(mux)
	}
	s.mu.Unlock()
	s.wg.Wait()
	return err
}
