package candidate_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/dispatch/candidate"
)

func members(count int) []candidate.Member {
	out := make([]candidate.Member, 0, count)
	for i := range count {
		out = append(out, candidate.NewMember(fmt.Sprintf("upstream-%03d", i), []float64{2, 1.5, 1, 0.5}[i%4]))
	}
	return out
}

// Guards against cold caches for all prefixes whenever an upstream comes or goes:
// without its first choice, a key keeps all other choices in the same order.
func TestRemovingMemberMovesOnlyItsKeys(t *testing.T) {
	all := members(40)
	for key := range uint64(200) {
		before := candidate.Choose(nil, all, candidate.Key("w", key), 5)
		removed := before[0]
		remaining := append(append([]candidate.Member(nil), all[:removed]...), all[removed+1:]...)
		after := candidate.Choose(nil, remaining, candidate.Key("w", key), 4)
		for i, index := range after {
			if index >= removed {
				index++
			}
			require.Equal(t, before[i+1], index)
		}
	}
}

func TestKeysAreSharedByWeight(t *testing.T) {
	all := members(40)
	hits := make([]int, 4)
	const keys = 20000
	for key := range uint64(keys) {
		hits[candidate.Choose(nil, all, candidate.Key("w", key), 1)[0]%4]++
	}
	for i, weight := range []float64{2, 1.5, 1, 0.5} {
		require.InDelta(t, weight/5*keys, hits[i], keys/50)
	}
}

func TestChooseIsBoundedAndDistinct(t *testing.T) {
	require.Empty(t, candidate.Choose(nil, nil, 1, 3))
	chosen := candidate.Choose(nil, members(10), 1, 100)
	require.Len(t, chosen, 10)
	seen := make(map[int]bool)
	for _, index := range chosen {
		require.False(t, seen[index])
		seen[index] = true
	}
	require.Len(t, candidate.Choose(nil, members(100), 1, 100), candidate.MaxCandidates)
}

func BenchmarkChoose600(b *testing.B) {
	all := members(600)
	var buffer [candidate.MaxCandidates]int
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		candidate.Choose(buffer[:0], all, uint64(i)*0x9e3779b97f4a7c15, 8)
	}
}
