// Package mesh connects the gateways with each other. Each gateway exchanges gossip
// about its state with a few peers, the hubs, which exchange gossip with all others.
// A gateway hears a peer from which it receives gossip, and the peer is alive while the
// last gossip is recent. In a small fleet every gateway is a hub.
package mesh

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// baseGossipInterval is the gossip interval in a fleet of up to baseFleetSize
	// processes. The interval grows with the fleet, so that the cost of gossip for
	// each process grows more slowly than the fleet.
	baseGossipInterval = 100 * time.Millisecond
	baseFleetSize      = 10
	maxGossipInterval  = 400 * time.Millisecond
	// livenessIntervals is the number of gossip intervals after which a silent peer
	// is down. A request sent to a failed scheduler is delayed by at most that time.
	livenessIntervals = 4
	// livenessSlack allows for late wake-ups of processes that share a processor.
	livenessSlack = 50 * time.Millisecond
	// reconnectAfter is the silence after which a new connection to a peer is
	// opened, because a connection may stop delivering while new ones work.
	reconnectAfter = 900 * time.Millisecond
	// identityEvery is the number of gossip messages per one that carries the
	// sender's identity, the evacuations and, if changed, the list of peers that it
	// hears. The first message on a stream carries all of them.
	identityEvery     = 10
	minGossipInterval = 20 * time.Millisecond
	// removeAfter is how long a peer is kept that is neither heard nor advertised.
	removeAfter = 2 * time.Minute
	// writeTimeout bounds a write to a peer that has stopped reading.
	writeTimeout = time.Second
	// readTimeout closes an idle stream; gossip arrives far more often.
	readTimeout = 10 * time.Second
	// dialTimeout bounds one connection attempt, and baseRedialDelay is the delay
	// between two. TCP repeats a SYN that a powered-off VM lost only after a
	// second; a new attempt reaches the VM within a third of a second of its
	// return. Gateways that all restart at once thus agree on a scheduler and
	// share their quotas much sooner.
	dialTimeout     = 250 * time.Millisecond
	baseRedialDelay = 100 * time.Millisecond
	// redialBackoffStep is the number of unusable hubs for each of which the redial
	// delay grows by another baseRedialDelay.
	redialBackoffStep = 16
	// finalGossipDelay is the time allowed for the last gossip message to be sent.
	finalGossipDelay = 20 * time.Millisecond
	// sendQueueLength bounds the messages queued for one peer. Messages beyond it
	// are dropped: gossip is repeated, and requests have their own time-outs.
	sendQueueLength = 2048
)

// Handler handles messages from peers. Its methods must not block.
type Handler interface {
	// FillGossip fills in the state that this process sends to its peers. It adds a new
	// crash at the end of the list.
	FillGossip(now time.Time, g *wire.Gossip)
	// HandleGossip handles gossip from a peer.
	HandleGossip(now time.Time, peer string, g *wire.Gossip)
	// HandleMessage handles any other message.
	HandleMessage(now time.Time, peer string, e *wire.Envelope)
	// PeerDown reports that a peer's process has failed, exited or restarted.
	PeerDown(now time.Time, peer string)
}

// Peer is the state of another gateway.
type Peer struct {
	Node    string
	Address string
	// Domain is the peer's failure domain, empty if it has not told.
	Domain string
	// Run identifies the peer's process. A restarted process has a later run unless
	// its clock was set back.
	Run  uint64
	Rank int64
	// Ready peers have a configuration; Leaving ones are shutting down.
	Ready, Leaving bool
	// TakesFew is set while the peer closes many new connections of callers unread.
	TakesFew bool
	// TakingPercent is the percentage of the gateways that the peer hears that take nearly all
	// callers, 0 if it is no hub.
	TakingPercent uint32
	LastHeard     time.Time
	// HearsUs is set if the peer receives gossip from this process.
	HearsUs bool
}

type peer struct {
	Peer
	// address never changes, so the sender goroutine reads it without the lock.
	address string
	// queue holds the messages to send, from when the first sender is started: most gateways
	// of a large fleet send to few. A nil message closes the stream, so that the sender opens
	// a new one.
	queue chan *wire.Envelope
	// cancel stops the sender goroutine; it is nil if there is none.
	cancel context.CancelFunc
	// lastAdvertised is when the settings, the store or a peer last reported
	// the address.
	lastAdvertised time.Time
	// advertisedRank is the rank reported by the store or by another peer.
	advertisedRank int64
	// advertisedDomain is the failure domain reported by the store.
	advertisedDomain string
	// unavailable holds the addresses of the gateways that do not accept callers, as
	// the peer reported last, with the checksum of that list; it is nil if the peer has
	// reported none. needsUnavailable is set if a change of it was missed.
	unavailable      map[string]struct{}
	unavailableSum   uint64
	needsUnavailable bool
	// readsChanges is set if the peer reads changes of the list.
	readsChanges bool
	// heardVersion is the version at which the peer was last heard anew.
	heardVersion uint64
	// known is set once another peer has reported that it hears this one: a hub can
	// list as unavailable only what it knows.
	known bool
	// selected peers are hubs of this process; selectedUs peers use it as a hub.
	selected, selectedUs bool
	selectedSince        time.Time
	down                 bool
	// exited is set once the peer announced that its process exits.
	exited        bool
	lastReconnect time.Time
	gossipsSent   int
	// sentState is the number of the state that was last queued for the peer.
	sentState uint64
	// The checksums are those of the lists of heard peers, of unavailable gateways, of rate
	// limits, of leaving upstreams, of processes that refused connections and of cleared
	// crashes that were last sent to the peer, and of the last crash.
	sentHeardSum, sentCrashSum, sentUnavailableSum uint64
	sentRateLimitsSum, sentLeavingSum              uint64
	sentDownSum, sentClearedSum                    uint64
	// sentHeardVersion is the version up to which the peer was told who is heard.
	sentHeardVersion uint64
	// sentEvacuated are the evacuated failure domains that were last sent to the peer.
	sentEvacuated []string
}

// Mesh holds the connections of one process to its peers.
type Mesh struct {
	node, address string
	run           uint64
	handler       Handler
	pool          *link.Pool
	// alternatePool holds the sessions of alternates.
	alternatePool *link.Pool
	logger        *slog.Logger
	now           func() time.Time
	// traffic may be nil.
	traffic TrafficObserver

	// notifyMu is held from a change of a peer's state until the handler has been
	// notified, so that notifications arrive in the order of the changes. It is
	// locked before mu.
	notifyMu sync.Mutex

	mu    sync.Mutex
	peers map[string]*peer
	// byNode holds the peers that were heard, by name.
	byNode map[string]*peer
	// heardVersion counts how often a peer was heard anew.
	heardVersion uint64
	// lastState is the number of the last state that was collected for gossip.
	lastState   uint64
	unavailable unavailableLists
	ctx         context.Context
	group       *errgroup.Group
	closed      bool
	// exiting is sent in the last gossip message.
	exiting bool
	// rank is this process's rank; hub is set if it is a hub, since hubSince.
	rank     int64
	hub      bool
	hubSince time.Time
	wake     chan struct{}
	// unusableHubs is the number of selected peers that are not usable.
	unusableHubs int
	// alternates holds the second connections with peers, by node.
	alternates map[string]*alternate
}

// New returns a mesh for the process; Run starts it.
func New(node, address string, run uint64, dialer link.Dialer, handler Handler, logger *slog.Logger, now func() time.Time) *Mesh {
	return &Mesh{
		node: node, address: address, run: run, handler: handler, logger: logger, now: now,
		pool: link.NewPool(dialer, nil, link.WithDialTimeout(dialTimeout)), alternatePool: link.NewPool(dialer, nil, link.WithDialTimeout(dialTimeout)),
		alternates: make(map[string]*alternate), peers: make(map[string]*peer), byNode: make(map[string]*peer), rank: unknownRank, hub: true, wake: make(chan struct{}, 1),
	}
}

// Run exchanges gossip until the context ends. The caller must pass the streams
// that peers open to Serve.
func (m *Mesh) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	m.mu.Lock()
	m.ctx, m.group = ctx, group
	m.hubSince = m.now()
	// Peers may be added at any time, and their senders are goroutines of the group.
	// This goroutine is the group's first, and none is added after it has ended.
	group.Go(func() error {
		defer m.close()
		return m.runGossip(ctx)
	})
	m.mu.Unlock()
	return errors.Join(group.Wait(), m.pool.Close(), m.alternatePool.Close())
}

// close stops the addition of peers.
func (m *Mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
}

// AddPeer adds the process at the address as a peer.
func (m *Mesh) AddPeer(now time.Time, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == m.address || address == "" || m.closed {
		return
	}
	p := m.peers[address]
	if p != nil {
		p.lastAdvertised = now
		return
	}
	p = &peer{Peer: Peer{Address: address}, address: address, lastAdvertised: now, advertisedRank: unknownRank}
	m.peers[address] = p
	m.GossipNow()
}

func (m *Mesh) startSenderLocked(p *peer) {
	ctx, cancel := context.WithCancel(m.ctx)
	p.cancel = cancel
	if p.queue == nil {
		p.queue = make(chan *wire.Envelope, sendQueueLength)
	}
	m.group.Go(func() error {
		m.runSender(ctx, p)
		return nil
	})
}

// runSender keeps a stream to the peer open and sends the queued messages.
func (m *Mesh) runSender(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		stream, err := m.pool.Open(ctx, p.address)
		if err != nil {
			wait.For(ctx, m.redialDelay())
			continue
		}
		m.writeQueued(ctx, p, stream)
		m.pool.Replace(p.address, stream.Session())
		// The stream is no longer used, so the error does not matter; a write error
		// was logged.
		_ = stream.Close()
	}
}

// redialDelay returns the delay between two connection attempts. It grows with the
// number of unusable hubs, so that the total rate of attempts does not.
func (m *Mesh) redialDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return baseRedialDelay * time.Duration(1+m.unusableHubs/redialBackoffStep)
}

func (m *Mesh) writeQueued(ctx context.Context, p *peer, stream *link.Stream) {
	m.resetGossip(p)
	m.gossipToOne(p)
	batch := make([]*wire.Envelope, 0, 64)
	for {
		select {
		case <-ctx.Done():
			return
		case envelope := <-p.queue:
			if envelope == nil {
				return
			}
			batch = append(batch[:0], envelope)
		}
		for len(batch) < cap(batch) && len(p.queue) > 0 {
			envelope := <-p.queue
			if envelope == nil {
				return
			}
			batch = append(batch, envelope)
		}
		if err := stream.Send(m.now().Add(writeTimeout), batch...); errorx.IsOfType(err, link.TooLarge) {
			m.logger.Warn("message to peer not sent", "peer", p.address, "err", err)
		} else if err != nil {
			m.logger.Info("connection to peer lost", "peer", p.address, "err", err)
			return
		}
		m.observeSent(p, batch...)
	}
}

// resetGossip makes the next gossip message to the peer carry this process's
// identity, which a new stream must begin with.
func (m *Mesh) resetGossip(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	drain(p.queue)
	p.gossipsSent, p.sentUnavailableSum, p.sentHeardVersion = 0, 0, 0
}

// Send queues a message for the node. It reports whether messages are being sent to
// the node and its queue had room.
func (m *Mesh) Send(node string, envelope *wire.Envelope) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerLocked(node)
	return p != nil && p.cancel != nil && enqueue(p, envelope)
}

// peerLocked returns the peer that is the node, or nil. If the node was replaced under its
// name and has another address now, the former peer is known for a while, but down.
func (m *Mesh) peerLocked(node string) *peer {
	if p := m.byNode[node]; p != nil && p.Node == node && !p.down {
		return p
	}
	var down *peer
	for _, p := range m.peers {
		if p.Node != node {
			continue
		}
		if !p.down {
			return p
		}
		down = p
	}
	return down
}

func enqueue(p *peer, envelope *wire.Envelope) bool {
	select {
	case p.queue <- envelope:
		return true
	default:
		return false
	}
}

// Serve handles one stream that a peer opened. The first message on it identifies
// the peer.
func (m *Mesh) Serve(ctx context.Context, stream *link.Stream) {
	// The peer opens a new stream if it needs one, so the error does not matter.
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	var from sender
	for {
		envelope, err := stream.Receive(m.now().Add(readTimeout))
		if err != nil {
			return
		}
		if hello := envelope.GetHello(); hello != nil && hello.Node != "" {
			m.serveAlternate(ctx, hello.Node, stream)
			return
		}
		now := m.now()
		if g := envelope.GetGossip(); g != nil {
			from.update(g)
			m.observeReceived(envelope, from.domain)
			if from.node != "" {
				m.handleGossip(now, from, g)
			}
			continue
		}
		m.observeReceived(envelope, from.domain)
		if from.node != "" {
			m.handler.HandleMessage(now, from.node, envelope)
		}
	}
}

// Peers returns the state of the other gateways.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		if p.Node != "" {
			peers = append(peers, p.Peer)
		}
	}
	return peers
}

// Addresses returns the addresses of the other gateways that are registered or that some
// gateway has heard, and those of the nodes that this one has heard by name.
func (m *Mesh) Addresses() (all []string, byNode map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byNode = make(map[string]string, len(m.peers))
	for address, p := range m.peers {
		if p.Node != "" {
			byNode[p.Node] = address
		}
		if p.Node != "" || p.known || p.advertisedRank != unknownRank {
			all = append(all, address)
		}
	}
	return all, byNode
}

// PeerCount returns the number of other gateways, heard or not.
func (m *Mesh) PeerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// ActivePeerCount returns the number of other gateways, heard or not, that have not
// announced their exit.
func (m *Mesh) ActivePeerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, p := range m.peers {
		if !p.exited {
			count++
		}
	}
	return count
}

// Alive returns the peers that were heard within the liveness timeout.
func (m *Mesh) Alive(now time.Time) []Peer {
	var alive []Peer
	timeout := m.livenessTimeout()
	for _, p := range m.Peers() {
		if now.Sub(p.LastHeard) < timeout {
			alive = append(alive, p)
		}
	}
	return alive
}

func (m *Mesh) runGossip(ctx context.Context) error {
	for ctx.Err() == nil {
		m.checkSilent(m.now())
		m.selectHubs()
		m.gossipToAll()
		wait.For(ctx, minGossipInterval)
		timer := time.NewTimer(m.gossipInterval() - minGossipInterval)
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

func (m *Mesh) gossipInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	scaled := baseGossipInterval * time.Duration(len(m.peers)+1) / baseFleetSize
	return min(max(scaled, baseGossipInterval), maxGossipInterval)
}

// livenessTimeout returns how long a peer is alive after its last gossip.
func (m *Mesh) livenessTimeout() time.Duration {
	return livenessIntervals*m.gossipInterval() + livenessSlack
}

func drain(queue chan *wire.Envelope) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}
