// Package division tracks how long the workspaces have recently held slots, so that scarce
// slots can be divided evenly among those that ask for them. It does no I/O and does not
// read the clock.
package division

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of the usage: a few times the length of a short request, so
	// that it evens out, and short enough that a burst is soon forgotten.
	halfLife = 2 * time.Second
	// Advance is the time for which a slot counts beyond the time that it was held so far.
	// Without it, all slots that become free at the same moment would go to the workspace
	// that has the least usage at that moment.
	Advance = 200 * time.Millisecond
	// forgetAfter is how long an account without slots is kept.
	forgetAfter = time.Minute
)

// meanTime is the mean age of the time in the usage. The usage of a workspace that holds one
// slot at all times converges to it.
var meanTime = halfLife.Seconds() / math.Ln2

// Key identifies an account. Requests without a workspace share one.
type Key struct {
	Service   string
	Tier      int
	Workspace string
}

// Account is the recent usage of one workspace.
type Account struct {
	Key
	held int
	// Waiting is for use by callers that count the waiting requests of each workspace.
	Waiting int
	// used is the decaying sum of the time that slots were held until at, in seconds.
	used float64
	at   time.Time
}

func (a *Account) advance(now time.Time) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	remaining := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	a.used = a.used*remaining + float64(a.held)*meanTime*(1-remaining)
	a.at = now
}

// NewAccount returns an account that belongs to no ledger.
func NewAccount(now time.Time, key Key) *Account { return &Account{Key: key, at: now} }

// Charge counts a slot as held for a time that ends now.
func (a *Account) Charge(now time.Time, held time.Duration) {
	a.advance(now)
	a.used += held.Seconds()
}

// Take records that the workspace got a slot.
func (a *Account) Take(now time.Time) {
	a.advance(now)
	a.held++
}

// Free records that the workspace no longer holds a slot.
func (a *Account) Free(now time.Time) {
	a.advance(now)
	a.held = max(0, a.held-1)
}

// Held returns the number of slots that the workspace holds.
func (a *Account) Held() int { return a.held }

// Usage returns the time that the workspace held slots, in seconds, as a sum that halves
// every two seconds. Slots that it holds now count Advance more each.
func (a *Account) Usage(now time.Time) float64 {
	a.advance(now)
	return a.used + float64(a.held)*Advance.Seconds()
}

// MeanHeld returns the mean number of slots that the workspace held recently.
func (a *Account) MeanHeld(now time.Time) float64 {
	a.advance(now)
	return a.used / meanTime
}

// Ledger holds the accounts of all workspaces. It is not safe for concurrent use.
type Ledger struct {
	accounts  map[Key]*Account
	expiredAt time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[Key]*Account)} }

// Account returns the account for the key.
func (l *Ledger) Account(now time.Time, key Key) *Account {
	l.expire(now)
	a := l.accounts[key]
	if a == nil {
		a = NewAccount(now, key)
		l.accounts[key] = a
	}
	a.advance(now)
	return a
}

// expire removes the accounts that were not used lately.
func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.expiredAt) < forgetAfter {
		return
	}
	l.expiredAt = now
	for key, a := range l.accounts {
		if a.held == 0 && now.Sub(a.at) >= forgetAfter {
			delete(l.accounts, key)
		}
	}
}

// Size returns the number of accounts.
func (l *Ledger) Size() int { return len(l.accounts) }

// GoBefore returns how many of the requests that wait for another workspace get slots before
// the last of own requests of the account, if slots become free now: each slot goes to the
// workspace with the least usage.
func (a *Account) GoBefore(now time.Time, own int, other *Account, waiting int) int {
	behind := (a.Usage(now) - other.Usage(now)) / Advance.Seconds()
	return int(min(float64(waiting), max(0, float64(own)+behind)))
}
