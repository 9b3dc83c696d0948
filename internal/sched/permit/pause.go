package permit

import (
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
)

// Pause is an upstream that may get no request of this gateway for a time.
type Pause struct {
	Upstream string
	For      time.Duration
}

// withoutPaused returns the request with the upstreams excluded that may get no request of
// this gateway now. The scheduler does not know what each gateway may send. If no other
// upstream is left, it returns an error with the time until the first of them may get one.
func (c *Client) withoutPaused(now time.Time, req flow.PlacementRequest) (flow.PlacementRequest, error) {
	if c.Paused == nil {
		return req, nil
	}
	paused := c.Paused(now, req.Service)
	if len(paused) == 0 {
		return req, nil
	}
	pauses := make(map[string]time.Duration, len(paused))
	for _, p := range paused {
		pauses[p.Upstream] = p.For
	}
	shortest, others := time.Duration(0), false
	for _, u := range c.Ready(req.Service) {
		if !req.Allows(u) {
			continue
		}
		pause, isPaused := pauses[u.ID]
		others = others || !isPaused
		if isPaused && (shortest == 0 || pause < shortest) {
			shortest = pause
		}
	}
	if shortest > 0 && !others {
		return req, flow.RefusePlacement(shortest, "all upstreams of the service that may get the request take fewer requests")
	}
	req.ExcludedUpstreams = slices.Clone(req.ExcludedUpstreams)
	for _, p := range paused {
		req.ExcludedUpstreams = append(req.ExcludedUpstreams, p.Upstream)
	}
	return req, nil
}
