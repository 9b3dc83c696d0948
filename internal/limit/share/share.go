// Package share divides a number of requests among the gateways of a fleet. The division
// needs no agreement: each gateway owns a fixed part, so the sum holds between gateways
// that cannot reach each other, too.
package share

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Gateways is the set of all known gateways. Sets with the same version are equal.
type Gateways struct {
	Version uint64
	IDs     []string
	// Joined is set once all others know this gateway. Until then they divide its part
	// among themselves, and it owns nothing.
	Joined bool
	// Age is how long this gateway's process has run.
	Age time.Duration
}

// youngDivisor divides what gateways own that have just started. An upstream tolerates that
// much more than it states.
const youngDivisor = 4

// Owned returns how many of a total of requests in a time the gateways own if all have started
// when this one has: the former processes may have sent all of them just before.
func (g Gateways) Owned(total int, within time.Duration) int {
	switch {
	case !g.Joined:
		return 0
	case g.YoungFor(within) > 0:
		return total / youngDivisor
	}
	return total
}

// YoungFor returns how long what the former process has sent may still count, if requests
// count for the given time.
func (g Gateways) YoungFor(within time.Duration) time.Duration {
	return max(0, within+LoanLife-g.Age)
}

// Parts divides a number of requests to one upstream among the gateways: each owns the
// same number of requests, and what cannot be divided evenly goes to those with the lowest
// hashes with the upstream. A gateway more or less in the set changes the parts of few
// others, so gateways that know different ones still share nearly the same parts.
type Parts struct {
	version uint64
	total   int
	even    int
	// highest is the highest hash of a gateway that owns one request more, if anyOwnsMore.
	highest     uint64
	anyOwnsMore bool
}

// Divide divides the total among the gateways.
func Divide(total int, upstream string, gateways Gateways) Parts {
	p := Parts{version: gateways.Version, total: total}
	if len(gateways.IDs) == 0 {
		return p
	}
	p.even = total / len(gateways.IDs)
	rest := total % len(gateways.IDs)
	if rest == 0 {
		return p
	}
	hashes := make([]uint64, 0, len(gateways.IDs))
	for _, id := range gateways.IDs {
		hashes = append(hashes, hashOf(id, upstream))
	}
	slices.Sort(hashes)
	p.highest, p.anyOwnsMore = hashes[rest-1], true
	return p
}

// Current reports whether the parts are those of the total among the gateways.
func (p Parts) Current(total int, gateways Gateways) bool {
	return p.version == gateways.Version && p.total == total
}

// Of returns the requests that the gateway owns of those to the upstream.
func (p Parts) Of(gateway, upstream string) int {
	if p.anyOwnsMore && hashOf(gateway, upstream) <= p.highest {
		return p.even + 1
	}
	return p.even
}

func hashOf(gateway, upstream string) uint64 {
	return xxhash.Sum64String(gateway + "\x00" + upstream)
}
