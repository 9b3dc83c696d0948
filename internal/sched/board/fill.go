package board

import (
	"slices"
	"time"
)

// scanMost bounds the waiting requests that are looked at for one engine.
const scanMost = 256

// fill gives an engine that has got room what waits: first what can be in time,
// then, if nothing of that is left, what is late. One that ends its runs and gets
// no more work is not filled.
func (b *Board) fill(now time.Time, e *engine) {
	if b.engines[e.ID] != e {
		return
	}
	usual := b.usualFailing(now, e.Service)
	b.waiting = b.fillFrom(now, e, b.waiting, false, usual)
	if len(b.waiting) == 0 {
		b.late = b.fillFrom(now, e, b.late, true, usual)
	}
}

func (b *Board) fillFrom(now time.Time, e *engine, queue []*Ask, late bool, usual float64) []*Ask {
	for e.running(now) < e.Slots {
		at := b.next(now, e, queue, late, usual)
		if at < 0 {
			return queue
		}
		if !late {
			b.notePace(now, queue[at])
		}
		b.grant(now, e, queue[at])
		queue = slices.Delete(queue, at, at+1)
	}
	return queue
}

// next returns the request of a queue that the engine gets, or -1: the first in
// its order that the engine suits. A request of a lower tier is chosen only if
// the engine suits none of a higher one.
func (b *Board) next(now time.Time, e *engine, queue []*Ask, late bool, usual float64) int {
	for i, a := range queue[:min(len(queue), scanMost)] {
		if a.Service != e.Service {
			continue
		}
		if _, ok := b.cost(now, e, a, late, usual); ok {
			return i
		}
	}
	return -1
}
