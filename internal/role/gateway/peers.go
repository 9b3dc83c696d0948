package gateway

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// unranked is the rank of a gateway that has not read its own registration yet.
const unranked = math.MaxInt64

// peers handles the exchange with the other gateways. It implements mesh.Handler, and
// follow.View for the list of gateways in the store.
type peers struct {
	*Gateway
	// isHub reports whether all other gateways exchange gossip with this one.
	isHub func() bool

	mu   sync.Mutex
	rank int64
	// configRequestedAt and rosterRequestedAt are the times of the last requests to
	// any peer.
	configRequestedAt, rosterRequestedAt time.Time
	storeLost                            bool
	// configLag and changeLag track how far this gateway is behind its peers in the
	// configuration and in the changes from the store.
	configLag, changeLag lag
	// storeReachedAt holds, by peer, when it last reported that the store answers it.
	storeReachedAt map[string]time.Time
	// writeFailedAt is when the store last failed to answer a write on behalf of all gateways,
	// zero if it answered since, and peerWritesFail holds the peers that report such a failure.
	writeFailedAt  time.Time
	peerWritesFail map[string]bool
	// storeRetriedAt is when a peer's report last ended a pause after failed calls.
	storeRetriedAt time.Time
	// silentSince holds the schedulers that reply to no slot request, and since when. They
	// are not selected until they are heard again.
	silentSince map[string]time.Time
	stops       *peerStops
	selected    schedulerCache
}

// Replace implements follow.View.
func (p *peers) Replace(now time.Time, s kv.Snapshot) {
	addresses, listens := make(map[string]string, len(s.Items)), make(map[string][]string, len(s.Items))
	for _, item := range s.Items {
		if m, ok := p.applyMember(now, item); ok {
			addresses[item.Key] = m.Address
			listens[item.Key] = m.listens()
		}
	}
	p.membership.Replace(addresses)
	p.listens.replace(listens)
	p.reserveAddresses()
}

// Apply implements follow.View.
func (p *peers) Apply(now time.Time, c kv.Changes) {
	for _, e := range c.Events {
		if e.Deleted {
			p.membership.Remove(e.Key)
			p.listens.remove(e.Key)
		} else if m, ok := p.applyMember(now, e.Item); ok {
			p.membership.Add(e.Key, m.Address)
			p.listens.add(e.Key, m.listens())
		}
	}
	p.reserveAddresses()
}

// applyMember adds a registered gateway to the mesh, or takes this gateway's own rank
// from its registration. It returns the registration, unless that can't be read.
func (p *peers) applyMember(now time.Time, item kv.Item) (m member, ok bool) {
	if err := json.Unmarshal(item.Value, &m); err != nil {
		p.logger.Warn("gateway registration ignored", "key", item.Key, "err", err)
		return member{}, false
	}
	if item.Key == memberPrefix+p.settings.Name {
		// A gateway that loses the store for longer than its lease is registered
		// again afterwards, with a higher rank. Had it been the scheduler, its
		// successor would start without the learned estimates. As the process has
		// not restarted, it keeps its former rank.
		p.mu.Lock()
		p.rank = min(p.rank, m.rank(item.CreatedRevision))
		p.mu.Unlock()
		if m.Run != p.runID {
			p.guard.listedBefore()
			p.membership.Succeeds()
		}
		return m, true
	}
	p.mesh.AddRankedPeer(now, m.Address, m.rank(item.CreatedRevision))
	p.mesh.SetDomain(m.Address, m.Domain)
	return m, true
}

// FillGossip implements mesh.Handler.
func (p *peers) FillGossip(now time.Time, g *wire.Gossip) {
	p.granter.SetReachableGateways(p.mesh.Reach(now))
	p.mu.Lock()
	g.Rank = p.rank
	g.StoreAnswers = !p.storeLost
	p.mu.Unlock()
	g.WritesFail = p.writesFail(now)
	p.crashes.fillGossip(now, g)
	if c := p.catalog.Load(); c != nil {
		g.ConfigVersion = c.Version()
	}
	g.Ready = g.ConfigVersion > 0
	g.Leaving = p.stopping()
	g.TakesFew = p.link.intake.TakesFew()
	if p.isHub() {
		g.TakingPercent = takingPercent(p.mesh.Alive(now), !g.TakesFew && g.Ready && !g.Leaving)
	}
	g.Domain = p.settings.Domain
	p.fillRevisions(g)
	p.guard.fillGossip(now, g)
}

// HandleGossip implements mesh.Handler.
func (p *peers) HandleGossip(now time.Time, peer string, g *wire.Gossip) {
	p.granter.OwnerUp(peer)
	p.mu.Lock()
	delete(p.silentSince, peer)
	p.mu.Unlock()
	p.crashes.applyGossip(now, peer, g)
	p.stops.heard(now, peer, g.Leaving, time.Duration(p.grace.Load())-stopMargin)
	p.evacuations.applyGossip(now, g)
	p.guard.applyGossip(now, peer, g)
	p.requestMissing(now, peer, g)
	p.notePeerWrites(peer, g.WritesFail)
	if g.Leaving {
		// The successor of a scheduler must hear of the held slots at once.
		p.selected.invalidate()
	}
	p.permits.UpdateScheduler(now)
}

// HandleMessage implements mesh.Handler.
func (p *peers) HandleMessage(now time.Time, peer string, e *wire.Envelope) {
	switch body := e.Body.(type) {
	case *wire.Envelope_PlaceVerdict:
		p.permits.HandleDecision(peer, body.PlaceVerdict)
	case *wire.Envelope_MoveReport:
		p.rolloutController.recordReport(now, peer, body.MoveReport.Service, decodeReport(body.MoveReport))
	case *wire.Envelope_MoveState:
		p.rolloutController.receiveState(peer, body.MoveState)
	case *wire.Envelope_QuotaReport:
		p.quotaReports.receive(now, peer, body.QuotaReport)
	case *wire.Envelope_QuotaTotals:
		p.quotaReports.apply(now, peer, body.QuotaTotals)
	case *wire.Envelope_LoadReport:
		p.loads.receive(now, peer, body.LoadReport)
	case *wire.Envelope_PartsAsk:
		p.partLoans.handleAsk(now, peer, body.PartsAsk)
	case *wire.Envelope_PartsLent:
		p.partLoans.handleLoan(now, peer, body.PartsLent)
	case *wire.Envelope_SnapshotAsk:
		if body.SnapshotAsk.Relay != 0 {
			p.mesh.Send(peer, p.relay.answer(body.SnapshotAsk))
			return
		}
		p.mesh.Send(peer, &wire.Envelope{Body: &wire.Envelope_Snapshot{Snapshot: p.buildSnapshot(body.SnapshotAsk)}})
	case *wire.Envelope_SchedulerMemory:
		p.applySchedulerMemory(now, peer, body.SchedulerMemory)
	case *wire.Envelope_Snapshot:
		if body.Snapshot.Relay != 0 {
			p.relay.receive(body.Snapshot)
			return
		}
		p.applySnapshot(now, peer, body.Snapshot)
	default:
		permit.HandleMessage(now, p.granter, peer, e)
	}
}

// PeerDown implements mesh.Handler.
func (p *peers) PeerDown(now time.Time, peer string) {
	p.mu.Lock()
	delete(p.storeReachedAt, peer)
	delete(p.peerWritesFail, peer)
	p.mu.Unlock()
	p.selected.invalidate()
	p.relay.peerDown(peer)
	p.stops.down(now, peer)
	p.granter.OwnerDown(peer)
	p.permits.GatewayDown(peer)
	p.loads.table.PeerDown(peer)
	p.permits.UpdateScheduler(now)
}

// scheduler returns the gateway that grants engine slots as this one sees it: the one
// of lowest rank among those that have a configuration and exchange gossip with this
// one in both directions. A stopping gateway is selected only if all are stopping:
// otherwise gateways that stop within a few seconds of each other would each select
// themselves and grant more slots than the engines have. Gateways that disagree about
// the scheduler can at worst overload an engine; correctness does not depend on it.
func (p *peers) scheduler(now time.Time) string {
	return p.selected.get(now, p.selectScheduler)
}

func (p *peers) selectScheduler(now time.Time) string {
	var best candidate
	if p.catalog.Load() != nil {
		p.mu.Lock()
		best = candidate{node: p.settings.Name, rank: p.rank, stopping: p.stopping()}
		p.mu.Unlock()
	}
	for _, other := range p.candidates(now) {
		if other.precedes(best) {
			best = other
		}
	}
	return best.node
}

// candidates returns the other gateways that may be the scheduler.
func (p *peers) candidates(now time.Time) []candidate {
	var all []candidate
	p.mu.Lock()
	silentSince := maps.Clone(p.silentSince)
	p.mu.Unlock()
	for _, other := range p.mesh.Alive(now) {
		if since, silent := silentSince[other.Node]; silent && !other.LastHeard.After(since) {
			continue
		}
		if other.Ready && other.HearsUs {
			all = append(all, candidate{node: other.Node, rank: other.Rank, stopping: other.Leaving})
		}
	}
	return all
}

// othersAccept reports whether a caller that this stopping gateway refuses probably
// reaches a gateway that accepts it.
func (p *peers) othersAccept(now time.Time, stopNoticed bool) bool {
	within, outside := p.mesh.Availability(now, p.settings.Domain)
	return reachesAccepting(within, outside, stopNoticed)
}

// reachesAccepting decides that from the other gateways within the failure domain and
// outside. The load balancer sends callers to the gateways of their domain that accept
// them, if these are at least half of the domain, and otherwise to all of the domain,
// whether they accept or not. It sends callers to other domains once it has noticed
// that no gateway of their own accepts them.
func reachesAccepting(within, outside mesh.Availability, stopNoticed bool) bool {
	if within.Accepting > 0 {
		return 2*within.Accepting >= within.Total+1
	}
	return stopNoticed && outside.Accepting > 0
}

// candidate is a gateway that may be the scheduler. The zero value stands for none.
type candidate struct {
	node     string
	rank     int64
	stopping bool
}

// precedes reports whether the gateway is preferred to the other as the scheduler.
func (c candidate) precedes(other candidate) bool { return other.node == "" || c.compare(other) < 0 }

func (c candidate) compare(other candidate) int {
	if c.stopping != other.stopping {
		if other.stopping {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.rank, other.rank), cmp.Compare(c.node, other.node))
}

// minHeardInSilence is the share of the other gateways that must have been heard since a
// scheduler fell silent for it to be passed over: a gateway that hears nobody is itself cut
// off or late.
const minHeardInSilence = 0.3

// schedulerSilent handles a scheduler that has replied to no slot request since a time. If
// it was not heard since either, but others were, another one is selected before gossip
// reports that it is down.
func (p *peers) schedulerSilent(now time.Time, node string, since time.Time) {
	heard, others, silent := 0, 0, false
	for _, other := range p.mesh.Alive(now) {
		if other.Node == node {
			silent = !other.LastHeard.After(since)
			continue
		}
		others++
		if other.LastHeard.After(since) {
			heard++
		}
	}
	if !silent || heard == 0 || float64(heard) < minHeardInSilence*float64(others) {
		return
	}
	p.mu.Lock()
	_, known := p.silentSince[node]
	p.silentSince[node] = since
	p.mu.Unlock()
	p.selected.invalidate()
	if !known {
		p.logger.Info("scheduler silent", "node", node, "for", now.Sub(since))
	}
	p.permits.UpdateScheduler(now)
}

// deliverDecision sends a scheduling decision to the gateway that requested the slot.
func (p *peers) deliverDecision(decision board.Decision) {
	message := permit.DecisionMessage(decision)
	if decision.Owner == p.settings.Name {
		p.permits.HandleDecision(decision.Owner, message.GetPlaceVerdict())
		return
	}
	p.mesh.Send(decision.Owner, message)
	if decision.Urgent {
		p.mesh.ReplyAlternate(decision.Owner, message)
	}
}

// setStoreLost sets whether the store fails to answer this gateway, which its gossip
// reports to peers.
func (p *peers) setStoreLost(lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeLost = lost
}

// storeAnswers reports whether the store answers this gateway.
func (p *peers) storeAnswers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.storeLost
}

// gatewayCount returns how many gateways share the fleet-wide limits. Gateways that
// are registered but have sent no gossip yet count: after a restart of all of them,
// each would otherwise take the whole limit for itself.
// Those that are registered count even if they have been silent for longer than the mesh
// remembers them: gateways that do not reach each other would otherwise each take the parts
// of the others.
func (p *peers) gatewayCount() int {
	return max(p.mesh.PeerCount()+1, len(p.guard.gateways(p.now()).IDs))
}

// Part implements retry.Ownership.
func (p *peers) Part(now time.Time) (fraction float64, since time.Time) {
	since, owns := p.membership.Owns(now)
	if !owns {
		return 0, since
	}
	return 1 / float64(p.gatewayCount()), since
}
