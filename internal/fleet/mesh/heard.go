package mesh

import (
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// sender is who opened a stream.
type sender struct{ node, address string }

func (s *sender) introduce(g *wire.Gossip) {
	if g.Node != "" {
		s.node, s.address = g.Node, g.Address
	}
}

func (m *Mesh) heard(now time.Time, from sender, g *wire.Gossip) {
	m.Know(now, from.address)
	for _, h := range g.Known {
		m.KnowRanked(now, h.Address, h.Rank)
	}
	if g.Gone {
		if m.tellGone(now, from, g) {
			m.logger.Info("peer gone", "peer", from.node, "run", g.Run)
		}
		return
	}
	p, returned, restarted := m.tellHeard(now, from, g)
	if returned || restarted {
		m.tellOne(p)
		m.logger.Info("peer heard", "peer", from.node, "run", g.Run, "rank", g.Rank, "restarted", restarted)
	}
}

// tellGone notes that a peer said that its process ends, and tells whether that
// is new.
func (m *Mesh) tellGone(now time.Time, from sender, g *wire.Gossip) bool {
	m.telling.Lock()
	defer m.telling.Unlock()
	limit := m.aliveFor()
	m.mu.Lock()
	p := m.peers[from.address]
	first := p != nil && !p.replaced(now, g.Run, limit) && p.ended(from, g.Run)
	m.mu.Unlock()
	if first {
		m.handler.Down(now, from.node)
	}
	return first
}

// tellHeard notes what a peer is, and tells whether it is back, by the same or
// another process.
func (m *Mesh) tellHeard(now time.Time, from sender, g *wire.Gossip) (p *peer, returned, restarted bool) {
	m.telling.Lock()
	defer m.telling.Unlock()
	limit := m.aliveFor()
	m.mu.Lock()
	p = m.peers[from.address]
	if p == nil || p.replaced(now, g.Run, limit) {
		m.mu.Unlock()
		return nil, false, false
	}
	restarted = p.Run != 0 && p.Run != g.Run
	returned = p.down || p.Run == 0
	p.Peer = Peer{
		Node: from.node, Address: from.address, Run: g.Run, Rank: g.Rank,
		Ready: g.Ready, Leaving: g.Leaving, Heard: now, HearsUs: g.HearsYou,
	}
	p.down, p.gone, p.wantsUs = false, false, g.WantsYou
	if m.group != nil && !m.closed {
		m.linkLocked(now, p, limit)
	}
	m.mu.Unlock()
	if restarted {
		m.handler.Down(now, from.node)
	}
	m.handler.Heard(now, from.node, g)
	return p, returned, restarted
}

// replaced tells whether a later process than that of the run lives: what the
// former one said may arrive late, on a link of its own. A clock that was put
// back makes the present process look like the former one, until that is silent.
func (p *peer) replaced(now time.Time, run uint64, limit time.Duration) bool {
	return run < p.Run && !p.down && now.Sub(p.Heard) < limit
}

// ended notes that the peer said that its process ends. It tells whether that is
// new, since the last word may come several times.
func (p *peer) ended(from sender, run uint64) bool {
	first := !p.gone || p.Run != run
	p.Peer = Peer{Node: from.node, Address: from.address, Run: run}
	p.down, p.gone, p.wantsUs = true, true, false
	return first
}

// check notices peers that went silent: they are down, their links are made
// anew, and in the end they are forgotten.
func (m *Mesh) check(now time.Time) {
	for _, node := range m.tellSilent(now) {
		m.logger.Warn("peer silent", "peer", node)
	}
}

// tellSilent tells of the peers that have become silent, and returns those that
// should not have. The log is told later, since a line may take a while.
func (m *Mesh) tellSilent(now time.Time) []string {
	var down []string
	parted := make(map[string]bool)
	limit := m.aliveFor()
	m.telling.Lock()
	defer m.telling.Unlock()
	m.mu.Lock()
	for address, p := range m.peers {
		silent := now.Sub(p.Heard)
		if p.Node != "" && !p.down && silent > limit {
			p.down = true
			down = append(down, p.Node)
			if !p.wanted && !p.wantsUs {
				parted[p.Node] = true
			}
		}
		deaf := p.Node != "" && !p.HearsUs
		if p.cancel != nil && (silent > relinkAfter || deaf) && now.Sub(p.relink) > relinkAfter && now.Sub(p.since) > relinkAfter/2 {
			p.relink = now
			drain(p.queue)
			offer(p, nil)
		}
		if silent > forgetAfter && now.Sub(p.since) > forgetAfter {
			if p.cancel != nil {
				p.cancel()
			}
			delete(m.peers, address)
		}
	}
	m.mu.Unlock()
	for _, node := range down {
		m.handler.Down(now, node)
	}
	return slices.DeleteFunc(down, func(node string) bool { return parted[node] })
}
