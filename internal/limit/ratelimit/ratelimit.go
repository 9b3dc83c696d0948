// Package ratelimit keeps the limits that upstreams state in their answers: how many
// requests a second they take from all gateways together. Each gateway that has heard of
// a limit owns a fixed part of it, so that the sum holds without messages, between
// gateways that cannot reach each other, and while the scheduler changes.
package ratelimit

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/limit/share"
)

const (
	// forgetAfter is how long a limit that has ended, or whose upstream is no longer
	// registered, is remembered.
	forgetAfter = time.Minute
	// joinDelay is the pause of a gateway that owns nothing yet because the others may not
	// know it.
	joinDelay = time.Second
)

// Statement is what an upstream's process stated last of its limit.
type Statement struct {
	Upstream string
	// StartedAtMs identifies the process.
	StartedAtMs int64
	// Limited is false if the limit has ended.
	Limited   bool
	PerSecond float64
	// At is when the statement was heard last.
	At time.Time
	// Event distinguishes a change of what upstreams state from any other.
	Event uint64
}

// sameAs reports whether both state the same of the same process.
func (s Statement) sameAs(other Statement) bool {
	return s.StartedAtMs == other.StartedAtMs && s.Limited == other.Limited && s.PerSecond == other.PerSecond
}

type upstream struct {
	Statement
	parts share.Parts
	sent  share.History
	loans share.Loans
}

// Limiter decides how many requests a gateway may send to an upstream that has stated a
// limit. It is safe for concurrent use.
type Limiter struct {
	// process identifies this gateway's process.
	process  uint64
	gateways func(now time.Time) share.Gateways

	mu        sync.Mutex
	upstreams map[string]*upstream
	// changes counts the changes that this gateway was the first to hear of.
	changes uint64
}

// New returns a limiter for a gateway's process that has heard of no limit. The function
// returns all known gateways.
func New(process uint64, gateways func(now time.Time) share.Gateways) *Limiter {
	return &Limiter{process: process, gateways: gateways, upstreams: make(map[string]*upstream)}
}

// Stated records the limit that an upstream's process stated in an answer. It returns what
// it had stated before, and whether that has changed.
func (l *Limiter) Stated(now time.Time, id string, startedAtMs int64, perSecond float64) (before Statement, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recordLocked(Statement{Upstream: id, StartedAtMs: startedAtMs, Limited: perSecond <= maxRate, PerSecond: perSecond, At: now})
}

// NotStated records an answer without a limit to a request that was sent at a time. The
// answer ends a limit that was heard of before then; a later limit may have been stated
// after it.
func (l *Limiter) NotStated(now time.Time, id string, startedAtMs int64, sentAt time.Time) (before Statement, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[id]
	if u == nil || !u.Limited || u.StartedAtMs > startedAtMs || sentAt.Before(u.At) {
		return Statement{}, false
	}
	return l.recordLocked(Statement{Upstream: id, StartedAtMs: startedAtMs, At: now})
}

func (l *Limiter) recordLocked(s Statement) (before Statement, changed bool) {
	u := l.upstreams[s.Upstream]
	if u == nil {
		u = &upstream{}
		l.upstreams[s.Upstream] = u
	}
	before, changed = u.Statement, !u.sameAs(s)
	s.Event = before.Event
	if changed {
		l.changes++
		s.Event = xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, l.process), l.changes))
	}
	u.Statement = s
	return before, changed
}

// Heard records what another gateway heard last of an upstream, and reports whether that
// changes what is known. An upstream's statement to this gateway is not renewed by what
// others say, or two gateways could confirm an old one to each other for ever.
func (l *Limiter) Heard(now time.Time, s Statement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[s.Upstream]
	switch {
	case now.Sub(s.At) > forgetAfter:
		// A limit that ended since may have been forgotten here.
		return false
	case u == nil && !s.Limited:
		return false
	case u == nil:
		u = &upstream{}
		l.upstreams[s.Upstream] = u
	case u.Event == s.Event || u.sameAs(s) || s.StartedAtMs < u.StartedAtMs || (s.StartedAtMs == u.StartedAtMs && !s.At.After(u.At)):
		return false
	}
	u.Statement = s
	return true
}

// Statements returns what is known of all upstreams that stated a limit.
func (l *Limiter) Statements() []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.upstreams) == 0 {
		return nil
	}
	statements := make([]Statement, 0, len(l.upstreams))
	for _, u := range l.upstreams {
		statements = append(statements, u.Statement)
	}
	return statements
}

// limitedLocked returns the upstream if the process that started at the time, or a later
// one, is limited.
func (l *Limiter) limitedLocked(id string, startedAtMs int64) *upstream {
	u := l.upstreams[id]
	if u == nil || !u.Limited || u.StartedAtMs < startedAtMs {
		return nil
	}
	return u
}

// ownLocked returns how many requests to the upstream the gateway owns in a time.
func (l *Limiter) ownLocked(gateways share.Gateways, gateway string, u *upstream) (requests int, within time.Duration) {
	total, within := division(u.PerSecond, len(gateways.IDs))
	total = gateways.Owned(total, within)
	if total == 0 {
		return 0, within
	}
	if !u.parts.Current(total, gateways) {
		u.parts = share.Divide(total, u.Upstream, gateways)
	}
	return u.parts.Of(gateway, u.Upstream), within
}

// Wait returns how long it takes until this gateway may send a request to the upstream's
// process.
func (l *Limiter) Wait(now time.Time, gateway, id string, startedAtMs int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitLocked(now, gateway, l.limitedLocked(id, startedAtMs))
}

func (l *Limiter) waitLocked(now time.Time, gateway string, u *upstream) time.Duration {
	if u == nil {
		return 0
	}
	gateways := l.gateways(now)
	own, within := l.ownLocked(gateways, gateway, u)
	allowed := u.loans.Allowance(now, own)
	switch {
	case allowed > 0:
		return u.sent.Free(now, within, allowed)
	case own > 0:
		return share.LoanLife + within
	case !gateways.Joined:
		return joinDelay
	case gateways.YoungFor(within) > 0:
		return min(longestWindow, gateways.YoungFor(within))
	}
	// Other gateways own the limit; a longer pause would tell callers nothing.
	return longestWindow
}

// Take reports whether this gateway may send a request to the upstream's process now, and
// counts it.
func (l *Limiter) Take(now time.Time, gateway, id string, startedAtMs int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.limitedLocked(id, startedAtMs)
	if l.waitLocked(now, gateway, u) > 0 {
		return false
	}
	if u != nil {
		u.sent.Add(now)
	}
	return true
}

// Await records that a request to the upstream's process, which Take has just counted, may arrive
// at any time until settled is called. It returns nil if the process is not limited.
func (l *Limiter) Await(now time.Time, id string, startedAtMs int64) (settled func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.limitedLocked(id, startedAtMs)
	if u == nil {
		return nil
	}
	request := u.sent.Await(now)
	return func(now time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		u.sent.Settle(now, request)
	}
}

// Wanted returns how many requests to the upstream's process beyond its own part a gateway
// needs that sends it a number per second.
func (l *Limiter) Wanted(now time.Time, gateway, id string, startedAtMs int64, perSecond float64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.limitedLocked(id, startedAtMs)
	if u == nil {
		return 0
	}
	own, within := l.ownLocked(l.gateways(now), gateway, u)
	return share.Wanted(perSecond, own, within)
}

// Lend lends a part of what this gateway owns of the upstream's limit and has not sent, and
// returns the number of requests.
func (l *Limiter) Lend(now time.Time, gateway, id string, borrower uint64, wanted int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[id]
	if u == nil || !u.Limited {
		return 0
	}
	own, within := l.ownLocked(l.gateways(now), gateway, u)
	if within > longestWindow {
		return 0
	}
	return u.loans.Lend(now, borrower, wanted, own-u.sent.Count(now, within), within)
}

// Borrow records what another gateway lent of its part of the upstream's limit in reply to a
// question that was asked at a time.
func (l *Limiter) Borrow(id, lender string, requests int, askedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.upstreams[id]; u != nil && u.Limited {
		u.loans.Borrow(lender, requests, askedAt)
	}
}

// Limited returns the number of upstreams that have stated a limit.
func (l *Limiter) Limited() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, u := range l.upstreams {
		if u.Limited {
			count++
		}
	}
	return count
}

// Forget drops limits that ended long ago and those of processes that are no longer
// registered, or not the latest under their ID.
func (l *Limiter) Forget(now time.Time, isCurrent func(id string, startedAtMs int64) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, u := range l.upstreams {
		if now.Sub(u.At) > forgetAfter && (!u.Limited || !isCurrent(id, u.StartedAtMs)) {
			delete(l.upstreams, id)
		}
	}
}
