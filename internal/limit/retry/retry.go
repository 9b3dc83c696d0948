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
	// Of the fleet's slack, a process that owns a part of it saves up to savedSlack of its
	// part, and gets refilledSlack of it anew in each window. Of the share that requests
	// earn, earnedShare comes as they are sent, and savedShare may be saved.
	//
	// What arrives of a process in a window is at most what it had saved, or sent without knowing
	// that it arrived, and what it got since.
	// A process saves nothing before its start, so processes that follow one another on a
	// VM get no more in a window than one that lives, and both pairs add up to less than 1.
	// The rest covers differences between the windows of processes and those of upstreams.
	//
	// Saving is needed because engines that crash break all their streams at once:
	// with a part of the slack alone, each of 25 gateways could resume only three of
	// about seven broken streams, while the fleet had used 1/50 of its limit.
	savedSlack    = 0.5
	refilledSlack = 0.4
	earnedShare   = 0.5
	savedShare    = 0.4
	// intervals is the number of intervals of a window in which requests are counted.
	intervals = 10
)

// Settings is the limit for the whole fleet: in any Window, the retries to a service
// must not exceed Ratio times its requests plus Slack. Without a Window there is no limit.
type Settings struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

func (s Settings) unlimited() bool { return s.Window <= 0 }

// Ownership is the part of the fleet's slack that a process owns.
type Ownership interface {
	// Part returns the fraction that the process owns, and since when; it is 0 if other
	// processes may divide the slack without this one.
	Part(now time.Time) (fraction float64, since time.Time)
}

// Budget is one process's part of the limit. Its own requests earn their share, and it has
// its part of the slack. It is safe for concurrent use.
type Budget struct {
	settings  Settings
	ownership Ownership

	mu       sync.Mutex
	services map[string]*serviceBudget
}

// serviceBudget holds the retries that may be sent to a service.
type serviceBudget struct {
	tokens float64
	// reserved is how many of the tokens are set aside, and unsettled how many retries were
	// sent that may still arrive.
	reserved, unsettled int

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
	// Unsettled is how many retries were sent that may still arrive.
	Unsettled int
}

// requestWindow counts the requests of the latest window in intervals of it. The intervals
// cover between nine tenths of a window and a whole one.
type requestWindow struct {
	counts [intervals]int
	// latest is the present interval, which began at latestStart.
	latest      int
	latestStart time.Time
	sum         int
}

// advance moves to the interval that contains the time.
func (r *requestWindow) advance(now time.Time, window time.Duration) {
	length := max(1, window/intervals)
	if now.Sub(r.latestStart) >= 2*window {
		*r = requestWindow{latestStart: now}
	}
	for now.Sub(r.latestStart) >= length {
		r.latest = (r.latest + 1) % intervals
		r.latestStart = r.latestStart.Add(length)
		r.sum -= r.counts[r.latest]
		r.counts[r.latest] = 0
	}
}

func (r *requestWindow) add() {
	r.counts[r.latest]++
	r.sum++
}

// New returns a budget of which nothing is saved.
func New(s Settings, ownership Ownership) *Budget {
	return &Budget{settings: s, ownership: ownership, services: make(map[string]*serviceBudget)}
}

// SetSettings changes the limit.
func (b *Budget) SetSettings(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = s
}

// refilledBudget returns the service's budget, refilled from the slack since the process
// owns its part.
func (b *Budget) refilledBudget(now time.Time, service string) *serviceBudget {
	fraction, since := b.ownership.Part(now)
	slack := fraction * b.settings.Slack
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{refilledAt: since}
		b.services[service] = s
	}
	s.requests.advance(now, b.settings.Window)
	if since.After(s.refilledAt) {
		s.refilledAt = since
	}
	if elapsed := now.Sub(s.refilledAt); elapsed > 0 && !b.settings.unlimited() {
		s.tokens += refilledSlack * slack * elapsed.Seconds() / b.settings.Window.Seconds()
		s.refilledAt = now
	}
	s.limitSaved(b.maxSaved(slack, s))
	return s
}

// limitSaved bounds what is saved, together with the retries that may still arrive: what a link
// or a paused upstream holds back arrives at once, beside whatever is sent then.
func (s *serviceBudget) limitSaved(most float64) {
	s.tokens = min(s.tokens, max(0, most-float64(s.unsettled)))
}

// maxSaved returns the retries that a process with its part of the slack may have saved.
func (b *Budget) maxSaved(slack float64, s *serviceBudget) float64 {
	return savedSlack*slack + savedShare*b.settings.Ratio*float64(s.requests.sum)
}

// Sent records the first send of a request to the service.
func (b *Budget) Sent(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refilledBudget(now, service)
	s.requests.add()
	s.counted.Requests++
	fraction, _ := b.ownership.Part(now)
	s.tokens += earnedShare * b.settings.Ratio
	s.limitSaved(b.maxSaved(fraction*b.settings.Slack, s))
}

// Reserve reports whether a retry is allowed, and sets it aside until Spend or Release.
func (b *Budget) Reserve(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refilledBudget(now, service)
	if s.free() < 1 && !b.settings.unlimited() {
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
	if s.tokens < 1 && !b.settings.unlimited() {
		s.counted.Refused++
		return false
	}
	s.tokens--
	return true
}

// Await records that a retry is sent, which may arrive at any time until settled is called. It
// returns nil if there is no limit.
func (b *Budget) Await(service string) (settled func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil || b.settings.unlimited() {
		return nil
	}
	s.unsettled++
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.unsettled--
	})
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
		accounts = append(accounts, Account{Service: service, Counts: s.counted, Left: max(0, s.free()), Unsettled: s.unsettled})
	}
	return accounts
}
