// Package crash detects requests that crash upstreams: those whose fingerprint was
// being executed each time that an upstream crashed.
package crash

import (
	"sync"
	"time"
)

const (
	// blockAfterCrashes is the number of crashed upstreams at which a fingerprint is
	// refused. Many unrelated requests run on an upstream when it crashes, and a
	// caller may be affected twice by chance; callers' retries allow for three
	// crashes.
	blockAfterCrashes = 3
	// confirmationWindow is the longest time between an interrupted answer and a
	// refused connection to its upstream for both to be one crash: the refusal is
	// noticed within a round trip of the crash, as soon as any request is sent there.
	confirmationWindow = 1500 * time.Millisecond
	// retention is how long crashes are remembered.
	retention = 2 * time.Minute
	// maxSuspicions limits the interrupted requests that are remembered at a time.
	maxSuspicions = 4096
)

// suspectedRequest is a request whose answer an upstream interrupted.
type suspectedRequest struct {
	fingerprint uint64
	at          time.Time
}

// Tracker records crashes of upstreams. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// interrupted holds the interrupted requests by upstream, and interruptedCount is
	// their number.
	interrupted      map[string][]suspectedRequest
	interruptedCount int
	// crashes holds the time of each crash by fingerprint and upstream.
	crashes    map[uint64]map[string]time.Time
	onCrash    func(fingerprint uint64, crash string)
	lastExpiry time.Time
}

// New returns a tracker without crashes. It calls onCrash for each crash that is recorded
// for a fingerprint, so that other processes can be notified; onCrash may be nil.
func New(onCrash func(fingerprint uint64, crash string)) *Tracker {
	return &Tracker{interrupted: make(map[string][]suspectedRequest), crashes: make(map[uint64]map[string]time.Time), onCrash: onCrash}
}

// Broke records that an upstream interrupted the answer to a request.
func (r *Tracker) Broke(now time.Time, upstream string, fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if r.interruptedCount >= maxSuspicions {
		return
	}
	r.interrupted[upstream] = append(r.interrupted[upstream], suspectedRequest{fingerprint: fingerprint, at: now})
	r.interruptedCount++
}

// Down records that the upstream refuses connections: the requests that it
// interrupted shortly before were being executed when it crashed.
func (r *Tracker) Down(now time.Time, upstream string) {
	r.mu.Lock()
	suspicions := r.interrupted[upstream]
	delete(r.interrupted, upstream)
	r.interruptedCount -= len(suspicions)
	var recorded []suspectedRequest
	for _, s := range suspicions {
		if now.Sub(s.at) > confirmationWindow {
			continue
		}
		r.record(now, s.fingerprint, upstream)
		recorded = append(recorded, s)
	}
	r.mu.Unlock()
	if r.onCrash == nil {
		return
	}
	for _, s := range recorded {
		r.onCrash(s.fingerprint, upstream)
	}
}

// RecordRemote records a crash that another process detected, and reports whether it is
// new.
func (r *Tracker) RecordRemote(now time.Time, fingerprint uint64, crash string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.crashes[fingerprint][crash]; known {
		return false
	}
	r.record(now, fingerprint, crash)
	return true
}

func (r *Tracker) record(now time.Time, fingerprint uint64, crash string) {
	if r.crashes[fingerprint] == nil {
		r.crashes[fingerprint] = make(map[string]time.Time)
	}
	r.crashes[fingerprint][crash] = now
}

// Blocked reports whether requests with the fingerprint are refused.
func (r *Tracker) Blocked(now time.Time, fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return len(r.crashes[fingerprint]) >= blockAfterCrashes
}

// expire removes expired entries, at most once a second.
func (r *Tracker) expire(now time.Time) {
	if now.Sub(r.lastExpiry) < time.Second {
		return
	}
	r.lastExpiry = now
	for upstream, suspicions := range r.interrupted {
		if last := suspicions[len(suspicions)-1]; now.Sub(last.at) > confirmationWindow {
			r.interruptedCount -= len(suspicions)
			delete(r.interrupted, upstream)
		}
	}
	for fingerprint, crashes := range r.crashes {
		for upstream, at := range crashes {
			if now.Sub(at) > retention {
				delete(crashes, upstream)
			}
		}
		if len(crashes) == 0 {
			delete(r.crashes, fingerprint)
		}
	}
}
