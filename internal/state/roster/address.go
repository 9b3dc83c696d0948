package roster

import "maps"

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
