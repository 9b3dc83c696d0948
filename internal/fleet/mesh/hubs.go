package mesh

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// hubs is how many peers a process chooses to exchange gossip with: of those
	// that it may hear, the ones of lowest rank. All processes choose nearly the
	// same ones, so what one of these is told reaches all. With a third of the
	// fleet gone, one time in 5,000 none of them is left.
	hubs = 8
	// unrankedMost is how many peers of unknown rank are wanted: as many as there
	// are addresses in the settings, until they tell of the others.
	unrankedMost = 3
	// trialFor is how long a peer that is not heard counts as one of them: one
	// attempt to link with it, and its first word.
	trialFor = dialWithin + 50*time.Millisecond
	// unranked is the rank of a peer that nobody has told.
	unranked = math.MaxInt64
)

// order compares by rank. A process that does not know its own rank yet goes by
// what others told of it.
func (p *peer) order(other *peer) int {
	return cmp.Or(cmp.Compare(p.knownRank(), other.knownRank()), cmp.Compare(p.address, other.address))
}

func (p *peer) knownRank() int64 {
	if p.Node != "" && p.Rank != unranked {
		return p.Rank
	}
	return p.listed
}

// usable tells whether the peer hears this process, is heard, and goes on.
func (p *peer) usable(now time.Time, limit time.Duration) bool {
	return p.Node != "" && now.Sub(p.Heard) < limit && p.HearsUs && p.Ready && !p.Leaving && !p.gone
}

// needed tells whether the peer is to be told gossip.
func (p *peer) needed(now time.Time, limit time.Duration) bool {
	return p.wanted || (p.wantsUs && now.Sub(p.Heard) < limit)
}

// choose decides with which peers the process exchanges gossip.
func (m *Mesh) choose() {
	n := m.news()
	now, limit := n.at, n.limit
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group == nil || m.closed {
		return
	}
	m.wantLocked(now, limit)
	for _, p := range m.peers {
		if p.cancel != nil && !p.needed(now, limit) {
			m.tellLocked(p, n)
		}
		m.linkLocked(now, p, limit)
	}
}

// wantLocked goes through the peers by their rank until enough of them are heard.
func (m *Mesh) wantLocked(now time.Time, limit time.Duration) {
	peers := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, (*peer).order)
	counted, unknown, before := 0, 0, 0
	m.unheard = 0
	for _, p := range peers {
		wanted := counted < hubs
		if p.knownRank() == unranked {
			unknown++
			wanted = wanted && unknown <= unrankedMost
		}
		if wanted && !p.wanted {
			p.wantedSince = now
		}
		p.wanted = wanted
		usable := p.usable(now, limit)
		if wanted && !usable {
			m.unheard++
		}
		if usable || now.Sub(p.wantedSince) < trialFor {
			counted++
		}
		if usable && m.ranksBehind(p) {
			before++
		}
	}
	if hub := before < hubs; hub != m.hub {
		m.hub, m.hubSince = hub, now
	}
}

// ranksBehind tells whether this process comes after the peer in rank.
func (m *Mesh) ranksBehind(p *peer) bool {
	return cmp.Or(cmp.Compare(p.knownRank(), m.rank), cmp.Compare(p.address, m.address)) < 0
}

// linkLocked begins or ends the sending to a peer.
func (m *Mesh) linkLocked(now time.Time, p *peer, limit time.Duration) {
	needed := p.needed(now, limit)
	switch {
	case needed && p.cancel == nil:
		m.startLocked(p)
	case !needed && p.cancel != nil:
		// The last gossip told the peer that it is not wanted.
		time.AfterFunc(lastWord, p.cancel)
		p.cancel = nil
	}
}

// Hub tells whether the other processes exchange gossip with this one, so that it
// hears all that live.
func (m *Mesh) Hub() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hub
}

// Reach returns how many processes this one hears, itself included, and how many
// it should. One that is no hub, has just become one or has just started hears few
// of those that live; it is taken to hear all.
func (m *Mesh) Reach(now time.Time) (heard, expected int) {
	limit := m.aliveFor()
	m.mu.Lock()
	settled := m.hub && now.Sub(m.hubSince) > limit
	m.mu.Unlock()
	if !settled {
		return 1, 1
	}
	return len(m.Alive(now)) + 1, m.Expected() + 1
}

// Hurry makes the next gossip go out at once, because something changed that all
// should know.
func (m *Mesh) Hurry() {
	select {
	case m.hurry <- struct{}{}:
	default:
	}
}

// KnowRanked makes a process known of, and its rank.
func (m *Mesh) KnowRanked(now time.Time, address string, rank int64) {
	m.Know(now, address)
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[address]; p != nil && rank > 0 {
		p.listed = rank
	}
}
