package board

import (
	"fmt"
	"time"
)

const (
	// saturationThreshold is how long requests must have been waiting without a break for
	// this to count as overload rather than a short peak.
	saturationThreshold = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay of refused requests before
	// jitter is added: at least the length of a short peak, and at most what a caller with
	// a deadline of about ten seconds can wait and still be served.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2500 * time.Millisecond
)

// refusalTTL is how long a refused request is remembered. Callers retry within a third of
// their remaining time, and within five seconds at most.
const refusalTTL = 8 * time.Second

// refusals maps the fingerprints of refused requests to the times of refusal.
type refusals map[uint64]time.Time

func (r refusals) add(now time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	r[fingerprint] = now
}

// consume reports whether the request was refused recently, and removes the entry.
func (r refusals) consume(now time.Time, fingerprint uint64) bool {
	refusedAt, ok := r[fingerprint]
	if !ok {
		return false
	}
	delete(r, fingerprint)
	return now.Sub(refusedAt) <= refusalTTL
}

// expire removes the entries of requests that were not retried.
func (r refusals) expire(now time.Time) {
	for fingerprint, refusedAt := range r {
		if now.Sub(refusedAt) > refusalTTL {
			delete(r, fingerprint)
		}
	}
}

func (s *Scheduler) refuse(now time.Time, req *SlotRequest, reason string) {
	s.refusals.add(now, req.Fingerprint)
	s.recordTierRefusal(now, req)
	reason = fmt.Sprintf("%s (%d waiting, %d late, %d slots, saturated for %s)",
		reason, len(s.waiting), len(s.late), s.slots(req.Service), s.saturatedFor(now).Round(time.Millisecond))
	s.decideRefusal(now, req, Decision{RetryAfter: s.retryAfter(now), Reason: reason})
}

// decideRefusal refuses the request, and keeps the refusal in case its slot request comes
// again.
func (s *Scheduler) decideRefusal(now time.Time, req *SlotRequest, d Decision) {
	s.refused[runKey(req.Owner, req.ID)] = refusedRequest{number: req.Number, decision: d, at: now}
	s.decide(req, d)
}

// retryAfter returns when a slot should become free. The remaining duration of an overload
// is unknown; the best estimate is the time it has lasted so far. Jitter of up to the same
// length keeps callers from retrying all at once.
func (s *Scheduler) retryAfter(now time.Time) time.Duration {
	base := min(max(s.saturatedFor(now), minRetryAfter), maxRetryAfter)
	s.jitterState = s.jitterState*6364136223846793005 + 1442695040888963407
	return base + time.Duration(float64(base)*float64(s.jitterState>>40)/(1<<24))
}

// saturatedFor returns for how long requests that can be served in time have been waiting
// without a break.
func (s *Scheduler) saturatedFor(now time.Time) time.Duration {
	if s.saturatedSince.IsZero() {
		return 0
	}
	return now.Sub(s.saturatedSince)
}

// updateSaturation sets or clears saturatedSince.
func (s *Scheduler) updateSaturation(now time.Time) {
	switch {
	case len(s.waiting) == 0:
		s.saturatedSince = time.Time{}
	case s.saturatedSince.IsZero():
		s.saturatedSince = now
	}
}
