// Package queue orders the requests that wait at one upstream: strict tiers,
// and inside a tier the earliest deadline among the workspaces that have not
// had more than their fair share.
package queue

import (
	"container/heap"
	"time"
)

// Item is what the queue needs to know of a waiting request.
type Item interface {
	ID() string
	Workspace() string
	// Tier is 0 for the highest.
	Tier() int
	Deadline() time.Time
	// Work is the expected time on the upstream.
	Work() time.Duration
}

// Queue holds items of one upstream. It is not safe for concurrent use.
type Queue[T Item] struct {
	quantum time.Duration
	tiers   []*tier[T]
	length  int
}

// New returns an empty queue. A workspace may be ahead of the least served
// workspace of its tier by quantum of work before others are preferred.
func New[T Item](tiers int, quantum time.Duration) *Queue[T] {
	q := &Queue[T]{quantum: quantum}
	for range max(tiers, 1) {
		q.tiers = append(q.tiers, &tier[T]{lanes: make(map[string]*lane[T])})
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// LenTier returns the number waiting in one tier.
func (q *Queue[T]) LenTier(index int) int { return q.tiers[q.clamp(index)].length }

// Tiers returns the number of tiers.
func (q *Queue[T]) Tiers() int { return len(q.tiers) }

// LowestHeld returns the lowest tier in which something waits, or -1.
func (q *Queue[T]) LowestHeld() int {
	for index := len(q.tiers) - 1; index >= 0; index-- {
		if q.tiers[index].length > 0 {
			return index
		}
	}
	return -1
}

// WorkUpTo returns the expected work of all that waits in tiers 0 to index.
func (q *Queue[T]) WorkUpTo(index int) time.Duration {
	var total time.Duration
	for _, t := range q.tiers[:q.clamp(index)+1] {
		total += t.work
	}
	return total
}

// Push adds an item.
func (q *Queue[T]) Push(item T) {
	q.tiers[q.clamp(item.Tier())].push(item)
	q.length++
}

// Peek returns the item that Pop would take.
func (q *Queue[T]) Peek() (T, bool) {
	for _, t := range q.tiers {
		if l := t.choose(q.quantum); l != nil {
			return l.items[0], true
		}
	}
	var none T
	return none, false
}

// Pop removes the first item of the highest non-empty tier and charges its
// workspace with its work.
func (q *Queue[T]) Pop() (T, bool) {
	item, ok := q.Peek()
	if ok {
		q.Serve(item)
	}
	return item, ok
}

// Serve removes an item that is served now and charges its workspace with its
// work.
func (q *Queue[T]) Serve(item T) {
	t := q.tiers[q.clamp(item.Tier())]
	l := t.lanes[item.Workspace()]
	if l == nil {
		return
	}
	for at, known := range l.items {
		if known.ID() == item.ID() {
			heap.Remove(l, at)
			t.removed(item)
			t.serve(l, item.Work())
			q.length--
			return
		}
	}
}

// Find returns the first item, from the highest tier on, for which want is
// true; inside a tier the one with the earliest deadline.
func (q *Queue[T]) Find(want func(T) bool) (T, bool) {
	var best T
	for _, t := range q.tiers {
		found := false
		for _, l := range t.lanes {
			for _, item := range l.items {
				if want(item) && (!found || later(best, item)) {
					best, found = item, true
				}
			}
		}
		if found {
			return best, true
		}
	}
	return best, false
}

// TakeLowest removes the item that is given up first: of the lowest held tier
// below above, the one with the latest deadline.
func (q *Queue[T]) TakeLowest(above int) (T, bool) {
	for index := len(q.tiers) - 1; index > above; index-- {
		t := q.tiers[index]
		if t.length == 0 {
			continue
		}
		return q.takeLatest(t), true
	}
	var none T
	return none, false
}

func (q *Queue[T]) takeLatest(t *tier[T]) T {
	var from *lane[T]
	at := 0
	for _, l := range t.lanes {
		for index, item := range l.items {
			if from == nil || later(item, from.items[at]) {
				from, at = l, index
			}
		}
	}
	item := heap.Remove(from, at).(T)
	t.removed(item)
	q.length--
	return item
}

// later breaks ties by id, so that the choice does not depend on map order.
func later[T Item](a, b T) bool {
	if a.Deadline().Equal(b.Deadline()) {
		return a.ID() > b.ID()
	}
	return a.Deadline().After(b.Deadline())
}

// Remove takes out the item with the id.
func (q *Queue[T]) Remove(id string) (T, bool) {
	found := q.RemoveIf(func(item T) bool { return item.ID() == id })
	if len(found) == 0 {
		var none T
		return none, false
	}
	return found[0], true
}

// RemoveIf takes out every item for which drop is true.
func (q *Queue[T]) RemoveIf(drop func(T) bool) []T {
	var dropped []T
	for _, t := range q.tiers {
		for _, l := range t.lanes {
			for index := 0; index < len(l.items); {
				if !drop(l.items[index]) {
					index++
					continue
				}
				item := heap.Remove(l, index).(T)
				t.removed(item)
				q.length--
				dropped = append(dropped, item)
				index = 0
			}
		}
	}
	return dropped
}

func (q *Queue[T]) clamp(index int) int {
	return min(max(index, 0), len(q.tiers)-1)
}

// tier is the waiting work of one tier, a lane for each workspace.
type tier[T Item] struct {
	lanes  map[string]*lane[T]
	length int
	work   time.Duration
	// floor is the virtual time below which no returning workspace may start,
	// so that a workspace cannot save up service while it is idle.
	floor time.Duration
}

func (t *tier[T]) push(item T) {
	l := t.lanes[item.Workspace()]
	if l == nil {
		l = &lane[T]{served: t.floor}
		t.lanes[item.Workspace()] = l
	}
	heap.Push(l, item)
	t.length++
	t.work += item.Work()
}

func (t *tier[T]) removed(item T) {
	t.length--
	t.work -= item.Work()
}

// serve charges the lane, raises the floor, and forgets idle lanes that the
// floor has overtaken; this bounds the lanes kept.
func (t *tier[T]) serve(l *lane[T], work time.Duration) {
	l.served += work
	lowest := time.Duration(-1)
	for _, other := range t.lanes {
		if len(other.items) > 0 && (lowest < 0 || other.served < lowest) {
			lowest = other.served
		}
	}
	if lowest > t.floor {
		t.floor = lowest
	}
	for name, other := range t.lanes {
		if len(other.items) == 0 && (other.served <= t.floor || t.length == 0) {
			delete(t.lanes, name)
		}
	}
}

// choose returns the lane to serve next: the earliest deadline among the
// lanes within quantum of the least served one.
func (t *tier[T]) choose(quantum time.Duration) *lane[T] {
	least := time.Duration(-1)
	for _, l := range t.lanes {
		if len(l.items) > 0 && (least < 0 || l.served < least) {
			least = l.served
		}
	}
	var best *lane[T]
	for _, l := range t.lanes {
		if len(l.items) == 0 || l.served > least+quantum {
			continue
		}
		if best == nil || later(best.items[0], l.items[0]) {
			best = l
		}
	}
	return best
}

// lane is the waiting work of one workspace, a heap by deadline.
type lane[T Item] struct {
	items  []T
	served time.Duration
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (l *lane[T]) Len() int           { return len(l.items) }
func (l *lane[T]) Less(i, j int) bool { return later(l.items[j], l.items[i]) }
func (l *lane[T]) Swap(i, j int)      { l.items[i], l.items[j] = l.items[j], l.items[i] }

// Push adds an item; callers use heap.Push.
func (l *lane[T]) Push(item any) {
	l.items = append(l.items, item.(T))
}

// Pop removes the last item; callers use heap.Pop.
func (l *lane[T]) Pop() any {
	last := len(l.items) - 1
	item := l.items[last]
	var none T
	l.items[last] = none
	l.items = l.items[:last]
	return item
}
