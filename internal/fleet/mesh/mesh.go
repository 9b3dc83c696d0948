// Package mesh links the gateways with each other. Each one gossips what it is and
// has seen to a few, the hubs, which tell all others; what it hears, and how long
// ago, decides which peers live. In a small fleet all are hubs.
package mesh

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// baseInterval is between two gossips in a fleet of up to baseFleet
	// processes; it grows with the fleet, so that a process's cost for gossip
	// grows by less than the fleet.
	baseInterval = 100 * time.Millisecond
	baseFleet    = 10
	// maxInterval bounds it.
	maxInterval = 400 * time.Millisecond
	// aliveIntervals is how many gossips a peer may miss and count as living.
	// Asking a scheduler that is gone costs a request that time at most.
	aliveIntervals = 4
	// aliveSlack covers that processes share a processor and wake up late.
	aliveSlack = 50 * time.Millisecond
	// relinkAfter is the silence after which the link to a peer is made anew,
	// because connections may go silent for good while new ones work.
	relinkAfter = 900 * time.Millisecond
	// introduceEvery is in which of its gossips a process says who it is, and whom
	// it knows if that has changed; the first one to a peer does as well.
	introduceEvery = 10
	// knownEvery is in which of its gossips a process says whom it knows though
	// that is as before.
	knownEvery = 50
	// hurryApart is the least time between two gossips.
	hurryApart = 20 * time.Millisecond
	// forgetAfter is how long the address of a silent peer is tried.
	forgetAfter = 2 * time.Minute
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = time.Second
	// readTimeout ends a link on which nothing comes; gossip comes far oftener.
	readTimeout = 10 * time.Second
	// dialWithin bounds one attempt to link with a peer, and redialPause is
	// between two. The first packet to a VM without power is lost and sent again
	// after a second; an attempt that is begun anew reaches it a third of a
	// second after its return. Gateways that all come back at once agree on
	// their scheduler and share their quotas so much sooner.
	dialWithin  = 250 * time.Millisecond
	redialPause = 100 * time.Millisecond
	// redialMost is with how many peers that are not heard the pause begins to grow.
	redialMost = 16
	// lastWord is how long the last gossip may take to leave this VM.
	lastWord = 20 * time.Millisecond
	// queueLength bounds what waits for one peer. What does not fit is dropped:
	// gossip is repeated, and asks have their own time-outs.
	queueLength = 2048
)

// Handler takes what peers send. Its methods must not block.
type Handler interface {
	// Gossip fills what the process tells its peers.
	Gossip(now time.Time, g *wire.Gossip)
	// Heard takes the gossip of a peer.
	Heard(now time.Time, peer string, g *wire.Gossip)
	// Receive takes any other message.
	Receive(now time.Time, peer string, e *wire.Envelope)
	// Down tells that a peer's process is gone or was restarted.
	Down(now time.Time, peer string)
}

// Peer is what is known of another gateway.
type Peer struct {
	Node    string
	Address string
	Run     uint64
	Rank    int64
	// Ready peers know a configuration; Leaving ones were told to stop.
	Ready, Leaving bool
	Heard          time.Time
	// HearsUs tells that the peer hears this process.
	HearsUs bool
}

type peer struct {
	Peer
	// address never changes, so the sending goroutine needs no lock for it.
	address string
	queue   chan *wire.Envelope
	// cancel ends the sending; it is nil while nothing is sent to the peer.
	cancel context.CancelFunc
	since  time.Time
	// listed is the rank by the store or by another peer.
	listed int64
	// wanted peers are hubs of this process; wantsUs ones have it as theirs.
	wanted, wantsUs bool
	wantedSince     time.Time
	down            bool
	// gone peers said that their process ends.
	gone   bool
	relink time.Time
	told   int
	// toldKnown and toldCrashes recognize what the peer was told last of whom this
	// process knows, and of crashes.
	toldKnown, toldCrashes uint64
}

// Mesh is one process's links.
type Mesh struct {
	node, address string
	run           uint64
	handler       Handler
	pool          *link.Pool
	logger        *slog.Logger
	now           func() time.Time

	// telling is held from a decision on a peer until the handler was told of it,
	// so that it is told in the order of the decisions. It is taken before mu.
	telling sync.Mutex

	mu     sync.Mutex
	peers  map[string]*peer
	ctx    context.Context
	group  *errgroup.Group
	closed bool
	// gone is told in the last gossip.
	gone bool
	// rank is this process's, hub that it is one, since hubSince.
	rank     int64
	hub      bool
	hubSince time.Time
	hurry    chan struct{}
	// unheard counts the peers that are wanted and not heard.
	unheard int
}

// New returns a mesh for the process; Run starts it. Seeds are addresses of
// processes that may be up.
func New(node, address string, run uint64, dialer link.Dialer, handler Handler, logger *slog.Logger, now func() time.Time) *Mesh {
	return &Mesh{
		node: node, address: address, run: run, handler: handler, logger: logger, now: now,
		pool: link.NewPool(dialer, nil, link.DialWithin(dialWithin)), peers: make(map[string]*peer), rank: unranked, hub: true, hurry: make(chan struct{}, 1),
	}
}

// Run gossips until the context ends. Server must hand its streams to Serve.
func (m *Mesh) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	m.mu.Lock()
	m.ctx, m.group = ctx, group
	m.hubSince = m.now()
	// Peers become known at any time. This goroutine is the first and the last of
	// those to which theirs are added.
	group.Go(func() error {
		defer m.close()
		return m.gossip(ctx)
	})
	m.mu.Unlock()
	err := group.Wait()
	if closeErr := m.pool.Close(); err == nil {
		err = closeErr
	}
	return err
}

// close lets no more peers become known.
func (m *Mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
}

// Know makes the process known of, so that it may be linked with.
func (m *Mesh) Know(now time.Time, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == m.address || address == "" || m.closed {
		return
	}
	p := m.peers[address]
	if p != nil {
		p.since = now
		return
	}
	p = &peer{Peer: Peer{Address: address}, address: address, queue: make(chan *wire.Envelope, queueLength), since: now, listed: unranked}
	m.peers[address] = p
	m.Hurry()
}

func (m *Mesh) startLocked(p *peer) {
	ctx, cancel := context.WithCancel(m.ctx)
	p.cancel = cancel
	m.group.Go(func() error {
		m.send(ctx, p)
		return nil
	})
}

// send keeps a stream to the peer and writes what is queued for it.
func (m *Mesh) send(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		stream, err := m.pool.Open(ctx, p.address)
		if err != nil {
			wait.For(ctx, m.redialAfter())
			continue
		}
		m.write(ctx, p, stream)
		m.pool.Replace(p.address, stream.Session())
		// The stream is of no use any more; its end is told by the write error.
		_ = stream.Close()
	}
}

// redialAfter is the pause between two attempts to link with a peer. With many that
// are not reached it grows, so that the attempts of all together do not.
func (m *Mesh) redialAfter() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return redialPause * time.Duration(1+m.unheard/redialMost)
}

func (m *Mesh) write(ctx context.Context, p *peer, stream *link.Stream) {
	m.introduce(p)
	m.tellOne(p)
	batch := make([]*wire.Envelope, 0, 64)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.queue:
			if e == nil {
				return
			}
			batch = append(batch[:0], e)
		}
		for len(batch) < cap(batch) && len(p.queue) > 0 {
			e := <-p.queue
			if e == nil {
				return
			}
			batch = append(batch, e)
		}
		if err := stream.Send(m.now().Add(writeTimeout), batch...); err != nil {
			m.logger.Info("link lost", "peer", p.address, "err", err)
			return
		}
	}
}

// introduce makes the next gossip to the peer say who this process is, since a
// new stream does not know.
func (m *Mesh) introduce(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	drain(p.queue)
	p.told = 0
}

// Send queues a message for the node. It tells whether the node is linked with and
// its queue had room.
func (m *Mesh) Send(node string, e *wire.Envelope) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Node == node {
			return p.cancel != nil && offer(p, e)
		}
	}
	return false
}

func offer(p *peer, e *wire.Envelope) bool {
	select {
	case p.queue <- e:
		return true
	default:
		return false
	}
}

// Serve takes one stream that a peer opened. The first message on it says who
// the peer is.
func (m *Mesh) Serve(ctx context.Context, stream *link.Stream) {
	// The peer opens another stream when it needs one.
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	var from sender
	for {
		envelope, err := stream.Receive(m.now().Add(readTimeout))
		if err != nil {
			return
		}
		now := m.now()
		if g := envelope.GetGossip(); g != nil {
			from.introduce(g)
			if from.node != "" {
				m.heard(now, from, g)
			}
			continue
		}
		if from.node != "" {
			m.handler.Receive(now, from.node, envelope)
		}
	}
}

// Peers returns what is known of the other gateways.
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

// Known returns how many other gateways there are, heard or not.
func (m *Mesh) Known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// Expected returns how many other gateways may be at work, heard or not: all
// that are known but those that said that they end.
func (m *Mesh) Expected() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, p := range m.peers {
		if !p.gone {
			count++
		}
	}
	return count
}

// Alive returns the peers that were heard of late.
func (m *Mesh) Alive(now time.Time) []Peer {
	var alive []Peer
	limit := m.aliveFor()
	for _, p := range m.Peers() {
		if now.Sub(p.Heard) < limit {
			alive = append(alive, p)
		}
	}
	return alive
}

func (m *Mesh) gossip(ctx context.Context) error {
	for ctx.Err() == nil {
		m.check(m.now())
		m.choose()
		m.tell()
		wait.For(ctx, hurryApart)
		timer := time.NewTimer(m.interval() - hurryApart)
		select {
		case <-ctx.Done():
		case <-m.hurry:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	scaled := baseInterval * time.Duration(len(m.peers)+1) / baseFleet
	return min(max(scaled, baseInterval), maxInterval)
}

// aliveFor is how long a peer counts as living after its last gossip.
func (m *Mesh) aliveFor() time.Duration { return aliveIntervals*m.interval() + aliveSlack }

func drain(queue chan *wire.Envelope) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}
