package ratelimit

import "time"

const (
	// window is the time in which gateways count their requests to an upstream whose limit
	// is at least one request per window for each of them.
	window = 4 * time.Second
	// burst is how many gateways more than twice the stated rate may own a request each.
	// Their requests may all arrive at once, which the upstream must bear once per window.
	burst = 4
	// minRate is the lowest limit in requests per second that is kept: an upstream that
	// states less would get no request whose answer could end the limit.
	minRate = 0.1
	// maxRate is the limit in requests per second above which there is none: no upstream
	// gets as many.
	maxRate = 1000
)

// division returns how many requests the gateways together own, and in which time, so that
// an upstream gets no more than the rate over any longer time. If the window has no request
// for each gateway, more of them own one in a longer time: a limited upstream then stays in
// use though some gateways are down or have no callers.
func division(perSecond float64, gateways int) (total int, within time.Duration) {
	rate := max(perSecond, minRate)
	total = max(int(rate*window.Seconds()), min(gateways, int(2*rate)+burst))
	return total, max(window, time.Duration(float64(total)/rate*float64(time.Second)))
}
