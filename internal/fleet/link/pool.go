package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// defaultDialTimeout bounds a connection attempt within one region.
	defaultDialTimeout = time.Second
	// clientPingInterval is the interval of yamux keep-alive pings from the side
	// that dialed. It is long because requests themselves show whether a session
	// works; the pings only keep an idle connection in the tables of middleboxes.
	// An entry at design size has 600 sessions, and a ping every 30 s on each would
	// take a third of its control traffic.
	clientPingInterval = 4 * time.Minute
	// serverPingInterval is the interval of pings from the accepting side, which
	// end the sessions of processes that failed without closing them.
	serverPingInterval = 10 * time.Minute
	// retireTimeout is how long a replaced session stays open for its other streams.
	retireTimeout = 30 * time.Second
	// maxStreamWindow bounds the bytes buffered on a session for one slow reader.
	maxStreamWindow = 256 << 10
)

// Dialer opens a connection to an address.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds one session for each address. Callers replace sessions that are silent.
type Pool struct {
	dialer Dialer
	onOpen func(address string, s *Session)
	// dialTimeout bounds one connection attempt.
	dialTimeout time.Duration

	lastNumber atomic.Uint64
	mu         sync.Mutex
	sessions   map[string]*Session
	dialing    map[string]*dialAttempt
	closed     bool
	closing    chan struct{}
	wg         sync.WaitGroup
}

// dialAttempt is a connection attempt shared by all callers for the same address.
type dialAttempt struct {
	done    chan struct{}
	session *Session
	err     error
}

// Session is one yamux session to a peer.
type Session struct {
	address string
	number  uint64
	mux     *yamux.Session
}

// Address returns the peer's address.
func (s *Session) Address() string { return s.address }

// Number identifies the session among all sessions of its pool.
func (s *Session) Number() uint64 { return s.number }

// Done is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// Open opens a stream on the session.
func (s *Session) Open() (*Stream, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, Broken.Wrap(err, "open a stream to %s; a new session is needed", s.address)
	}
	return NewStream(conn, s.number), nil
}

// Close ends the session.
func (s *Session) Close() error { return s.mux.Close() }

// NewPool returns an empty pool. Unless it is nil, onOpen is called without any lock
// held for each new session, for example to open its control stream.
func NewPool(dialer Dialer, onOpen func(address string, s *Session), options ...Option) *Pool {
	p := &Pool{
		dialer: dialer, onOpen: onOpen, dialTimeout: defaultDialTimeout,
		sessions: make(map[string]*Session), dialing: make(map[string]*dialAttempt), closing: make(chan struct{}),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Option configures a pool.
type Option func(*Pool)

// WithDialTimeout sets the timeout of one connection attempt, for callers that retry
// quickly.
func WithDialTimeout(timeout time.Duration) Option { return func(p *Pool) { p.dialTimeout = timeout } }

// Open opens a stream to the address, on a new session if there is none. If the
// error is Refused, nothing was delivered.
func (p *Pool) Open(ctx context.Context, address string) (*Stream, error) {
	session, err := p.Session(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := session.Open()
	if err == nil {
		return stream, nil
	}
	p.Replace(address, session.number)
	session, err = p.Session(ctx, address)
	if err != nil {
		return nil, err
	}
	return session.Open()
}

// Session returns the open session to the address, dialing if needed.
func (p *Pool) Session(ctx context.Context, address string) (*Session, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, Refused.New("this process is shutting down; retry at another entry")
	}
	if session := p.sessions[address]; session != nil && !session.mux.IsClosed() {
		p.mu.Unlock()
		return session, nil
	}
	attempt := p.dialing[address]
	if attempt == nil {
		attempt = &dialAttempt{done: make(chan struct{})}
		p.dialing[address] = attempt
		p.wg.Go(func() { p.dial(address, attempt) })
	}
	p.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.session, attempt.err
	case <-ctx.Done():
		return nil, Refused.Wrap(ctx.Err(), "no session with %s before the deadline; nothing was sent", address)
	}
}

func (p *Pool) dial(address string, attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), p.dialTimeout)
	defer cancel()
	session, err := p.connect(ctx, address)
	p.mu.Lock()
	delete(p.dialing, address)
	if err == nil && p.closed {
		err = Refused.New("this process is shutting down; retry at another entry")
		closeQuietly(session.mux)
	}
	if err == nil {
		p.sessions[address] = session
	}
	p.mu.Unlock()
	attempt.session, attempt.err = session, err
	close(attempt.done)
	if err == nil && p.onOpen != nil {
		p.onOpen(address, session)
	}
}

func (p *Pool) connect(ctx context.Context, address string) (*Session, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, Refused.Wrap(err, "connection refused by %s; use another address", address)
		}
		return nil, Refused.Wrap(err, "cannot connect to %s; use another address", address)
	}
	mux, err := yamux.Client(newFrameConn(conn), muxConfig(clientPingInterval))
	if err != nil {
		closeQuietly(conn)
		return nil, Refused.Wrap(err, "cannot start a session with %s; use another address", address)
	}
	return &Session{address: address, number: p.lastNumber.Add(1), mux: mux}, nil
}

// Ping sends a ping to the address, dialing if needed, and returns nil once the reply
// has arrived. If none arrives before the context ends, the session is replaced.
func (p *Pool) Ping(ctx context.Context, address string) error {
	session, err := p.Session(ctx, address)
	if err != nil {
		return err
	}
	result := make(chan error, 1)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return Refused.New("this process is shutting down; retry at another entry")
	}
	p.wg.Go(func() {
		_, err := session.mux.Ping()
		result <- err
	})
	p.mu.Unlock()
	select {
	case err = <-result:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		p.Replace(address, session.number)
		return Silent.Wrap(err, "no reply to a ping from %s; use another address", address)
	}
	return nil
}

// Replace removes a session that is silent or broken from the pool, so that the next
// Open dials a new one. Its streams stay open until their own deadlines, because a
// session that is silent for one stream may still deliver on another.
func (p *Pool) Replace(address string, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	session := p.sessions[address]
	if session == nil || session.number != number {
		return
	}
	delete(p.sessions, address)
	p.wg.Go(func() { p.retire(session) })
}

// retire closes a replaced session after giving its streams time to end.
func (p *Pool) retire(session *Session) {
	select {
	case <-session.Done():
	case <-p.closing:
	case <-time.After(retireTimeout):
	}
	closeQuietly(session.mux)
}

// HasSession reports whether the pool has an open session to the address.
func (p *Pool) HasSession(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	session := p.sessions[address]
	return session != nil && !session.mux.IsClosed()
}

// CloseSession closes the session to an address that is no longer in use.
func (p *Pool) CloseSession(address string) {
	p.mu.Lock()
	session := p.sessions[address]
	delete(p.sessions, address)
	p.mu.Unlock()
	if session != nil {
		closeQuietly(session.mux)
	}
}

// Len returns the number of sessions in the pool.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

// Close closes all sessions and waits for the pool's goroutines.
func (p *Pool) Close() error {
	p.mu.Lock()
	if !p.closed {
		close(p.closing)
	}
	p.closed = true
	sessions := p.sessions
	p.sessions = make(map[string]*Session)
	p.mu.Unlock()
	for _, session := range sessions {
		closeQuietly(session.mux)
	}
	p.wg.Wait()
	return nil
}

// muxConfig returns the configuration of a yamux session that pings at the interval.
func muxConfig(pingInterval time.Duration) *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = pingInterval
	config.MaxStreamWindowSize = maxStreamWindow
	config.LogOutput = io.Discard
	return config
}

// closeQuietly closes a connection or session that is no longer used, and ignores the
// error.
func closeQuietly(c io.Closer) { _ = c.Close() }
