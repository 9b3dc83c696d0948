// Package entry implements the process that accepts callers' requests. It
// holds their connections, selects upstreams, delivers responses and reports
// refusals. Entries are interchangeable: state that must survive one is kept in
// the platform's store or by the agents.
package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/caller/connection"
	"github.com/persimmonridge/persimmonridge/internal/config/changelog"
	"github.com/persimmonridge/persimmonridge/internal/config/settings"
	"github.com/persimmonridge/persimmonridge/internal/dispatch/budget"
	"github.com/persimmonridge/persimmonridge/internal/dispatch/forecast"
	"github.com/persimmonridge/persimmonridge/internal/fleet/control"
	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/member"
	"github.com/persimmonridge/persimmonridge/internal/platform/lease"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
	"github.com/persimmonridge/persimmonridge/internal/platform/vmlist"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
)

const (
	// leaseTTL is the TTL of leases; 10 s is the minimum that the platform's
	// store accepts.
	leaseTTL = 10 * time.Second
	// dialTimeout bounds the dialing of a peer or of the platform.
	dialTimeout = time.Second
	// retryRate, in tokens per second, and retryBurst refill the retry budget
	// in addition to what first attempts earn.
	retryRate  = 0.5
	retryBurst = 10
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// drainGrace is how long requests are still accepted after readiness is
	// withdrawn, as the platform's load balancer notices it with a delay.
	drainGrace = 2 * time.Second
)

// Entry is a running entry process.
type Entry struct {
	settings   settings.Entry
	logger     *slog.Logger
	invariants *invariant.Recorder
	now        func() time.Time
	grace      time.Duration

	dialer   link.Dialer
	store    *store.Client
	log      *changelog.Log
	follower *changelog.Follower
	poller   *vmlist.Poller
	holder   *lease.Holder
	table    *member.Table
	pool     *link.Pool
	peers    *link.Server
	peer     *control.Peer
	changed  *control.Signal
	suspects *suspect.Registry
	forecast *forecast.Forecast
	retries  *budget.Bucket
	claims   *claims
	rollouts *rollouts
	metrics  *metrics

	http     *http.Server
	listener net.Listener
	leaving  atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Option configures an entry for tests and simulations.
type Option func(*Entry)

// WithInvariants sets the recorder of invariant violations.
func WithInvariants(r *invariant.Recorder) Option { return func(e *Entry) { e.invariants = r } }

// WithDialer sets the dialer for links and for the platform.
func WithDialer(d link.Dialer) Option { return func(e *Entry) { e.dialer = d } }

// WithDrainGrace sets how long Drain waits for the load balancer.
func WithDrainGrace(d time.Duration) Option { return func(e *Entry) { e.grace = d } }

// New starts an entry that serves callers and peers on the two listeners.
func New(s settings.Entry, callers, peers net.Listener, logger *slog.Logger, now func() time.Time, options ...Option) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		settings: s, logger: logger, now: now, grace: drainGrace,
		table:    member.New(),
		changed:  control.NewSignal(),
		suspects: suspect.New(),
		forecast: forecast.New(),
		retries:  budget.NewEmpty(now(), retryRate, retryBurst),
		listener: callers,
		dialer:   &net.Dialer{Timeout: dialTimeout},
		ctx:      ctx, cancel: cancel,
	}
	for _, option := range options {
		option(e)
	}
	if e.invariants == nil {
		e.invariants = invariant.New(logger)
	}
	e.start(peers)
	return e
}

func (e *Entry) start(peers net.Listener) {
	e.store = store.New(e.settings.StoreAddresses(), e.now, e.dialer)
	e.pool = link.NewPool(e.dialer, e.sessionOpened)
	e.log = changelog.New(e.invariants)
	e.peer = control.NewPeer(e.log, e.suspects, e.changed, e.now, control.WithDescribe(e.describe))
	e.metrics = newMetrics(e)
	e.holder = lease.New(e.store, e.settings.Node(), leaseTTL, e.logger, e.now)
	e.claims = newClaims(e)
	e.rollouts = newRollouts(e)
	e.follower = changelog.Follow(e.log, e.store, e.logger)
	e.poller = vmlist.Poll(e.settings.VMListURL(), e.dialer, e.logger, e.replaceVMs)
	e.peers = link.Serve(peers, e.servePeer)
	e.http = &http.Server{
		Handler: e.handler(), ReadHeaderTimeout: headerTimeout, ConnContext: connection.NewContext,
		ErrorLog: slog.NewLogLogger(e.logger.Handler(), slog.LevelDebug),
	}
	e.wg.Go(func() {
		if err := e.http.Serve(e.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error("HTTP server for callers failed", "error", err.Error())
		}
	})
	e.wg.Go(func() { e.rollouts.run(e.ctx) })
	e.logger.Info("entry started", "node", e.settings.Node(), "callers", e.listener.Addr().String(), "peers", e.peers.Addr())
}

// CallerAddr returns the address that callers use.
func (e *Entry) CallerAddr() string { return e.listener.Addr().String() }

// Revision returns the configuration revision in force here.
func (e *Entry) Revision() uint64 { return e.log.Revision() }

// PeerAddr returns the address that other entries link to.
func (e *Entry) PeerAddr() string { return e.peers.Addr() }

// Ready reports whether the load balancer may send requests to this entry.
func (e *Entry) Ready() bool { return !e.leaving.Load() && e.log.Revision() > 0 }

// Upstreams returns how many upstreams have reported to this entry.
func (e *Entry) Upstreams() int {
	count := 0
	for _, u := range e.table.All() {
		if u.Connected() {
			count++
		}
	}
	return count
}

// Drain stops the entry gracefully: it withdraws readiness, serves requests
// that arrive until the load balancer has noticed, and completes all requests
// in flight. It returns when none is left or the context ends.
func (e *Entry) Drain(ctx context.Context) error {
	e.leaving.Store(true)
	e.logger.Info("entry draining", "node", e.settings.Node())
	e.claims.releaseAll()
	select {
	case <-ctx.Done():
	case <-time.After(e.grace):
	}
	return e.http.Shutdown(ctx)
}

// Close stops the entry immediately, aborting requests in flight, and waits for
// its goroutines. Drain stops without aborting requests.
func (e *Entry) Close() error {
	err := e.stop()
	_ = e.holder.Close()
	return err
}

// Kill stops the entry as a crash would: leases are not released but expire.
// It is for tests and simulations.
func (e *Entry) Kill() error {
	e.holder.Abandon()
	return e.stop()
}

func (e *Entry) stop() error {
	e.cancel()
	err := e.http.Close()
	_ = e.poller.Close()
	_ = e.follower.Close()
	_ = e.pool.Close()
	e.wg.Wait()
	e.claims.close()
	_ = e.peers.Close()
	_ = e.store.Close()
	return err
}

// newRequestID returns a request id that is unique in the fleet.
func newRequestID() string { return rand.Text() }
