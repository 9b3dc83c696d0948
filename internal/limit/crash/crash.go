// Package crash detects requests that crash upstreams: those whose fingerprint was
// being executed each time that an upstream crashed, and was never served since.
package crash

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// blockAfterCrashes is the number of crashed upstreams at which a fingerprint is
	// refused. Many unrelated requests run on an upstream when it crashes, and a
	// caller may be affected twice by chance; callers' retries allow for three
	// crashes.
	blockAfterCrashes = 3
	// retention is how long crashes are remembered.
	retention = 2 * time.Minute
	// probation is how long after the end of a refusal one more crash is enough for the
	// next.
	probation = 10 * time.Minute
	// maxOnProbation limits the fingerprints on probation.
	maxOnProbation = 1024
)

// processSeparator separates an upstream's ID from the start time of its process.
const processSeparator = "@"

// ProcessName returns the name of an upstream's process in crashes. An upstream that
// starts again under its ID is another process, unless it states no start time.
func ProcessName(upstream string, startedAtMs int64) string {
	if startedAtMs == 0 {
		return upstream
	}
	return upstream + processSeparator + strconv.FormatInt(startedAtMs, 10)
}

// Tracker records crashes of upstreams. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// interrupted holds the requests that were interrupted by an upstream's process, and
	// interruptedCount is their number.
	interrupted      map[string][]suspectedRequest
	interruptedCount int
	// ended holds the processes that are known to have ended.
	ended map[string]endedProcess
	// crashes holds the crashes by fingerprint, and recordCount is their number.
	crashes     map[uint64][]*record
	recordCount int
	// reported holds the crashes to tell peers, in the order in which they became known.
	reported []reported
	// cleared holds the fingerprints that were served after a crash, and when.
	cleared map[uint64]time.Time
	// onProbation holds the fingerprints that were refused, and until when one more crash
	// is enough.
	onProbation map[uint64]time.Time
	// waiting holds the functions to call when a fingerprint becomes blocked.
	waiting    map[uint64]map[*func()]struct{}
	onCrash    func()
	lastExpiry time.Time
}

// New returns a tracker without crashes. It calls onCrash when this process has observed
// something that other processes should be told without delay; onCrash may be nil.
func New(onCrash func()) *Tracker {
	return &Tracker{
		interrupted: make(map[string][]suspectedRequest), ended: make(map[string]endedProcess), crashes: make(map[uint64][]*record),
		cleared: make(map[uint64]time.Time), onProbation: make(map[uint64]time.Time), waiting: make(map[uint64]map[*func()]struct{}),
		onCrash: onCrash,
	}
}

// Blocked reports whether requests with the fingerprint are refused.
func (t *Tracker) Blocked(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.blockedLocked(now, fingerprint)
}

func (t *Tracker) blockedLocked(now time.Time, fingerprint uint64) bool {
	crashes := t.crashesLocked(now, fingerprint)
	return crashes >= blockAfterCrashes || (crashes > 0 && now.Before(t.onProbation[fingerprint]))
}

// Crashes returns how many upstreams are known to have crashed under the fingerprint.
func (t *Tracker) Crashes(now time.Time, fingerprint uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashesLocked(now, fingerprint)
}

// crashesLocked counts the processes that crashed under the fingerprint. A process of an
// older version names an upstream without its process.
func (t *Tracker) crashesLocked(now time.Time, fingerprint uint64) int {
	var crashed []string
	for _, r := range t.crashes[fingerprint] {
		if now.Before(r.end()) && !slices.ContainsFunc(crashed, func(other string) bool { return mayBeSameProcess(r.upstream, other) }) {
			crashed = append(crashed, r.upstream)
		}
	}
	return len(crashed)
}

func mayBeSameProcess(x, y string) bool {
	if x == y {
		return true
	}
	upstreamOfX, _, namesProcessX := strings.Cut(x, processSeparator)
	upstreamOfY, _, namesProcessY := strings.Cut(y, processSeparator)
	return upstreamOfX == upstreamOfY && !(namesProcessX && namesProcessY)
}

// WhenBlocked calls blocked once the fingerprint becomes blocked. The function that it
// returns ends that.
func (t *Tracker) WhenBlocked(fingerprint uint64, blocked func()) (stop func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting[fingerprint] == nil {
		t.waiting[fingerprint] = make(map[*func()]struct{})
	}
	t.waiting[fingerprint][&blocked] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.waiting[fingerprint], &blocked)
		if len(t.waiting[fingerprint]) == 0 {
			delete(t.waiting, fingerprint)
		}
	}
}

// blockLocked is called after a crash of the fingerprint was added. It puts a blocked
// fingerprint on probation and returns the functions to call without the lock.
func (t *Tracker) blockLocked(now time.Time, fingerprint uint64) []func() {
	if !t.blockedLocked(now, fingerprint) {
		return nil
	}
	if _, known := t.onProbation[fingerprint]; known || len(t.onProbation) < maxOnProbation {
		t.onProbation[fingerprint] = now.Add(retention + probation)
	}
	var notify []func()
	for blocked := range t.waiting[fingerprint] {
		notify = append(notify, *blocked)
	}
	return notify
}

// Served records that an upstream has served a request with the fingerprint, so that its
// crashes had another cause, and reports whether there were any.
func (t *Tracker) Served(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	clears := t.clearLocked(now, now, fingerprint)
	t.mu.Unlock()
	if clears && t.onCrash != nil {
		t.onCrash()
	}
	return clears
}

// clearLocked makes the crashes of a fingerprint that was served at a time count no
// longer, and reports whether any counted.
func (t *Tracker) clearLocked(now, servedAt time.Time, fingerprint uint64) bool {
	clears := false
	for _, r := range t.crashes[fingerprint] {
		if now.Before(r.end()) && !r.recordedAt.After(servedAt) {
			r.latestEnd, clears = now, true
		}
	}
	if !clears {
		return false
	}
	delete(t.onProbation, fingerprint)
	t.cleared[fingerprint] = servedAt
	return true
}

// observe records a crash that this process observed.
func (t *Tracker) observe(now time.Time, fingerprint uint64, process string) []func() {
	crash := &record{upstream: process, event: max(rand.Uint64(), 1), latestEnd: now.Add(retention), reportedAt: now, recordedAt: now}
	t.insert(now, fingerprint, crash)
	t.addReport(fingerprint, crash)
	return t.blockLocked(now, fingerprint)
}

// expire removes expired entries, at most once a second.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.lastExpiry) < time.Second {
		return
	}
	t.lastExpiry = now
	t.expireSuspicions(now)
	for fingerprint, servedAt := range t.cleared {
		if now.Sub(servedAt) > endedRetention {
			delete(t.cleared, fingerprint)
		}
	}
	for fingerprint, until := range t.onProbation {
		if !now.Before(until) {
			delete(t.onProbation, fingerprint)
		}
	}
	t.deleteRecords(func(r *record) bool { return !now.Before(r.end()) && now.Sub(r.reportedAt) > recognition })
}
