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
	// dialTimeout bounds a connection attempt inside one region.
	dialTimeout = time.Second
	// keepAlive is the interval of yamux's own pings from the side that dialed,
	// kept long because the requests themselves are the evidence; a ping only
	// keeps an idle link known to whatever stands between the two ends. An
	// entry of the design size has 600 links, and a ping each half minute would
	// take a third of its control bytes.
	keepAlive = 4 * time.Minute
	// reapAfter is the interval of the accepting side's pings, which end the
	// sessions of processes that are gone without a word.
	reapAfter = 10 * time.Minute
	// retireAfter is how long a replaced session stays for its other streams.
	retireAfter = 30 * time.Second
	// streamWindow bounds what one slow reader can hold on a session.
	streamWindow = 256 << 10
)

// Dialer opens a connection to an address.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds one session for each address and replaces those gone silent.
type Pool struct {
	dialer Dialer
	opened func(address string, s *Session)
	// dialWithin bounds one connection attempt.
	dialWithin time.Duration

	next     atomic.Uint64
	mu       sync.Mutex
	sessions map[string]*Session
	dialing  map[string]*dialAttempt
	closed   bool
	closing  chan struct{}
	wg       sync.WaitGroup
}

// dialAttempt lets all who want the same address wait for one dial.
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

// Number identifies the session among all of its pool.
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

// NewPool returns an empty pool. Opened is called, without any lock held,
// for each new session, so that its control stream can be opened.
func NewPool(dialer Dialer, opened func(address string, s *Session), options ...Option) *Pool {
	p := &Pool{
		dialer: dialer, opened: opened, dialWithin: dialTimeout,
		sessions: make(map[string]*Session), dialing: make(map[string]*dialAttempt), closing: make(chan struct{}),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Option changes a pool.
type Option func(*Pool)

// DialWithin bounds one connection attempt, for callers that try again at once.
func DialWithin(d time.Duration) Option { return func(p *Pool) { p.dialWithin = d } }

// Open opens a stream to the address, on a new session if there is none. A
// Refused error proves that nothing was delivered.
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

// Session returns the live session to the address, dialing when needed.
func (p *Pool) Session(ctx context.Context, address string) (*Session, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, Refused.New("this process is closing; ask another entry")
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
		return nil, Refused.Wrap(ctx.Err(), "no link to %s in time; nothing was sent", address)
	}
}

func (p *Pool) dial(address string, attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), p.dialWithin)
	defer cancel()
	session, err := p.connect(ctx, address)
	p.mu.Lock()
	delete(p.dialing, address)
	if err == nil && p.closed {
		err = Refused.New("this process is closing; ask another entry")
		closeQuietly(session.mux)
	}
	if err == nil {
		p.sessions[address] = session
	}
	p.mu.Unlock()
	attempt.session, attempt.err = session, err
	close(attempt.done)
	if err == nil && p.opened != nil {
		p.opened(address, session)
	}
}

func (p *Pool) connect(ctx context.Context, address string) (*Session, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, Refused.Wrap(err, "nothing listens at %s; choose another", address)
		}
		return nil, Refused.Wrap(err, "no connection to %s; choose another", address)
	}
	mux, err := yamux.Client(conn, config(keepAlive))
	if err != nil {
		closeQuietly(conn)
		return nil, Refused.Wrap(err, "no session with %s; choose another", address)
	}
	return &Session{address: address, number: p.next.Add(1), mux: mux}, nil
}

// Ping asks the peer at the address for a sign of life, and returns nil once it
// came. A session that gives none before the context ends is replaced.
func (p *Pool) Ping(ctx context.Context, address string) error {
	session, err := p.Session(ctx, address)
	if err != nil {
		return err
	}
	answer := make(chan error, 1)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return Refused.New("this process is closing; ask another entry")
	}
	p.wg.Go(func() {
		_, err := session.mux.Ping()
		answer <- err
	})
	p.mu.Unlock()
	select {
	case err = <-answer:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		p.Replace(address, session.number)
		return Silent.Wrap(err, "%s gives no sign of life; choose another", address)
	}
	return nil
}

// Replace forgets a session that was found silent or broken, so that the next
// Open dials anew. The streams on it are left to their own deadlines: what
// looks silent to one may still deliver to another.
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

// retire closes a replaced session once its streams had time to end.
func (p *Pool) retire(session *Session) {
	select {
	case <-session.Done():
	case <-p.closing:
	case <-time.After(retireAfter):
	}
	closeQuietly(session.mux)
}

// Holds tells whether there is a live session to the address.
func (p *Pool) Holds(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	session := p.sessions[address]
	return session != nil && !session.mux.IsClosed()
}

// Drop closes the session to an address that left.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	session := p.sessions[address]
	delete(p.sessions, address)
	p.mu.Unlock()
	if session != nil {
		closeQuietly(session.mux)
	}
}

// Len returns the number of sessions held.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

// Close ends all sessions and waits for them.
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

// config returns the settings of a yamux session that pings at the interval.
func config(ping time.Duration) *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = ping
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = io.Discard
	return config
}

// closeQuietly closes what is of no use any more; a failure to do so changes
// nothing for anyone.
func closeQuietly(c io.Closer) { _ = c.Close() }
