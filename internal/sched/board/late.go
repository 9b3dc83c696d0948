package board

import (
	"slices"
	"time"
)

const (
	// lateHold is how long after its arrival a request that can no longer be
	// in time may wait for a place that nobody else needs. Callers leave a
	// silent stream after two seconds.
	lateHold = 1200 * time.Millisecond
	// lateReserve is the part of an engine's slots that late requests leave
	// free for those that can be in time.
	lateReserve = 0.17
	// latePart bounds the late requests that wait, as a part of all slots:
	// what is beyond it could not be served within lateHold.
	latePart = 0.25
)

// setLate keeps a request that cannot be in time for a place that nobody else
// needs, or refuses the least urgent one if there are too many. While all
// places go to requests that can be in time, holding one that cannot would only
// keep its caller from coming back at a better moment.
func (b *Board) setLate(now time.Time, ask *Ask) {
	if b.saturatedFor(now) > saturatedAfter {
		b.refuse(now, ask, "no place in time, and others wait that can be")
		return
	}
	at, _ := slices.BinarySearchFunc(b.late, ask, compareAsks)
	b.late = slices.Insert(b.late, at, ask)
	if len(b.late) > b.lateMost(ask.Service) {
		last := b.late[len(b.late)-1]
		b.late = b.late[:len(b.late)-1]
		b.refuse(now, last, "too many wait")
		return
	}
	if b.place(now, ask, true) {
		b.late = slices.DeleteFunc(b.late, func(x *Ask) bool { return x == ask })
		return
	}
	b.answer(ask, Verdict{Waiting: true})
}

func (b *Board) lateMost(service string) int {
	return int(latePart * float64(b.slots(service)))
}
