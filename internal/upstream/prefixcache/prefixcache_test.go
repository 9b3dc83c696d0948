package prefixcache_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/upstream/prefixcache"
)

// Guards against an estimate without a size limit, with which entries send requests
// to an engine that has already evicted their prefix.
func TestEstimateEvictsLikeTheCache(t *testing.T) {
	g := prefixcache.New()
	g.RecordCachedTokens(3000)
	for key := range uint64(4) {
		g.RecordUse(key, 1000)
	}
	require.Equal(t, []uint32{3, 2, 1}, g.RecentKeys())
	g.RecordUse(1, 1000)
	require.Equal(t, []uint32{1, 3, 2}, g.RecentKeys())
	g.Reset()
	require.Empty(t, g.RecentKeys())
}

// A load report of a partly filled cache must not reduce the estimated cache size.
func TestHighestReportIsTheCapacity(t *testing.T) {
	g := prefixcache.New()
	g.RecordCachedTokens(3000)
	g.RecordCachedTokens(10)
	g.RecordUse(1, 1500)
	g.RecordUse(2, 1500)
	require.Len(t, g.RecentKeys(), 2)
}
