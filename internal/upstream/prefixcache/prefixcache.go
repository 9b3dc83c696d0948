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
func (e *Estimate) RecordUse(key uint64, tokens int) {
	if element, ok := e.elements[key]; ok {
		e.order.MoveToFront(element)
		return
	}
	e.elements[key] = e.order.PushFront(prefix{key, tokens})
	e.usedTokens += tokens
	e.evict()
}

// RecordCachedTokens records the number of cached tokens that the engine reported. The
// maximum is used as the cache size, because a cache that is not full reports
// less than its size.
func (e *Estimate) RecordCachedTokens(tokens int) {
	e.capacityTokens = max(e.capacityTokens, tokens)
	e.evict()
}

// Reset removes all prefixes after the engine was restarted.
func (e *Estimate) Reset() {
	e.order.Init()
	e.elements = make(map[uint64]*list.Element)
	e.usedTokens = 0
}

// RecentKeys returns the shortened keys of the most recently used prefixes, most recent
// first.
func (e *Estimate) RecentKeys() []uint32 {
	keys := make([]uint32, 0, min(e.order.Len(), maxRecentKeys))
	for element := e.order.Front(); element != nil && len(keys) < maxRecentKeys; element = element.Next() {
		keys = append(keys, ShortKey(element.Value.(prefix).key))
	}
	return keys
}

// ShortKey shortens a key for transmission. A collision only makes the estimate wrong.
func ShortKey(key uint64) uint32 { return uint32(key>>32) ^ uint32(key) }

func (e *Estimate) evict() {
	capacity := e.capacityTokens
	if capacity == 0 {
		capacity = defaultCapacityTokens
	}
	for e.usedTokens > capacity && e.order.Len() > 1 {
		oldest := e.order.Back()
		evicted := oldest.Value.(prefix)
		e.order.Remove(oldest)
		delete(e.elements, evicted.key)
		e.usedTokens -= evicted.tokens
	}
}
