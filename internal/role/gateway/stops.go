package gateway

import (
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
	// exits holds the expected exit of each gateway that stops.
	exits map[string]time.Time
}

func newPeerStops() *peerStops { return &peerStops{exits: make(map[string]time.Time)} }

// heard records whether a gateway stops. A stop lasts for the given time at most.
func (s *peerStops) heard(now time.Time, node string, stopping bool, lasts time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !stopping {
		delete(s.exits, node)
		return
	}
	if _, known := s.exits[node]; !known {
		s.exits[node] = now.Add(lasts)
	}
}

// down records that a gateway is gone. One that was stopping has exited.
func (s *peerStops) down(now time.Time, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if exit, known := s.exits[node]; known && now.Before(exit) {
		s.exits[node] = now
	}
}

// nextAccepting returns when the first of the gateways that stop is expected to accept
// callers again, given when this one exits.
func (s *peerStops) nextAccepting(now, exitAt time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := exitAt.Add(restartTime)
	for node, exit := range s.exits {
		back := exit.Add(restartTime)
		if back.Before(now) {
			// It was expected by now, so nothing is known of its return.
			delete(s.exits, node)
			continue
		}
		if back.Before(next) {
			next = back
		}
	}
	return next
}
