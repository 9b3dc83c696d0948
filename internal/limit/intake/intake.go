// Package intake limits the new connections of callers that a gateway takes to what the link of
// its VM carries. A caller whose connection is closed with its request unread tries another
// gateway at once, while one whose request was read waits behind others on the full link.
package intake

import (
	"sync"
	"time"
)

const (
	// targetLoad is the load of the link that the limit aims at. Queues on a link double
	// their wait from 0.6 to 0.75 of its capacity.
	targetLoad = 0.6
	// decreasePause is the least time between two decreases: as long as it takes until the
	// load shows the previous one.
	decreasePause = 200 * time.Millisecond
	// increase is added to the share of connections taken with each sample of a load below
	// the target, a tenth of a second apart.
	increase = 0.02
	// minShare is the least share of connections taken, and maxIdle the longest time without
	// one: a gateway that says it is ready must go on taking some.
	minShare = 0.05
	maxIdle  = 500 * time.Millisecond
	// fewShare is the share of connections taken below which a gateway does not count as one
	// that takes callers: of those closed unread at one such gateway and tried at another, one in
	// twenty-five would be closed again.
	fewShare = 0.8
)

// Limiter decides which new connections are taken. It is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// share is the share of new connections that are taken.
	share float64
	// credit is the part of a connection that may be taken, and grows by share with each.
	credit      float64
	decreasedAt time.Time
	takenAt     time.Time
}

// New returns a limiter that takes all connections.
func New() *Limiter { return &Limiter{share: 1} }

// Sampled adjusts the limit to the load of the link, as a share of its capacity. While no other
// gateway takes the callers, all connections are taken.
func (l *Limiter) Sampled(now time.Time, load float64, othersTake bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !othersTake:
		l.share = 1
	case load <= targetLoad:
		l.share = min(1, l.share+increase)
	case now.Sub(l.decreasedAt) >= decreasePause:
		l.share, l.decreasedAt = max(minShare, l.share*targetLoad/load), now
	}
}

// Take reports whether a new connection is taken.
func (l *Limiter) Take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.credit += l.share
	if l.credit < 1 && now.Sub(l.takenAt) < maxIdle {
		return false
	}
	l.credit, l.takenAt = max(0, l.credit-1), now
	return true
}

// Share returns the share of new connections that are taken.
func (l *Limiter) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share
}

// TakesFew reports whether callers that other gateways do not take should not be sent here.
func (l *Limiter) TakesFew() bool { return l.Share() < fewShare }
