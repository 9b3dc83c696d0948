package board

import (
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

const (
	// dueTurn is which of the places that come free goes to the request that is
	// due first; the others of a tier go to the one that should take its engine
	// the least time. Lengths differ so much that a tenth of the requests takes
	// two fifths of the engines' time: in an overload, shortest first serves
	// far more callers in time, and the turn keeps long ones from starving.
	dueTurn = 3
	// scanMost bounds the waiting requests that are looked at for one engine.
	scanMost = 256
)

// fill gives an engine that has got room what waits: first what can be in time,
// then, if nothing of that is left, what is late.
func (b *Board) fill(now time.Time, e *engine) {
	least := b.leastFailing(now, e.Service)
	b.waiting = b.fillFrom(now, e, b.waiting, false, least)
	if len(b.waiting) == 0 {
		b.late = b.fillFrom(now, e, b.late, true, least)
	}
}

func (b *Board) fillFrom(now time.Time, e *engine, queue []*Ask, late bool, least float64) []*Ask {
	for e.running(now) < e.Slots {
		at := b.next(now, e, queue, late, least)
		if at < 0 {
			return queue
		}
		b.turns++
		if !late {
			b.notePace(now, queue[at])
		}
		b.grant(now, e, queue[at])
		queue = slices.Delete(queue, at, at+1)
	}
	return queue
}

// next returns the request of a queue that the engine gets, or -1. A request of
// a lower tier is chosen only if the engine suits none of a higher one.
func (b *Board) next(now time.Time, e *engine, queue []*Ask, late bool, least float64) int {
	best := -1
	for i, a := range queue[:min(len(queue), scanMost)] {
		if best >= 0 && !sameRank(queue[best], a) {
			return best
		}
		if a.Service != e.Service || (best >= 0 && a.work >= queue[best].work) {
			continue
		}
		if _, ok := b.cost(now, e, a, late, least); !ok {
			continue
		}
		best = i
		if b.turns%dueTurn == 0 {
			return best
		}
	}
	return best
}

// sameRank tells whether neither of two requests goes before the other but for
// when it is due.
func sameRank(x, y *Ask) bool {
	return x.Again == y.Again && x.Tier == y.Tier && x.returned == y.returned
}

// work is the time that a request takes of an ordinary engine of its service
// that is full.
func (b *Board) work(a *Ask) float64 {
	full := max(1, b.slots(a.Service)/max(1, len(b.byService[a.Service])))
	return profile.Prefill(a.Prompt, full) + profile.Decode(a.Output, full)/float64(full)
}
