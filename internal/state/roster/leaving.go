package roster

import "time"

// Process identifies one process of an upstream.
type Process struct {
	ID          string
	StartedAtMs int64
}

// leavingMark records that an upstream's process has said that it leaves.
type leavingMark struct {
	startedAtMs int64
	// at is when it was last known to be registered, or said so.
	at time.Time
}

// SetLeaving records that an upstream's process has said that it leaves: it gets no new
// requests, whatever its registration states. This holds until another process registers
// under the ID, because a process that leaves does not come back. It reports whether that
// changes which upstreams may get requests.
func (r *Roster) SetLeaving(now time.Time, p Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if mark, ok := r.leaving[p.ID]; ok && mark.startedAtMs >= p.StartedAtMs {
		return false
	}
	before := r.byID[p.ID]
	r.leaving[p.ID] = leavingMark{startedAtMs: p.StartedAtMs, at: now}
	r.rebuildIndexes()
	return before.AcceptsRequests() != r.byID[p.ID].AcceptsRequests()
}

// IsLeaving reports whether the upstream's process has said that it leaves. The roster may
// not know yet that a later process has the ID.
func (r *Roster) IsLeaving(p Process) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.leavingLocked(p)
}

func (r *Roster) leavingLocked(p Process) bool {
	mark, ok := r.leaving[p.ID]
	return ok && mark.startedAtMs >= p.StartedAtMs
}

// Leaving returns the registered upstreams that have said that they leave.
func (r *Roster) Leaving() []Process {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var leaving []Process
	for id, mark := range r.leaving {
		if u, ok := r.byID[id]; ok && u.Leaving {
			leaving = append(leaving, Process{ID: id, StartedAtMs: mark.startedAtMs})
		}
	}
	return leaving
}

// forgetLeaving drops the marks of processes that are gone. A registration that lapsed
// during a store outage may come back.
func (r *Roster) forgetLeaving(now time.Time) {
	for id, mark := range r.leaving {
		u, registered := r.byID[id]
		switch {
		case registered && u.Leaving:
			mark.at = now
			r.leaving[id] = mark
		case registered || now.Sub(mark.at) > rememberDeparted:
			delete(r.leaving, id)
		}
	}
}
