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

// repeats reports whether the slot request has come before. Gateways send it again on
// another connection if no reply arrives, and either copy may come first. A repeated one is
// answered like the first; the slot that it got, or its turn, stays.
func (s *Scheduler) repeats(now time.Time, req *SlotRequest) bool {
	if req.Number == 0 {
		return false // of a gateway that does not number its slot requests
	}
	k := runKey(req.Owner, req.ID)
	if e := s.byRun[k]; e != nil && e.runs[k] != nil && e.runs[k].number == req.Number {
		s.decideAgain(req, Decision{Upstream: e.ID})
		return true
	}
	for _, queue := range [][]*SlotRequest{s.waiting, s.late} {
		for _, other := range queue {
			if other.ID == req.ID && other.Owner == req.Owner && other.Number == req.Number {
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
	for k, r := range s.refused {
		if now.Sub(r.at) > repeatTTL {
			delete(s.refused, k)
		}
	}
}
