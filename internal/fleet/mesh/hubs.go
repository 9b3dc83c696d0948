package mesh

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// hubCount is the number of peers that a process selects as its hubs: the
	// reachable ones of lowest rank. All processes select nearly the same hubs, so
	// gossip sent to one of them reaches the whole fleet. If a third of the fleet
	// fails, all hubs are lost in one case in 5,000.
	hubCount = 8
	// maxUnrankedHubs is the number of selected peers of unknown rank: as many as
	// there are addresses in the settings, until these advertise the others.
	maxUnrankedHubs = 3
	// hubTrialPeriod is how long a newly selected peer that is not yet heard counts
	// as a hub: the time for one connection attempt and the first gossip.
	hubTrialPeriod = dialTimeout + 50*time.Millisecond
	unknownRank    = math.MaxInt64
)

// compareRank orders peers by effective rank, then by address.
func (p *peer) compareRank(other *peer) int {
	return cmp.Or(cmp.Compare(p.effectiveRank(), other.effectiveRank()), cmp.Compare(p.address, other.address))
}

// effectiveRank returns the rank that the peer sent, or the one advertised by others
// while the peer does not know its own rank.
func (p *peer) effectiveRank() int64 {
	if p.Node != "" && p.Rank != unknownRank {
		return p.Rank
	}
	return p.advertisedRank
}

// usable reports whether gossip flows in both directions and the peer is ready and
// not about to stop.
func (p *peer) usable(now time.Time, timeout time.Duration) bool {
	return p.Node != "" && now.Sub(p.LastHeard) < timeout && p.HearsUs && p.Ready && !p.Leaving && !p.exited
}

// exchangesGossip reports whether gossip is sent to the peer.
func (p *peer) exchangesGossip(now time.Time, timeout time.Duration) bool {
	return p.selected || (p.selectedUs && now.Sub(p.LastHeard) < timeout)
}

// selectHubs selects the hubs and starts or stops senders accordingly.
func (m *Mesh) selectHubs() {
	state := m.currentGossip()
	now, timeout := state.now, state.livenessTimeout
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group == nil || m.closed {
		return
	}
	m.selectHubsLocked(now, timeout)
	for _, p := range m.peers {
		if p.cancel != nil && !p.exchangesGossip(now, timeout) {
			m.enqueueGossipLocked(p, state)
		}
		m.updateSenderLocked(now, p, timeout)
	}
}

// selectHubsLocked selects peers in order of rank until enough of them are usable or
// in their trial period. This process is a hub if it ranks among the first.
func (m *Mesh) selectHubsLocked(now time.Time, timeout time.Duration) {
	peers := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, (*peer).compareRank)
	usableOrTrial, unranked, ahead := 0, 0, 0
	m.unusableHubs = 0
	for _, p := range peers {
		selected := usableOrTrial < hubCount
		if p.effectiveRank() == unknownRank {
			unranked++
			selected = selected && unranked <= maxUnrankedHubs
		}
		if selected && !p.selected {
			p.selectedSince = now
		}
		p.selected = selected
		usable := p.usable(now, timeout)
		if selected && !usable {
			m.unusableHubs++
		}
		if usable || now.Sub(p.selectedSince) < hubTrialPeriod {
			usableOrTrial++
		}
		if usable && m.ranksAfter(p) {
			ahead++
		}
	}
	if hub := ahead < hubCount; hub != m.hub {
		m.hub, m.hubSince = hub, now
	}
}

// ranksAfter reports whether this process ranks after the peer.
func (m *Mesh) ranksAfter(p *peer) bool {
	return cmp.Or(cmp.Compare(p.effectiveRank(), m.rank), cmp.Compare(p.address, m.address)) < 0
}

// updateSenderLocked starts or stops the sender of a peer as needed.
func (m *Mesh) updateSenderLocked(now time.Time, p *peer, timeout time.Duration) {
	needed := p.exchangesGossip(now, timeout)
	switch {
	case needed && p.cancel == nil:
		m.startSenderLocked(p)
	case !needed && p.cancel != nil:
		// The last gossip message tells the peer that it is no longer a hub of
		// this process; it is given time to be sent.
		time.AfterFunc(finalGossipDelay, p.cancel)
		p.cancel = nil
	}
}

// LowestRanked returns the usable peers of lowest rank, which are the hubs of the others beside
// this process.
func (m *Mesh) LowestRanked(now time.Time) []Peer {
	timeout := m.livenessTimeout()
	m.mu.Lock()
	defer m.mu.Unlock()
	var usable []*peer
	for _, p := range m.peers {
		if p.usable(now, timeout) {
			usable = append(usable, p)
		}
	}
	slices.SortFunc(usable, (*peer).compareRank)
	lowest := make([]Peer, 0, hubCount-1)
	for _, p := range usable[:min(hubCount-1, len(usable))] {
		lowest = append(lowest, p.Peer)
	}
	return lowest
}

// HubFor returns for how long this process has been a hub, 0 if it is none.
func (m *Mesh) HubFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hub {
		return 0
	}
	return now.Sub(m.hubSince)
}

// IsHub reports whether this process is a hub: all others exchange gossip with it, so
// it hears every process that is alive.
func (m *Mesh) IsHub() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hub
}

// Reach returns the number of processes that this one hears, itself included, and the
// number that it should hear. A process that is not a hub, has just become one or has
// just started hears few of those that are alive; it is assumed to hear all of them.
func (m *Mesh) Reach(now time.Time) (heard, expected int) {
	timeout := m.livenessTimeout()
	m.mu.Lock()
	settled := m.hub && now.Sub(m.hubSince) > timeout
	m.mu.Unlock()
	if !settled {
		return 1, 1
	}
	return len(m.Alive(now)) + 1, m.ActivePeerCount() + 1
}

// GossipNow sends the next gossip without waiting for the interval, after a change that
// peers should learn of soon.
func (m *Mesh) GossipNow() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// AddRankedPeer adds the process at the address as a peer and sets its advertised rank.
func (m *Mesh) AddRankedPeer(now time.Time, address string, rank int64) {
	m.AddPeer(now, address)
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[address]; p != nil && rank > 0 {
		p.advertisedRank = rank
	}
}
