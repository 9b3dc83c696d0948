// Package prefixcache keeps a guess of which prompt prefixes an engine's cache
// holds. The agent sees all traffic to its engine in order, which the engine's
// own cache events, late and with gaps, do not tell; it needs only the cache's
// size, which it learns from the engine's load reports.
package prefixcache

import (
	"container/list"
)

const (
	// assumedTokens is the cache's size until the engine has reported.
	assumedTokens = 16000
	// toldMost bounds the prefixes told to entries, most recent first.
	toldMost = 12
)

type prefix struct {
	key    uint64
	tokens int
}

// Guess is a least-recently-used list of prefixes. It is not safe for
// concurrent use.
type Guess struct {
	capacity int
	used     int
	order    *list.List
	found    map[uint64]*list.Element
}

// New returns an empty guess.
func New() *Guess { return &Guess{order: list.New(), found: make(map[uint64]*list.Element)} }

// Used notes that a prompt with the prefix was dispatched.
func (g *Guess) Used(key uint64, tokens int) {
	if element, ok := g.found[key]; ok {
		g.order.MoveToFront(element)
		return
	}
	g.found[key] = g.order.PushFront(prefix{key, tokens})
	g.used += tokens
	g.trim()
}

// Reported takes the number of tokens that the engine said its cache holds.
// The highest ever said is taken as its size, since a cache that has room
// says less than its size.
func (g *Guess) Reported(tokens int) {
	g.capacity = max(g.capacity, tokens)
	g.trim()
}

// Lost forgets everything: the engine was restarted.
func (g *Guess) Lost() {
	g.order.Init()
	g.found = make(map[uint64]*list.Element)
	g.used = 0
}

// Told returns short marks of the prefixes held, most recent first.
func (g *Guess) Told() []uint32 {
	marks := make([]uint32, 0, min(g.order.Len(), toldMost))
	for element := g.order.Front(); element != nil && len(marks) < toldMost; element = element.Next() {
		marks = append(marks, Mark(element.Value.(prefix).key))
	}
	return marks
}

// Mark shortens a key for the wire; two prefixes that share a mark cost a
// wrong guess and nothing else.
func Mark(key uint64) uint32 { return uint32(key>>32) ^ uint32(key) }

func (g *Guess) trim() {
	size := g.capacity
	if size == 0 {
		size = assumedTokens
	}
	for g.used > size && g.order.Len() > 1 {
		oldest := g.order.Back()
		entry := oldest.Value.(prefix)
		g.order.Remove(oldest)
		delete(g.found, entry.key)
		g.used -= entry.tokens
	}
}
