package mesh

import (
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// sender identifies the peer that opened a stream.
type sender struct{ node, address, domain string }

func (s *sender) update(g *wire.Gossip) {
	if g.Node != "" {
		s.node, s.address, s.domain = g.Node, g.Address, g.Domain
	}
}

func (m *Mesh) handleGossip(now time.Time, from sender, g *wire.Gossip) {
	m.AddPeer(now, from.address)
	for _, heard := range g.Known {
		m.AddRankedPeer(now, heard.Address, heard.Rank)
	}
	m.recordKnown(g.Known)
	if g.Gone {
		if m.recordExit(now, from, g) {
			m.logger.Info("peer exited", "peer", from.node, "run", g.Run)
		}
		return
	}
	p, recovered, restarted := m.recordGossip(now, from, g)
	if recovered || restarted {
		m.gossipToOne(p)
		m.logger.Info("peer alive", "peer", from.node, "run", g.Run, "rank", g.Rank, "restarted", restarted)
	}
}

// recordExit records that a peer announced its exit, and reports whether this is the
// first announcement.
func (m *Mesh) recordExit(now time.Time, from sender, g *wire.Gossip) bool {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	timeout := m.livenessTimeout()
	m.mu.Lock()
	p := m.peers[from.address]
	first := p != nil && !p.isStaleRun(now, g.Run, timeout) && p.markExited(from, g.Run)
	m.mu.Unlock()
	if first {
		m.peerDown(now, from.node)
	}
	return first
}

// recordGossip updates the state of a peer. It reports whether the peer is new or was
// down, and whether its process was restarted.
func (m *Mesh) recordGossip(now time.Time, from sender, g *wire.Gossip) (p *peer, recovered, restarted bool) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	timeout := m.livenessTimeout()
	m.mu.Lock()
	p = m.peers[from.address]
	if p == nil || p.isStaleRun(now, g.Run, timeout) {
		m.mu.Unlock()
		return nil, false, false
	}
	restarted = p.Run != 0 && p.Run != g.Run
	recovered = p.down || p.Run == 0
	rankChanged := p.Rank != g.Rank
	p.Peer = Peer{
		Node: from.node, Address: from.address, Domain: from.domain, Run: g.Run, Rank: g.Rank,
		Ready: g.Ready, Leaving: g.Leaving, TakesFew: g.TakesFew, TakingPercent: g.TakingPercent, LastHeard: now, HearsUs: g.HearsYou,
	}
	p.down, p.exited, p.selectedUs = false, false, g.WantsYou
	m.byNode[p.Node] = p
	if recovered || restarted || rankChanged {
		m.heardVersion++
		p.heardVersion = m.heardVersion
	}
	p.recordUnavailable(g, restarted)
	if m.group != nil && !m.closed {
		m.updateSenderLocked(now, p, timeout)
	}
	m.mu.Unlock()
	if restarted {
		m.peerDown(now, from.node)
	}
	m.handler.HandleGossip(now, from.node, g)
	return p, recovered, restarted
}

// isStaleRun reports whether a process with a later run is alive: messages of the
// previous process may arrive late, on another connection. If the peer's clock was set
// back, its current process looks stale until the previous one times out.
func (p *peer) isStaleRun(now time.Time, run uint64, timeout time.Duration) bool {
	return run < p.Run && !p.down && now.Sub(p.LastHeard) < timeout
}

// markExited records that the peer announced its exit. It reports whether this is the
// first announcement, since it may arrive several times.
func (p *peer) markExited(from sender, run uint64) bool {
	first := !p.exited || p.Run != run
	p.Peer = Peer{Node: from.node, Address: from.address, Domain: from.domain, Run: run}
	p.down, p.exited, p.selectedUs = true, true, false
	return first
}

// checkSilent handles peers that have become silent: they are marked down, their
// connections are replaced, and finally they are removed.
func (m *Mesh) checkSilent(now time.Time) {
	for _, node := range m.recordSilent(now) {
		m.logger.Warn("peer silent", "peer", node)
	}
}

// recordSilent notifies the handler of peers that have become silent. It returns those
// that still exchanged gossip with this process; the caller logs them after the locks
// are released, since logging may block.
func (m *Mesh) recordSilent(now time.Time) []string {
	var down []string
	disconnected := make(map[string]bool)
	timeout := m.livenessTimeout()
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.mu.Lock()
	for address, p := range m.peers {
		silence := now.Sub(p.LastHeard)
		if p.Node != "" && !p.down && silence > timeout {
			p.down = true
			down = append(down, p.Node)
			if !p.selected && !p.selectedUs {
				disconnected[p.Node] = true
			}
		}
		notHeardByPeer := p.Node != "" && !p.HearsUs
		if p.cancel != nil && (silence > reconnectAfter || notHeardByPeer) && now.Sub(p.lastReconnect) > reconnectAfter && now.Sub(p.lastAdvertised) > reconnectAfter/2 {
			p.lastReconnect = now
			drain(p.queue)
			enqueue(p, nil)
		}
		if silence > removeAfter && now.Sub(p.lastAdvertised) > removeAfter {
			if p.cancel != nil {
				p.cancel()
			}
			delete(m.peers, address)
			if m.byNode[p.Node] == p {
				delete(m.byNode, p.Node)
			}
		}
	}
	m.mu.Unlock()
	for _, node := range down {
		m.peerDown(now, node)
	}
	return slices.DeleteFunc(down, func(node string) bool { return disconnected[node] })
}
