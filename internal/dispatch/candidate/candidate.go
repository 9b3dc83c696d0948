// Package candidate narrows all upstreams down to the few that a request may
// go to, by weighted rendezvous hashing. Every entry finds the same few with
// no exchange of state, so a prefix keeps meeting the cache that holds it,
// and an entry needs to know only the upstreams it may choose.
package candidate

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Member is one upstream as hashing sees it.
type Member struct {
	seed   uint64
	weight float64
}

// NewMember returns a member; weight is its relative capacity, above 0.
func NewMember(name string, weight float64) Member {
	return Member{seed: xxhash.Sum64String(name), weight: weight}
}

// Key returns the key of a request: its workspace and its prompt's prefix.
func Key(workspace string, prefix uint64) uint64 {
	return mix(xxhash.Sum64String(workspace) ^ prefix)
}

// Most is the largest number of candidates that Choose returns.
const Most = 32

// Choose writes the indices of the k members that rank highest for the key
// into dst, best first, and returns that part of it. It allocates nothing when
// dst has room.
func Choose(dst []int, members []Member, key uint64, k int) []int {
	var scores [Most]float64
	k = min(k, Most, len(members))
	dst = dst[:0]
	if k == 0 {
		return dst
	}
	// worst is the score to beat, 0 until k members are held.
	worst := 0.0
	for index := range members {
		m := &members[index]
		u := unit(scramble(m.seed ^ key))
		// -ln(u) is at least 1-u, so weight/(1-u) bounds the score from above;
		// most members are passed over without a logarithm.
		if m.weight <= worst*(1-u) {
			continue
		}
		score := m.weight / -math.Log(u)
		if score <= worst {
			continue
		}
		if len(dst) < k {
			dst = append(dst, 0)
		}
		insert(dst, scores[:len(dst)], index, score)
		if len(dst) == k {
			worst = scores[k-1]
		}
	}
	return dst
}

// insert puts a member in its place; the last one falls out.
func insert(dst []int, scores []float64, index int, score float64) {
	at := len(dst) - 1
	for at > 0 && scores[at-1] < score {
		scores[at], dst[at] = scores[at-1], dst[at-1]
		at--
	}
	scores[at], dst[at] = score, index
}

// scramble folds a 128-bit product; seeds and keys are well mixed already.
func scramble(x uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	high, low := bits.Mul64(x, odd)
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

// unit maps a hash to the open interval from 0 to 1.
func unit(x uint64) float64 {
	return (float64(x>>11) + 0.5) / (1 << 53)
}
