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
	lastNumber atomic.Uint64

	mu       sync.Mutex
	sessions map[uint64]*yamux.Session
	closed   bool
	wg       sync.WaitGroup
	cancel   context.CancelFunc
	ctx      context.Context
}

// Serve starts to accept sessions on the listener.
func Serve(listener net.Listener, handle Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, handle: handle, sessions: make(map[uint64]*yamux.Session), ctx: ctx, cancel: cancel}
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
	mux, err := yamux.Server(newFrameConn(conn), muxConfig(serverPingInterval))
	if err != nil {
		closeQuietly(conn)
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
	go s.acceptStreams(number, mux)
}

func (s *Server) acceptStreams(number uint64, mux *yamux.Session) {
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
		go func() {
			defer streams.Done()
			s.handle(ctx, NewStream(conn, number))
		}()
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
