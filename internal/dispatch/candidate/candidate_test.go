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

// A prefix met a cold cache after any upstream came or went, because all
// choices were reshuffled.
// Without its first choice a key keeps all the others, in the same order.
func TestLosingOneMemberMovesOnlyItsKeys(t *testing.T) {
	all := members(40)
	for key := range uint64(200) {
		before := candidate.Choose(nil, all, candidate.Key("w", key), 5)
		lost := before[0]
		left := append(append([]candidate.Member(nil), all[:lost]...), all[lost+1:]...)
		after := candidate.Choose(nil, left, candidate.Key("w", key), 4)
		for i, at := range after {
			if at >= lost {
				at++
			}
			require.Equal(t, before[i+1], at)
		}
	}
}

func TestWeightsShareTheKeys(t *testing.T) {
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

func TestChooseIsBoundedAndNamesEachOnce(t *testing.T) {
	require.Empty(t, candidate.Choose(nil, nil, 1, 3))
	chosen := candidate.Choose(nil, members(10), 1, 100)
	require.Len(t, chosen, 10)
	seen := make(map[int]bool)
	for _, at := range chosen {
		require.False(t, seen[at])
		seen[at] = true
	}
	require.Len(t, candidate.Choose(nil, members(100), 1, 100), candidate.Most)
}

func BenchmarkChoose600(b *testing.B) {
	all := members(600)
	var buffer [candidate.Most]int
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		candidate.Choose(buffer[:0], all, uint64(i)*0x9e3779b97f4a7c15, 8)
	}
}
