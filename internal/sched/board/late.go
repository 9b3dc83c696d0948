package board

import (
	"slices"
	"time"
)

const (
	// maxLateWait is how long after its arrival a late request, one that can no longer be
	// served in time, may wait for a spare slot. Callers close a stream that has been
	// silent for two seconds.
	maxLateWait = 1200 * time.Millisecond
	// lateSlotReserve is the share of an engine's slots that is kept free of late
	// requests.
	lateSlotReserve = 0.17
	// maxLateShare limits the number of waiting late requests, as a share of all slots.
	// More could not be served within maxLateWait.
	maxLateShare = 0.25
)

// enqueueLate queues a late request for a spare slot. If the queue is full, it refuses the
// last one in the order, which may be another than the new one. While all slots go to
// requests that can be served in time, it refuses the request at once: holding it would
// only keep its caller from retrying at a better time.
func (s *Scheduler) enqueueLate(now time.Time, req *SlotRequest) {
	if s.saturatedFor(now) > saturationThreshold {
		s.refuse(now, req, "too late to be served in time, and timely requests are waiting")
		return
	}
	at, _ := slices.BinarySearchFunc(s.late, req, compareRequests)
	s.late = slices.Insert(s.late, at, req)
	if len(s.late) > s.maxLate(req.Service) {
		index := s.lastInTurn(now, s.late)
		last := s.late[index]
		s.late = slices.Delete(s.late, index, index+1)
		s.refuse(now, last, "too many late requests waiting")
		if last == req {
			return
		}
	}
	if s.tryGrant(now, req, true) {
		s.late = slices.DeleteFunc(s.late, func(other *SlotRequest) bool { return other == req })
		return
	}
	s.decide(req, Decision{Waiting: true})
}

func (s *Scheduler) maxLate(service string) int {
	return int(maxLateShare * float64(s.slots(service)))
}
