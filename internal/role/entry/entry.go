// Package entry is the process that faces callers. It owns their connections,
// which upstream is asked, the delivery of the answer and the wording of a
// refusal. All entries are alike; whatever must outlive one is written down
// elsewhere.
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
	// leaseTerm is how long a silent holder keeps its duties; the published
	// shape of the service allows no less.
	leaseTerm = 10 * time.Second
	// dialTimeout bounds a connection to a peer or to the platform.
	dialTimeout = time.Second
	// retryRate and retryBurst refill the budget of second runs beside what
	// first attempts earn.
	retryRate  = 0.5
	retryBurst = 10
	// headerTimeout bounds the reading of a caller's header.
	headerTimeout = 10 * time.Second
	// drainGrace is how long callers may still arrive after readiness is
	// withdrawn, because the platform's balancer takes a moment to notice.
	drainGrace = 2 * time.Second
)

// Entry is one running entry.
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
	suspects *suspect.Register
	forecast *forecast.Forecast
	retries  *budget.Bucket
	claims   *claims
	moves    *moves
	metrics  *metrics

	http     *http.Server
	listener net.Listener
	leaving  atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Option changes an entry for tests and trials.
type Option func(*Entry)

// WithInvariants uses the recorder.
func WithInvariants(r *invariant.Recorder) Option { return func(e *Entry) { e.invariants = r } }

// WithDialer uses the dialer for links and towards the platform.
func WithDialer(d link.Dialer) Option { return func(e *Entry) { e.dialer = d } }

// WithGrace changes how long a stop waits for the balancer.
func WithGrace(d time.Duration) Option { return func(e *Entry) { e.grace = d } }

// New starts an entry that serves callers and peers on the two listeners.
func New(s settings.Entry, callers, peers net.Listener, logger *slog.Logger, now func() time.Time, options ...Option) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		settings: s, logger: logger, now: now, grace: drainGrace,
		table:    member.New(),
		changed:  control.NewSignal(),
		suspects: suspect.New(),
		forecast: forecast.New(),
		retries:  budget.New(retryRate, retryBurst),
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
	e.peer = control.NewPeer(e.log, e.suspects, e.changed, e.now, control.Describe(e.describe))
	e.metrics = newMetrics(e)
	e.holder = lease.New(e.store, e.settings.Node(), leaseTerm, e.logger, e.now)
	e.claims = newClaims(e)
	e.moves = newMoves(e)
	e.follower = changelog.Follow(e.log, e.store, e.logger)
	e.poller = vmlist.Poll(e.settings.VMListURL(), e.dialer, e.logger, e.replaceList)
	e.peers = link.Serve(peers, e.servePeer)
	e.http = &http.Server{Handler: e.handler(), ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(e.logger.Handler(), slog.LevelDebug)}
	e.wg.Go(func() {
		if err := e.http.Serve(e.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error("caller interface ended", "error", err.Error())
		}
	})
	e.wg.Go(func() { e.moves.run(e.ctx) })
	e.logger.Info("entry started", "node", e.settings.Node(), "callers", e.listener.Addr().String(), "peers", e.peers.Addr())
}

// CallerAddr returns the address that callers use.
func (e *Entry) CallerAddr() string { return e.listener.Addr().String() }

// Revision returns the configuration revision in force here.
func (e *Entry) Revision() uint64 { return e.log.Revision() }

// PeerAddr returns the address that other entries link to.
func (e *Entry) PeerAddr() string { return e.peers.Addr() }

// Ready tells whether callers may be sent here.
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

// Drain is a planned stop: readiness is withdrawn, callers that still arrive
// are served while the balancer notices, and every request under way is
// finished. It returns when none is left or the context ends.
func (e *Entry) Drain(ctx context.Context) error {
	e.leaving.Store(true)
	e.logger.Info("entry leaving", "node", e.settings.Node())
	e.claims.handOver()
	select {
	case <-ctx.Done():
	case <-time.After(e.grace):
	}
	return e.http.Shutdown(ctx)
}

// Close stops at once and waits; see Drain for a stop that cuts nothing.
func (e *Entry) Close() error {
	err := e.stop()
	_ = e.holder.Close()
	return err
}

// Kill stops as a process that dies: leases are left to lapse. It is for
// tests and trials.
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

// newID returns an id that no other request of the fleet has.
func newID() string { return rand.Text() }
