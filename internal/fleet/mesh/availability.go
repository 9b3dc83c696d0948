package mesh

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// cutOffMemory is how long a process that hears nobody counts what the others said last.
// After that they have probably failed.
const cutOffMemory = 45 * time.Second

// Availability counts gateways, and those of them that accept callers.
type Availability struct{ Accepting, Total int }

func (a *Availability) add(accepts bool) {
	a.Total++
	if accepts {
		a.Accepting++
	}
}

// Availability counts the other gateways of the failure domain and those of all other
// domains. A gateway of unknown domain counts as one of the given domain. What a
// gateway says of itself decides; of those that this process does not hear, its hubs
// say which do not accept callers. A process that hears nobody is probably cut off
// itself, so what the others said last counts for a while.
func (m *Mesh) Availability(now time.Time, domain string) (within, outside Availability) {
	timeout := m.livenessTimeout()
	m.mu.Lock()
	defer m.mu.Unlock()
	lastHeard := m.lastHeardLocked()
	cutOff := !m.hearsAnyLocked(now, timeout) && now.Sub(lastHeard) < cutOffMemory
	reportsAt := now
	if cutOff {
		reportsAt = lastHeard
	}
	unavailable, reported := m.reportedUnavailableLocked(reportsAt, timeout)
	for address, p := range m.peers {
		accepts := p.acceptsCallers(now, timeout)
		switch {
		case cutOff && (p.exited || p.alive(reportsAt, timeout) || !reported):
			accepts = p.acceptedLast()
		case !p.alive(now, timeout) && reported:
			_, listed := unavailable[address]
			accepts = p.known && !listed
		}
		if d := p.effectiveDomain(); d == "" || d == domain {
			within.add(accepts)
		} else {
			outside.add(accepts)
		}
	}
	return within, outside
}

// reportedUnavailableLocked returns the gateways that any hub of this process reports
// as not accepting callers, and whether any has reported.
func (m *Mesh) reportedUnavailableLocked(now time.Time, timeout time.Duration) (addresses map[string]struct{}, reported bool) {
	addresses = make(map[string]struct{})
	for _, p := range m.peers {
		if p.unavailable == nil || !p.selected || !p.alive(now, timeout) {
			continue
		}
		reported = true
		for address := range p.unavailable {
			addresses[address] = struct{}{}
		}
	}
	return addresses, reported
}

// alive reports whether the peer was heard within the timeout and has not exited.
func (p *peer) alive(now time.Time, timeout time.Duration) bool {
	return p.Node != "" && !p.exited && now.Sub(p.LastHeard) < timeout
}

// hearsAnyLocked reports whether any peer is alive.
func (m *Mesh) hearsAnyLocked(now time.Time, timeout time.Duration) bool {
	for _, p := range m.peers {
		if p.alive(now, timeout) {
			return true
		}
	}
	return false
}

// lastHeardLocked returns when a peer was last heard.
func (m *Mesh) lastHeardLocked() time.Time {
	var last time.Time
	for _, p := range m.peers {
		if p.LastHeard.After(last) {
			last = p.LastHeard
		}
	}
	return last
}

// acceptedLast reports whether the peer accepted callers when it was last heard.
func (p *peer) acceptedLast() bool {
	return p.Node != "" && !p.exited && p.Ready && !p.Leaving
}

func (p *peer) acceptsCallers(now time.Time, timeout time.Duration) bool {
	return p.alive(now, timeout) && p.Ready && !p.Leaving
}

// effectiveDomain returns the failure domain that the peer sent, or the one in the store
// while it has sent none.
func (p *peer) effectiveDomain() string {
	if p.Domain != "" {
		return p.Domain
	}
	return p.advertisedDomain
}

// recordKnown records which gateways a peer hears. One that nobody has heard, such as a
// seed address of a VM that is gone, is on no hub's list either.
func (m *Mesh) recordKnown(heard []*wire.Heard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range heard {
		if p := m.peers[h.Address]; p != nil {
			p.known = true
		}
	}
}

// SetDomain sets the failure domain of the peer at the address, for as long as the peer
// has not sent its own.
func (m *Mesh) SetDomain(address, domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[address]; p != nil {
		p.advertisedDomain = domain
	}
}
