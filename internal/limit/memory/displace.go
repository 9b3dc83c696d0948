package memory

import (
	"slices"
	"time"
)

// minArrivalTime is how long a body may arrive before it can be displaced. One of 1 MB takes 0.8 s
// on a link of 10 Mbit/s.
const minArrivalTime = time.Second

// BeginArrival records that a body arrives from now on. If another body needs its room after
// minArrivalTime, drop is called once with the account locked: it must not block or use the
// account.
func (r *Reservation) BeginArrival(now time.Time, drop func()) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.closed {
		return
	}
	r.arrivingSince, r.drop = now, drop
	r.account.arriving[r] = struct{}{}
}

// EndArrival records that a body has arrived or is given up. Its drop is not called any more.
func (r *Reservation) EndArrival() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	delete(r.account.arriving, r)
}

// Displace drops bodies that still arrive so that the reservation can grow by n bytes, and reports
// whether that will make enough room. Bodies of higher tiers are kept.
func (r *Reservation) Displace(now time.Time, n int64) bool {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	total, own := a.excessesLocked(now, r, n)
	var victims []*Reservation
	for _, victim := range a.displaceableLocked(now, r) {
		if total <= 0 && own <= 0 {
			break
		}
		if victim.holder != r.holder && total <= 0 {
			continue
		}
		if victim.holder == r.holder {
			own -= victim.held
		}
		total -= victim.held
		victims = append(victims, victim)
	}
	if total > 0 || own > 0 {
		return false
	}
	for _, victim := range victims {
		delete(a.arriving, victim)
		a.displaced++
		victim.drop()
	}
	return true
}

// displaceableLocked returns the bodies that may be dropped for the reservation, those of the
// lowest tier first and of these the one that has been arriving for longest.
func (a *Account) displaceableLocked(now time.Time, r *Reservation) []*Reservation {
	var victims []*Reservation
	for victim := range a.arriving {
		if victim != r && victim.tier >= r.tier && now.Sub(victim.arrivingSince) >= minArrivalTime {
			victims = append(victims, victim)
		}
	}
	slices.SortFunc(victims, func(x, y *Reservation) int {
		if x.tier != y.tier {
			return y.tier - x.tier
		}
		return x.arrivingSince.Compare(y.arrivingSince)
	})
	return victims
}
