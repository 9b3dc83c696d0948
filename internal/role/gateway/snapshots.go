package gateway

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

const (
	// snapshotRequestInterval is the least time between two requests to peers for the
	// configuration, or for the roster. It is well within the two seconds in which a
	// change must be applied.
	snapshotRequestInterval = 300 * time.Millisecond
	// configWaitShare is the share of the time in which a configuration must be applied
	// after which a missing one is requested from a peer although the store answers.
	// Over a link of 10 Mbit/s a configuration of 4,000 routes takes more than a second
	// from either.
	configWaitShare = 0.6
	// maxChangeLag is how long a change that a peer has applied may be missing here
	// before the store is read at once.
	maxChangeLag = 2 * snapshotRequestInterval
	// minStorePollers is how many peers must report that the store answers them for a
	// gateway to poll the store less often. A report counts for storeReachedTTL.
	minStorePollers = 3
	storeReachedTTL = 2 * time.Second
)

// requestMissing requests from a peer the configuration or the upstreams that, by its
// gossip, it knows and this gateway does not. A request is repeated after
// snapshotRequestInterval, because the answer may be lost with its link.
func (p *peers) requestMissing(now time.Time, peer string, g *wire.Gossip) {
	version := int64(0)
	if c := p.catalog.Load(); c != nil {
		version = c.Version()
	}
	known := p.roster.Revision()
	// A list of another era than the peer's is no base for its changes.
	request := &wire.SnapshotAsk{RosterAfter: known.NumberIn(g.StoreEra), RosterAfterEra: known.Era()}
	peerRoster, peerChange := kv.At(g.StoreEra, g.RosterRevision), kv.At(g.StoreEra, g.ChangeRevision)
	if p.relay.reported(now, peer, peerChange) {
		p.noteStore(now, peer, g.StoreAnswers)
		p.follower.Wake(peerChange)
		return
	}
	p.noteStore(now, peer, g.StoreAnswers)
	p.mu.Lock()
	// While the store answers, the configuration is read from it: a peer that sent a
	// large configuration to a whole fleet would fall behind on its other messages.
	configBehind, configBehindFor := p.configLag.observe(now, version, g.ConfigVersion)
	maxConfigWait := max(snapshotRequestInterval, time.Duration(configWaitShare*float64(p.settings.ConfigApplyLimit)))
	if configBehind && (p.storeLost || configBehindFor > maxConfigWait) && now.Sub(p.configRequestedAt) > snapshotRequestInterval {
		request.Config, p.configRequestedAt = true, now
	}
	// The first upstream list is read from the store.
	changeBehind, changeBehindFor := p.changeLag.observe(now, int64(known), int64(peerChange))
	changeBehind = changeBehind && known > 0
	peerNewer := p.storeLost && g.StoreAnswers && peerRoster > known
	if (changeBehind || peerNewer) && now.Sub(p.rosterRequestedAt) > snapshotRequestInterval {
		request.Roster, p.rosterRequestedAt = true, now
	}
	p.mu.Unlock()
	if request.Config || request.Roster {
		p.mesh.Send(peer, &wire.Envelope{Body: &wire.Envelope_SnapshotAsk{SnapshotAsk: request}})
	}
	if configBehind || (changeBehind && changeBehindFor > maxChangeLag) {
		p.follower.Wake(peerChange)
	}
}

// noteStore records whether the store answers a peer. When it answers one again, it is asked
// here without waiting, too.
func (p *peers) noteStore(now time.Time, peer string, answers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answers {
		_, answered := p.storeReachedAt[peer]
		p.storeReachedAt[peer] = now
		if p.storeLost && !answered && now.Sub(p.storeRetriedAt) >= hubRetryPause {
			p.storeRetriedAt = now
			p.follower.Retry()
		}
	} else {
		delete(p.storeReachedAt, peer)
	}
}

// reachesStore reports whether the peer stated lately that the store answers it.
func (p *peers) reachesStore(now time.Time, peer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	reported, ok := p.storeReachedAt[peer]
	return ok && now.Sub(reported) < storeReachedTTL
}

// lag tracks the highest revision that peers have reported, and since when this
// gateway has been behind.
type lag struct {
	peerRevision int64
	behindSince  time.Time
}

// observe records a peer's revision and the one known here. It reports whether the
// peer is ahead, and for how long this gateway has been behind any peer.
func (l *lag) observe(now time.Time, known, peer int64) (behind bool, behindFor time.Duration) {
	if l.peerRevision <= known {
		l.behindSince = time.Time{}
	}
	l.peerRevision = max(l.peerRevision, peer)
	if peer <= known {
		return false, 0
	}
	if l.behindSince.IsZero() {
		l.behindSince = now
	}
	return true, now.Sub(l.behindSince)
}

// peersPollStore reports whether this gateway may poll the store less often because
// enough peers poll it. Hubs never do, as the others rely on them.
func (p *peers) peersPollStore(now time.Time) bool {
	if p.isHub() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, reported := range p.storeReachedAt {
		if now.Sub(reported) < storeReachedTTL {
			count++
		}
	}
	return !p.storeLost && count >= minStorePollers
}

// buildSnapshot returns the answer to a peer's request.
func (p *peers) buildSnapshot(request *wire.SnapshotAsk) *wire.Snapshot {
	answer := &wire.Snapshot{}
	if raw := p.rawConfig.Load(); request.Config && raw != nil {
		answer.Config = *raw
	}
	if !request.Roster {
		return answer
	}
	events, revision, partial := p.upstreams.changesSince(p.requestedAfter(request))
	answer.RosterEra, answer.RosterRevision, answer.Partial = revision.Era(), revision.Number(), partial
	for _, e := range events {
		answer.Roster = append(answer.Roster, &wire.StoreItem{
			Key: e.Key, Value: e.Value, Revision: e.Revision.Number(), CreatedRevision: e.CreatedRevision, Removed: e.Deleted,
		})
	}
	return answer
}

// requestedAfter returns the revision after which a peer requests changes. One of an
// earlier build states no era; it means the present one.
func (p *peers) requestedAfter(request *wire.SnapshotAsk) kv.Revision {
	if request.RosterAfterEra == 0 {
		return kv.At(p.roster.Revision().Era(), request.RosterAfter)
	}
	return kv.At(request.RosterAfterEra, request.RosterAfter)
}

// fillRevisions tells peers the revisions up to which the store is known here. All are of
// the latest era; those of an earlier one are told as 0.
func (p *peers) fillRevisions(g *wire.Gossip) {
	roster, change := p.roster.Revision(), kv.Revision(p.lastChange.Load())
	evacuation, domains := p.evacuations.set.State()
	era := max(roster, change, evacuation).Era()
	g.StoreEra, g.RosterRevision, g.ChangeRevision = era, roster.NumberIn(era), change.NumberIn(era)
	g.EvacuationRevision, g.Evacuated = evacuation.NumberIn(era), domains
}

// applySnapshot applies a peer's answer.
func (p *peers) applySnapshot(now time.Time, peer string, answer *wire.Snapshot) {
	if len(answer.Config) > 0 {
		p.applyConfig(answer.Config, peer)
	}
	revision := kv.At(answer.RosterEra, answer.RosterRevision)
	if revision <= p.roster.Revision() {
		return
	}
	if answer.Partial {
		changes := kv.Changes{Revision: revision}
		for _, item := range answer.Roster {
			changes.Events = append(changes.Events, kv.Event{Item: storeItem(answer.RosterEra, item), Deleted: item.Removed})
		}
		p.upstreams.Apply(now, changes)
		return
	}
	snapshot := kv.Snapshot{Revision: revision}
	for _, item := range answer.Roster {
		snapshot.Items = append(snapshot.Items, storeItem(answer.RosterEra, item))
	}
	p.upstreams.Replace(now, snapshot)
}

func storeItem(era int64, item *wire.StoreItem) kv.Item {
	return kv.Item{Key: item.Key, Value: item.Value, Revision: kv.At(era, item.Revision), CreatedRevision: item.CreatedRevision}
}
