// Package crash detects requests that crash upstreams: those whose fingerprint was
// being executed each time that an upstream crashed.
package crash

import (
	"math/rand/v2"
	"slices"
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
	// crashes holds the crashes by fingerprint, and recordCount is their number.
	crashes     map[uint64][]*record
	recordCount int
	// reported holds the crashes to tell peers, in the order in which they became known.
	reported   []reported
	onCrash    func()
	lastExpiry time.Time
}

// New returns a tracker without crashes. It calls onCrash when it has recorded crashes
// that this process observed, so that other processes can be notified; onCrash may be nil.
func New(onCrash func()) *Tracker {
	return &Tracker{interrupted: make(map[string][]suspectedRequest), crashes: make(map[uint64][]*record), onCrash: onCrash}
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
// interrupted shortly before were being executed when it crashed. It returns their
// fingerprints.
func (t *Tracker) Down(now time.Time, upstream string) []uint64 {
	t.mu.Lock()
	t.expire(now)
	suspicions := t.interrupted[upstream]
	delete(t.interrupted, upstream)
	t.interruptedCount -= len(suspicions)
	var observed []uint64
	for _, s := range suspicions {
		if now.Sub(s.at) > confirmationWindow || slices.Contains(observed, s.fingerprint) {
			continue
		}
		t.observe(now, s.fingerprint, upstream)
		observed = append(observed, s.fingerprint)
	}
	t.mu.Unlock()
	if len(observed) > 0 && t.onCrash != nil {
		t.onCrash()
	}
	return observed
}

// Crashes returns how many upstreams are known to have crashed under the fingerprint.
func (t *Tracker) Crashes(now time.Time, fingerprint uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.crashedLocked(now, fingerprint))
}

// observe records a crash that this process observed.
func (t *Tracker) observe(now time.Time, fingerprint uint64, upstream string) {
	crash := &record{upstream: upstream, event: max(rand.Uint64(), 1), latestEnd: now.Add(retention), reportedAt: now}
	t.insert(now, fingerprint, crash)
	t.addReport(fingerprint, crash)
}

// Blocked reports whether requests with the fingerprint are refused.
func (t *Tracker) Blocked(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return len(t.crashedLocked(now, fingerprint)) >= blockAfterCrashes
}

// crashedLocked returns the upstreams that crashed under the fingerprint.
func (t *Tracker) crashedLocked(now time.Time, fingerprint uint64) []string {
	var crashed []string
	for _, r := range t.crashes[fingerprint] {
		if now.Before(r.end()) && !slices.Contains(crashed, r.upstream) {
			crashed = append(crashed, r.upstream)
		}
	}
	return crashed
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
	t.deleteRecords(func(r *record) bool { return !now.Before(r.end()) && now.Sub(r.reportedAt) > recognition })
}
