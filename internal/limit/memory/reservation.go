package memory

import "time"

// Reservation is the bytes that one body, answer or stream holds. It is safe for concurrent
// use, and must be closed.
type Reservation struct {
	account *Account
	kind    Kind
	holder  string
	tier    int
	// held and closed are guarded by the account's mutex.
	held   int64
	closed bool
	// arrivingSince is when the body began to arrive, and drop ends that.
	arrivingSince time.Time
	drop          func()
}

// Grow reserves n more bytes, and reports whether there was room for them.
func (r *Reservation) Grow(now time.Time, n int64) bool {
	a := r.account
	a.mu.Lock()
	excess, total := a.excessLocked(now, r, n)
	if excess <= 0 && !r.closed {
		a.addLocked(r, n)
		a.mu.Unlock()
		return true
	}
	// A body that is larger than the account does not fill it.
	becameFull := total && !a.full && !r.closed && float64(a.held) > roomShare*float64(a.limit)
	if becameFull {
		a.full = true
	}
	held, limit := a.held, a.limit
	a.mu.Unlock()
	if becameFull {
		a.changed(true, held, limit)
	}
	return false
}

// Force counts n more bytes that are held whether or not there is room for them.
func (r *Reservation) Force(n int64) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if !r.closed {
		r.account.addLocked(r, n)
	}
}

// Shrink releases n bytes, at most those that are held.
func (r *Reservation) Shrink(now time.Time, n int64) { r.release(now, n, false, true) }

// Close releases all bytes. It may be called more than once.
func (r *Reservation) Close(now time.Time) { r.release(now, 0, true, true) }

// Discard closes the reservation of a body that was refused, whose bytes say nothing of the
// rate at which others become free.
func (r *Reservation) Discard(now time.Time) { r.release(now, 0, true, false) }

func (r *Reservation) release(now time.Time, n int64, all, used bool) {
	a := r.account
	a.mu.Lock()
	if all {
		n, r.closed = r.held, true
		delete(a.arriving, r)
	}
	n = min(n, r.held)
	hasRoom := n > 0 && a.releaseLocked(now, r, n, used)
	held, limit := a.held, a.limit
	a.mu.Unlock()
	if hasRoom {
		a.changed(false, held, limit)
	}
}

// Room returns a channel that is closed once the reservation may grow by n bytes. Another
// one may take the room first. Stop ends the wait.
func (r *Reservation) Room(now time.Time, n int64) (ready <-chan struct{}, stop func()) {
	a := r.account
	w := &waiter{reservation: r, need: n, ready: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	if excess, _ := a.excessLocked(now, r, n); excess <= 0 {
		close(w.ready)
		return w.ready, func() {}
	}
	a.waiters = append(a.waiters, w)
	return w.ready, func() { a.forget(now, w) }
}

// forget removes a waiter. If it was woken and did not use the room, the next waiter is.
func (a *Account) forget(now time.Time, w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return
		}
	}
	a.wakeLocked(now)
}

// Refuse counts a request that is refused because n more bytes do not fit, and returns when
// to retry: once the bytes that are missing have become free at the rate of late, and after
// the requests that were refused before. If all of them came back at once, most of them
// would be refused again.
func (r *Reservation) Refuse(now time.Time, n int64) time.Duration {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused++
	excess, total := a.excessLocked(now, r, n)
	if total && (r.tier <= a.shedTier || !now.Before(a.shedUntil)) {
		a.shedTier, a.shedUntil = r.tier, now.Add(shedTime)
	}
	latest := now.Add(maxRetryAfter)
	rate := a.rateLocked(now)
	if rate < 1 {
		return maxRetryAfter
	}
	at := now.Add(seconds(float64(excess) / rate))
	if next := a.promised.Add(seconds(float64(n) / rate)); next.After(at) {
		at = next
	}
	if at.After(latest) {
		at = latest
	}
	a.promised = at
	return max(minRetryAfter, at.Sub(now))
}

// seconds returns a duration, at most maxRetryAfter.
func seconds(n float64) time.Duration {
	return time.Duration(max(0, min(n, maxRetryAfter.Seconds())) * float64(time.Second))
}
