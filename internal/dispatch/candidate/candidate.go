// Package candidate selects the few upstreams that a request may go to, by
// weighted rendezvous hashing. Every entry selects the same candidates without
// exchanging state, so requests with the same prefix keep going to the upstreams
// that have it cached, and an entry needs to track only its candidates.
package candidate

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Member is an upstream's name hash and weight.
type Member struct {
	hash   uint64
	weight float64
}

// NewMember returns a member. The weight is its relative capacity and must be
// positive.
func NewMember(name string, weight float64) Member {
	return Member{hash: xxhash.Sum64String(name), weight: weight}
}

// Key returns the hash key of a request, from its workspace and the hash of its
// prompt prefix.
func Key(workspace string, prefix uint64) uint64 {
	return mix(xxhash.Sum64String(workspace) ^ prefix)
}

// MaxCandidates is the largest number of candidates that Choose returns.
const MaxCandidates = 32

// Choose appends the indices of the k members that score highest for the key to
// dst[:0], best first, and returns it. It does not allocate if dst has capacity
// for k indices.
func Choose(dst []int, members []Member, key uint64, k int) []int {
	var scores [MaxCandidates]float64
	k = min(k, MaxCandidates, len(members))
	dst = dst[:0]
	if k == 0 {
		return dst
	}
	// threshold is the lowest score in dst, 0 until dst has k members.
	threshold := 0.0
	for index := range members {
		m := &members[index]
		u := unitInterval(foldHash(m.hash ^ key))
		// -ln(u) >= 1-u, so weight/(1-u) is an upper bound of the score; most
		// members are skipped without computing a logarithm.
		if m.weight <= threshold*(1-u) {
			continue
		}
		score := m.weight / -math.Log(u)
		if score <= threshold {
			continue
		}
		if len(dst) < k {
			dst = append(dst, 0)
		}
		insert(dst, scores[:len(dst)], index, score)
		if len(dst) == k {
			threshold = scores[k-1]
		}
	}
	return dst
}

// insert inserts a member by its score and overwrites the last one.
func insert(dst []int, scores []float64, index int, score float64) {
	at := len(dst) - 1
	for at > 0 && scores[at-1] < score {
		scores[at], dst[at] = scores[at-1], dst[at-1]
		at--
	}
	scores[at], dst[at] = score, index
}

// foldHash folds a 128-bit product. That suffices because name hashes and keys
// are already well mixed.
func foldHash(hash uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	high, low := bits.Mul64(hash, multiplier)
	return high ^ low
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to the open interval (0, 1).
func unitInterval(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}
