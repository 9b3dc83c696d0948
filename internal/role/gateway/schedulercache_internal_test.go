package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a gateway that reports its slots to the successor of a stopping scheduler up
// to a gossip interval late: a request looked for the scheduler just as the stop became known,
// and the former one stayed cached.
func TestSchedulerSelectedDuringAChangeIsNotCached(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var c schedulerCache
	c.get(now, func(time.Time) string {
		c.invalidate()
		return "former"
	})
	require.Equal(t, "successor", c.get(now, func(time.Time) string { return "successor" }))
	require.Equal(t, "successor", c.get(now.Add(schedulerCacheTTL-1), func(time.Time) string { return "other" }))
	require.Equal(t, "other", c.get(now.Add(schedulerCacheTTL), func(time.Time) string { return "other" }))
}
