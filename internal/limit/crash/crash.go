// Package crash recognizes requests that crash what runs them: the same
// fingerprint was being run each time an upstream died.
package crash

import (
	"sync"
	"time"
)

const (
	// blockAt is the number of upstreams after which a fingerprint is refused.
	// One crash has many requests in common with an innocent one, and two may
	// be bad luck of one caller; three are what callers' retries allow for.
	blockAt = 3
	// confirmWithin is how soon after an answer broke off its upstream must be
	// found dead for the two to be one event: a connection is refused within a
	// round trip of the crash, as soon as any request is sent there.
	confirmWithin = 1500 * time.Millisecond
	// keep is how long crashes are remembered.
	keep = 2 * time.Minute
	// mostSuspects bounds what is remembered of one moment.
	mostSuspects = 4096
)

type suspicion struct {
	fingerprint uint64
	at          time.Time
}

// Register remembers crashes. It is safe for concurrent use.
type Register struct {
	mu       sync.Mutex
	broke    map[string][]suspicion
	count    int
	crashes  map[uint64]map[string]time.Time
	onCrash  func(fingerprint uint64, crash string)
	lastTidy time.Time
}

// New returns an empty register. OnCrash is told of each crash that is held
// against a fingerprint, so that other processes can be told; it may be nil.
func New(onCrash func(fingerprint uint64, crash string)) *Register {
	return &Register{broke: make(map[string][]suspicion), crashes: make(map[uint64]map[string]time.Time), onCrash: onCrash}
}

// Broke notes that an upstream broke off while it had the request.
func (r *Register) Broke(now time.Time, upstream string, fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tidy(now)
	if r.count >= mostSuspects {
		return
	}
	r.broke[upstream] = append(r.broke[upstream], suspicion{fingerprint: fingerprint, at: now})
	r.count++
}

// Down notes that nothing listens at the upstream: what it broke off shortly
// before was running when it crashed.
func (r *Register) Down(now time.Time, upstream string) {
	r.mu.Lock()
	suspicions := r.broke[upstream]
	delete(r.broke, upstream)
	r.count -= len(suspicions)
	var held []suspicion
	for _, s := range suspicions {
		if now.Sub(s.at) > confirmWithin {
			continue
		}
		r.hold(now, s.fingerprint, upstream)
		held = append(held, s)
	}
	r.mu.Unlock()
	if r.onCrash == nil {
		return
	}
	for _, s := range held {
		r.onCrash(s.fingerprint, upstream)
	}
}

// Learn takes a crash that another process saw, and tells whether it is new.
func (r *Register) Learn(now time.Time, fingerprint uint64, crash string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.crashes[fingerprint][crash]; known {
		return false
	}
	r.hold(now, fingerprint, crash)
	return true
}

func (r *Register) hold(now time.Time, fingerprint uint64, crash string) {
	if r.crashes[fingerprint] == nil {
		r.crashes[fingerprint] = make(map[string]time.Time)
	}
	r.crashes[fingerprint][crash] = now
}

// Blocked tells whether requests of the fingerprint are refused.
func (r *Register) Blocked(now time.Time, fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tidy(now)
	return len(r.crashes[fingerprint]) >= blockAt
}

// tidy forgets what is old, once a second at most.
func (r *Register) tidy(now time.Time) {
	if now.Sub(r.lastTidy) < time.Second {
		return
	}
	r.lastTidy = now
	for upstream, suspicions := range r.broke {
		if last := suspicions[len(suspicions)-1]; now.Sub(last.at) > confirmWithin {
			r.count -= len(suspicions)
			delete(r.broke, upstream)
		}
	}
	for fingerprint, crashes := range r.crashes {
		for upstream, at := range crashes {
			if now.Sub(at) > keep {
				delete(crashes, upstream)
			}
		}
		if len(crashes) == 0 {
			delete(r.crashes, fingerprint)
		}
	}
}
