// Package membership knows which gateways are registered in the store, and whether this
// gateway's process owns a part of what the fleet may do together.
//
// The parts add up to one without agreement because each process owns its part only while
// all other owners count it: it is registered under a lease that it knows to be valid, and
// has been for as long as the others need to learn of it or to lose their own.
package membership

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Membership is what one process knows. It is safe for concurrent use.
type Membership struct {
	// settleTime is how long the others need to learn of a registration, or to lose theirs.
	settleTime time.Duration

	mu sync.Mutex
	// addresses holds the addresses of the registered gateways by the key of the
	// registration, and listed is set once a complete list was read.
	addresses map[string]string
	listed    bool
	// heldUntil is until when the registration is known to last, ownsFrom from when on the
	// others count it, and registeredAt when it was made first.
	heldUntil, ownsFrom, registeredAt time.Time
	// succeeds is set if the others know this gateway from a process before, and renewed if
	// the registration has ended since and was made again.
	succeeds, renewed bool
}

// New returns the membership of a process that has not registered. Within the settle time
// the others learn of a registration or, if they do not reach the store, lose their own.
func New(settleTime time.Duration) *Membership {
	return &Membership{settleTime: settleTime, addresses: make(map[string]string)}
}

// Replace records a complete list of registrations: addresses by key.
func (m *Membership) Replace(addresses map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses, m.listed = maps.Clone(addresses), true
}

// Add records a registration.
func (m *Membership) Add(key, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses[key] = address
}

// Remove records that a registration was removed.
func (m *Membership) Remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.addresses, key)
}

// Addresses returns the addresses of the registered gateways.
func (m *Membership) Addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.addresses))
}

// Succeeds records that the gateway was registered by a former process until this one
// registered, so that the others count it already.
func (m *Membership) Succeeds() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.succeeds = true
	if !m.registeredAt.IsZero() && !m.renewed {
		m.ownsFrom = m.registeredAt
	}
}

// Registered records that the registration was written, anew if it had ended, and lasts until a
// time.
func (m *Membership) Registered(now, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heldUntil = until
	m.renewed = !m.registeredAt.IsZero()
	if !m.renewed {
		m.registeredAt = now
	}
	m.ownsFrom = now.Add(m.settleTime)
	if m.succeeds && !m.renewed {
		m.ownsFrom = now
	}
}

// Renewed records that the registration lasts until a time.
func (m *Membership) Renewed(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heldUntil = until
}

// Owns reports whether the process owns its part, and since when. One whose registration may
// have ended owns nothing, as the others may count without it.
func (m *Membership) Owns(now time.Time) (since time.Time, owns bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownsFrom, m.listed && !now.Before(m.ownsFrom) && now.Before(m.heldUntil)
}
