package gateway

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

const (
	// askEvery is how often peers are asked for one thing: well within the two
	// seconds in which a change must be in force.
	askEvery = 300 * time.Millisecond
	// configPatience is the part of the time in which a configuration must be in
	// force after which a peer is asked for it although the store answers: over a
	// link of 10 Mbit/s one of 4,000 routes takes more than a second from either.
	configPatience = 0.6
	// behindFor is how long a change that a peer knows of may stay away before it
	// is looked for in the store.
	behindFor = 2 * askEvery
	// tellersLeast is how many peers that the store answers must be heard for a
	// gateway to look there less often, and answeringFor how long each counts.
	tellersLeast = 3
	answeringFor = 2 * time.Second
)

// askFor asks a peer that knows more for what the store does not tell this
// gateway, or has not told it yet. It asks again after a while: an answer may be
// lost with the link that carries it.
func (p *peers) askFor(now time.Time, peer string, g *wire.Gossip) {
	version := int64(0)
	if c := p.catalog.Load(); c != nil {
		version = c.Version()
	}
	known := p.roster.Revision()
	ask := &wire.SnapshotAsk{RosterAfter: known}
	p.mu.Lock()
	if g.StoreAnswers {
		p.answering[peer] = now
	} else {
		delete(p.answering, peer)
	}
	// A large configuration is read from the store if that answers: peers that hand
	// it to a whole fleet would have time for nothing else.
	older, olderBy := p.config.see(now, version, g.ConfigVersion)
	patience := max(askEvery, time.Duration(configPatience*float64(p.settings.Apply)))
	if older && (p.away || olderBy > patience) && now.Sub(p.askedConfig) > askEvery {
		ask.Config, p.askedConfig = true, now
	}
	// The first list is the store's to tell.
	late, lateBy := p.change.see(now, known, g.ChangeRevision)
	late = late && known > 0
	more := p.away && g.StoreAnswers && g.RosterRevision > known
	if (late || more) && now.Sub(p.askedRoster) > askEvery {
		ask.Roster, p.askedRoster = true, now
	}
	p.mu.Unlock()
	if ask.Config || ask.Roster {
		p.mesh.Send(peer, &wire.Envelope{Body: &wire.Envelope_SnapshotAsk{SnapshotAsk: ask}})
	}
	if older || (late && lateBy > behindFor) {
		p.follower.Wake(g.ChangeRevision)
	}
}

// lag is a revision that peers know of and this gateway does not, and since when.
type lag struct {
	revision int64
	since    time.Time
}

// see notes what a peer knows and what is known here. It tells whether the peer
// knows more, and for how long this gateway has lacked what any peer knows.
func (l *lag) see(now time.Time, known, peer int64) (late bool, by time.Duration) {
	if l.revision <= known {
		l.since = time.Time{}
	}
	l.revision = max(l.revision, peer)
	if peer <= known {
		return false, 0
	}
	if l.since.IsZero() {
		l.since = now
	}
	return true, now.Sub(l.since)
}

// toldOfStore tells whether enough peers look at the store for this gateway.
func (p *peers) toldOfStore(now time.Time) bool {
	if p.hub() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, at := range p.answering {
		if now.Sub(at) < answeringFor {
			count++
		}
	}
	return !p.away && count >= tellersLeast
}

// snapshot answers a peer's ask.
func (p *peers) snapshot(ask *wire.SnapshotAsk) *wire.Snapshot {
	s := &wire.Snapshot{}
	if raw := p.rawConfig.Load(); ask.Config && raw != nil {
		s.Config = *raw
	}
	if !ask.Roster {
		return s
	}
	events, revision, partial := p.upstreams.since(ask.RosterAfter)
	s.RosterRevision, s.Partial = revision, partial
	for _, e := range events {
		s.Roster = append(s.Roster, &wire.StoreItem{Key: e.Key, Value: e.Value, Revision: e.Revision, Removed: e.Deleted})
	}
	return s
}

// take takes a peer's answer.
func (p *peers) take(now time.Time, peer string, s *wire.Snapshot) {
	if len(s.Config) > 0 {
		p.takeConfig(s.Config, peer)
	}
	if s.RosterRevision <= p.roster.Revision() {
		return
	}
	if s.Partial {
		changes := kv.Changes{Revision: s.RosterRevision}
		for _, item := range s.Roster {
			changes.Events = append(changes.Events, kv.Event{
				Item: kv.Item{Key: item.Key, Value: item.Value, Revision: item.Revision}, Deleted: item.Removed,
			})
		}
		p.upstreams.Apply(now, changes)
		return
	}
	snapshot := kv.Snapshot{Revision: s.RosterRevision}
	for _, item := range s.Roster {
		snapshot.Items = append(snapshot.Items, kv.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	p.upstreams.Replace(now, snapshot)
}
