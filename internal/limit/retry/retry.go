// Package retry bounds how often requests are sent again, so that repeats never
// feed an overload.
package retry

import (
	"sync"
	"time"
)

// safety is the part of the fleet's bound that is used. The rest covers sends
// that an upstream counts and this process does not, and uneven windows.
const safety = 0.7

// Settings are the fleet's bound: in any Window a service may get at most Share
// of its requests and Slack more as repeats.
type Settings struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

// Budget is one process's part of the bound. Its own requests earn their share,
// and the slack is split among the processes that are known.
type Budget struct {
	settings  Settings
	processes func() int

	mu       sync.Mutex
	services map[string]*account
}

type account struct {
	tokens float64
	last   time.Time
}

// New returns a budget. Processes tells how many processes share the slack.
func New(s Settings, processes func() int) *Budget {
	return &Budget{settings: s, processes: processes, services: make(map[string]*account)}
}

// SetSettings changes the bound.
func (b *Budget) SetSettings(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = s
}

// most is what an idle process may save: its part of the slack.
func (b *Budget) most() float64 {
	return safety * b.settings.Slack / float64(max(1, b.processes()))
}

// at returns the service's account with what the slack has refilled. The slack
// is refilled over two windows, so that no single window gets it twice.
func (b *Budget) at(now time.Time, service string) *account {
	a := b.services[service]
	if a == nil {
		a = &account{tokens: b.most(), last: now}
		b.services[service] = a
	}
	if elapsed := now.Sub(a.last); elapsed > 0 {
		refill := b.most() * elapsed.Seconds() / (2 * b.settings.Window.Seconds())
		a.tokens = min(a.tokens+refill, b.most())
		a.last = now
	}
	return a
}

// Sent notes a first send to the service.
func (b *Budget) Sent(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.at(now, service)
	a.tokens = min(a.tokens+safety*b.settings.Share, b.most())
}

// Take tells whether one more send is allowed, and counts it.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.at(now, service)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
