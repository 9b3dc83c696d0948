package mesh

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// news is what peers are told at one moment. Lists are told to a peer when they
// differ from what it was told last, which the sums tell.
type news struct {
	at                   time.Time
	gossip               *wire.Gossip
	known                []*wire.Heard
	knownSum, crashesSum uint64
	// limit is how long a peer counts as heard.
	limit time.Duration
}

func (m *Mesh) news() news {
	now := m.now()
	n := news{at: now, gossip: &wire.Gossip{Run: m.run}, known: m.known(now), limit: m.aliveFor()}
	m.handler.Gossip(now, n.gossip)
	known, crashes := xxhash.New(), xxhash.New()
	for _, h := range n.known {
		_, _ = known.WriteString(h.Address) // a digest's Write never fails
		_, _ = known.Write([]byte{0})
	}
	for _, c := range n.gossip.Crashes {
		_, _ = crashes.Write(binary.LittleEndian.AppendUint64(nil, c.Fingerprint))
		_, _ = crashes.WriteString(c.Upstream)
	}
	n.knownSum, n.crashesSum = known.Sum64(), crashes.Sum64()
	return n
}

// known returns whom this process hears.
func (m *Mesh) known(now time.Time) []*wire.Heard {
	var known []*wire.Heard
	for _, p := range m.Alive(now) {
		known = append(known, &wire.Heard{Address: p.Address, Rank: p.Rank})
	}
	slices.SortFunc(known, func(x, y *wire.Heard) int { return cmp.Compare(x.Address, y.Address) })
	return known
}

// tell queues one gossip for every peer that is linked with.
func (m *Mesh) tell() {
	n := m.news()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rank = n.gossip.Rank
	for _, p := range m.peers {
		m.tellLocked(p, n)
	}
}

// tellOne queues a gossip for one peer out of turn, because one of the two does
// not know the other's process yet.
func (m *Mesh) tellOne(p *peer) {
	n := m.news()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tellLocked(p, n)
}

func (m *Mesh) tellLocked(p *peer, n news) {
	// A peer that does not take its messages gets no more gossip until it does;
	// a full queue of it would be old when it is read.
	if p.cancel == nil || len(p.queue) >= queueLength/2 {
		return
	}
	g := &wire.Gossip{
		Run: n.gossip.Run, Rank: n.gossip.Rank, Ready: n.gossip.Ready, Leaving: n.gossip.Leaving,
		ConfigVersion: n.gossip.ConfigVersion, RosterRevision: n.gossip.RosterRevision,
		StoreAnswers: n.gossip.StoreAnswers, ChangeRevision: n.gossip.ChangeRevision,
		HearsYou: p.Node != "" && n.at.Sub(p.Heard) < n.limit, WantsYou: p.wanted, Gone: m.gone,
	}
	if p.told%introduceEvery == 0 {
		g.Node, g.Address = m.node, m.address
		if p.told%knownEvery == 0 || n.knownSum != p.toldKnown {
			g.Known, p.toldKnown = n.known, n.knownSum
		}
	}
	if p.told == 0 || n.crashesSum != p.toldCrashes {
		g.Crashes, p.toldCrashes = n.gossip.Crashes, n.crashesSum
	}
	p.told++
	offer(p, &wire.Envelope{Body: &wire.Envelope_Gossip{Gossip: g}})
}

// Farewell tells all peers at once that this process was told to stop.
func (m *Mesh) Farewell() { m.tell() }

// Gone tells all peers that the process ends now, and gives the word time to
// leave. Peers that only noticed its silence would ask it for places, and wait,
// for half a second more.
func (m *Mesh) Gone() {
	m.mu.Lock()
	m.gone = true
	m.mu.Unlock()
	m.tell()
	time.Sleep(lastWord)
}
