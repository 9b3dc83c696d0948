// Package prefixcache estimates which prompt prefixes an engine has in its cache.
// It is based on the requests that the agent dispatches, because the agent sees
// all of them in order, while the engine's own cache events are late and
// incomplete. The only other input is the cache size, which is learned from the
// engine's load reports.
package prefixcache

import (
	"container/list"
)

const (
	// defaultCapacityTokens is the assumed cache size until the engine reports it.
	defaultCapacityTokens = 16000
	// maxRecentKeys bounds the prefixes that are reported to entries.
	maxRecentKeys = 12
)

// prefix is a cached prompt prefix with its size.
type prefix struct {
	key    uint64
	tokens int
}

// Estimate is the estimated content of one cache, as an LRU list of prefixes. It is
// not safe for concurrent use.
type Estimate struct {
	capacityTokens int
	usedTokens     int
	order          *list.List
	elements       map[uint64]*list.Element
}

// New returns the estimate of an empty cache.
func New() *Estimate { return &Estimate{order: list.New(), elements: make(map[uint64]*list.Element)} }

// RecordUse records that a prompt with the prefix was dispatched.
func (g *Estimate) RecordUse(key uint64, tokens int) {
	if element, ok := g.elements[key]; ok {
		g.order.MoveToFront(element)
		return
	}
	g.elements[key] = g.order.PushFront(prefix{key, tokens})
	g.usedTokens += tokens
	g.evict()
}

// RecordCachedTokens records the number of cached tokens that the engine reported. The
// maximum is used as the cache size, because a cache that is not full reports
// less than its size.
func (g *Estimate) RecordCachedTokens(tokens int) {
	g.capacityTokens = max(g.capacityTokens, tokens)
	g.evict()
}

// Reset removes all prefixes after the engine was restarted.
func (g *Estimate) Reset() {
	g.order.Init()
	g.elements = make(map[uint64]*list.Element)
	g.usedTokens = 0
}

// RecentKeys returns the shortened keys of the most recently used prefixes, most recent
// first.
func (g *Estimate) RecentKeys() []uint32 {
	keys := make([]uint32, 0, min(g.order.Len(), maxRecentKeys))
	for element := g.order.Front(); element != nil && len(keys) < maxRecentKeys; element = element.Next() {
		keys = append(keys, ShortKey(element.Value.(prefix).key))
	}
	return keys
}

// ShortKey shortens a key for transmission. A collision only makes the estimate wrong.
func ShortKey(key uint64) uint32 { return uint32(key>>32) ^ uint32(key) }

func (g *Estimate) evict() {
	capacity := g.capacityTokens
	if capacity == 0 {
		capacity = defaultCapacityTokens
	}
	for g.usedTokens > capacity && g.order.Len() > 1 {
		oldest := g.order.Back()
		evicted := oldest.Value.(prefix)
		g.order.Remove(oldest)
		delete(g.elements, evicted.key)
		g.usedTokens -= evicted.tokens
	}
}
