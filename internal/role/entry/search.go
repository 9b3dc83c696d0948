package entry

import (
	"context"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// movesMost is how often a waiting request may be handed back to be placed
	// anew, before it waits to its end where it is.
	movesMost = 3
	// patienceFactor and patienceSlack make the wait that a request bears out
	// of the wait that was predicted.
	patienceFactor = 1.5
	patienceSlack  = 150 * time.Millisecond
	// absentMost is how long a request waits for agents that are being replaced:
	// an entry links with a new process well within it.
	absentMost = time.Second
	// absentPause is between two looks for one that is back.
	absentPause = 20 * time.Millisecond
)

// search is one request's way through the candidates.
type search struct {
	call *call
	// declined are upstreams that will not run the request.
	declined map[string]bool
	// left are upstreams where it waited longer than was predicted.
	left  map[string]bool
	moves int
	// absentUntil is until when agents that are being replaced are waited for; it
	// is zero while none was met.
	absentUntil time.Time
	// wide tells that the first set was not enough.
	wide bool
	// bound tells that it may not be handed back: each move of a keyed action
	// costs a write.
	bound bool
}

func newSearch(c *call) *search {
	return &search{call: c, declined: make(map[string]bool), left: make(map[string]bool), bound: c.q.Keyed()}
}

// find returns the best upstream that may still run the request. While all that
// might are being replaced, it waits for one to be back.
func (s *search) find(ctx context.Context) (choice, bool) {
	for {
		now := s.call.entry.now()
		next, ok := s.next(now)
		if ok || ctx.Err() != nil || !s.mayReturn(now) {
			return next, ok
		}
		wait.For(ctx, absentPause)
	}
}

// mayReturn tells whether the agent of an upstream that has declined nothing for
// good is probably being replaced, and whether there is time to wait for it.
func (s *search) mayReturn(now time.Time) bool {
	if !s.awaits(now) || now.After(s.call.q.Deadline()) {
		return false
	}
	for _, u := range s.call.entry.table.Service(s.call.q.Service().Name()) {
		if !s.declined[u.Name()] && u.Returning(now, absentMost) {
			return true
		}
	}
	return false
}

// awaits tells whether agents that are being replaced are still waited for. The
// time for that begins with the first.
func (s *search) awaits(now time.Time) bool {
	if s.absentUntil.IsZero() {
		s.absentUntil = now.Add(absentMost)
	}
	return now.Before(s.absentUntil)
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
func (s *search) note(now time.Time, c choice, reason wire.Decline_Reason) {
	switch {
	case reason == wire.Decline_REASON_PATIENCE:
		s.left[c.upstream.Name()] = true
		s.moves++
	case replaced(reason) && s.awaits(now):
		// The process that takes the agent's place may run it.
	default:
		s.declined[c.upstream.Name()] = true
	}
}

// replaced tells whether the reason is that an agent's process ends, has ended, or
// is not the one that the offer was made to.
func replaced(reason wire.Decline_Reason) bool {
	switch reason {
	case wire.Decline_REASON_LEAVING, wire.Decline_REASON_INCARNATION, wire.Decline_REASON_UNREACHABLE:
		return true
	default:
		return false
	}
}
