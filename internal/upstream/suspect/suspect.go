// Package suspect identifies requests that crash the upstreams that run them.
// Requests are identified by the fingerprint of their body, which stays the same
// when the caller retries. All requests that an upstream was running when it
// crashed become suspect, and a suspect runs alone. A fingerprint is convicted if
// it is the only one that two crashes have in common: most of the requests that
// were running at a crash did not cause it, and because suspects run alone, they
// do not run beside the cause again.
package suspect

import (
	"slices"
	"sync"
	"time"
)

// Status is the status of a fingerprint.
type Status int

// Statuses of a fingerprint.
const (
	NotSuspected Status = iota
	Suspected
	Convicted
)

const (
	// crashRetention is how long a crash is kept.
	crashRetention = 10 * time.Minute
	// convictionRetention is how long a conviction lasts.
	convictionRetention = 6 * time.Hour
	// maxCrashes and maxConvicted bound the state. When there are too many crashes
	// the oldest is dropped; when there are too many convictions new ones are not
	// added.
	maxCrashes   = 256
	maxConvicted = 4096
	// maxFingerprintsPerCrash bounds the fingerprints of a crash; a larger crash is
	// ignored.
	maxFingerprintsPerCrash = 512
)

// Crash is the crash of an upstream, with the fingerprints of the requests that it
// was running.
type Crash struct {
	id           uint64
	at           time.Time
	fingerprints []uint64
}

// NewCrash returns a crash. All reporters of a crash derive the same id for it.
func NewCrash(id uint64, at time.Time, fingerprints []uint64) Crash {
	sorted := slices.Clone(fingerprints)
	slices.Sort(sorted)
	return Crash{id: id, at: at, fingerprints: slices.Compact(sorted)}
}

// ID returns the ID of the crash.
func (c Crash) ID() uint64 { return c.id }

// Fingerprints returns the fingerprints of the running requests, sorted.
func (c Crash) Fingerprints() []uint64 { return c.fingerprints }

// Registry records crashes and convictions. It is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex
	crashes   []Crash
	convicted map[uint64]time.Time
}

// New returns a registry without crashes.
func New() *Registry { return &Registry{convicted: make(map[uint64]time.Time)} }

// Record records a crash that was observed here or reported by a peer, and returns
// whether it added anything. Partial reports of one crash are merged by its ID.
func (r *Registry) Record(now time.Time, crash Crash) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	merged, changed := r.merge(crash)
	if !changed {
		return false
	}
	for _, other := range r.crashes {
		if other.id != merged.id {
			r.convictCommon(now, merged, other)
		}
	}
	return true
}

func (r *Registry) merge(crash Crash) (Crash, bool) {
	for i, known := range r.crashes {
		if known.id != crash.id {
			continue
		}
		merged := NewCrash(known.id, known.at, slices.Concat(known.fingerprints, crash.fingerprints))
		changed := len(merged.fingerprints) > len(known.fingerprints)
		r.crashes[i] = merged
		return merged, changed
	}
	if len(crash.fingerprints) == 0 || len(crash.fingerprints) > maxFingerprintsPerCrash {
		return crash, false
	}
	r.crashes = append(r.crashes, crash)
	if len(r.crashes) > maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	return crash, true
}

func (r *Registry) convictCommon(now time.Time, a, b Crash) {
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

// Clear removes the fingerprint from all recorded crashes, because it ran alone
// and finished without a crash.
func (r *Registry) Clear(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.crashes {
		remaining := slices.DeleteFunc(slices.Clone(r.crashes[i].fingerprints), func(f uint64) bool { return f == fingerprint })
		r.crashes[i].fingerprints = remaining
	}
}

// Status returns the status of the fingerprint.
func (r *Registry) Status(now time.Time, fingerprint uint64) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashes) == 0 && len(r.convicted) == 0 {
		return NotSuspected
	}
	r.expire(now)
	if _, ok := r.convicted[fingerprint]; ok {
		return Convicted
	}
	for _, crash := range r.crashes {
		if slices.Contains(crash.fingerprints, fingerprint) {
			return Suspected
		}
	}
	return NotSuspected
}

// Crashes returns all recorded crashes, oldest first, for reporting to peers.
func (r *Registry) Crashes(now time.Time) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return slices.Clone(r.crashes)
}

// Convicted returns the number of convicted fingerprints.
func (r *Registry) Convicted(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return len(r.convicted)
}

func (r *Registry) expire(now time.Time) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return now.Sub(c.at) > crashRetention })
	for fingerprint, at := range r.convicted {
		if now.Sub(at) > convictionRetention {
			delete(r.convicted, fingerprint)
		}
	}
}
