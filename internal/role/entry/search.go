package entry

import (
	"context"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// maxHandbacks is how often a waiting request may be handed back and placed
	// again before it stays in its queue.
	maxHandbacks = 3
	// queueTimeoutFactor and queueTimeoutSlack compute the accepted queueing time
	// from the predicted one.
	queueTimeoutFactor = 1.5
	queueTimeoutSlack  = 150 * time.Millisecond
	// restartWait is how long a request waits for agents that are being
	// replaced. It is well above the time that an entry needs to link with a new
	// process.
	restartWait = time.Second
	// restartPollInterval is the time between checks for a replaced agent.
	restartPollInterval = 20 * time.Millisecond
)

// search selects one candidate after another for a request.
type search struct {
	call *call
	// declined holds upstreams that will not run the request.
	declined map[string]bool
	// handedBack holds upstreams that handed the request back after its queue timeout.
	handedBack map[string]bool
	handbacks  int
	// restartDeadline ends the wait for agents that are being replaced. It is
	// zero until one was found.
	restartDeadline time.Time
	// wide means that the initial candidates are exhausted.
	wide bool
	// noHandback means that the request must not be handed back: each move of a
	// keyed action costs a write to the store.
	noHandback bool
}

func newSearch(c *call) *search {
	return &search{call: c, declined: make(map[string]bool), handedBack: make(map[string]bool), noHandback: c.request.Keyed()}
}

// find returns the best upstream that may still run the request. While all such
// upstreams have their agents replaced, it waits for one to return.
func (s *search) find(ctx context.Context) (choice, bool) {
	for {
		now := s.call.entry.now()
		next, ok := s.nextCandidate(now)
		if ok || ctx.Err() != nil || !s.mayReturn(now) {
			return next, ok
		}
		wait.For(ctx, restartPollInterval)
	}
}

// mayReturn reports whether the agent of an upstream that has not declined the
// request is probably being replaced, and there is time to wait for it.
func (s *search) mayReturn(now time.Time) bool {
	if !s.awaitsRestart(now) || now.After(s.call.request.Deadline()) {
		return false
	}
	for _, u := range s.call.entry.table.Service(s.call.request.Service().Name()) {
		if !s.declined[u.Name()] && u.Restarting(now, restartWait) {
			return true
		}
	}
	return false
}

// awaitsRestart reports whether to wait for agents that are being replaced. The
// first call starts the time for that.
func (s *search) awaitsRestart(now time.Time) bool {
	if s.restartDeadline.IsZero() {
		s.restartDeadline = now.Add(restartWait)
	}
	return now.Before(s.restartDeadline)
}

// nextCandidate plans again, as each decline updates the load of an upstream, and
// returns the best upstream that may still run the request.
func (s *search) nextCandidate(now time.Time) (choice, bool) {
	plan := s.call.entry.plan(now, s.call.request, s.call.doc, s.wide)
	for _, c := range plan {
		name := c.upstream.Name()
		if !s.declined[name] && !s.handedBack[name] && len(s.declined) < maxCandidates {
			return c, true
		}
	}
	if !s.wide {
		s.wide = true
		return s.nextCandidate(now)
	}
	if len(s.handedBack) == 0 {
		return choice{}, false
	}
	clear(s.handedBack)
	s.handbacks = maxHandbacks
	return s.nextCandidate(now)
}

// queueTimeout returns how long the request may wait in the queue there before it
// is handed back, or 0 if it must not be. It is limited because an entry's view
// is stale: others may have chosen the same upstream at the same time.
func (s *search) queueTimeout(c choice) time.Duration {
	if s.noHandback || s.handbacks >= maxHandbacks {
		return 0
	}
	return time.Duration(queueTimeoutFactor*float64(c.wait)) + queueTimeoutSlack
}

// recordDecline records a decline of the request.
func (s *search) recordDecline(now time.Time, c choice, reason wire.Decline_Reason) {
	switch {
	case reason == wire.Decline_REASON_PATIENCE:
		s.handedBack[c.upstream.Name()] = true
		s.handbacks++
	case agentReplaced(reason) && s.awaitsRestart(now):
		// The process that replaces the agent may run it.
	default:
		s.declined[c.upstream.Name()] = true
	}
}

// agentReplaced reports whether the reason is that the agent's process is
// ending, has ended, or is not the one that the offer was made to.
func agentReplaced(reason wire.Decline_Reason) bool {
	switch reason {
	case wire.Decline_REASON_LEAVING, wire.Decline_REASON_INCARNATION, wire.Decline_REASON_UNREACHABLE:
		return true
	default:
		return false
	}
}
