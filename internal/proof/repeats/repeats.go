// Package repeats checks how often a fleet repeats requests to a service, by what callers
// sent and what upstreams received, against the limit that all processes share.
package repeats

import (
	"slices"
	"sync"
	"time"
)

// Limit is how often requests to a service may be repeated: in any Window, Ratio times the
// requests and Slack.
type Limit struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Log records the requests to one service. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	requests []time.Time
	// arrivals holds when each request arrived, by its ID.
	arrivals map[string][]time.Time
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{arrivals: make(map[string][]time.Time)} }

// Sent records a request that a caller sends. Each attempt of a caller is a request.
func (l *Log) Sent(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, at)
}

// Arrived records that a request reached an upstream, which may have rejected it.
func (l *Log) Arrived(at time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], at)
}

// repeatsLocked returns the arrivals beyond the first of each request, in order of time.
func (l *Log) repeatsLocked() []time.Time {
	var repeats []time.Time
	for _, times := range l.arrivals {
		sorted := slices.SortedFunc(slices.Values(times), time.Time.Compare)
		repeats = append(repeats, sorted[1:]...)
	}
	slices.SortFunc(repeats, time.Time.Compare)
	return repeats
}

// Span is a window and what was counted in it.
type Span struct {
	From time.Time
	// Repeats are the arrivals beyond the first of each request, and Allowed how many the
	// limit allows for the Requests.
	Repeats, Requests int
	Allowed           float64
}

// Exceeds reports whether there were more repeats than allowed.
func (s Span) Exceeds() bool { return float64(s.Repeats) > s.Allowed }

// Worst returns the window in which repeats exceed the limit by most or come nearest to it.
// Requests are counted in the window, the one before it or the one half a window before it,
// whichever has most: retries may belong to requests that were sent earlier.
func (l *Log) Worst(limit Limit) Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests, repeats := slices.SortedFunc(slices.Values(l.requests), time.Time.Compare), l.repeatsLocked()
	var worst Span
	for i, at := range repeats {
		for _, from := range []time.Time{at, at.Add(-limit.Window)} {
			s := Span{From: from, Repeats: countWithin(repeats, from, limit.Window)}
			for _, earlier := range []time.Duration{0, limit.Window / 2, limit.Window} {
				s.Requests = max(s.Requests, countWithin(requests, from.Add(-earlier), limit.Window))
			}
			s.Allowed = limit.Ratio*float64(s.Requests) + limit.Slack
			if i == 0 && worst.From.IsZero() || float64(s.Repeats)-s.Allowed > float64(worst.Repeats)-worst.Allowed {
				worst = s
			}
		}
	}
	return worst
}

// countWithin returns how many of the sorted times lie in the window, its ends included.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window).Add(1), time.Time.Compare)
	return end - first
}
