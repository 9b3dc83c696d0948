package gateway

import (
	"maps"
	"sync"
	"time"
)

// restartTime is how long after its exit a gateway is expected to accept callers again:
// the platform starts it after half a second, and the load balancer asks whether it is
// ready once a second.
const restartTime = 800 * time.Millisecond

// peerStops records when the other gateways that stop are expected to have exited. It is
// safe for concurrent use.
type peerStops struct {
	mu sync.Mutex
	// stops holds the gateways that stop.
	stops map[string]*peerStop
}

// peerStop is the stop of a gateway.
type peerStop struct {
	exitAt time.Time
	// goneAt is when the gateway was lost before its exit, and zero while it is heard.
	goneAt time.Time
}

// backAt returns when the gateway is expected to accept callers again.
func (p *peerStop) backAt() time.Time {
	if !p.goneAt.IsZero() {
		return p.goneAt.Add(restartTime)
	}
	return p.exitAt.Add(restartTime)
}

func newPeerStops() *peerStops { return &peerStops{stops: make(map[string]*peerStop)} }

// heard records whether a gateway stops. A stop lasts for the given time at most.
func (s *peerStops) heard(now time.Time, node string, stopping bool, lasts time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !stopping {
		delete(s.stops, node)
		return
	}
	s.forgetLocked(now)
	if stop := s.stops[node]; stop != nil {
		stop.goneAt = time.Time{}
		return
	}
	s.stops[node] = &peerStop{exitAt: now.Add(lasts)}
}

// forgetLocked forgets the gateways that should have come back by now: those that were
// replaced by others never do.
func (s *peerStops) forgetLocked(now time.Time) {
	maps.DeleteFunc(s.stops, func(_ string, stop *peerStop) bool { return stop.exitAt.Add(restartTime).Before(now) })
}

// down records that a gateway is gone. One that was stopping has exited, or is not heard.
func (s *peerStops) down(now time.Time, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stop := s.stops[node]; stop != nil && now.Before(stop.exitAt) {
		stop.goneAt = now
	}
}

// nextAccepting returns when the first of the gateways that stop is expected to accept
// callers again, given when this one exits.
func (s *peerStops) nextAccepting(now, exitAt time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := exitAt.Add(restartTime)
	for _, stop := range s.stops {
		// Nothing is known of the return of one that was expected by now.
		if back := stop.backAt(); !back.Before(now) && back.Before(next) {
			next = back
		}
	}
	return next
}
