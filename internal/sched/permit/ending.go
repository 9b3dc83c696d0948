package permit

import (
	"context"
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

// maxEstimateError is by what factor a stream may be shorter than planned if its length is
// an estimate: as much as the scheduler allows for in the other direction.
const maxEstimateError = 12

// mayEnd reports whether a stream that is cut off at its deadline may be complete by then
// on the upstream; an unknown upstream, such as "", counts as the fastest. The scheduler
// plans ends more strictly, with the queues and other streams of its engines; here, what
// it planned is only compared with the time that is left. A stream that should end is the
// rest of one that has begun, and refusing it would break it off for certain, so it is
// given up only if it is too long even as a small part of its estimate.
func (c *Client) mayEnd(now time.Time, req *flow.PlacementRequest, upstream string) bool {
	needed := time.Duration(0)
	switch req.EndConstraint {
	case flow.EndUnconstrained:
		return true
	case flow.EndRequired:
		needed = c.minStreamTime(upstream, req)
	case flow.EndPreferred:
		needed = c.minStreamTime(upstream, req) / maxEstimateError
	}
	return needed <= req.Deadline.Sub(now)
}

func (c *Client) minStreamTime(upstream string, req *flow.PlacementRequest) time.Duration {
	if c.MinStreamTime == nil {
		return profile.MinStreamTime(profile.MinSlowness, req.PromptTokens, req.OutputTokens)
	}
	return c.MinStreamTime(upstream, req.PromptTokens, req.OutputTokens)
}

// pickToEnd chooses an upstream without the scheduler, for a stream one on which it may
// end by its deadline. A stream that must end gets none: on an engine it might wait in a
// queue, as only the scheduler knows which engines are full, and how long an upstream
// without an engine takes at most is not known at all.
func (c *Client) pickToEnd(ctx context.Context, now time.Time, req flow.PlacementRequest) (flow.Placement, error) {
	if req.EndConstraint == flow.EndRequired || !c.mayEnd(now, &req, "") {
		return nil, refuseBeforeExit()
	}
	tooSlow := false
	for {
		chosen, err := c.Local.Pick(ctx, now, req)
		if err != nil && tooSlow {
			return nil, refuseBeforeExit()
		}
		if err != nil {
			return nil, err
		}
		// The choice may have waited for an upstream.
		now = c.Now()
		upstream := chosen.Upstream().ID
		if c.mayEnd(now, &req, upstream) {
			return chosen, nil
		}
		chosen.Release(now, flow.Canceled, 0)
		tooSlow = true
		req.ExcludedUpstreams = slices.Concat(req.ExcludedUpstreams, []string{upstream})
	}
}

// refuseBeforeExit refuses a request that would outlast this process.
func refuseBeforeExit() error {
	return flow.RefusePlacement(0, "this process shuts down before the request could complete")
}
