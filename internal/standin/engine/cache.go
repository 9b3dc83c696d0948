package engine

import (
	"container/list"
	"sync"
)

// cache is a prompt-prefix cache with a bound in tokens; the least recently
// used prefix goes first.
type cache struct {
	bound int
	used  int
	order *list.List
	found map[uint64]*list.Element
}

type cached struct {
	prefix uint64
	tokens int
}

func newCache(bound int) *cache {
	return &cache{bound: bound, order: list.New(), found: make(map[uint64]*list.Element)}
}

// use tells whether the prefix was held, and holds it from now on.
func (c *cache) use(prefix uint64, tokens int) (hit bool, evicted []uint64) {
	if element, ok := c.found[prefix]; ok {
		c.order.MoveToFront(element)
		return true, nil
	}
	c.found[prefix] = c.order.PushFront(cached{prefix, tokens})
	c.used += tokens
	for c.used > c.bound && c.order.Len() > 1 {
		oldest := c.order.Back()
		entry := oldest.Value.(cached)
		c.order.Remove(oldest)
		delete(c.found, entry.prefix)
		c.used -= entry.tokens
		evicted = append(evicted, entry.prefix)
	}
	return false, evicted
}

func (c *cache) clear() []uint64 {
	var gone []uint64
	for prefix := range c.found {
		gone = append(gone, prefix)
	}
	c.order.Init()
	c.found = make(map[uint64]*list.Element)
	c.used = 0
	return gone
}

// Ledger counts prefill over a fleet of stand-ins. Prefill is wasted when it
// computes a prefix that another engine held at that moment, and when the run
// it was for was cut short.
type Ledger struct {
	mu      sync.Mutex
	held    map[uint64]int
	offered int
	total   int
	wasted  int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{held: make(map[uint64]int)} }

// Offered returns the tokens of all prompts, cached or not.
func (l *Ledger) Offered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.offered
}

// Total returns all prefill tokens computed.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Wasted returns the prefill tokens that were computed in vain.
func (l *Ledger) Wasted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wasted
}

func (l *Ledger) computed(p prompt, prefixTokens int, evicted []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.offered += p.prefixTokens + p.ownTokens
	l.total += prefixTokens + p.ownTokens
	if prefixTokens > 0 {
		if l.held[p.prefix] > 0 {
			l.wasted += prefixTokens
		}
		l.held[p.prefix]++
	}
	for _, gone := range evicted {
		l.held[gone]--
	}
}

func (l *Ledger) cut(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wasted += tokens
}

func (l *Ledger) lost(prefixes []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, prefix := range prefixes {
		l.held[prefix]--
	}
}
