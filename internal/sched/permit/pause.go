package permit

import (
	"context"
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

// Pause is an upstream that may get no request of this gateway for a time.
type Pause struct {
	Upstream string
	For      time.Duration
}

const (
	// maxPauseWait is the longest pause that a request waits for. Callers who return together
	// when an upstream takes requests again would be refused again, but for the first.
	maxPauseWait = 300 * time.Millisecond
	// pausePollInterval is the interval between checks whether a pause is over: it may end
	// with the answer to another request.
	pausePollInterval = 10 * time.Millisecond
)

// awaitUnpaused returns the request with the upstreams excluded that may get no request of
// this gateway now. The scheduler does not know what each gateway may send. If no other
// upstream is left, it waits for a short pause, or returns an error with the time until the
// first of them may get a request.
func (c *Client) awaitUnpaused(ctx context.Context, now time.Time, req flow.PlacementRequest) (flow.PlacementRequest, error) {
	if c.Paused == nil {
		return req, nil
	}
	for ; ; now = c.Now() {
		unpaused, pause := c.withoutPaused(now, req)
		if pause == 0 {
			return unpaused, nil
		}
		if pause > maxPauseWait || now.Add(pause).After(earliest(req.NextEventDue, req.WaitDeadline())) || ctx.Err() != nil {
			return req, flow.RefusePlacement(pause, "all upstreams of the service that may get the request take fewer requests")
		}
		wait.For(ctx, min(pause, pausePollInterval))
	}
}

// pickUnpaused chooses an upstream without a scheduler. Other requests may have been sent to
// the last one that was not paused since this request found it so. If none has room, those
// that have it may be withheld from upstreams that will be paused: it is tried once more.
func (c *Client) pickUnpaused(ctx context.Context, now time.Time, req flow.PlacementRequest) (flow.Placement, error) {
	for triedAgain := false; ; now = c.Now() {
		if _, err := c.awaitUnpaused(ctx, now, req); err != nil {
			return nil, err
		}
		chosen, err := c.pickToEnd(ctx, c.Now(), req)
		if err == nil || ctx.Err() != nil || c.Paused == nil {
			return chosen, err
		}
		if _, pause := c.withoutPaused(c.Now(), req); pause > 0 {
			continue
		}
		if triedAgain || c.MayWithhold == nil || !c.MayWithhold() {
			return nil, err
		}
		triedAgain = true
		wait.For(ctx, pausePollInterval)
	}
}

// withoutPaused returns the request with the paused upstreams excluded, or the shortest
// pause if no upstream is left.
func (c *Client) withoutPaused(now time.Time, req flow.PlacementRequest) (unpaused flow.PlacementRequest, shortest time.Duration) {
	paused := c.Paused(now, req.Service)
	if len(paused) == 0 {
		return req, 0
	}
	pauses := make(map[string]time.Duration, len(paused))
	for _, p := range paused {
		pauses[p.Upstream] = p.For
	}
	for _, u := range c.Ready(req.Service) {
		if !req.Allows(u) {
			continue
		}
		pause, isPaused := pauses[u.ID]
		if !isPaused {
			shortest = 0
			break
		}
		if shortest == 0 || pause < shortest {
			shortest = pause
		}
	}
	unpaused = req
	unpaused.ExcludedUpstreams = slices.Clone(req.ExcludedUpstreams)
	for _, p := range paused {
		unpaused.ExcludedUpstreams = append(unpaused.ExcludedUpstreams, p.Upstream)
	}
	return unpaused, shortest
}
