// Package gateway implements the process that runs on an edge VM. It proxies
// callers' requests to upstreams, follows the configuration and the upstreams in
// the store, and schedules the engines together with the other gateways.
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

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/membership"
	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/limit/crash"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/limit/retry"
	"github.com/persimmonridge/persimmonridge/internal/limit/warmup"
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
	// sweepInterval is how often idle connections and expired upstreams are
	// dropped.
	sweepInterval = 250 * time.Millisecond
	// stopMargin is left between the deadline for running requests and the end of
	// the grace period, when the platform kills the process.
	stopMargin = 700 * time.Millisecond
)

// Decoder decodes and encodes the values in the store.
type Decoder interface {
	Config(raw []byte) (*catalog.Catalog, error)
	Upstream(key string, raw []byte, revision kv.Revision) (roster.Upstream, error)
	// UpstreamID returns the upstream ID in a registration's key.
	UpstreamID(key string) string
	// EvacuatedDomain returns the failure domain that is evacuated while the key exists.
	EvacuatedDomain(key string) string
	// CheckEvacuation returns an error if an evacuation order cannot be read.
	CheckEvacuation(key string, raw []byte) error
	// Order decodes an operator's order to roll out another version of a service.
	Order(key string, raw []byte, revision kv.Revision) (rollout.Order, error)
	// Status encodes the status of a rollout that operators read.
	Status(service string, s rollout.State) (key string, value []byte, err error)
}

// Settings configure a gateway.
type Settings struct {
	Name, Domain                                                 string
	CallerAddress, ReadinessAddress, LinkAddress, MetricsAddress string
	SeedAddresses                                                []string
	GracePeriod                                                  time.Duration
	// CPUCores is the share of one CPU core that the process may use; 0 means
	// unknown.
	CPUCores float64
	// MemoryBytes and Descriptors are the limits of the process, which bound what callers can
	// make it hold; 0 means unknown.
	MemoryBytes int64
	Descriptors int
	// LinkBytesPerSecond is what the VM's link carries in each direction; 0 means unknown.
	LinkBytesPerSecond        float64
	Retry                     retry.Settings
	ConfigKey, UpstreamPrefix string
	OrderPrefix               string
	EvacuationPrefix          string
	// Regions holds the region of each failure domain.
	Regions map[string]string
	WarmUp  warmup.Limit
	Quota   quota.Options
	// RelayedFleet is the number of gateways from which on only the hubs read the store; 0 means
	// the default of 32.
	RelayedFleet int
	// ConfigApplyLimit is the longest time that may pass from the store's acknowledgment
	// of a configuration until every gateway uses it.
	ConfigApplyLimit time.Duration
}

// Dialer opens connections to upstreams and peers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Dependencies are the dependencies of a gateway.
type Dependencies struct {
	Settings      Settings
	Store         kv.Store
	Decoder       Decoder
	Headers       flow.HeaderCodec
	AnswerHeaders exchange.HeaderNames
	Dialer        Dialer
	// Listen opens a listener.
	Listen func(network, address string) (net.Listener, error)
	Logger *slog.Logger
	// OmittedLogLines returns how many log lines were omitted by sampling and by a full
	// output buffer; it may be nil.
	OmittedLogLines func() (sampled, dropped int64)
	Now             func() time.Time
}

// Gateway is one gateway process.
type Gateway struct {
	settings Settings
	// grace is the grace period for a stop, in nanoseconds; Reload may change it.
	grace           atomic.Int64
	store           kv.Store
	decoder         Decoder
	omittedLogLines func() (sampled, dropped int64)
	retryBudget     *retry.Budget
	retryAccounts   *retryAccounts
	listen          func(network, address string) (net.Listener, error)
	logger          *slog.Logger
	now             func() time.Time

	// runID orders the processes of this gateway, and processID distinguishes the process
	// from those of all gateways: two may start in the same nanosecond.
	runID     uint64
	processID uint64
	startedAt time.Time
	// configMu is held while a configuration is activated.
	configMu sync.Mutex
	// enginesMu is held while the engine list is read and passed to the granter.
	enginesMu sync.Mutex
	// addressTaken holds the upstreams that the log names as left out, by ID.
	addressTaken map[string]bool
	catalog      atomic.Pointer[catalog.Catalog]
	rawConfig    atomic.Pointer[[]byte]
	roster       *roster.Roster
	upstreams    *upstreamView
	evacuations  *evacuations
	guard        *sendGuard
	partLoans    *partLoans
	regions      atomic.Pointer[map[string]string]
	pool         *exchange.Pool
	quota        *quota.Limiter
	ledger       *quota.Ledger
	quotaReports *quotaReports
	crashTracker *crash.Tracker
	crashes      *crashWatch
	crashStore   *crashStore
	peers        *peers
	membership   *membership.Membership
	listens      *listens
	// former is the registration of the former process, zero if there was none, and nil while
	// that is not known.
	former            atomic.Pointer[member]
	mesh              *mesh.Mesh
	peerTraffic       *peerTraffic
	granter           *granter.Granter
	permits           *permit.Client
	versionPicker     *rollout.Picker
	rolloutController *rolloutController
	speedStore        *speedStore
	loads             *loadExchange
	follower          *follow.Follower
	relay             *storeRelay
	hubList           *hubList
	// lastChange is the kv.Revision of the latest change that was applied, heartbeats
	// excluded.
	lastChange atomic.Int64
	metrics    *metrics
	memory     *memory.Account
	unfinished *memory.Budget
	// unproven bounds what connections from other gateways hold before they have sent a message.
	unproven *memory.Budget
	link     *linkLoad
	ingress  *ingress.Server
	stop     atomic.Pointer[stopWindow]
	// exit ends shortly before the process exits.
	exit    context.Context
	endExit context.CancelFunc

	// omittedLoggedAt is when omitted log lines were last checked, sampledLogged
	// and droppedLogged are the totals that were last reported.
	omittedLoggedAt              time.Time
	sampledLogged, droppedLogged int64
}

// stopWindow is the time from the start of a stop to the deadline for running
// requests.
type stopWindow struct{ start, end time.Time }

// stopping reports whether a stop has begun.
func (g *Gateway) stopping() bool { return g.stop.Load() != nil }

// stopTimes returns the window of the stop that has begun, if any.
func (g *Gateway) stopTimes() (start, end time.Time, stopping bool) {
	window := g.stop.Load()
	if window == nil {
		return time.Time{}, time.Time{}, false
	}
	return window.start, window.end, true
}

// nextAccepting returns when a gateway is expected to accept callers again, while all stop.
func (g *Gateway) nextAccepting(now time.Time) time.Time {
	_, end, stopping := g.stopTimes()
	if !stopping {
		return now
	}
	return g.peers.stops.nextAccepting(now, end)
}

// New returns a gateway that has not been started.
func New(deps Dependencies) *Gateway {
	s, now, logger := deps.Settings, deps.Now, deps.Logger
	g := &Gateway{
		settings: s, decoder: deps.Decoder, listen: deps.Listen, logger: logger, now: now,
		// The start time distinguishes successive processes on one VM.
		runID: uint64(now().UnixNano()), startedAt: now(),
		roster: roster.New(), ledger: quota.NewLedger(), metrics: newMetrics(),
	}
	g.exit, g.endExit = context.WithCancel(context.Background())
	g.link = newLinkLoad(g, s.LinkBytesPerSecond)
	dialer := g.link.meter.Dialer(deps.Dialer)
	g.pool = exchange.NewPool(dialer.DialContext)
	g.processID = g.runID ^ xxhash.Sum64String(s.Name)
	g.grace.Store(int64(s.GracePeriod))
	g.store = meter.New(deps.Store, g.metrics.StoreCall)
	g.omittedLogLines = deps.OmittedLogLines
	g.membership, g.listens = membership.New(s.settleTime()), newListens()
	g.regions.Store(&s.Regions)
	g.upstreams = newUpstreamView(g)
	g.evacuations = &evacuations{Gateway: g}
	g.guard = newSendGuard(g, s.WarmUp)
	g.peers = &peers{Gateway: g, rank: unranked, stops: newPeerStops(), storeReachedAt: make(map[string]time.Time), peerWritesFail: make(map[string]bool), silentSince: make(map[string]time.Time)}
	g.retryBudget = retry.New(s.Retry, g.peers)
	g.quota = quota.New(s.Quota, g.peers.gatewayCount)
	g.setQuotaOptions(s.Quota)
	g.quotaReports = &quotaReports{Gateway: g, reporter: quota.NewReporter(g.quota, g.runID, g.startedAt)}
	g.crashTracker = crash.New(func() { g.mesh.GossipNow() })
	g.crashes = newCrashWatch(g)
	g.crashStore = newCrashStore(g)
	g.mesh = mesh.New(s.Name, s.LinkAddress, g.runID, dialer, g.peers, logger, now)
	g.peerTraffic = newPeerTraffic(g)
	g.mesh.SetTrafficObserver(g.peerTraffic)
	g.peers.isHub = g.mesh.IsHub
	g.granter = granter.New(now, g.peers.deliverDecision, logger)
	g.granter.SetLimiter(g.guard)
	g.partLoans = newPartLoans(g)
	chooser := local.New(s.Domain, g.roster.Ready, g.peers.gatewayCount)
	chooser.SetLimiter(g.guard)
	g.loads = newLoadExchange(g)
	chooser.SetLoads(g.loads.table, g.loads.hasEngines)
	chooser.SetObserver(g.loads)
	g.permits = permit.New(permit.Dependencies{
		Node: s.Name, Domain: s.Domain, Scheduler: g.peers.scheduler, Send: g.mesh.Send, SendAlternate: g.mesh.SendAlternate,
		DeliverLocally: func(now time.Time, e *wire.Envelope) { permit.HandleMessage(now, g.granter, s.Name, e) },
		Local:          chooser, Upstream: g.roster.Get, Evacuated: g.roster.Evacuated,
		Ready: g.roster.Ready, Paused: g.guard.paused, MayWithhold: g.guard.mayWithhold,
		MinStreamTime: g.granter.MinStreamTime,
		Silent:        g.peers.schedulerSilent, Service: g.service, Metrics: g.metrics, Logger: logger, Now: now,
		PlacedFor: g.metrics.byWorkspace.placed,
	})
	g.versionPicker = rollout.NewPicker(g.permits)
	g.rolloutController = newRolloutController(g)
	g.speedStore = &speedStore{Gateway: g}
	g.relay, g.hubList = newStoreRelay(g), &hubList{Gateway: g}
	g.follower = g.newFollower()
	g.memory = memory.New(0, g.logMemory)
	g.unfinished, g.unproven = memory.NewBudget(0), memory.NewBudget(0)
	g.setMemoryLimits(s.MemoryBytes, s.Descriptors)
	g.metrics.registerGauges(g)
	g.metrics.registerMemory(g.memory, g.unfinished)
	g.metrics.registerLink(g.link)
	g.retryAccounts = newRetryAccounts(g)
	requests := flow.New(flow.Dependencies{
		Headers: deps.Headers, Client: exchange.NewClient(g.pool, deps.AnswerHeaders, now), Catalog: g.catalog.Load,
		Picker: demandPicker{g.versionPicker, g.partLoans}, Quota: g.quota, Retries: g.retryBudget, Crashes: g.crashes,
		Metrics: g.metrics, Logger: logger, Now: now, ShutdownStatus: g.stopTimes, Exit: func() context.Context { return g.exit },
		OthersAccept:  func(shutdownNoticed bool) bool { return g.peers.othersAccept(now(), shutdownNoticed) },
		NextAccepting: g.nextAccepting, ConfigurationDue: g.hubList.configurationDue, Guard: g.guard, Domains: g.domainsIn, Memory: g.memory, Unfinished: g.unfinished,
	})
	g.ingress = ingress.New(ingress.Dependencies{
		Handler: requests, Catalog: g.catalog.Load, Metrics: g.metrics, Logger: logger, Now: now, Take: g.takesConnection, Memory: g.memory,
	})
	g.reserveAddresses()
	return g
}

func (g *Gateway) service(name string) *catalog.Service {
	c := g.catalog.Load()
	if c == nil {
		return nil
	}
	return c.Service(name)
}

// Run serves until the context ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	callers, err := g.listen("tcp", g.settings.CallerAddress)
	if err != nil {
		return err
	}
	if err := ingress.LimitBuffers(callers); err != nil {
		g.logger.Warn("buffers of callers' connections are not bounded", "err", err)
	}
	g.logger.Info("started", "name", g.settings.Name, "domain", g.settings.Domain)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, background := errgroup.WithContext(background)
	links, err := g.listen("tcp", g.settings.LinkAddress)
	if err != nil {
		return err
	}
	callers, links = g.link.meter.Listener(callers), g.link.meter.Listener(links)
	server := link.Serve(links, g.mesh.Serve, link.WithBudget(g.unproven), link.WithUnprovenSessions(memory.LinkConnectionLimit(g.settings.Descriptors)))
	for _, address := range g.settings.SeedAddresses {
		g.mesh.AddPeer(g.now(), address)
	}
	group.Go(func() error { return g.mesh.Run(background) })
	group.Go(func() error { return g.granter.Run(background) })
	group.Go(func() error { return g.quotaReports.run(background) })
	group.Go(func() error { return g.loads.run(background) })
	group.Go(func() error { return g.partLoans.run(background) })
	group.Go(func() error { return g.rolloutController.run(background) })
	group.Go(func() error { return g.speedStore.run(background) })
	group.Go(func() error { return (&standbySync{Gateway: g}).run(background) })
	group.Go(func() error { return g.reportHeldSlots(background) })
	group.Go(func() error { return g.peers.register(background) })
	group.Go(func() error { return g.follower.Run(background) })
	group.Go(func() error { return g.sweep(background) })
	group.Go(func() error { return g.link.run(background) })
	group.Go(func() error { return g.peerTraffic.run(background) })
	group.Go(func() error { return g.hubList.run(background) })
	group.Go(func() error { return g.crashes.run(background) })
	group.Go(func() error { return g.crashStore.run(background) })
	group.Go(func() error {
		return g.serveHTTP(background, g.settings.ReadinessAddress, http.HandlerFunc(g.serveReadiness))
	})
	group.Go(func() error { return g.serveHTTP(background, g.settings.MetricsAddress, g.metrics.handler()) })
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

// drain announces the stop to peers and waits for running requests.
func (g *Gateway) drain() error {
	grace := time.Duration(g.grace.Load())
	g.logger.Info("stopping", "grace", grace)
	now := g.now()
	g.stop.Store(&stopWindow{start: now, end: now.Add(grace - stopMargin)})
	g.peers.selected.invalidate()
	// The successor must know the slots of this gateway before it is asked for others.
	g.permits.UpdateScheduler(now)
	g.mesh.AnnounceLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopMargin)
	defer cancel()
	defer time.AfterFunc(grace-stopMargin-flow.AnswerMargin, g.endExit).Stop()
	err := g.ingress.Shutdown(ctx)
	g.mesh.AnnounceExit()
	return err
}

// takesConnection reports whether a new connection of a caller is taken.
func (g *Gateway) takesConnection(now time.Time) bool {
	return g.stopping() || g.link.intake.Take(now)
}

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.stopping() || g.catalog.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// sweep drops idle connections and expired upstreams until the context ends, and logs
// omitted log lines.
func (g *Gateway) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := g.now()
			g.pool.CloseExpired(now)
			g.logOmittedLines(now)
			g.retryAccounts.log(now)
			g.evacuations.expire(now)
			g.guard.forget(now)
			overdue := g.roster.Overdue(now)
			if g.roster.Expire(now) {
				g.logger.Info("expired upstreams dropped")
				g.upstreams.recordGone(now, overdue)
				g.publishEngines()
			}
		}
	}
}

func (g *Gateway) reportHeldSlots(ctx context.Context) error {
	for ctx.Err() == nil {
		g.permits.ReportHeld(g.now())
		wait.For(ctx, permit.ReportInterval)
	}
	return nil
}

// recordChange records the revision of a change that was applied. Hubs gossip it
// at once.
func (g *Gateway) recordChange(revision kv.Revision) {
	for {
		known := g.lastChange.Load()
		if int64(revision) <= known {
			return
		}
		if g.lastChange.CompareAndSwap(known, int64(revision)) {
			if g.mesh.IsHub() {
				g.mesh.GossipNow()
			}
			return
		}
	}
}
