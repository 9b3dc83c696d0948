package engine

import (
	"container/list"
	"sync"
)

// cache is an LRU cache of prompt prefixes with a capacity in tokens.
type cache struct {
	capacity int
	used     int
	recency  *list.List
	entries  map[uint64]*list.Element
}

type cacheEntry struct {
	prefix uint64
	tokens int
}

func newCache(bound int) *cache {
	return &cache{capacity: bound, recency: list.New(), entries: make(map[uint64]*list.Element)}
}

// use reports whether the prefix was cached, and adds it if not. It returns the
// prefixes evicted to make room.
func (c *cache) use(prefix uint64, tokens int) (hit bool, evicted []uint64) {
	if element, ok := c.entries[prefix]; ok {
		c.recency.MoveToFront(element)
		return true, nil
	}
	c.entries[prefix] = c.recency.PushFront(cacheEntry{prefix, tokens})
	c.used += tokens
	for c.used > c.capacity && c.recency.Len() > 1 {
		oldest := c.recency.Back()
		entry := oldest.Value.(cacheEntry)
		c.recency.Remove(oldest)
		delete(c.entries, entry.prefix)
		c.used -= entry.tokens
		evicted = append(evicted, entry.prefix)
	}
	return false, evicted
}

func (c *cache) clear() []uint64 {
	var prefixes []uint64
	for prefix := range c.entries {
		prefixes = append(prefixes, prefix)
	}
	c.recency.Init()
	c.entries = make(map[uint64]*list.Element)
	c.used = 0
	return prefixes
}

// PrefillCounter counts prefill tokens over several stand-in engines. Prefill is
// wasted if it computes a prefix that another engine has cached at that time, or if
// its run is aborted.
type PrefillCounter struct {
	mu      sync.Mutex
	holders map[uint64]int
	offered int
	total   int
	wasted  int
}

// NewPrefillCounter returns a PrefillCounter with all counts at zero.
func NewPrefillCounter() *PrefillCounter { return &PrefillCounter{holders: make(map[uint64]int)} }

// Offered returns the number of tokens of all prompts, cached or not.
func (c *PrefillCounter) Offered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offered
}

// Total returns the number of prefill tokens computed.
func (c *PrefillCounter) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// Wasted returns the number of prefill tokens wasted.
func (c *PrefillCounter) Wasted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wasted
}

func (c *PrefillCounter) recordPrefill(p prompt, prefixTokens int, evicted []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offered += p.prefixTokens + p.ownTokens
	c.total += prefixTokens + p.ownTokens
	if prefixTokens > 0 {
		if c.holders[p.prefix] > 0 {
			c.wasted += prefixTokens
		}
		c.holders[p.prefix]++
	}
	for _, prefix := range evicted {
		c.holders[prefix]--
	}
}

func (c *PrefillCounter) recordAborted(tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wasted += tokens
}

func (c *PrefillCounter) recordEvicted(prefixes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, prefix := range prefixes {
		c.holders[prefix]--
	}
}
