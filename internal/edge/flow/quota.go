package flow

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

// QuotaStage is the step at which a quota is checked.
type QuotaStage string

const (
	// QuotaAtArrival is the check of a request that has just arrived.
	QuotaAtArrival QuotaStage = "arrival"
	// QuotaAtSend is the check of a request that has its slot and was not sent.
	QuotaAtSend QuotaStage = "slot"
)

// quotaCheck is Enqueue or Take of a Quota.
type quotaCheck = func(now time.Time, w *catalog.Workspace, cost float64) (ok bool, retryAfter time.Duration)

// checkQuota refuses a request whose cost the workspace's quota does not cover at its
// arrival. The cost is charged when it is sent.
func (c *call) checkQuota(ctx context.Context) bool {
	if c.workspace == nil || c.workspace.QuotaPerSecond <= 0 {
		return true
	}
	c.cost = 1
	if c.workspace.QuotaCountsTokens {
		c.cost = c.workspace.DefaultTokens
		if c.request.TokensStated {
			c.cost = float64(c.request.PromptTokens + c.request.OutputTokens)
		}
	}
	ok, retryAfter := c.awaitQuota(ctx, c.Quota.Enqueue)
	switch {
	case ok:
		c.queued = true
	case ctx.Err() != nil:
		c.expire(ctx)
	default:
		c.refuseByQuota(QuotaAtArrival, retryAfter)
	}
	return ok
}

// chargeQuota charges the request that is about to be sent, unless it was charged for an
// earlier attempt. If the quota no longer covers it, the slot is given back.
func (c *call) chargeQuota(ctx context.Context, placement Placement) bool {
	if !c.queued {
		return true
	}
	c.dequeue(true)
	ok, retryAfter := c.awaitQuota(ctx, c.Quota.Take)
	if ok {
		c.chargedCost = c.cost
		return true
	}
	placement.Release(c.Now(), Canceled, 0)
	if ctx.Err() != nil {
		c.expire(ctx)
		return false
	}
	c.refuseByQuota(QuotaAtSend, retryAfter)
	return false
}

// awaitQuota checks or charges the cost. It repeats that while a newly started process
// waits for the usage totals of the fleet, or a gateway for the level of the workspace.
func (c *call) awaitQuota(ctx context.Context, try quotaCheck) (bool, time.Duration) {
	ok, retryAfter := try(c.Now(), c.workspace, c.cost)
	for !ok && c.Quota.Settles(c.Now(), c.workspace) {
		wait.For(ctx, startPollInterval)
		if ctx.Err() != nil {
			return false, 0
		}
		ok, retryAfter = try(c.Now(), c.workspace, c.cost)
	}
	return ok, retryAfter
}

// dequeue ends the waiting for a first slot.
func (c *call) dequeue(placed bool) {
	if c.queued {
		c.queued = false
		c.Quota.Dequeue(c.Now(), c.workspace, c.cost, placed)
	}
}

func (c *call) refuseByQuota(stage QuotaStage, retryAfter time.Duration) {
	c.Metrics.QuotaRefused(stage)
	c.refuse(http.StatusTooManyRequests, retryAfter, fmt.Sprintf("quota of workspace %s exceeded at %s: rate %.0f per second, burst %.0f, request cost %.0f",
		c.workspace.Name, stage, c.workspace.QuotaPerSecond, c.workspace.QuotaBurst, c.cost))
}
