package permit

import (
	"context"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

// pendingRequest is a slot request without a result yet, or a granted slot that is not
// held yet.
type pendingRequest struct {
	request   flow.PlacementRequest
	scheduler string
	number    uint64
	// movable is set if the request may be moved to another scheduler.
	movable bool
	// decided is set from the first decision on, and upstream is its slot, if any. Later
	// decisions count as late.
	decided  bool
	upstream string
	// queued is signaled when the scheduler has queued the request.
	queued    chan struct{}
	decisions chan decision
}

// newPending registers a slot request for a scheduler under a new number.
func (c *Client) newPending(scheduler string, req flow.PlacementRequest, movable bool) *pendingRequest {
	p := &pendingRequest{
		request: req, scheduler: scheduler, movable: movable, queued: make(chan struct{}, 1), decisions: make(chan decision, 1),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	p.number = c.lastNumber
	c.pending[req.ID] = p
	return p
}

// forget removes a slot request that has ended.
func (c *Client) forget(p *pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[p.request.ID] == p {
		delete(c.pending, p.request.ID)
	}
}

// release withdraws a slot request, or gives back the slot that was granted for it.
func (c *Client) release(p *pendingRequest, o board.Outcome) {
	c.forget(p)
	c.notifyGranter(p.scheduler, endedMessage(p.request.ID, p.number, board.SlotResult{Outcome: o}))
}

// requestSlot sends a slot request to its scheduler and waits for the decision. A granted
// one remains pending until its slot is held or released.
func (c *Client) requestSlot(ctx context.Context, p *pendingRequest, giveUpAt time.Time) (decision, bool) {
	if ctx.Err() != nil {
		c.forget(p)
		return decision{}, false
	}
	// The scheduler may have changed before the request was registered.
	if current := c.Scheduler(c.Now()); current != "" && current != p.scheduler && p.movable {
		c.forget(p)
		return decision{replaced: true}, true
	}
	if !c.sendTo(p.scheduler, c.slotRequestMessage(p.number, p.request)) {
		c.forget(p)
		return decision{}, false
	}
	askedAt := c.Now()
	d, ok := c.await(ctx, p, giveUpAt)
	if ok && !d.lost && !d.replaced {
		c.recordReply(c.Now(), p.scheduler, askedAt, !d.timedOut)
	}
	c.Metrics.Placed(d.result(ok), c.Now().Sub(askedAt))
	switch {
	case !ok || d.timedOut || d.replaced:
		c.forget(p)
		c.sendTo(p.scheduler, endedMessage(p.request.ID, p.number, board.SlotResult{Outcome: board.Canceled}))
	case d.upstream == "":
		c.forget(p)
	}
	d.number = p.number
	return d, ok
}

// await waits for the first reply, and then for the decision.
func (c *Client) await(ctx context.Context, p *pendingRequest, giveUpAt time.Time) (decision, bool) {
	firstReply := time.NewTimer(firstReplyTimeout)
	defer firstReply.Stop()
	repeat := time.NewTimer(repeatAfter)
	defer repeat.Stop()
	timeout := time.NewTimer(earliest(p.request.WaitDeadline(), giveUpAt).Sub(c.Now()))
	defer timeout.Stop()
	for {
		select {
		case <-p.queued:
			firstReply.Stop()
			repeat.Stop()
		case <-repeat.C:
			c.repeat(p)
		case d := <-p.decisions:
			return d, true
		case <-firstReply.C:
			return decision{timedOut: true}, true
		case <-ctx.Done():
			return decision{}, false
		case <-timeout.C:
			c.Logger.Warn("scheduler did not decide in time", "id", p.request.ID, "scheduler", p.scheduler)
			return decision{}, false
		}
	}
}

// repeat sends a slot request without a reply again on another connection.
func (c *Client) repeat(p *pendingRequest) {
	if c.SendAlternate == nil || p.scheduler == c.Node {
		return
	}
	message := c.slotRequestMessage(p.number, p.request)
	message.GetPlaceAsk().Repeated = true
	if c.SendAlternate(p.scheduler, message) {
		c.Metrics.Placed("repeated", repeatAfter)
	}
}

// settledScheduler returns the scheduler, or "" if there is none. If it has just replaced
// another one, the slots of this gateway are reported to it first, and it is returned once
// the other gateways should have reported theirs.
func (c *Client) settledScheduler(ctx context.Context, deadline time.Time) string {
	until := earliest(c.Now().Add(maxSettleWait), deadline)
	for {
		now := c.Now()
		scheduler, settledAt := c.updateScheduler(now)
		settledAt = earliest(settledAt, until)
		if scheduler == "" || !now.Before(settledAt) || ctx.Err() != nil {
			return scheduler
		}
		wait.For(ctx, settledAt.Sub(now))
	}
}

// awaitSettled waits until the scheduler has remained the same for settleTime. It reports
// false at once if that is not before until. It may return early if the context ends.
func (c *Client) awaitSettled(ctx context.Context, until time.Time) bool {
	settledAt := c.Now().Add(settleTime)
	for ctx.Err() == nil {
		if !settledAt.Before(until) {
			return false
		}
		wait.For(ctx, settledAt.Sub(c.Now()))
		c.mu.Lock()
		next := c.changedAt.Add(settleTime)
		c.mu.Unlock()
		if !next.After(settledAt) {
			break
		}
		settledAt = next
	}
	return true
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// decide passes the first decision to the request. The client's lock must be held.
func (p *pendingRequest) decide(d decision) {
	if p.decided {
		return
	}
	p.decided, p.upstream = true, d.upstream
	p.decisions <- d
}
