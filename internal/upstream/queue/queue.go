// Package queue orders the requests that wait at one upstream: by strict tier
// priority, and within a tier by earliest deadline among the workspaces that have
// not exceeded their fair share.
package queue

import (
	"container/heap"
	"time"
)

// Item is a waiting request.
type Item interface {
	ID() string
	Workspace() string
	// Tier returns the tier; 0 is the highest.
	Tier() int
	Deadline() time.Time
	// Work returns the expected time on the upstream.
	Work() time.Duration
}

// Queue holds the items waiting at one upstream. It is not safe for concurrent
// use.
type Queue[T Item] struct {
	quantum time.Duration
	tiers   []*tier[T]
	length  int
}

// New returns an empty queue. A workspace may be served up to quantum more work
// than the least served workspace of its tier before others are preferred.
func New[T Item](tiers int, quantum time.Duration) *Queue[T] {
	q := &Queue[T]{quantum: quantum}
	for range max(tiers, 1) {
		q.tiers = append(q.tiers, &tier[T]{workspaces: make(map[string]*workspaceQueue[T])})
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// TierLen returns the number of items waiting in one tier.
func (q *Queue[T]) TierLen(index int) int { return q.tiers[q.clamp(index)].length }

// Tiers returns the number of tiers.
func (q *Queue[T]) Tiers() int { return len(q.tiers) }

// LowestNonEmpty returns the index of the lowest non-empty tier, or -1 if the queue
// is empty.
func (q *Queue[T]) LowestNonEmpty() int {
	for index := len(q.tiers) - 1; index >= 0; index-- {
		if q.tiers[index].length > 0 {
			return index
		}
	}
	return -1
}

// WorkUpTo returns the expected work of all items waiting in tiers 0 to index.
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

// Peek returns the item that Pop would remove.
func (q *Queue[T]) Peek() (T, bool) {
	for _, t := range q.tiers {
		if w := t.nextWorkspace(q.quantum); w != nil {
			return w.items[0], true
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

// Serve removes an item and charges its workspace with its work.
func (q *Queue[T]) Serve(item T) {
	t := q.tiers[q.clamp(item.Tier())]
	w := t.workspaces[item.Workspace()]
	if w == nil {
		return
	}
	for index, queued := range w.items {
		if queued.ID() == item.ID() {
			heap.Remove(w, index)
			t.recordRemoval(item)
			t.charge(w, item.Work())
			q.length--
			return
		}
	}
}

// Find returns the item of the highest tier for which match is true; within a tier,
// the one with the earliest deadline.
func (q *Queue[T]) Find(match func(T) bool) (T, bool) {
	var best T
	for _, t := range q.tiers {
		found := false
		for _, w := range t.workspaces {
			for _, item := range w.items {
				if match(item) && (!found || laterDeadline(best, item)) {
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

// RemoveLowest removes the item with the latest deadline from the lowest non-empty
// tier, if that tier is lower than the given one.
func (q *Queue[T]) RemoveLowest(tier int) (T, bool) {
	for index := len(q.tiers) - 1; index > tier; index-- {
		t := q.tiers[index]
		if t.length == 0 {
			continue
		}
		return q.removeLatest(t), true
	}
	var none T
	return none, false
}

func (q *Queue[T]) removeLatest(t *tier[T]) T {
	var owner *workspaceQueue[T]
	latest := 0
	for _, w := range t.workspaces {
		for index, item := range w.items {
			if owner == nil || laterDeadline(item, owner.items[latest]) {
				owner, latest = w, index
			}
		}
	}
	item := heap.Remove(owner, latest).(T)
	t.recordRemoval(item)
	q.length--
	return item
}

// laterDeadline reports whether a has a later deadline than b. Ties are resolved by
// ID, so that the order does not depend on map iteration.
func laterDeadline[T Item](a, b T) bool {
	if a.Deadline().Equal(b.Deadline()) {
		return a.ID() > b.ID()
	}
	return a.Deadline().After(b.Deadline())
}

// Remove removes the item with the id.
func (q *Queue[T]) Remove(id string) (T, bool) {
	found := q.RemoveIf(func(item T) bool { return item.ID() == id })
	if len(found) == 0 {
		var none T
		return none, false
	}
	return found[0], true
}

// RemoveIf removes and returns all items for which match is true.
func (q *Queue[T]) RemoveIf(match func(T) bool) []T {
	var removed []T
	for _, t := range q.tiers {
		for _, w := range t.workspaces {
			for index := 0; index < len(w.items); {
				if !match(w.items[index]) {
					index++
					continue
				}
				item := heap.Remove(w, index).(T)
				t.recordRemoval(item)
				q.length--
				removed = append(removed, item)
				index = 0
			}
		}
	}
	return removed
}

func (q *Queue[T]) clamp(index int) int {
	return min(max(index, 0), len(q.tiers)-1)
}

// tier holds the items of one tier, with a queue for each workspace.
type tier[T Item] struct {
	workspaces map[string]*workspaceQueue[T]
	length     int
	work       time.Duration
	// virtualTime is the served work at which a returning workspace starts, so that
	// a workspace cannot accumulate unused service while it is idle.
	virtualTime time.Duration
}

func (t *tier[T]) push(item T) {
	w := t.workspaces[item.Workspace()]
	if w == nil {
		w = &workspaceQueue[T]{served: t.virtualTime}
		t.workspaces[item.Workspace()] = w
	}
	heap.Push(w, item)
	t.length++
	t.work += item.Work()
}

func (t *tier[T]) recordRemoval(item T) {
	t.length--
	t.work -= item.Work()
}

// charge adds work to the workspace's served work, advances the virtual time, and
// removes empty workspaces that the virtual time has reached, which bounds the
// number of workspaces.
func (t *tier[T]) charge(w *workspaceQueue[T], work time.Duration) {
	w.served += work
	lowest := time.Duration(-1)
	for _, other := range t.workspaces {
		if len(other.items) > 0 && (lowest < 0 || other.served < lowest) {
			lowest = other.served
		}
	}
	if lowest > t.virtualTime {
		t.virtualTime = lowest
	}
	for name, other := range t.workspaces {
		if len(other.items) == 0 && (other.served <= t.virtualTime || t.length == 0) {
			delete(t.workspaces, name)
		}
	}
}

// nextWorkspace returns the workspace to serve next: the one with the earliest
// deadline among those within quantum of the least served one.
func (t *tier[T]) nextWorkspace(quantum time.Duration) *workspaceQueue[T] {
	least := time.Duration(-1)
	for _, w := range t.workspaces {
		if len(w.items) > 0 && (least < 0 || w.served < least) {
			least = w.served
		}
	}
	var best *workspaceQueue[T]
	for _, w := range t.workspaces {
		if len(w.items) == 0 || w.served > least+quantum {
			continue
		}
		if best == nil || laterDeadline(best.items[0], w.items[0]) {
			best = w
		}
	}
	return best
}

// workspaceQueue holds the items of one workspace, as a heap by deadline. served
// is the work that the workspace has been charged with.
type workspaceQueue[T Item] struct {
	items  []T
	served time.Duration
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (w *workspaceQueue[T]) Len() int           { return len(w.items) }
func (w *workspaceQueue[T]) Less(i, j int) bool { return laterDeadline(w.items[j], w.items[i]) }
func (w *workspaceQueue[T]) Swap(i, j int)      { w.items[i], w.items[j] = w.items[j], w.items[i] }

// Push appends an item; it is called by heap.Push only.
func (w *workspaceQueue[T]) Push(item any) {
	w.items = append(w.items, item.(T))
}

// Pop removes the last item; it is called by the heap package only.
func (w *workspaceQueue[T]) Pop() any {
	last := len(w.items) - 1
	item := w.items[last]
	var none T
	w.items[last] = none
	w.items = w.items[:last]
	return item
}
