package board

import "time"

// returnWithin is how long a refused request is remembered: callers come back
// within a third of the time they have left, five seconds at most.
const returnWithin = 8 * time.Second

// refusals are the fingerprints of requests that were refused, and when.
type refusals map[uint64]time.Time

func (r refusals) add(now time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	r[fingerprint] = now
}

// take tells whether a request was refused shortly before, and forgets it.
func (r refusals) take(now time.Time, fingerprint uint64) bool {
	at, ok := r[fingerprint]
	if !ok {
		return false
	}
	delete(r, fingerprint)
	return now.Sub(at) <= returnWithin
}

// expire forgets requests that did not come back.
func (r refusals) expire(now time.Time) {
	for fingerprint, at := range r {
		if now.Sub(at) > returnWithin {
			delete(r, fingerprint)
		}
	}
}
