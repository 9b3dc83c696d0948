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
func (t *Tracker) Broke(now time.Time, upstream string, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if t.interruptedCount >= maxSuspicions {
		return
	}
	t.interrupted[upstream] = append(t.interrupted[upstream], suspectedRequest{fingerprint: fingerprint, at: now})
	t.interruptedCount++
}

// Down records that the upstream refuses connections: the requests that it
// interrupted shortly before were being executed when it crashed.
func (t *Tracker) Down(now time.Time, upstream string) {
	t.mu.Lock()
	suspicions := t.interrupted[upstream]
	delete(t.interrupted, upstream)
	t.interruptedCount -= len(suspicions)
	var recorded []suspectedRequest
	for _, s := range suspicions {
		if now.Sub(s.at) > confirmationWindow {
			continue
		}
		t.record(now, s.fingerprint, upstream)
		recorded = append(recorded, s)
	}
	t.mu.Unlock()
	if t.onCrash == nil {
		return
	}
	for _, s := range recorded {
		t.onCrash(s.fingerprint, upstream)
	}
}

// RecordRemote records a crash that another process detected, and reports whether it is
// new.
func (t *Tracker) RecordRemote(now time.Time, fingerprint uint64, crash string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.crashes[fingerprint][crash]; known {
		return false
	}
	t.record(now, fingerprint, crash)
	return true
}

func (t *Tracker) record(now time.Time, fingerprint uint64, crash string) {
	if t.crashes[fingerprint] == nil {
		t.crashes[fingerprint] = make(map[string]time.Time)
	}
	t.crashes[fingerprint][crash] = now
}

// Blocked reports whether requests with the fingerprint are refused.
func (t *Tracker) Blocked(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return len(t.crashes[fingerprint]) >= blockAfterCrashes
}

// expire removes expired entries, at most once a second.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.lastExpiry) < time.Second {
		return
	}
	t.lastExpiry = now
	for upstream, suspicions := range t.interrupted {
		if last := suspicions[len(suspicions)-1]; now.Sub(last.at) > confirmationWindow {
			t.interruptedCount -= len(suspicions)
			delete(t.interrupted, upstream)
		}
	}
	for fingerprint, crashes := range t.crashes {
		for upstream, at := range crashes {
			if now.Sub(at) > retention {
				delete(crashes, upstream)
			}
		}
		if len(crashes) == 0 {
			delete(t.crashes, fingerprint)
		}
	}
}
