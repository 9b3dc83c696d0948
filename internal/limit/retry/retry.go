// Package retry bounds how often requests are sent again, so that repeats never
// feed an overload.
package retry

import (
	"sync"
	"time"
)

const (
	// safety is the part of the fleet's slack that is used. The rest covers sends
	// that an upstream counts and this process does not, and uneven windows.
	safety = 0.7
	// earnPart is the part of the share that requests earn as they are sent, and
	// savePart the part that may be saved up for a moment at which many repeats
	// are due at once. In any window a process spends at most what it had saved
	// and what it earned, so the two together stay below the whole share.
	//
	// Engines that crash break all their streams in one moment: with a part of
	// the slack alone, three of some seven that a gateway of 25 lost could go on
	// elsewhere, though the fleet had used a fiftieth of its bound.
	earnPart = 0.5
	savePart = 0.4
)

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
	sends  recent
}

// recent counts sends in halves of a window. The two last halves hold what was
// sent in between a half and a whole window, never more than that.
type recent struct {
	// from is when the present half began.
	from          time.Time
	before, since float64
}

// advance moves to the half in which the time lies.
func (r *recent) advance(now time.Time, window time.Duration) {
	half := window / 2
	switch elapsed := now.Sub(r.from); {
	case elapsed < half:
	case elapsed < 2*half:
		r.before, r.since = r.since, 0
		r.from = r.from.Add(half)
	default:
		r.before, r.since = 0, 0
		r.from = now
	}
}

func (r *recent) count() float64 { return r.before + r.since }

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

// slackPart is what an idle process may save: its part of the slack.
func (b *Budget) slackPart() float64 {
	return safety * b.settings.Slack / float64(max(1, b.processes()))
}

// most is what a process may have saved.
func (b *Budget) most(a *account) float64 {
	return b.slackPart() + savePart*b.settings.Share*a.sends.count()
}

// at returns the service's account with what the slack has refilled. The slack
// is refilled over two windows, so that no single window gets it twice.
func (b *Budget) at(now time.Time, service string) *account {
	a := b.services[service]
	if a == nil {
		a = &account{tokens: b.slackPart(), last: now}
		b.services[service] = a
	}
	a.sends.advance(now, b.settings.Window)
	if elapsed := now.Sub(a.last); elapsed > 0 {
		a.tokens += b.slackPart() * elapsed.Seconds() / (2 * b.settings.Window.Seconds())
		a.last = now
	}
	a.tokens = min(a.tokens, b.most(a))
	return a
}

// Sent notes a first send to the service.
func (b *Budget) Sent(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.at(now, service)
	a.sends.since++
	a.tokens = min(a.tokens+earnPart*b.settings.Share, b.most(a))
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
