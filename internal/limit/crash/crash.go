// Package crash detects requests that crash upstreams: those whose fingerprint was
// being executed each time that an upstream crashed, and was never served since, and
// those that have a part of their prompts in common of which the same is true.
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
	// blockServedAfterCrashes and minServedCrashSpan are the number, and the shortest time
	// from the first to the last, for a fingerprint that upstreams have served within the
	// retention. A request that many callers make may run on all upstreams when these crash
	// together, and none could serve it since.
	blockServedAfterCrashes = 6
	minServedCrashSpan      = 2 * time.Second
	// retention is how long crashes are remembered.
	retention = 2 * time.Minute
	// maxServed limits the fingerprints that are remembered as served.
	maxServed = 8192
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
	// running holds, by process, the requests of whose answers nothing has come yet.
	running map[string]map[*runningRequest]struct{}
	// ended holds the processes that are known to have ended.
	ended map[string]endedProcess
	// crashes holds the crashes by fingerprint, and recordCount is their number.
	crashes     map[uint64][]*record
	recordCount int
	// reported holds the crashes to tell peers, in the order in which they became known.
	reported []reported
	// served holds, by fingerprint, when an upstream last served a request.
	served map[uint64]time.Time
	// cleared and clearedParts hold the fingerprints and the parts of prompts that were
	// served after a crash, and when.
	cleared, clearedParts map[uint64]time.Time
	// onProbation holds the fingerprints that were refused, and until when one more crash
	// is enough.
	onProbation map[uint64]time.Time
	// partServed holds, by part, when an upstream last served a request with it, and
	// partCrashedAt when one last crashed as it began to.
	partServed, partCrashedAt map[uint64]time.Time
	// partBlocks holds the parts that are or were refused.
	partBlocks map[uint64]*partBlock
	// explained holds the processes whose crashes a refused part explains.
	explained map[string]bool
	// unattributed is set if crashes with parts were added since attributedAt.
	unattributed bool
	attributedAt time.Time
	// waiting holds the requests that wait for an upstream.
	waiting map[*waiter]struct{}
	// refusedUntil holds the fingerprints whose refusal was announced, and restoredUntil
	// those that were refused before this process started.
	refusedUntil, restoredUntil map[uint64]time.Time
	// pending holds the functions to call once the lock is released.
	pending    []func()
	onCrash    func()
	onRefusal  func(Refusal)
	lastExpiry time.Time
}

// waiter is a request that wants to be told when it becomes blocked.
type waiter struct {
	fingerprint uint64
	parts       []uint64
	blocked     func()
}

// New returns a tracker without crashes. It calls onCrash when this process has observed
// something that other processes should be told without delay, as the second crash under one
// fingerprint; onCrash may be nil.
func New(onCrash func()) *Tracker {
	return &Tracker{
		running: make(map[string]map[*runningRequest]struct{}), served: make(map[uint64]time.Time),
		refusedUntil: make(map[uint64]time.Time), restoredUntil: make(map[uint64]time.Time),
		interrupted: make(map[string][]suspectedRequest), ended: make(map[string]endedProcess), crashes: make(map[uint64][]*record),
		cleared: make(map[uint64]time.Time), clearedParts: make(map[uint64]time.Time), onProbation: make(map[uint64]time.Time),
		partServed: make(map[uint64]time.Time), partCrashedAt: make(map[uint64]time.Time), partBlocks: make(map[uint64]*partBlock),
		explained: make(map[string]bool), waiting: make(map[*waiter]struct{}), onCrash: onCrash,
	}
}

// Blocked reports whether requests with the fingerprint, and with these parts of their
// prompts besides their own, are refused.
func (t *Tracker) Blocked(now time.Time, fingerprint uint64, parts ...uint64) bool {
	t.mu.Lock()
	t.expire(now)
	t.attributeIfDueLocked(now)
	blocked := t.blockedLocked(now, fingerprint) || t.partsBlockedLocked(now, parts)
	t.mu.Unlock()
	t.notify(false)
	return blocked
}

func (t *Tracker) blockedLocked(now time.Time, fingerprint uint64) bool {
	crashes, span := t.crashesLocked(now, fingerprint)
	if servedAt, served := t.served[fingerprint]; served && now.Sub(servedAt) < retention {
		return crashes >= blockServedAfterCrashes && span >= minServedCrashSpan
	}
	return crashes >= blockAfterCrashes || (crashes > 0 && now.Before(t.onProbation[fingerprint])) || now.Before(t.restoredUntil[fingerprint])
}

// Crashes returns how many upstreams are known to have crashed under the fingerprint.
func (t *Tracker) Crashes(now time.Time, fingerprint uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes, _ := t.crashesLocked(now, fingerprint)
	return crashes
}

// crashesLocked counts the processes that crashed under the fingerprint, and returns the time
// from the first crash to the last. A process of an older version names an upstream without
// its process.
func (t *Tracker) crashesLocked(now time.Time, fingerprint uint64) (crashes int, span time.Duration) {
	var crashed []string
	var first, last time.Time
	for _, r := range t.crashes[fingerprint] {
		if !now.Before(r.end()) || t.explained[r.upstream] {
			continue
		}
		if first.IsZero() || r.crashedAt().Before(first) {
			first = r.crashedAt()
		}
		last = later(last, r.crashedAt())
		if !slices.ContainsFunc(crashed, func(other string) bool { return mayBeSameProcess(r.upstream, other) }) {
			crashed = append(crashed, r.upstream)
		}
	}
	return len(crashed), last.Sub(first)
}

func mayBeSameProcess(x, y string) bool {
	if x == y {
		return true
	}
	upstreamOfX, _, namesProcessX := strings.Cut(x, processSeparator)
	upstreamOfY, _, namesProcessY := strings.Cut(y, processSeparator)
	return upstreamOfX == upstreamOfY && (!namesProcessX || !namesProcessY)
}

// WhenBlocked calls blocked once such requests become blocked. The function that it returns
// ends that.
func (t *Tracker) WhenBlocked(blocked func(), fingerprint uint64, parts ...uint64) (stop func()) {
	w := &waiter{fingerprint: fingerprint, parts: parts, blocked: blocked}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[w] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.waiting, w)
	}
}

// blockLocked is called after a crash of the fingerprint was added. It puts a blocked
// fingerprint on probation.
func (t *Tracker) blockLocked(now time.Time, fingerprint uint64) {
	if !t.blockedLocked(now, fingerprint) {
		return
	}
	until := now.Add(retention)
	if _, known := t.onProbation[fingerprint]; known || len(t.onProbation) < maxOnProbation {
		t.onProbation[fingerprint] = until.Add(probation)
	}
	if !now.Before(t.refusedUntil[fingerprint]) && len(t.refusedUntil) < maxOnProbation {
		t.announceLocked(Refusal{Fingerprint: fingerprint, Until: until})
	}
	t.refusedUntil[fingerprint] = until
	t.notifyWaitersLocked(now)
}

// notifyWaitersLocked has the functions of the waiting requests called that are blocked by
// now.
func (t *Tracker) notifyWaitersLocked(now time.Time) {
	for w := range t.waiting {
		if t.blockedLocked(now, w.fingerprint) || t.partsBlockedLocked(now, w.parts) {
			t.pending = append(t.pending, w.blocked)
		}
	}
}

// notify calls the pending functions and, if there is news, has peers notified. The lock must
// not be held.
func (t *Tracker) notify(news bool) {
	t.mu.Lock()
	pending := t.pending
	t.pending = nil
	t.mu.Unlock()
	for _, f := range pending {
		f()
	}
	if news && t.onCrash != nil {
		t.onCrash()
	}
}

// Served records that an upstream has served a request with the fingerprint and the parts,
// so that their crashes had another cause, and reports whether there were any.
func (t *Tracker) Served(now time.Time, fingerprint uint64, parts ...uint64) bool {
	t.mu.Lock()
	clears := t.clearLocked(now, now, fingerprint)
	clears = t.servePartsLocked(now, now, parts) || clears
	t.mu.Unlock()
	t.notify(false)
	return clears
}

// Survived records that an upstream still executes a request with the parts a while after it
// has begun to, so that they do not crash it, and reports whether they were suspected to.
func (t *Tracker) Survived(now time.Time, parts ...uint64) bool {
	t.mu.Lock()
	clears := t.servePartsLocked(now, now, parts)
	t.mu.Unlock()
	t.notify(false)
	return clears
}

// clearLocked makes the crashes of a fingerprint that was served at a time count no
// longer, and reports whether any counted.
func (t *Tracker) clearLocked(now, servedAt time.Time, fingerprint uint64) bool {
	t.recordServed(fingerprint, servedAt)
	restoredUntil, clears := t.restoredUntil[fingerprint]
	clears = clears && now.Before(restoredUntil)
	delete(t.restoredUntil, fingerprint)
	for _, r := range t.crashes[fingerprint] {
		if now.Before(r.end()) && !r.crashedAt().After(servedAt) {
			r.latestEnd, clears = now, true
		}
	}
	if !clears {
		return false
	}
	delete(t.onProbation, fingerprint)
	delete(t.refusedUntil, fingerprint)
	t.cleared[fingerprint] = servedAt
	return true
}

// recordServed records when a fingerprint was served. Another one makes room.
func (t *Tracker) recordServed(fingerprint uint64, servedAt time.Time) {
	if _, known := t.served[fingerprint]; !known && len(t.served) >= maxServed {
		for other := range t.served {
			delete(t.served, other)
			break
		}
	}
	t.served[fingerprint] = later(t.served[fingerprint], servedAt)
}

// observe records a crash that this process observed, and reports whether peers should be
// told without delay.
func (t *Tracker) observe(now time.Time, s suspectedRequest, process string) (urgent bool) {
	crash := &record{upstream: process, event: max(rand.Uint64(), 1), latestEnd: now.Add(retention), reportedAt: now, parts: s.parts}
	t.insert(now, s.fingerprint, crash)
	t.reportObserved(s)
	t.blockLocked(now, s.fingerprint)
	t.recordPartsLocked(now, crash)
	crashes, _ := t.crashesLocked(now, s.fingerprint)
	return crashes > 1
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
	for fingerprint, servedAt := range t.served {
		if now.Sub(servedAt) > retention {
			delete(t.served, fingerprint)
		}
	}
	t.expireParts(now)
	for fingerprint, until := range t.restoredUntil {
		if !now.Before(until) {
			delete(t.restoredUntil, fingerprint)
		}
	}
	for fingerprint, until := range t.refusedUntil {
		if !now.Before(until) {
			delete(t.refusedUntil, fingerprint)
		}
	}
	for fingerprint, until := range t.onProbation {
		if !now.Before(until) {
			delete(t.onProbation, fingerprint)
		}
	}
	t.deleteRecords(func(r *record) bool { return !now.Before(r.end()) && now.Sub(r.reportedAt) > recognition })
}
