package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// blockPartAfterCrashes is the number of crashed processes at which a part of prompts is
	// refused, and minPartCrashSpan the shortest time from the first of them to the last:
	// when many upstreams crash at once, a part that many requests share is in most of them.
	blockPartAfterCrashes = 4
	minPartCrashSpan      = 500 * time.Millisecond
	// The same for a part that upstreams have served within the retention.
	blockServedPartAfterCrashes = 8
	minServedPartCrashSpan      = 2 * time.Second
	// maxBlockTime limits how long a part is refused at a time. Each refusal that follows
	// soon after another one lasts twice as long.
	maxBlockTime = time.Hour
	// maxServedParts limits the parts that are remembered as served, and maxCrashedParts
	// those that were in a request at a crash.
	maxServedParts  = 8192
	maxCrashedParts = 8192
	// maxBlockedParts limits the parts that are refused or on probation.
	maxBlockedParts = 256
	// attributionInterval is the shortest time between two searches for the parts that crash
	// upstreams: many requests may be lost in a moment.
	attributionInterval = 20 * time.Millisecond
)

// partBlock is the refusal of requests that have a part in their prompts.
type partBlock struct {
	until  time.Time
	length time.Duration
	// with are the parts that all requests with the part had which crashed upstreams, the
	// part among them. Only requests that have all of them are refused, since any of them
	// may be the cause.
	with []uint64
	// restored reports that no crash is known here that led to it.
	restored bool
}

func (b *partBlock) inForce(now time.Time) bool { return now.Before(b.until) }

// onProbation reports whether one more crash is enough for another refusal.
func (b *partBlock) onProbation(now time.Time) bool { return now.Before(b.until.Add(probation)) }

func containsAll(parts, wanted []uint64) bool {
	for _, part := range wanted {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// partsBlockedLocked reports whether requests with these parts are refused.
func (t *Tracker) partsBlockedLocked(now time.Time, parts []uint64) bool {
	if len(t.partBlocks) == 0 {
		return false
	}
	for _, part := range parts {
		if block := t.partBlocks[part]; block != nil && block.inForce(now) && containsAll(parts, block.with) {
			return true
		}
	}
	return false
}

// countsAgainst reports whether a crash is evidence against a part: the request had it, and
// no upstream has served the part since.
func (t *Tracker) countsAgainst(now time.Time, r *record, part uint64) bool {
	return now.Before(r.end()) && r.crashedAt().After(t.partServed[part]) && slices.Contains(r.parts, part)
}

// partEvidence is what speaks against a part: the processes that crashed while they began
// to execute a request with it, as far as nothing else explains them.
type partEvidence struct {
	part      uint64
	processes map[string][]uint64
	// requests is the number of requests with the part at the crashes.
	requests    int
	first, last time.Time
}

// dominated reports whether more than half of the crashes are those of one request, which
// is then the cause by itself.
func (e *partEvidence) dominated() bool {
	crashes := make(map[uint64]int)
	for _, fingerprints := range e.processes {
		for _, fingerprint := range fingerprints {
			crashes[fingerprint]++
		}
	}
	for _, n := range crashes {
		if 2*n > len(e.processes) {
			return true
		}
	}
	return false
}

// maxRequestsPerCrash is how many requests with a part that crashes upstreams are running as
// one crashes, on average: the first to begin ends it. A part that most requests have is in
// more of them.
const maxRequestsPerCrash = 1.5

// frequent reports whether more requests had the part at the crashes than if it was their
// cause.
func (e *partEvidence) frequent() bool {
	return float64(e.requests) > maxRequestsPerCrash*float64(len(e.processes))
}

// suffices reports whether the evidence is enough to refuse the part.
func (t *Tracker) suffices(now time.Time, e *partEvidence) bool {
	crashes, span := blockPartAfterCrashes, minPartCrashSpan
	if servedAt, served := t.partServed[e.part]; served && now.Sub(servedAt) < retention {
		crashes, span = blockServedPartAfterCrashes, minServedPartCrashSpan
	}
	return len(e.processes) >= crashes && e.last.Sub(e.first) >= span && !e.dominated() && !e.frequent()
}

// collectEvidence returns the evidence against each part from the crashes that are not
// explained yet.
func (t *Tracker) collectEvidence(now time.Time) map[uint64]*partEvidence {
	evidence := make(map[uint64]*partEvidence)
	for fingerprint, records := range t.crashes {
		for _, r := range records {
			if t.explained[r.upstream] {
				continue
			}
			for _, part := range r.parts {
				if !t.countsAgainst(now, r, part) {
					continue
				}
				e := evidence[part]
				if e == nil {
					e = &partEvidence{part: part, processes: make(map[string][]uint64), first: r.crashedAt(), last: r.crashedAt()}
					evidence[part] = e
				}
				if !slices.Contains(e.processes[r.upstream], fingerprint) {
					e.processes[r.upstream] = append(e.processes[r.upstream], fingerprint)
					e.requests++
				}
				if r.crashedAt().Before(e.first) {
					e.first = r.crashedAt()
				}
				e.last = later(e.last, r.crashedAt())
			}
		}
	}
	return evidence
}

// attributeIfDueLocked searches for parts that crash upstreams, if there is news of crashes.
func (t *Tracker) attributeIfDueLocked(now time.Time) {
	if age := now.Sub(t.attributedAt); !t.unattributed || (age >= 0 && age < attributionInterval) {
		return
	}
	t.attributeCrashesLocked(now)
	t.notifyWaitersLocked(now)
}

// compare orders evidence, the strongest first: more crashes, then fewer requests, since a
// part that other requests have as well explains no more crashes than one that they lack.
func (e *partEvidence) compare(other *partEvidence) int {
	return cmp.Or(cmp.Compare(len(other.processes), len(e.processes)), cmp.Compare(e.requests, other.requests))
}

// attributeCrashesLocked refuses the parts of prompts that crash upstreams. What crashed with the
// strongest is no evidence against any other, which may only have run beside it.
func (t *Tracker) attributeCrashesLocked(now time.Time) {
	t.unattributed, t.attributedAt = false, now
	t.explainLocked(now)
	for range maxBlockedParts {
		strongest := t.strongestEvidence(now)
		if len(strongest) == 0 {
			break
		}
		for _, e := range strongest {
			t.blockPartLocked(now, e.part)
		}
		t.explainLocked(now)
	}
	for part, block := range t.partBlocks {
		if block.inForce(now) {
			t.narrowLocked(now, part, block)
		}
	}
}

// strongestEvidence returns the strongest evidence that is enough, several if it is equal.
func (t *Tracker) strongestEvidence(now time.Time) []*partEvidence {
	var strongest []*partEvidence
	for part, e := range t.collectEvidence(now) {
		if block := t.partBlocks[part]; (block != nil && block.inForce(now)) || !t.suffices(now, e) {
			continue
		}
		order := -1
		if len(strongest) > 0 {
			order = e.compare(strongest[0])
		}
		if order < 0 {
			strongest = nil
		}
		if order <= 0 {
			strongest = append(strongest, e)
		}
	}
	return strongest
}

// blockPartLocked refuses a part until its crashes are forgotten, or for longer if it was
// refused before.
func (t *Tracker) blockPartLocked(now time.Time, part uint64) {
	former := t.partBlocks[part]
	length := retention
	if former != nil && former.onProbation(now) {
		length = min(2*former.length, maxBlockTime)
	}
	if former == nil && len(t.partBlocks) >= maxBlockedParts {
		t.dropEarliestBlock()
	}
	block := &partBlock{until: now.Add(length), length: length, with: []uint64{part}}
	t.narrowLocked(now, part, block)
	t.partBlocks[part] = block
	t.announceLocked(Refusal{Fingerprint: part, IsPart: true, With: slices.Clone(block.with), Until: block.until})
}

// dropEarliestBlock makes room for another refusal.
func (t *Tracker) dropEarliestBlock() {
	var earliest uint64
	found := false
	for part, block := range t.partBlocks {
		if !found || block.until.Before(t.partBlocks[earliest].until) {
			earliest, found = part, true
		}
	}
	delete(t.partBlocks, earliest)
}

// narrowLocked finds out again which parts the requests had in common that crashed upstreams
// with the part.
func (t *Tracker) narrowLocked(now time.Time, part uint64, block *partBlock) {
	var with []uint64
	found := false
	for _, records := range t.crashes {
		for _, r := range records {
			if !t.countsAgainst(now, r, part) {
				continue
			}
			if !found {
				with, found = slices.Clone(r.parts), true
				continue
			}
			with = slices.DeleteFunc(with, func(other uint64) bool { return !slices.Contains(r.parts, other) })
		}
	}
	if !found {
		with = block.with
	}
	block.with = slices.DeleteFunc(with, func(other uint64) bool {
		return other != part && t.partServed[other].After(t.partServed[part])
	})
}

// explainLocked finds the processes whose crashes a refused part explains.
func (t *Tracker) explainLocked(now time.Time) {
	clear(t.explained)
	for part, block := range t.partBlocks {
		if !block.onProbation(now) {
			continue
		}
		for _, records := range t.crashes {
			for _, r := range records {
				if t.countsAgainst(now, r, part) {
					t.explained[r.upstream] = true
				}
			}
		}
	}
}

// recordPartsLocked is called after a crash was added.
func (t *Tracker) recordPartsLocked(now time.Time, r *record) {
	if len(r.parts) == 0 {
		return
	}
	for _, part := range r.parts {
		if crashedAt, known := t.partCrashedAt[part]; known || len(t.partCrashedAt) < maxCrashedParts {
			t.partCrashedAt[part] = later(crashedAt, r.crashedAt())
		}
		block := t.partBlocks[part]
		switch {
		case block == nil || !block.onProbation(now) || !t.countsAgainst(now, r, part):
		case block.inForce(now):
			block.until, block.restored = later(block.until, now.Add(block.length)), false
		default:
			t.blockPartLocked(now, part)
		}
	}
	t.unattributed = true
	t.attributeIfDueLocked(now)
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// servePartsLocked records that an upstream has served a request with these parts at a time,
// and reports whether this clears any of crashes.
func (t *Tracker) servePartsLocked(now, servedAt time.Time, parts []uint64) (clears bool) {
	attributeAgain := false
	for _, part := range parts {
		before := t.partServed[part]
		if !servedAt.After(before) {
			continue
		}
		t.recordServedPart(part, servedAt)
		if crashedAt := t.partCrashedAt[part]; crashedAt.After(before) && !crashedAt.After(servedAt) {
			t.clearedParts[part], clears = servedAt, true
		}
		if t.partBlocks[part] != nil {
			delete(t.partBlocks, part)
			attributeAgain = true
		}
	}
	if clears || attributeAgain {
		t.attributeCrashesLocked(now)
	}
	return clears
}

// recordServedPart records when a part was served. One that was in no crash makes room.
func (t *Tracker) recordServedPart(part uint64, servedAt time.Time) {
	if _, known := t.partServed[part]; !known && len(t.partServed) >= maxServedParts {
		for other := range t.partServed {
			if _, crashed := t.partCrashedAt[other]; !crashed {
				delete(t.partServed, other)
				break
			}
		}
	}
	t.partServed[part] = servedAt
}

// expireParts forgets what was served long ago and refusals that have ended long ago.
func (t *Tracker) expireParts(now time.Time) {
	for part, servedAt := range t.partServed {
		if now.Sub(servedAt) > retention {
			delete(t.partServed, part)
		}
	}
	for part, servedAt := range t.clearedParts {
		if now.Sub(servedAt) > endedRetention {
			delete(t.clearedParts, part)
		}
	}
	for part, crashedAt := range t.partCrashedAt {
		if now.Sub(crashedAt) > retention+recognition {
			delete(t.partCrashedAt, part)
		}
	}
	for part, block := range t.partBlocks {
		if !block.onProbation(now) {
			delete(t.partBlocks, part)
		}
	}
}
