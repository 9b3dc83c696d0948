// Package warmup bounds the requests to upstreams that have just started and tolerate
// only a few requests per second. The bound holds for all gateways together and needs
// no agreement between them: each owns a fixed part of it, so it also holds between
// gateways that cannot reach each other, and while the scheduler changes.
package warmup

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is the time in which an upstream may get the bound. It is somewhat longer
	// than the second in which upstreams count, because clocks run unevenly.
	Window = 1050 * time.Millisecond
	// reserve is the share of the bound that no gateway owns. A gateway that has been cut
	// off for minutes is forgotten by the others and still uses its part.
	reserve = 0.1
)

// Limit is by how much the requests to an upstream may exceed the rate that its service
// states.
type Limit struct {
	// Factor multiplies the stated rate; values below 1 count as 1.
	Factor float64
	// Slack is added to the product.
	Slack float64
}

// Bound returns the requests that all gateways together may send to one upstream in a
// second, if its service states the rate.
func (l Limit) Bound(perSecond float64) int {
	return int(max(1, l.Factor)*perSecond + max(0, l.Slack))
}

// Gateways is the set of all known gateways. Sets with the same version are equal.
type Gateways struct {
	Version uint64
	IDs     []string
	// Joined is set once all others know this gateway. Until then they divide its part
	// among themselves, and it owns nothing.
	Joined bool
}

// parts divides the bound of one upstream among the gateways: each owns the same number
// of requests, and what cannot be divided evenly goes to those with the lowest hashes
// with the upstream. A gateway more or less in the set changes the parts of few others,
// so gateways that know different ones still share nearly the same parts.
type parts struct {
	version uint64
	bound   int
	even    int
	// highest is the highest hash of a gateway that owns one request more, if anyOwnsMore.
	highest     uint64
	anyOwnsMore bool
}

func divide(bound int, upstream string, gateways Gateways) parts {
	p := parts{version: gateways.Version, bound: bound}
	if len(gateways.IDs) == 0 {
		return p
	}
	p.even = owned(bound) / len(gateways.IDs)
	rest := owned(bound) % len(gateways.IDs)
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

// owned returns the part of the bound that gateways own.
func owned(bound int) int { return bound - int(math.Ceil(reserve*float64(bound))) }

// of returns the requests that the gateway may send to the upstream in a Window.
func (p parts) of(gateway, upstream string) int {
	if p.anyOwnsMore && hashOf(gateway, upstream) <= p.highest {
		return p.even + 1
	}
	return p.even
}

func hashOf(gateway, upstream string) uint64 {
	return xxhash.Sum64String(gateway + "\x00" + upstream)
}

// History holds the times of the latest requests, to count those within a time.
type History struct{ times []time.Time }

// Add records a request.
func (h *History) Add(now time.Time) { h.times = append(h.times, now) }

// Count returns the requests within the time before now, and forgets older ones.
func (h *History) Count(now time.Time, within time.Duration) int {
	old := 0
	for old < len(h.times) && now.Sub(h.times[old]) >= within {
		old++
	}
	h.times = append(h.times[:0], h.times[old:]...)
	return len(h.times)
}

// free returns how long it takes until less than the given number of requests lie within
// the time before.
func (h *History) free(now time.Time, within time.Duration, allowed int) time.Duration {
	if h.Count(now, within) < allowed {
		return 0
	}
	if allowed <= 0 {
		return within
	}
	return within - now.Sub(h.times[len(h.times)-allowed])
}
