package ratelimit

import "time"

const (
	// shortestWindow and longestWindow bound the time in which gateways count their requests
	// to an upstream whose limit is at least one request in it for each of them. Windows
	// between them are halves of the longest, so that the limit holds over that, too.
	shortestWindow = time.Second
	longestWindow  = 4 * time.Second
	// minPerWindow is the least number of requests in a shorter window: as they are whole,
	// up to one of them is lost.
	minPerWindow = 4
	// extraOwners is how many gateways, beyond twice the stated rate, may own one request
	// each. They may all send it at the same moment.
	extraOwners = 4
	// minRate is the lowest limit in requests per second that is kept: an upstream that
	// states less would get no request whose answer could end the limit.
	minRate = 0.1
	// maxRate is the limit in requests per second above which there is none: no upstream
	// gets as many.
	maxRate = 1000
)

// division returns how many requests the gateways together own, and in which time, so that
// an upstream gets no more than the rate over any longer time. If no window has a request
// for each gateway, more of them own one in a longer time: a limited upstream then stays in
// use though some gateways are down or have no callers.
func division(perSecond float64, gateways int) (total int, within time.Duration) {
	rate := max(perSecond, minRate)
	for w := shortestWindow; w < longestWindow; w *= 2 {
		if total = int(rate * w.Seconds()); total >= max(gateways, minPerWindow) {
			return total, w
		}
	}
	total = max(int(rate*longestWindow.Seconds()), min(gateways, int(2*rate)+extraOwners))
	return total, max(longestWindow, time.Duration(float64(total)/rate*float64(time.Second)))
}
