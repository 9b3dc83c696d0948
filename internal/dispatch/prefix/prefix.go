// Package prefix remembers where this entry sent a prompt's prefix lately, as
// a guess of which upstream's cache still holds it. Engines tell of their
// caches late and with gaps, so the guess may be wrong; a wrong guess costs a
// prefill and nothing else.
package prefix

import (
	"sync"
	"time"
)

const (
	// heldFor is how long a cache is assumed to hold a prefix after its last
	// use.
	heldFor = 2 * time.Minute
	// maxPlaces bounds the memory of one generation.
	maxPlaces = 8192
)

type place struct {
	key      uint64
	upstream string
}

// Memory is a bounded memory of two generations. It is safe for concurrent
// use.
type Memory struct {
	mu       sync.Mutex
	current  map[place]time.Time
	previous map[place]time.Time
}

// New returns an empty memory.
func New() *Memory {
	return &Memory{current: make(map[place]time.Time), previous: make(map[place]time.Time)}
}

// Sent notes that the prefix went to the upstream.
func (m *Memory) Sent(now time.Time, key uint64, upstream string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.current) >= maxPlaces {
		m.previous, m.current = m.current, make(map[place]time.Time)
	}
	m.current[place{key, upstream}] = now
}

// Holds tells whether the upstream's cache probably holds the prefix.
func (m *Memory) Holds(now time.Time, key uint64, upstream string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.current[place{key, upstream}]
	if !ok {
		at, ok = m.previous[place{key, upstream}]
	}
	return ok && now.Sub(at) < heldFor
}
