// Package warmup bounds the requests to upstreams that have just started and tolerate
// only a few requests per second. The bound holds for all gateways together and needs
// no agreement between them: each owns a fixed part of it, so it also holds between
// gateways that cannot reach each other, and while the scheduler changes.
package warmup

import (
	"math"
	"time"
)

const (
	// Window is the time in which an upstream may get the bound. It is somewhat longer
	// than the second in which upstreams count, because clocks run unevenly.
	Window = 1050 * time.Millisecond
	// reserve is the share of the bound that no gateway owns. A gateway that has been cut
	// off for minutes is forgotten by the others and still uses its part.
	reserve = 0.1
	// maxBound is more than any upstream can get, and few enough that sums of bounds fit. The
	// conversion of a larger number to an integer differs between processors.
	maxBound = 1 << 31
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
	return int(min(maxBound, max(1, l.Factor)*perSecond+max(0, l.Slack)))
}

// owned returns the part of the bound that gateways own.
func owned(bound int) int { return bound - int(math.Ceil(reserve*float64(bound))) }
