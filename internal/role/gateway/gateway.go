// Package gateway wires the process on an edge VM: callers on one side,
// upstreams on the other, the store and its peers beside it.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/fleet/dial"
	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/limit/crash"
	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/limit/retry"
	"github.com/persimmonridge/persimmonridge/internal/observe/meter"
	"github.com/persimmonridge/persimmonridge/internal/sched/granter"
	"github.com/persimmonridge/persimmonridge/internal/sched/local"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/follow"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
	"github.com/persimmonridge/persimmonridge/internal/version/rollout"
)

const (
	// storePauseLeast, storePausePerPeer and storePauseMost bound the time between
	// two looks at the store. Upstreams' heartbeats change keys many times a
	// second, and a leaving one, like a new configuration, must be seen within
	// two seconds, also by a gateway that hears no peer. The more gateways look,
	// the sooner one of them sees a change, and tells the others.
	storePauseLeast   = 500 * time.Millisecond
	storePausePerPeer = 30 * time.Millisecond
	storePauseMost    = 1200 * time.Millisecond
	// storePauseTold is the pause, as a part of the time in which a configuration
	// must be in force, of a gateway that hears several which look more often. It
	// keeps to that time also if none of them tells it.
	storePauseTold = 0.7
	// sweepEvery is how often idle connections and lapsed upstreams are looked at.
	sweepEvery = 250 * time.Millisecond
	// stopMargin is kept between the end of what runs and the forced end.
	stopMargin = 700 * time.Millisecond
)

// Decoder reads what the store holds.
type Decoder interface {
	Config(raw []byte) (*catalog.Catalog, error)
	Upstream(key string, raw []byte, revision int64) (roster.Upstream, error)
	// UpstreamID returns the id that a key names.
	UpstreamID(key string) string
	// Order decodes an order to move a service to another version.
	Order(key string, raw []byte, revision int64) (rollout.Order, error)
	// Status encodes what operators are told of a move.
	Status(service string, s rollout.State) (key string, value []byte, err error)
}

// Settings are what the process is told at its start.
type Settings struct {
	Name, Domain                       string
	Callers, Readiness, Links, Metrics string
	Seeds                              []string
	Grace                              time.Duration
	// Processor is what the process may use of one core; 0 tells nothing.
	Processor                 float64
	Retry                     retry.Settings
	ConfigKey, UpstreamPrefix string
	OrderPrefix               string
	Quota                     quota.Options
	// Apply is how long a configuration may take to be in force.
	Apply time.Duration
}

// Dialer opens connections to upstreams and peers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Parts are what a gateway works with.
type Parts struct {
	Settings   Settings
	Store      kv.Store
	Decoder    Decoder
	Translator flow.Translator
	Names      exchange.Names
	Dialer     Dialer
	// Listen opens a listener.
	Listen func(network, address string) (net.Listener, error)
	Logger *slog.Logger
	// LeftOut tells how many lines the log left out; it may be nil.
	LeftOut func() (sampled, dropped int64)
	Now     func() time.Time
}

// Gateway is the running process.
type Gateway struct {
	settings Settings
	// grace is the time to stop, which may change while the process runs.
	grace   atomic.Int64
	store   kv.Store
	decoder Decoder
	leftOut func() (sampled, dropped int64)
	retries *retry.Budget
	listen  func(network, address string) (net.Listener, error)
	logger  *slog.Logger
	now     func() time.Time

	run   uint64
	began time.Time
	// configuring is held while a configuration is put in force.
	configuring sync.Mutex
	// listing is held while the list of engines is read and told.
	listing       sync.Mutex
	catalog       atomic.Pointer[catalog.Catalog]
	rawConfig     atomic.Pointer[[]byte]
	roster        *roster.Roster
	upstreams     *upstreamView
	pool          *exchange.Pool
	quota         *quota.Keeper
	ledger        *quota.Ledger
	crashRegister *crash.Register
	peers         *peers
	mesh          *mesh.Mesh
	granter       *granter.Granter
	permits       *permit.Client
	rollouts      *rollout.Picker
	moves         *moves
	speeds        *speeds
	follower      *follow.Follower
	// changed is the revision of the last change in the store that was acted on.
	changed atomic.Int64
	metrics *metrics
	ingress *ingress.Server
	stop    atomic.Pointer[stopTimes]

	// leftOutTold and the counts are those of the last line about the log.
	leftOutTold              time.Time
	sampledTold, droppedTold int64
}

// stopTimes are when a stop began and when it ends.
type stopTimes struct{ since, until time.Time }

// stopping tells whether the process was told to stop.
func (g *Gateway) stopping() bool { return g.stop.Load() != nil }

func (g *Gateway) leaving() (since, until time.Time, leaving bool) {
	t := g.stop.Load()
	if t == nil {
		return time.Time{}, time.Time{}, false
	}
	return t.since, t.until, true
}

// New returns a gateway; Run starts it.
func New(parts Parts) *Gateway {
	s, now, logger := parts.Settings, parts.Now, parts.Logger
	g := &Gateway{
		settings: s, decoder: parts.Decoder, listen: parts.Listen, logger: logger, now: now,
		// A later process on the same VM has a later start.
		run: uint64(now().UnixNano()), began: now(),
		roster: roster.New(), ledger: quota.NewLedger(), metrics: newMetrics(),
		pool: exchange.NewPool(parts.Dialer.DialContext),
	}
	g.grace.Store(int64(s.Grace))
	g.store = meter.New(parts.Store, g.metrics.StoreCall)
	g.leftOut = parts.LeftOut
	g.retries = retry.New(s.Retry, func() int { return g.peers.processes() })
	g.upstreams = newUpstreamView(g)
	g.peers = &peers{Gateway: g, rank: unranked, answering: make(map[string]time.Time)}
	g.quota = quota.New(s.Quota, g.peers.processes)
	g.crashRegister = crash.New(g.peers.crashed)
	g.mesh = mesh.New(s.Name, s.Links, g.run, parts.Dialer, g.peers, logger, now)
	g.peers.hub = g.mesh.Hub
	g.granter = granter.New(now, g.peers.deliver, logger)
	g.permits = permit.New(permit.Parts{
		Node: s.Name, Domain: s.Domain, Scheduler: g.peers.scheduler, Send: g.mesh.Send,
		Own:   func(now time.Time, e *wire.Envelope) { permit.Serve(now, g.granter, s.Name, e) },
		Local: local.New(s.Domain, g.roster.Ready, g.peers.processes), Upstream: g.roster.Get,
		Service: g.service, Metrics: g.metrics, Logger: logger, Now: now,
	})
	g.rollouts = rollout.NewPicker(g.permits)
	g.moves = newMoves(g)
	g.speeds = &speeds{Gateway: g}
	g.follower = g.newFollower()
	g.metrics.watch(g)
	requests := flow.New(flow.Parts{
		Translator: parts.Translator, Client: exchange.NewClient(g.pool, parts.Names, now), Catalog: g.catalog.Load,
		Picker: g.rollouts, Quota: g.quota, Retries: g.retries, Crashes: g.crashRegister,
		Metrics: g.metrics, Logger: logger, Now: now, Leaving: g.leaving,
		Elsewhere: func() bool { return g.peers.othersTake(now()) },
	})
	g.ingress = ingress.New(ingress.Parts{
		Handler: requests, Catalog: g.catalog.Load, Metrics: g.metrics, Logger: logger, Now: now,
	})
	return g
}

func (g *Gateway) service(name string) *catalog.Service {
	c := g.catalog.Load()
	if c == nil {
		return nil
	}
	return c.Service(name)
}

// Run serves until the context ends, then stops in order.
func (g *Gateway) Run(ctx context.Context) error {
	callers, err := g.listen("tcp", g.settings.Callers)
	if err != nil {
		return err
	}
	g.logger.Info("started", "name", g.settings.Name, "domain", g.settings.Domain)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, background := errgroup.WithContext(background)
	links, err := g.listen("tcp", g.settings.Links)
	if err != nil {
		return err
	}
	server := link.Serve(links, g.mesh.Serve)
	for _, seed := range g.settings.Seeds {
		g.mesh.Know(g.now(), seed)
	}
	group.Go(func() error { return g.mesh.Run(background) })
	group.Go(func() error { return g.granter.Run(background) })
	group.Go(func() error { return g.peers.reportQuota(background) })
	group.Go(func() error { return g.moves.run(background) })
	group.Go(func() error { return g.speeds.run(background) })
	group.Go(func() error { return (&standby{Gateway: g}).run(background) })
	group.Go(func() error { return g.tellHeld(background) })
	group.Go(func() error { return g.peers.register(background) })
	group.Go(func() error { return g.follower.Run(background) })
	group.Go(func() error { return g.sweep(background) })
	group.Go(func() error { return g.serveHTTP(background, g.settings.Readiness, http.HandlerFunc(g.ready)) })
	group.Go(func() error { return g.serveHTTP(background, g.settings.Metrics, g.metrics.handler()) })
	group.Go(func() error { return g.ingress.Serve(callers) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-background.Done():
		}
		err := g.drain()
		cancel()
		return err
	})
	err = group.Wait()
	g.logger.Info("stopped", "err", err)
	return errors.Join(err, server.Close(), g.pool.Close())
}

func (g *Gateway) drain() error {
	grace := time.Duration(g.grace.Load())
	g.logger.Info("stopping", "grace", grace)
	now := g.now()
	g.stop.Store(&stopTimes{since: now, until: now.Add(grace - stopMargin)})
	g.peers.forgetChoice()
	g.mesh.Farewell()
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopMargin)
	defer cancel()
	err := g.ingress.Stop(ctx)
	g.mesh.Gone()
	return err
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.stopping() || g.catalog.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := g.listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: dial.Timeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (g *Gateway) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := g.now()
			g.pool.Sweep(now)
			g.tellLeftOut(now)
			if g.roster.Expire(now) {
				g.logger.Info("upstreams that lapsed did not come back")
				g.upstreamsChanged()
			}
		}
	}
}

func (g *Gateway) tellHeld(ctx context.Context) error {
	for ctx.Err() == nil {
		g.permits.TellHeld(g.now())
		wait.For(ctx, permit.TellEvery)
	}
	return nil
}

// storePause is how long the next look at the store may wait.
func (g *Gateway) storePause() time.Duration {
	pause := min(storePauseLeast+time.Duration(g.mesh.Known())*storePausePerPeer, storePauseMost)
	if g.peers.toldOfStore(g.now()) {
		return max(pause, time.Duration(storePauseTold*float64(g.settings.Apply)))
	}
	return pause
}

// newFollower returns what keeps all that the process knows from the store up to
// date.
func (g *Gateway) newFollower() *follow.Follower {
	view := follow.Split{
		{Prefix: g.settings.ConfigKey, View: &configView{gateway: g}},
		{Prefix: g.settings.UpstreamPrefix, View: g.upstreams},
		{Prefix: memberPrefix, View: g.peers},
		{Prefix: g.settings.OrderPrefix, View: orderView{g.moves}},
		{Prefix: movePrefix, View: stateView{g.moves}},
		{Prefix: speedsKey, View: g.speeds},
	}
	return follow.New(g.store, view, follow.Options{
		Pause: g.storePause, Wait: g.settings.Apply,
		Lost: func(time.Time) { g.peers.storeAway(true) },
		Regained: func(now time.Time) {
			g.roster.StoreReturned(now)
			g.peers.storeAway(false)
		},
	}, g.logger, g.now)
}

// noteChange keeps the revision of a change that was acted on.
func (g *Gateway) noteChange(revision int64) {
	for {
		known := g.changed.Load()
		if revision <= known {
			return
		}
		if g.changed.CompareAndSwap(known, revision) {
			if g.mesh.Hub() {
				g.mesh.Hurry()
			}
			return
		}
	}
}
