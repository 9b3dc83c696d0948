package board

import (
	"slices"
	"time"
)

// maxScanned is the maximum number of waiting requests that are considered for one engine.
const maxScanned = 256

// orderedTurns is the number of slots of which one goes to the first request that waits,
// wherever it comes from. The others go to requests of the engine's own failure domain. A
// domain with few engines for its requests thus still gets slots in the others.
const orderedTurns = 4

// fill assigns waiting requests to an engine with free slots: requests that can be served
// in time first, and late ones only if none of those is left. An engine that is no longer
// listed gets none.
func (s *Scheduler) fill(now time.Time, e *engine) {
	if s.engines[e.ID] != e {
		return
	}
	baseline := s.baselineFailureRate(now, e.Service)
	s.waiting = s.fillFrom(now, e, s.waiting, false, baseline)
	if len(s.waiting) == 0 {
		s.late = s.fillFrom(now, e, s.late, true, baseline)
	}
}

func (s *Scheduler) fillFrom(now time.Time, e *engine, queue []*SlotRequest, late bool, baseline float64) []*SlotRequest {
	for e.running(now) < e.Slots {
		index := s.nextFor(now, e, queue, late, baseline, anyRequest)
		if index < 0 {
			return queue
		}
		if !late {
			index = s.preferLowerTier(now, e, queue, index, baseline)
			index = s.leastServed(now, e, queue, index, false, baseline)
			index = s.preferDomain(now, e, queue, index, baseline)
			s.recordQueueGrant(now, queue[index])
		} else {
			index = s.leastServed(now, e, queue, index, true, baseline)
		}
		s.grant(now, e, queue[index])
		queue = slices.Delete(queue, index, index+1)
	}
	return queue
}

func anyRequest(*SlotRequest) bool { return true }

// nextFor returns the index of the first eligible request in the queue for which the
// engine is suitable, or -1.
func (s *Scheduler) nextFor(now time.Time, e *engine, queue []*SlotRequest, late bool, baseline float64, eligible func(*SlotRequest) bool) int {
	for i, req := range queue[:min(len(queue), maxScanned)] {
		if req.Service != e.Service || !eligible(req) {
			continue
		}
		if _, ok := s.cost(now, e, req, late, baseline); ok {
			return i
		}
	}
	return -1
}

// preferLowerTier returns the index of a request of the next lower tier that goes before
// the one at the index, because that tier gets less than its share. It returns the given
// index if there is none.
func (s *Scheduler) preferLowerTier(now time.Time, e *engine, queue []*SlotRequest, index int, baseline float64) int {
	if queue[index].Resent {
		return index
	}
	lower, below := s.tierBelowShare(now, e.Service, queue[index].Tier)
	if !below {
		return index
	}
	preferred := s.nextFor(now, e, queue, false, baseline, func(req *SlotRequest) bool {
		return req.Tier == lower && !req.refusedBefore
	})
	if preferred < 0 {
		return index
	}
	return preferred
}

// preferDomain returns the index of a waiting request from the engine's own failure domain
// that goes before the one at the index: one of the same rank and workspace. It returns the
// given index if there is none. Traffic between failure domains is expensive and takes longer.
func (s *Scheduler) preferDomain(now time.Time, e *engine, queue []*SlotRequest, index int, baseline float64) int {
	first := queue[index]
	s.turns++
	if first.Resent || first.Domain == e.Domain || s.turns%orderedTurns == 0 {
		return index
	}
	local := s.nextFor(now, e, queue, false, baseline, func(req *SlotRequest) bool {
		return req.Domain == e.Domain && !req.Resent && rankOf(req) == rankOf(first) && req.account == first.account
	})
	if local < 0 {
		return index
	}
	return local
}
