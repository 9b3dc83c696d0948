package gateway

import (
	"sync"
	"time"
)

// schedulerCacheTTL is how long the selected scheduler is cached: every request and every
// gossip message looks it up, and a hub selects among hundreds of peers.
const schedulerCacheTTL = 5 * time.Millisecond

// schedulerCache holds the scheduler that was selected last.
type schedulerCache struct {
	mu         sync.Mutex
	node       string
	selectedAt time.Time
	// invalidations counts the calls of invalidate.
	invalidations uint64
}

// get returns the cached scheduler, or selects one. One that was selected while the cache was
// invalidated is not kept: the selection may not have seen the reason.
func (c *schedulerCache) get(now time.Time, selectNode func(now time.Time) string) string {
	c.mu.Lock()
	age := now.Sub(c.selectedAt)
	node, fresh := c.node, !c.selectedAt.IsZero() && age >= 0 && age < schedulerCacheTTL
	invalidations := c.invalidations
	c.mu.Unlock()
	if fresh {
		return node
	}
	node = selectNode(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.invalidations == invalidations {
		c.node, c.selectedAt = node, now
	}
	return node
}

// invalidate makes calls of get that begin later ignore earlier selections.
func (c *schedulerCache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selectedAt = time.Time{}
	c.invalidations++
}
