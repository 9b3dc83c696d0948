package flow

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// handleNoPlacement ends a request for which no upstream is available.
func (c *call) handleNoPlacement(ctx context.Context, err error) {
	if ctx.Err() != nil {
		c.expire(ctx)
		return
	}
	if c.mayHaveExecuted || c.progress.opened {
		c.giveUp(err.Error())
		return
	}
	retryAfter := RetryAfter(err)
	if retryAfter == 0 && c.shutdown.started() {
		retryAfter = c.refusalDelay(c.Now())
	} else {
		retryAfter = c.atLeastPause(retryAfter)
	}
	c.refuse(http.StatusServiceUnavailable, retryAfter, err.Error())
}

// expire ends a request whose deadline has passed or whose caller disconnected.
func (c *call) expire(ctx context.Context) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		c.refundCost()
		c.finishDisconnected(c.disconnectOutcome(), c.lastAttempt()...)
		panic(http.ErrAbortHandler)
	}
	if errors.Is(context.Cause(ctx), errExits) {
		c.giveUp(errExits.Error())
		return
	}
	c.giveUp("deadline exceeded")
}

// giveUp ends a request without an upstream's answer. It is refused as not
// executed only if no upstream can have executed it.
func (c *call) giveUp(reason string) {
	if c.progress.opened {
		c.finish("stream broken off", append(c.lastAttempt(), "why", reason)...)
		panic(http.ErrAbortHandler)
	}
	if c.failedAnswer != nil {
		c.passFailedAnswer()
		return
	}
	if !c.mayHaveExecuted {
		c.refuse(http.StatusServiceUnavailable, c.atLeastPause(declinedRetryAfter), reason)
		return
	}
	status := http.StatusBadGateway
	if !c.Now().Before(c.deadline) {
		status = http.StatusGatewayTimeout
	}
	c.Headers.Refuse(c.request, 0, c.w.Header())
	c.w.WriteHeader(status)
	c.finish("gave up", append(c.lastAttempt(), "status", status, "why", reason)...)
}

// atLeastPause returns the Retry-After, or how long it takes until any upstream may get a
// request, if that is longer.
func (c *call) atLeastPause(retryAfter time.Duration) time.Duration {
	if c.Guard == nil {
		return retryAfter
	}
	return max(retryAfter, c.Guard.Pause(c.Now(), c.targetService()))
}

// refuse answers a request that was not executed and will not be.
func (c *call) refuse(status int, retryAfter time.Duration, reason string) {
	c.refundCost()
	c.Headers.Refuse(c.request, retryAfter, c.w.Header())
	c.w.WriteHeader(status)
	c.finish("refused", "status", status, "why", reason, "retry-after", retryAfter)
}

// refuseForShutdown refuses a request that may outlast the process.
func (c *call) refuseForShutdown() {
	c.refuse(http.StatusServiceUnavailable, c.refusalDelay(c.Now()), "this process shuts down before the request could complete")
}

func (c *call) refundCost() {
	if c.chargedCost > 0 && !c.mayHaveExecuted {
		c.Quota.Return(c.workspace, c.chargedCost)
		c.chargedCost = 0
	}
}

// slowBodyTime is the time for a body to arrive from which it is logged. A body of 12 KB takes
// 10 ms on a link of 10 Mbit/s that carries nothing else.
const slowBodyTime = 20 * time.Millisecond

// finish counts the request and logs its outcome. Successful requests are logged
// at the lowest level, so that the log's rate limit drops them first.
func (c *call) finish(outcome string, details ...any) {
	took := c.Now().Sub(c.arrivedAt)
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	c.Metrics.RequestFinished(route, c.tier, outcome, took)
	args := []any{"outcome", outcome, "route", route, "tier", c.tier, "took", took, "sends", c.sending.begun}
	if c.workspace != nil {
		args = append(args, "workspace", c.workspace.Name)
	}
	if c.bodyTime >= slowBodyTime {
		args = append(args, "body", c.bodyTime)
	}
	if len(c.triedUpstreams) > 0 {
		args = append(args, "tried", slices.Clone(c.triedUpstreams))
	}
	level := slog.LevelWarn
	if outcome == outcomeAnswered && c.sending.begun <= 1 && !c.late(took) {
		level = slog.LevelDebug
	}
	c.logger.Log(context.Background(), level, "request", append(args, details...)...)
}

const (
	// outcomeAnswered: an upstream answered with success.
	outcomeAnswered = "answered"
	// outcomeDisconnected: the caller disconnected before the end of the answer.
	outcomeDisconnected = "caller left"
	// outcomeCutByShutdown: the process shut down before the end of the answer.
	outcomeCutByShutdown = "cut by the stop"
	// outcomeClosed: this process closed the caller's connection.
	outcomeClosed = "connection closed"
)

// disconnectOutcome returns the outcome of a request whose connection ended: a
// process closes all connections that are still open when it exits.
func (c *call) disconnectOutcome() string {
	if _, exitAt, leaving := c.ShutdownStatus(); leaving && !c.Now().Before(exitAt) {
		return outcomeCutByShutdown
	}
	if c.conn != nil && c.conn.ClosedInFlight() {
		return outcomeClosed
	}
	return outcomeDisconnected
}

// beginAnswer records that the answer, or a part of it, is passed on to the caller.
func (c *call) beginAnswer() {
	c.passing.Store(true)
	if c.conn != nil && !c.complete {
		c.conn.BeginAnswer()
	}
}

// finishDisconnected ends a request whose connection was closed before the answer
// was complete, and logs how long the connection was idle before the request. Of one that the
// exit of the process cut, it logs when it came, counted from the start of the shutdown, how much
// time its caller had left, and how many events were read and passed on.
func (c *call) finishDisconnected(outcome string, details ...any) {
	if since, _, leaving := c.ShutdownStatus(); leaving && outcome == outcomeCutByShutdown {
		details = append([]any{
			"arrived", c.arrivedAt.Sub(since), "time-left", c.deadline.Sub(c.Now()), "read", c.events, "passed", c.progress.events,
		}, details...)
	}
	if c.conn != nil {
		details = append(details, "idle", c.conn.IdleTime())
	}
	c.finish(outcome, details...)
}

// lastAttempt returns the log attributes of the last attempt, if there was one:
// its upstream, progress, token counts and waiting times. They show which slow
// engine ran a stream that its caller abandoned.
func (c *call) lastAttempt() []any {
	if c.upstream == "" {
		return nil
	}
	details := []any{"upstream", c.upstream, "placed", c.placementWait, "first-event", c.firstEvent}
	if c.route.Kind != catalog.Streaming {
		return details
	}
	details = append(details, "last-event", c.progress.lastEventID, "longest-gap", c.longestGap,
		"prompt", c.request.PromptTokens, "output", c.request.OutputTokens, "hint", c.request.LengthHint)
	if c.whole {
		details = append(details, "whole", true, "read", c.events)
	}
	return append(details, c.exitPlan.attributes()...)
}

// late reports whether the answer missed the route's latency target or the limit on
// gaps between events.
func (c *call) late(took time.Duration) bool {
	if c.route.Kind != catalog.Streaming {
		return took > c.route.LatencyTarget
	}
	return c.placementWait+c.firstEvent > c.route.LatencyTarget || (c.route.EventGapTarget > 0 && c.longestGap > c.route.EventGapTarget)
}
