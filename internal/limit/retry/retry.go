// Package retry limits how often requests are retried, so that retries do not
// amplify an overload.
package retry

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// usedSlackFraction is the fraction of the fleet's slack that is used. The rest
	// covers attempts that an upstream counts and this process does not, and
	// differences between windows.
	usedSlackFraction = 0.7
	// earnedFraction is the fraction of the share that requests earn as they are
	// sent, and savedFraction the fraction that may be saved for many simultaneous
	// retries. In any window a process spends at most what it had saved and what it
	// earned, so the sum of the two is less than 1.
	//
	// Saving is needed because engines that crash break all their streams at once:
	// with a part of the slack alone, each of 25 gateways could resume only three of
	// about seven broken streams, while the fleet had used 1/50 of its limit.
	earnedFraction = 0.5
	savedFraction  = 0.4
)

// Settings is the limit for the whole fleet: in any Window, the retries to a service
// must not exceed Ratio times its requests plus Slack.
type Settings struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget is one process's part of the limit. Its own requests earn their share, and
// the slack is divided evenly among the known processes. It is safe for concurrent
// use.
type Budget struct {
	settings  Settings
	processes func() int

	mu       sync.Mutex
	services map[string]*serviceBudget
}

// serviceBudget holds the retries that may be spent on a service.
type serviceBudget struct {
	tokens float64
	// reserved is how many of the tokens are set aside.
	reserved   int
	refilledAt time.Time
	requests   requestWindow
	counted    Counts
}

// free returns how many tokens are not set aside.
func (s *serviceBudget) free() float64 { return s.tokens - float64(s.reserved) }

// Counts is what a process has counted of a service since it started.
type Counts struct {
	// Requests are first sends, Allowed the retries that were reserved, and Refused those
	// that the budget did not cover.
	Requests, Allowed, Refused int
}

// Account is the state of the budget of one service.
type Account struct {
	Service string
	Counts
	// Left is how many retries may be sent at once now.
	Left float64
}

// requestWindow counts requests in halves of a window. The two latest halves cover at
// least half a window and never more than a whole one.
type requestWindow struct {
	// halfStart is when the current half began.
	halfStart         time.Time
	previous, current float64
}

// advance moves to the half that contains the time.
func (r *requestWindow) advance(now time.Time, window time.Duration) {
	half := window / 2
	switch elapsed := now.Sub(r.halfStart); {
	case elapsed < half:
	case elapsed < 2*half:
		r.previous, r.current = r.current, 0
		r.halfStart = r.halfStart.Add(half)
	default:
		r.previous, r.current = 0, 0
		r.halfStart = now
	}
}

func (r *requestWindow) count() float64 { return r.previous + r.current }

// New returns a budget. Processes returns how many processes share the slack.
func New(s Settings, processes func() int) *Budget {
	return &Budget{settings: s, processes: processes, services: make(map[string]*serviceBudget)}
}

// SetSettings changes the limit.
func (b *Budget) SetSettings(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = s
}

// slackShare returns this process's part of the slack, which is what an idle process
// may save.
func (b *Budget) slackShare() float64 {
	return usedSlackFraction * b.settings.Slack / float64(max(1, b.processes()))
}

// maxSaved returns the retries that a process may have saved.
func (b *Budget) maxSaved(s *serviceBudget) float64 {
	return b.slackShare() + savedFraction*b.settings.Ratio*s.requests.count()
}

// refilledBudget returns the service's budget, refilled from the slack. The refill of
// the slack takes two windows, so that no single window gets it twice.
func (b *Budget) refilledBudget(now time.Time, service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{tokens: b.slackShare(), refilledAt: now}
		b.services[service] = s
	}
	s.requests.advance(now, b.settings.Window)
	if elapsed := now.Sub(s.refilledAt); elapsed > 0 {
		s.tokens += b.slackShare() * elapsed.Seconds() / (2 * b.settings.Window.Seconds())
		s.refilledAt = now
	}
	s.tokens = min(s.tokens, b.maxSaved(s))
	return s
}

// Sent records the first send of a request to the service.
func (b *Budget) Sent(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refilledBudget(now, service)
	s.requests.current++
	s.counted.Requests++
	s.tokens = min(s.tokens+earnedFraction*b.settings.Ratio, b.maxSaved(s))
}

// Reserve reports whether a retry is allowed, and sets it aside until Spend or Release.
func (b *Budget) Reserve(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refilledBudget(now, service)
	if s.free() < 1 {
		s.counted.Refused++
		return false
	}
	s.reserved++
	s.counted.Allowed++
	return true
}

// Spend charges a reserved retry that is about to be sent. It reports whether it still may
// be: what was saved may have expired since.
func (b *Budget) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refilledBudget(now, service)
	s.reserved--
	if s.tokens < 1 {
		s.counted.Refused++
		return false
	}
	s.tokens--
	return true
}

// Release ends the reservation of a retry that is not sent.
func (b *Budget) Release(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[service]; s != nil {
		s.reserved--
	}
}

// Accounts returns the state of all services, in order of name.
func (b *Budget) Accounts(now time.Time) []Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	accounts := make([]Account, 0, len(b.services))
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		s := b.refilledBudget(now, service)
		accounts = append(accounts, Account{Service: service, Counts: s.counted, Left: max(0, s.free())})
	}
	return accounts
}
