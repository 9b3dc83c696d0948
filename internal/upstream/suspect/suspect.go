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
	// recognition is how long after its last report a forgotten crash is recognized, so
	// that a peer that repeats it does not make it count again.
	recognition = convictionRetention
	// maxForgotten bounds the crashes that are only recognized.
	maxForgotten = 1024
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
	// cleared are the fingerprints that were removed since.
	cleared []uint64
}

// NewCrash returns a crash. All reporters of a crash derive the same id for it.
func NewCrash(id uint64, at time.Time, fingerprints []uint64) Crash {
	sorted := slices.Clone(fingerprints)
	slices.Sort(sorted)
	return Crash{id: id, at: at, fingerprints: slices.Compact(sorted)}
}

// NewReportedCrash returns a crash that a peer reported with the rest of its life. The
// life is 0 if the peer is of an older version, and then counts as whole.
func NewReportedCrash(now time.Time, id uint64, life time.Duration, fingerprints []uint64) Crash {
	if life <= 0 || life > crashRetention {
		life = crashRetention
	}
	return NewCrash(id, now.Add(life-crashRetention), fingerprints)
}

// ID returns the ID of the crash.
func (c Crash) ID() uint64 { return c.id }

// Fingerprints returns the fingerprints of the running requests, sorted.
func (c Crash) Fingerprints() []uint64 { return c.fingerprints }

// Life returns how long the crash is still remembered.
func (c Crash) Life(now time.Time) time.Duration { return c.at.Add(crashRetention).Sub(now) }

// Registry records crashes and convictions. It is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex
	crashes   []Crash
	convicted map[uint64]time.Time
	// forgotten holds the last reports of crashes that no longer count, by ID.
	forgotten map[uint64]time.Time
}

// New returns a registry without crashes.
func New() *Registry {
	return &Registry{convicted: make(map[uint64]time.Time), forgotten: make(map[uint64]time.Time)}
}

// Record records a crash that was observed here or reported by a peer, and returns
// whether it added anything. Partial reports of one crash are merged by its ID. Each
// report overstates when the crash was by the time that it was on its way, so the
// earliest time is kept. A crash that was forgotten does not count again.
func (r *Registry) Record(now time.Time, crash Crash) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if r.isForgotten(now, crash.id) {
		return false
	}
	merged, changed := r.merge(now, crash)
	if !changed {
		return false
	}
	for _, other := range r.crashes {
		if other.id != merged.id {
			r.convictCommon(merged, other)
		}
	}
	return true
}

func (r *Registry) merge(now time.Time, crash Crash) (Crash, bool) {
	for i, known := range r.crashes {
		if known.id != crash.id {
			continue
		}
		added := slices.DeleteFunc(slices.Clone(crash.fingerprints), func(f uint64) bool { return slices.Contains(known.cleared, f) })
		merged := NewCrash(known.id, known.at, slices.Concat(known.fingerprints, added))
		merged.cleared = known.cleared
		if crash.at.Before(known.at) {
			merged.at = crash.at
		}
		changed := len(merged.fingerprints) > len(known.fingerprints)
		r.crashes[i] = merged
		return merged, changed
	}
	if len(crash.fingerprints) == 0 || len(crash.fingerprints) > maxFingerprintsPerCrash {
		return crash, false
	}
	r.crashes = append(r.crashes, crash)
	if len(r.crashes) > maxCrashes {
		oldest := slices.MinFunc(r.crashes, func(x, y Crash) int { return x.at.Compare(y.at) })
		r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return c.id == oldest.id })
		r.forget(now, oldest.id)
		return crash, oldest.id != crash.id
	}
	return crash, true
}

// isForgotten reports whether the crash was forgotten, and notes that it was reported
// again.
func (r *Registry) isForgotten(now time.Time, id uint64) bool {
	last, ok := r.forgotten[id]
	if !ok || now.Sub(last) > recognition {
		return false
	}
	r.forgotten[id] = now
	return true
}

// forget notes that the crash no longer counts. The one that was reported least recently
// makes room.
func (r *Registry) forget(now time.Time, id uint64) {
	r.forgotten[id] = now
	if len(r.forgotten) <= maxForgotten {
		return
	}
	oldest := id
	for other, at := range r.forgotten {
		if at.Before(r.forgotten[oldest]) {
			oldest = other
		}
	}
	delete(r.forgotten, oldest)
}

// convictCommon convicts the only fingerprint that two crashes have in common. The
// conviction counts from the later crash and not from its report, so that it ends at all
// nodes at the same time.
func (r *Registry) convictCommon(a, b Crash) {
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
		at := a.at
		if b.at.After(at) {
			at = b.at
		}
		r.convicted[common[0]] = at
	}
}

// Clear removes the fingerprint from all recorded crashes, because it ran alone
// and finished without a crash.
func (r *Registry) Clear(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.crashes {
		crash := &r.crashes[i]
		remaining := slices.DeleteFunc(slices.Clone(crash.fingerprints), func(f uint64) bool { return f == fingerprint })
		if len(remaining) < len(crash.fingerprints) {
			crash.cleared = append(slices.Clone(crash.cleared), fingerprint)
		}
		crash.fingerprints = remaining
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

// Crashes returns all recorded crashes, in the order in which they became known, for
// reporting to peers.
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
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool {
		expired := c.Life(now) <= 0
		if expired {
			r.forget(now, c.id)
		}
		return expired
	})
	for fingerprint, at := range r.convicted {
		if now.Sub(at) > convictionRetention {
			delete(r.convicted, fingerprint)
		}
	}
}
