package roster

import (
	"maps"
	"slices"
)

// claim is the registration of a process that ends or has ended at an address.
type claim struct {
	process         Process
	createdRevision int64
}

// precedes reports whether the claim shows that an upstream at its address is not served
// there: that was registered after the claim's process, but did not start after it. A process
// that has the address after the other one started later. Where both are in doubt, the upstream
// is used: one that isn't there answers so without running the request.
func (c claim) precedes(u Upstream) bool {
	return c.process.ID != u.ID && c.process.StartedAtMs > 0 && u.StartedAtMs <= c.process.StartedAtMs &&
		c.createdRevision > 0 && u.CreatedRevision > c.createdRevision
}

// claims returns, by address, the registrations of processes that end or have ended there.
func (r *Roster) claims() map[string][]claim {
	claims := make(map[string][]claim)
	add := func(u Upstream) {
		claims[u.Address] = append(claims[u.Address], claim{process: u.process(), createdRevision: u.CreatedRevision})
	}
	for _, rec := range r.records {
		if rec.upstream.State == Draining || r.leavingLocked(rec.upstream.process()) {
			add(rec.upstream)
		}
	}
	for _, d := range r.departed {
		add(d.upstream)
	}
	return claims
}

// addressTaken reports whether another process has the upstream's address.
func (r *Roster) addressTaken(claims map[string][]claim, u Upstream) bool {
	if r.reserved[u.Address] {
		return true
	}
	for _, c := range claims[u.Address] {
		if c.precedes(u) {
			return true
		}
	}
	return false
}

// SetReserved sets the addresses that no upstream has, because the system's own processes
// listen there. It reports whether they changed.
func (r *Roster) SetReserved(addresses map[string]bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(r.reserved, addresses) {
		return false
	}
	r.reserved = maps.Clone(addresses)
	r.rebuildIndexes()
	return true
}

// isClaimed reports whether a registered upstream is kept out by the process that has left.
func (r *Roster) isClaimed(d departure) bool {
	left := claim{process: d.upstream.process(), createdRevision: d.upstream.CreatedRevision}
	return slices.ContainsFunc(r.taken, func(u Upstream) bool { return u.Address == d.upstream.Address && left.precedes(u) })
}
