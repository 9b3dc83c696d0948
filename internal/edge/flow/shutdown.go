package flow

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// balancerNoticeTime is how long after the start of a shutdown the load
	// balancer may still send new callers here.
	balancerNoticeTime = 2 * time.Second
	// shutdownRetryAfter is the Retry-After of requests that are refused because of a
	// shutdown and that another process accepts at once.
	shutdownRetryAfter = 10 * time.Millisecond
	// maxReturnSpread is the time over which callers are told to come back once a process
	// has started again.
	maxReturnSpread = 600 * time.Millisecond
)

// EndConstraint states how a stream's end relates to the exit of the process.
type EndConstraint int

// Relations of a stream's end to the exit of the process.
const (
	// EndUnconstrained: the exit of the process does not limit the request.
	EndUnconstrained EndConstraint = iota
	// EndPreferred: the stream should end before the process exits.
	EndPreferred
	// EndRequired: the stream must end before the process exits.
	EndRequired
)

// shutdownWindow holds when a shutdown began and when the process exits; both are zero
// if it is not shutting down.
type shutdownWindow struct{ startedAt, exitAt time.Time }

func (s shutdownWindow) started() bool { return !s.exitAt.IsZero() }

// unnoticed reports whether the load balancer may not have noticed the shutdown yet.
func (s shutdownWindow) unnoticed(now time.Time) bool {
	return now.Sub(s.startedAt) <= balancerNoticeTime
}

// receivedAt returns when all of the request had been received.
func (c *call) receivedAt() time.Time { return c.arrivedAt.Add(c.bodyTime) }

// checkShutdown reads whether the process is shutting down. A shutdown may begin while
// a request waits for its body or for a placement.
func (c *call) checkShutdown() {
	since, exitAt, leaving := c.ShutdownStatus()
	if !leaving {
		return
	}
	c.shutdown = shutdownWindow{startedAt: since, exitAt: exitAt}
	if !c.progress.opened {
		c.w.Header().Set("Connection", "close")
	}
}

// fitsBeforeExit reports whether a process that is shutting down may accept the
// request. A generation of known length is always accepted here: the scheduler,
// which knows the engines, decides whether one can finish it in time. Judging it
// by the route's timeout, which is about ten times as long, would refuse nearly
// every stream even while engines are free.
func (c *call) fitsBeforeExit(now time.Time) bool {
	if !c.shutdown.started() || c.lengthKnown() || !c.deadline.After(c.shutdown.exitAt) {
		return true
	}
	if c.route.Kind == catalog.Streaming && c.othersAccept(now) {
		return false
	}
	return c.shutdown.unnoticed(now)
}

// lengthKnown reports whether the request is a generation with a known maximum
// length, so that its end can be planned.
func (c *call) lengthKnown() bool {
	return c.route.Kind == catalog.Streaming && c.request.TokensStated && c.request.OutputTokens > 0
}

// mayBeRefused reports whether a request that may outlast the shutdown can still be refused
// as not executed. A plain request that an upstream declined is soon sent to another one.
func (c *call) mayBeRefused() bool {
	return c.attempts == 0 || (c.route.Kind == catalog.Streaming && !c.mayHaveExecuted)
}

// othersAccept reports whether the caller probably reaches another process if this one
// refuses the request.
func (c *call) othersAccept(now time.Time) bool {
	return c.OthersAccept != nil && c.OthersAccept(!c.shutdown.unnoticed(now))
}

// mayOutlastShutdown reports whether a stream that was placed without regard to a
// shutdown must be judged again, because one began while the stream waited.
func (c *call) mayOutlastShutdown(now time.Time) bool {
	c.checkShutdown()
	judged := c.lengthKnown() || (c.route.Kind == catalog.Streaming && !c.fitsBeforeExit(now))
	return c.shutdown.started() && judged && c.shutdown.exitAt.Before(c.deadline) && !c.mayHaveExecuted
}

// AnswerMargin is how long before the exit of the process a request is given up that waits for
// an upstream or its answer, so that an answer still reaches the caller.
const AnswerMargin = 40 * time.Millisecond

var errExits = errors.New("this process exits")

// endBeforeExit returns a context that ends shortly before the process exits, unless the caller
// is sent an answer by then.
func (c *call) endBeforeExit(ctx context.Context) (ending context.Context, release func()) {
	if c.Exit == nil {
		return ctx, func() {}
	}
	if c.conn != nil {
		c.conn.AnswerAtExit()
	}
	ending, cancel := context.WithCancelCause(ctx)
	exit := c.Exit()
	if exit.Err() != nil {
		cancel(errExits)
	}
	stop := context.AfterFunc(exit, func() {
		if !c.passing.Load() {
			cancel(errExits)
		}
	})
	return ending, func() {
		stop()
		cancel(nil)
	}
}

// exitsBeforeAttempt reports whether the process exits before an attempt that begins now could
// have an answer.
func (c *call) exitsBeforeAttempt(now time.Time) bool {
	return c.shutdown.started() && !now.Before(c.shutdown.exitAt.Add(-AnswerMargin))
}

// limitToExit restricts the placement if the process exits before the request's
// deadline. Only what surely ends in time is placed then, by the most tokens that the
// request states: an estimate of the length, whatever margin is added, is no bound. The
// exception is a stream that comes early in a shutdown while its caller would find no
// other process; an estimate decides then.
func (c *call) limitToExit(now time.Time, req *PlacementRequest) {
	if !c.shutdown.started() || !c.lengthKnown() || !c.shutdown.exitAt.Before(req.Deadline) {
		return
	}
	req.Deadline, req.UntilExit = c.shutdown.exitAt, true
	if c.withoutAllowance {
		return
	}
	othersAccept := c.othersAccept(now)
	switch {
	case c.mayHaveExecuted:
		// A stream that has begun would be broken off for certain, and one that an
		// upstream may have executed can no longer be refused as not executed.
		req.EndConstraint, req.MaxTokens = EndPreferred, c.tokensLeft(c.request.OutputTokens)
	case c.shutdown.unnoticed(now) && !othersAccept:
		req.EndConstraint, req.MaxTokens = EndPreferred, c.tokensLeft(c.request.OutputTokens)
	default:
		req.EndConstraint, req.OutputTokens, req.EstimatedTokens = EndRequired, c.request.OutputTokens, req.OutputTokens
	}
	c.exitPlan = exitPlan{
		sinceStop: now.Sub(c.shutdown.startedAt), timeLeft: c.shutdown.exitAt.Sub(now),
		constraint: req.EndConstraint, tokens: req.OutputTokens, othersAccept: othersAccept,
	}
}

// placeWithoutAllowance reports whether a request that got no placement is to be placed
// again where its estimated length ends in time, with no allowance for a longer one: a
// stream that may have been executed is broken off for certain without a placement.
func (c *call) placeWithoutAllowance(req PlacementRequest) bool {
	if c.withoutAllowance || !c.mayHaveExecuted || req.EndConstraint != EndPreferred {
		return false
	}
	c.withoutAllowance = true
	return true
}

// refusalDelay returns the Retry-After of a stream that is refused because of the
// shutdown: when its caller is likely to reach a process that accepts it. Callers that
// come back sooner would meet another process that shuts down, and lose a retry.
func (c *call) refusalDelay(now time.Time) time.Duration {
	if c.route.Kind != catalog.Streaming || c.OthersAccept == nil || c.othersAccept(now) {
		return shutdownRetryAfter
	}
	var next time.Time
	switch {
	case c.OthersAccept(true):
		next = c.shutdown.startedAt.Add(balancerNoticeTime)
	case c.NextAccepting != nil:
		next = c.NextAccepting(now).Add(c.returnSpread())
	}
	return max(shutdownRetryAfter, next.Sub(now))
}

// returnSpread spreads the callers that come back to a process that has just started.
func (c *call) returnSpread() time.Duration {
	return time.Duration(xxhash.Sum64String(c.request.ID) % uint64(maxReturnSpread))
}

// exitPlan is how a stream was planned that was placed during a shutdown. It is only
// logged: a stream that was cut off shows by it which estimate was wrong.
type exitPlan struct {
	sinceStop, timeLeft time.Duration
	constraint          EndConstraint
	tokens              int
	othersAccept        bool
}

// attributes returns the log attributes of the plan, if there is one.
func (e exitPlan) attributes() []any {
	if e.constraint == EndUnconstrained {
		return nil
	}
	return []any{
		"since-stop", e.sinceStop, "exit-in", e.timeLeft, "end", e.constraint,
		"planned", e.tokens, "others-accept", e.othersAccept,
	}
}

var endConstraintNames = [...]string{"open", "preferred", "required"}

// String returns the constraint's name in logs.
func (e EndConstraint) String() string { return endConstraintNames[e] }
