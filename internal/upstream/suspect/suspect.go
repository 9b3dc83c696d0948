// Package suspect finds requests that crash the upstreams that run them. The
// body's fingerprint is the identity, since the caller sends it again. What
// an upstream was running when it died becomes suspect, and a suspect runs
// alone. A fingerprint is convicted when it is all that two crashes have in
// common: co-runners at one crash are mostly innocent, and because suspects
// run alone an innocent one does not meet the guilty one again.
package suspect

import (
	"slices"
	"sync"
	"time"
)

// Standing is what is known against a fingerprint.
type Standing int

// The standings.
const (
	Innocent Standing = iota
	Suspected
	Convicted
)

const (
	// suspectedFor is how long a crash is remembered.
	suspectedFor = 10 * time.Minute
	// convictedFor is how long a conviction lasts.
	convictedFor = 6 * time.Hour
	// maxCrashes and maxConvicted bound the state; the oldest go first.
	maxCrashes   = 256
	maxConvicted = 4096
	// maxRunning bounds the fingerprints kept of one crash.
	maxRunning = 512
)

// Crash is what an upstream was running when it died.
type Crash struct {
	id           uint64
	at           time.Time
	fingerprints []uint64
}

// NewCrash returns a crash with its id, which all who report it derive alike.
func NewCrash(id uint64, at time.Time, fingerprints []uint64) Crash {
	sorted := slices.Clone(fingerprints)
	slices.Sort(sorted)
	return Crash{id: id, at: at, fingerprints: slices.Compact(sorted)}
}

// ID returns the crash's id.
func (c Crash) ID() uint64 { return c.id }

// Fingerprints returns what was running, in order.
func (c Crash) Fingerprints() []uint64 { return c.fingerprints }

// Register holds what is known of crashes. It is safe for concurrent use.
type Register struct {
	mu        sync.Mutex
	crashes   []Crash
	convicted map[uint64]time.Time
}

// New returns an empty register.
func New() *Register { return &Register{convicted: make(map[uint64]time.Time)} }

// Learn takes a crash, seen here or told by a peer, and returns whether any of
// it was new. Peers that saw parts of one crash are merged by its id.
func (r *Register) Learn(now time.Time, crash Crash) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.age(now)
	merged, news := r.merge(crash)
	if !news {
		return false
	}
	for _, other := range r.crashes {
		if other.id != merged.id {
			r.convictCommon(now, merged, other)
		}
	}
	return true
}

func (r *Register) merge(crash Crash) (Crash, bool) {
	for i, known := range r.crashes {
		if known.id != crash.id {
			continue
		}
		both := NewCrash(known.id, known.at, slices.Concat(known.fingerprints, crash.fingerprints))
		news := len(both.fingerprints) > len(known.fingerprints)
		r.crashes[i] = both
		return both, news
	}
	if len(crash.fingerprints) == 0 || len(crash.fingerprints) > maxRunning {
		return crash, false
	}
	r.crashes = append(r.crashes, crash)
	if len(r.crashes) > maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	return crash, true
}

func (r *Register) convictCommon(now time.Time, a, b Crash) {
	var common []uint64
	for _, fingerprint := range a.fingerprints {
		if slices.Contains(b.fingerprints, fingerprint) {
			common = append(common, fingerprint)
		}
	}
	if len(common) != 1 || len(r.convicted) >= maxConvicted {
		return
	}
	if _, known := r.convicted[common[0]]; !known {
		r.convicted[common[0]] = now
	}
}

// Clear notes that the fingerprint ran alone and ended well: it is innocent of
// every crash seen so far.
func (r *Register) Clear(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.crashes {
		kept := slices.DeleteFunc(slices.Clone(r.crashes[i].fingerprints), func(f uint64) bool { return f == fingerprint })
		r.crashes[i].fingerprints = kept
	}
}

// Standing returns what is known against the fingerprint.
func (r *Register) Standing(now time.Time, fingerprint uint64) Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashes) == 0 && len(r.convicted) == 0 {
		return Innocent
	}
	r.age(now)
	if _, ok := r.convicted[fingerprint]; ok {
		return Convicted
	}
	for _, crash := range r.crashes {
		if slices.Contains(crash.fingerprints, fingerprint) {
			return Suspected
		}
	}
	return Innocent
}

// Crashes returns all crashes remembered, oldest first, to tell a peer.
func (r *Register) Crashes(now time.Time) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.age(now)
	return slices.Clone(r.crashes)
}

// Convicted returns the number of convicted fingerprints.
func (r *Register) Convicted(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.age(now)
	return len(r.convicted)
}

func (r *Register) age(now time.Time) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return now.Sub(c.at) > suspectedFor })
	for fingerprint, at := range r.convicted {
		if now.Sub(at) > convictedFor {
			delete(r.convicted, fingerprint)
		}
	}
}
