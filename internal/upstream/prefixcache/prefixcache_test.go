package prefixcache_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/upstream/prefixcache"
)

// Entries sent a class's critiques to an engine that had long evicted their
// prompt, because the guess knew no bound.
func TestGuessForgetsLikeTheCache(t *testing.T) {
	g := prefixcache.New()
	g.Reported(3000)
	for key := range uint64(4) {
		g.Used(key, 1000)
	}
	require.Equal(t, []uint32{3, 2, 1}, g.Told())
	g.Used(1, 1000)
	require.Equal(t, []uint32{1, 3, 2}, g.Told())
	g.Lost()
	require.Empty(t, g.Told())
}

// A load report of a half-empty cache must not shrink the guess of its size.
func TestHighestReportIsTheSize(t *testing.T) {
	g := prefixcache.New()
	g.Reported(3000)
	g.Reported(10)
	g.Used(1, 1500)
	g.Used(2, 1500)
	require.Len(t, g.Told(), 2)
}
