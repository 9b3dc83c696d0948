package crash

import (
	"slices"
	"time"
)

// Refusal is the refusal of requests that crash upstreams.
type Refusal struct {
	// Fingerprint is that of the requests or, if IsPart is set, of a part of their prompts.
	Fingerprint uint64
	IsPart      bool
	// With are the parts that requests must have to be refused, the part among them.
	With  []uint64
	Until time.Time
}

// OnRefusal sets the function that is called when a refusal begins. It must be called before
// any other method.
func (t *Tracker) OnRefusal(f func(Refusal)) { t.onRefusal = f }

// announceLocked has the function for refusals called.
func (t *Tracker) announceLocked(r Refusal) {
	if t.onRefusal != nil {
		t.pending = append(t.pending, func() { t.onRefusal(r) })
	}
}

// Refusals returns the refusals that are in force.
func (t *Tracker) Refusals(now time.Time) []Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	var refusals []Refusal
	for fingerprint, until := range t.refusedUntil {
		if t.blockedLocked(now, fingerprint) {
			refusals = append(refusals, Refusal{Fingerprint: fingerprint, Until: until})
		}
	}
	for part, block := range t.partBlocks {
		if block.inForce(now) {
			refusals = append(refusals, Refusal{Fingerprint: part, IsPart: true, With: slices.Clone(block.with), Until: block.until})
		}
	}
	return refusals
}

// Restore adds a refusal that was in force before this process started, unless one is.
func (t *Tracker) Restore(now time.Time, r Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := r.Until
	if limit := now.Add(maxBlockTime); until.After(limit) {
		until = limit
	}
	if !now.Before(until) {
		return
	}
	if !r.IsPart {
		if !t.blockedLocked(now, r.Fingerprint) && len(t.restoredUntil) < maxOnProbation {
			t.restoredUntil[r.Fingerprint], t.refusedUntil[r.Fingerprint] = until, until
		}
		return
	}
	known := t.partBlocks[r.Fingerprint]
	if (known != nil && known.inForce(now)) || len(t.partBlocks) >= maxBlockedParts || !slices.Contains(r.With, r.Fingerprint) {
		return
	}
	t.partBlocks[r.Fingerprint] = &partBlock{until: until, length: retention, with: slices.Clone(r.With), restored: true}
}

// Lift ends a refusal that Restore added and that no crash has confirmed since.
func (t *Tracker) Lift(fingerprint uint64, isPart bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isPart {
		delete(t.restoredUntil, fingerprint)
		return
	}
	if block := t.partBlocks[fingerprint]; block != nil && block.restored {
		delete(t.partBlocks, fingerprint)
	}
}
