package entry

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

const (
	// movesMost is how often a waiting request may be handed back to be placed
	// anew, before it waits to its end where it is.
	movesMost = 3
	// patienceFactor and patienceSlack make the wait that a request bears out
	// of the wait that was predicted.
	patienceFactor = 1.5
	patienceSlack  = 150 * time.Millisecond
)

// search is one request's way through the candidates.
type search struct {
	call *call
	// declined are upstreams that will not run the request.
	declined map[string]bool
	// left are upstreams where it waited longer than was predicted.
	left  map[string]bool
	moves int
	// wide tells that the first set was not enough.
	wide bool
	// bound tells that it may not be handed back: each move of a keyed action
	// costs a write.
	bound bool
}

func newSearch(c *call) *search {
	return &search{call: c, declined: make(map[string]bool), left: make(map[string]bool), bound: c.q.Keyed()}
}

// next plans anew, since each decline brings news, and returns the best
// upstream that may still run the request.
func (s *search) next(now time.Time) (choice, bool) {
	plan := s.call.entry.plan(now, s.call.q, s.call.doc, s.wide)
	for _, c := range plan {
		name := c.upstream.Name()
		if !s.declined[name] && !s.left[name] && len(s.declined) < wideSet {
			return c, true
		}
	}
	if !s.wide {
		s.wide = true
		return s.next(now)
	}
	if len(s.left) == 0 {
		return choice{}, false
	}
	clear(s.left)
	s.moves = movesMost
	return s.next(now)
}

// patience is how long the request may wait there before it is handed back,
// or 0 when it waits to its end. An entry's view is stale: others may have
// chosen the same upstream in the same moment.
func (s *search) patience(c choice) time.Duration {
	if s.bound || s.moves >= movesMost {
		return 0
	}
	return time.Duration(patienceFactor*float64(c.wait)) + patienceSlack
}

// note takes a decline.
func (s *search) note(c choice, reason wire.Decline_Reason) {
	if reason == wire.Decline_REASON_PATIENCE {
		s.left[c.upstream.Name()] = true
		s.moves++
		return
	}
	s.declined[c.upstream.Name()] = true
}
