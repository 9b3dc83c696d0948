package mesh

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// gossipState is the state sent to peers at one moment. A list is sent to a peer only
// if its checksum differs from that of the list sent last. Of the crashes those are sent
// that were added since at the end of the list: their ages change all the time, and that
// one is forgotten need not be told.
type gossipState struct {
	now time.Time
	// number orders the states by when they began to be collected.
	number              uint64
	gossip              *wire.Gossip
	heard               heardPeers
	rateLimitsSum       uint64
	leavingSum          uint64
	downSum, clearedSum uint64
	// unavailable is nil unless this process is a hub and knows all gateways.
	unavailable     *unavailableList
	livenessTimeout time.Duration
}

func (m *Mesh) currentGossip() gossipState {
	now := m.now()
	state := gossipState{now: now, number: m.nextStateNumber(), gossip: &wire.Gossip{Run: m.run}, heard: m.heardPeers(now), livenessTimeout: m.livenessTimeout()}
	m.handler.FillGossip(now, state.gossip)
	state.rateLimitsSum = rateLimitsSum(state.gossip.RateLimits)
	state.leavingSum = leavingSum(state.gossip.LeavingUpstreams)
	state.downSum, state.clearedSum = downSum(state.gossip.DownProcesses), clearedSum(state.gossip.CrashClearances)
	state.unavailable = m.unavailableGateways(now, state.livenessTimeout)
	return state
}

func (m *Mesh) nextStateNumber() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastState++
	return m.lastState
}

// crashSum returns a checksum of the identity of a crash.
func crashSum(crash *wire.CrashSeen) uint64 {
	identity := binary.LittleEndian.AppendUint64(nil, crash.Fingerprint)
	identity = binary.LittleEndian.AppendUint64(identity, crash.Event)
	return xxhash.Sum64(append(identity, crash.Upstream...))
}

// newCrashes returns the crashes that were added after the one that was sent last to the
// peer. These are all if that one was forgotten, or on a new stream.
func (p *peer) newCrashes(crashes []*wire.CrashSeen) []*wire.CrashSeen {
	if p.gossipsSent == 0 {
		return crashes
	}
	for i := len(crashes) - 1; i >= 0; i-- {
		if crashSum(crashes[i]) == p.sentCrashSum {
			return crashes[i+1:]
		}
	}
	return crashes
}

// rateLimitsSum returns a checksum of the statements in any order, without their ages.
func rateLimitsSum(limits []*wire.RateLimit) uint64 {
	sum := uint64(0)
	for _, l := range limits {
		sum += xxhash.Sum64String(l.Upstream) ^ l.Event
	}
	return sum
}

// leavingSum returns a checksum of the upstreams in any order.
func leavingSum(leaving []*wire.LeavingUpstream) uint64 {
	sum := uint64(0)
	for _, u := range leaving {
		sum += xxhash.Sum64String(u.Upstream) ^ uint64(u.Born)
	}
	return sum
}

// downSum returns a checksum of the processes in any order, without their ages.
func downSum(down []*wire.DownProcess) uint64 {
	sum := uint64(0)
	for _, p := range down {
		sum += xxhash.Sum64String(p.Process)
	}
	return sum
}

// clearedSum returns a checksum of the fingerprints in any order, without their ages.
func clearedSum(cleared []*wire.CrashClearance) uint64 {
	sum := uint64(0)
	for _, c := range cleared {
		sum += c.Fingerprint
	}
	return sum
}

// gossipToAll queues a gossip message for every peer that has a sender.
func (m *Mesh) gossipToAll() {
	state := m.currentGossip()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rank = state.gossip.Rank
	for _, p := range m.peers {
		m.enqueueGossipLocked(p, state)
	}
}

// gossipToOne queues a gossip message for one peer without waiting for the interval,
// because one of the two does not know the other's process yet.
func (m *Mesh) gossipToOne(p *peer) {
	state := m.currentGossip()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.enqueueGossipLocked(p, state)
}

func (m *Mesh) enqueueGossipLocked(p *peer, state gossipState) {
	// A peer with a backlog gets no more gossip until it catches up, as queued
	// gossip would be stale when it is read.
	if p.cancel == nil || len(p.queue) >= sendQueueLength/2 {
		return
	}
	// What is queued last is what the peer goes by: the beginning of a stop must not be
	// followed by a state that was collected before it.
	if state.number < p.sentState {
		return
	}
	p.sentState = state.number
	gossip := &wire.Gossip{
		Run: state.gossip.Run, Rank: state.gossip.Rank, Ready: state.gossip.Ready, Leaving: state.gossip.Leaving,
		ConfigVersion: state.gossip.ConfigVersion, StoreEra: state.gossip.StoreEra, RosterRevision: state.gossip.RosterRevision,
		TakesFew: state.gossip.TakesFew, TakingPercent: state.gossip.TakingPercent, StoreAnswers: state.gossip.StoreAnswers, WritesFail: state.gossip.WritesFail, ChangeRevision: state.gossip.ChangeRevision,
		HearsYou: p.Node != "" && state.now.Sub(p.LastHeard) < state.livenessTimeout, WantsYou: p.selected, Gone: m.exiting,
	}
	if p.gossipsSent%identityEvery == 0 || !slices.Equal(state.gossip.Evacuated, p.sentEvacuated) {
		gossip.EvacuationRevision, gossip.Evacuated = state.gossip.EvacuationRevision, state.gossip.Evacuated
		p.sentEvacuated = state.gossip.Evacuated
	}
	if p.gossipsSent%identityEvery == 0 || state.rateLimitsSum != p.sentRateLimitsSum {
		gossip.RateLimits, p.sentRateLimitsSum = state.gossip.RateLimits, state.rateLimitsSum
	}
	if p.gossipsSent%identityEvery == 0 || state.leavingSum != p.sentLeavingSum {
		gossip.LeavingUpstreams, p.sentLeavingSum = state.gossip.LeavingUpstreams, state.leavingSum
	}
	if p.gossipsSent%identityEvery == 0 || state.downSum != p.sentDownSum {
		gossip.DownProcesses, p.sentDownSum = state.gossip.DownProcesses, state.downSum
	}
	if p.gossipsSent%identityEvery == 0 || state.clearedSum != p.sentClearedSum {
		gossip.CrashClearances, p.sentClearedSum = state.gossip.CrashClearances, state.clearedSum
	}
	if p.gossipsSent%identityEvery == 0 {
		gossip.Node, gossip.Address, gossip.Domain, gossip.ReadsChanges = m.node, m.address, state.gossip.Domain, true
		gossip.Known = state.heard.news(p)
	}
	if crashes := p.newCrashes(state.gossip.Crashes); len(crashes) > 0 {
		gossip.Crashes, p.sentCrashSum = crashes, crashSum(crashes[len(crashes)-1])
	}
	gossip.NeedsUnavailable = p.needsUnavailable
	if state.unavailable != nil && state.unavailable.sum != p.sentUnavailableSum {
		m.unavailable.tell(gossip, p, state.unavailable)
	}
	p.gossipsSent++
	enqueue(p, &wire.Envelope{Body: &wire.Envelope_Gossip{Gossip: gossip}})
}

// AnnounceLeaving tells all peers without delay that this process is shutting down.
func (m *Mesh) AnnounceLeaving() { m.gossipToAll() }

// AnnounceExit tells all peers that the process exits now, and waits for the message to
// be sent. Peers that had to detect its silence would send it slot requests, and wait
// for them, for another half second.
func (m *Mesh) AnnounceExit() {
	m.mu.Lock()
	m.exiting = true
	m.mu.Unlock()
	m.gossipToAll()
	time.Sleep(finalGossipDelay)
}
