package board

import "time"

// repeatTTL is how long a refusal is kept in case its slot request comes again: longer than
// a retransmission on the connection on which it came or was answered.
const repeatTTL = 500 * time.Millisecond

// refusedRequest is a refusal of a slot request.
type refusedRequest struct {
	number   uint64
	decision Decision
	at       time.Time
}

// endedRequests holds, by run key, the highest number of the slot requests that have ended
// within repeatTTL. The ends come in two generations, so that old ones are dropped without a
// search even while nothing waits and the scheduler is not ticked.
type endedRequests struct {
	recent, older map[string]uint64
	startedAt     time.Time
}

func (e *endedRequests) add(now time.Time, k string, number uint64) {
	e.expire(now)
	if e.recent == nil {
		e.recent = make(map[string]uint64)
	}
	e.recent[k] = max(number, e.recent[k])
}

func (e *endedRequests) contains(now time.Time, k string, number uint64) bool {
	e.expire(now)
	return max(e.recent[k], e.older[k]) >= number
}

func (e *endedRequests) expire(now time.Time) {
	age := now.Sub(e.startedAt)
	if age < repeatTTL {
		return
	}
	e.recent, e.older, e.startedAt = nil, e.recent, now
	if age >= 2*repeatTTL {
		e.older = nil
	}
}

// repeats reports whether the slot request has come before. Gateways send it again on
// another connection if no reply arrives, and either copy may come first. A repeated one is
// answered like the first; the slot that it got, or its turn, stays.
func (s *Scheduler) repeats(now time.Time, req *SlotRequest) bool {
	if req.Number == 0 {
		return false // of a gateway that does not number its slot requests
	}
	k := runKey(req.Owner, req.ID)
	if s.ended.contains(now, k, req.Number) {
		return true // a copy that was overtaken by the withdrawal or release
	}
	if e := s.byRun[k]; e != nil && e.runs[k] != nil && e.runs[k].number == req.Number {
		s.decideAgain(req, Decision{Upstream: e.ID})
		return true
	}
	for _, queue := range [][]*SlotRequest{s.waiting, s.late} {
		for _, other := range queue {
			if other.ID != req.ID || other.Owner != req.Owner {
				continue
			}
			if other.Number > req.Number {
				return true // the gateway has given this one up
			}
			if other.Number == req.Number {
				other.Repeated = other.Repeated || req.Repeated
				s.decideAgain(req, Decision{Waiting: true})
				return true
			}
		}
	}
	if r, ok := s.refused[k]; ok && r.number == req.Number && now.Sub(r.at) <= repeatTTL {
		s.decideAgain(req, r.decision)
		return true
	}
	return false
}

// decideAgain sends a decision again if the gateway has asked for it again. The first copy
// of a slot request that comes late needs none.
func (s *Scheduler) decideAgain(req *SlotRequest, d Decision) {
	if req.Repeated {
		s.decide(req, d)
	}
}

func (s *Scheduler) forgetRefused(now time.Time) {
	if now.Sub(s.refusedExpiredAt) <= repeatTTL {
		return
	}
	s.refusedExpiredAt = now
	for k, r := range s.refused {
		if now.Sub(r.at) > repeatTTL {
			delete(s.refused, k)
		}
	}
}
