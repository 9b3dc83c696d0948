package board

import "time"

// unheldGracePeriod is the age from which a run that its gateway does not hold is removed.
// The grant of a younger one may still be in transit.
const unheldGracePeriod = time.Second

// HeldSlot is a slot that a gateway holds.
type HeldSlot struct {
	ID, Upstream               string
	Number                     uint64
	PromptTokens, OutputTokens int
	Started                    bool
	Workspace                  string
	Tier                       int
}

// Reconcile compares the runs of a gateway with all slots that it holds. A scheduler
// change is not coordinated, so a slot may be released to another scheduler than the one
// that granted it. Here the slot would stay in use permanently, and the engine would look
// stalled because no one reports the first event. Runs that the gateway does not hold are
// removed, and slots granted by another scheduler are added.
func (s *Scheduler) Reconcile(now time.Time, owner string, held []HeldSlot) {
	holds := make(map[string]bool, len(held))
	for _, h := range held {
		holds[runKey(owner, h.ID)] = true
		s.addHeld(now, owner, h)
	}
	for k := range s.byOwner[owner] {
		e := s.byRun[k]
		r := e.runs[k]
		if r == nil {
			s.dropRun(owner, k)
			continue
		}
		if holds[k] || now.Sub(r.grantedAt) < unheldGracePeriod {
			continue
		}
		e.remove(now, k, r)
		s.dropRun(owner, k)
		s.fill(now, e)
	}
}

func (s *Scheduler) addHeld(now time.Time, owner string, h HeldSlot) {
	k := runKey(owner, h.ID)
	e := s.engines[h.Upstream]
	if other := s.byRun[k]; other != nil {
		r := other.runs[k]
		// The report is older than the gateway's latest slot request.
		if r == nil || r.number >= h.Number {
			return
		}
		// The gateway abandoned the slot request for which this scheduler granted the
		// other slot.
		other.remove(now, k, r)
		s.dropRun(owner, k)
		s.fill(now, other)
	}
	if e == nil {
		return
	}
	r := &run{owner: owner, id: h.ID, number: h.Number, prompt: h.PromptTokens, grantedAt: now, adopted: true}
	r.account = s.account(now, e.Service, h.Tier, h.Workspace)
	r.account.Take(now)
	s.addRun(owner, k, e)
	if h.Started {
		e.adopt(now, r)
		return
	}
	e.assign(now, r)
}
