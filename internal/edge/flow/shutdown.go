package flow

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// balancerNoticeTime is how long after the start of a shutdown the load
	// balancer may still send new callers here. Later requests are refused if they
	// may outlast the process, since their answer would be cut off.
	balancerNoticeTime = 2 * time.Second
	// lateLengthFactor multiplies the estimated length of a stream that arrives
	// later and that no other process accepts. The scheduler's own margin for
	// streams that exceed their estimate is learned from short streams too, and is
	// too small for long ones.
	lateLengthFactor = 2
	// shutdownRetryAfter is the Retry-After of requests that are refused because of a
	// shutdown; another process accepts them at once.
	shutdownRetryAfter = 10 * time.Millisecond
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

// fitsBeforeExit reports whether a process that is shutting down may accept the
// request. A generation of known length is always accepted here: the scheduler,
// which knows the engines, decides whether one can finish it in time. Judging it
// by the route's timeout, which is about ten times as long, would refuse nearly
// every stream even while engines are free.
func (c *call) fitsBeforeExit() bool {
	if !c.shutdown.started() || c.lengthKnown() {
		return true
	}
	return c.shutdown.unnoticed(c.arrivedAt) || !c.deadline.After(c.shutdown.exitAt)
}

func (s shutdownWindow) started() bool { return !s.exitAt.IsZero() }

// unnoticed reports whether the load balancer may not have noticed the shutdown
// when the request arrived.
func (s shutdownWindow) unnoticed(arrivedAt time.Time) bool {
	return arrivedAt.Sub(s.startedAt) <= balancerNoticeTime
}

// lengthKnown reports whether the request is a generation with a known maximum
// length, so that its end can be planned.
func (c *call) lengthKnown() bool {
	return c.route.Kind == catalog.Streaming && c.request.TokensStated && c.request.OutputTokens > 0
}

// limitToExit restricts the placement if the process exits before the request's
// deadline.
func (c *call) limitToExit(req *PlacementRequest) {
	if !c.shutdown.started() || !c.lengthKnown() || !c.shutdown.exitAt.Before(req.Deadline) {
		return
	}
	req.Deadline = c.shutdown.exitAt
	if c.shutdown.unnoticed(c.arrivedAt) {
		req.EndConstraint = EndPreferred
		return
	}
	req.EndConstraint = EndRequired
	if c.othersAccept() {
		// An estimate is not an upper bound, whatever margin is added.
		req.OutputTokens = c.request.OutputTokens
		return
	}
	req.OutputTokens = min(c.request.OutputTokens, lateLengthFactor*req.OutputTokens)
}

func (c *call) othersAccept() bool { return c.OthersAccept != nil && c.OthersAccept() }

// exitPlan is how the last placement of a request that arrived during a shutdown was
// planned. It is only logged: a stream that was cut off shows by it which estimate was
// wrong.
type exitPlan struct {
	timeLeft     time.Duration
	constraint   EndConstraint
	tokens       int
	othersAccept bool
}

func (c *call) recordExitPlan(now time.Time, req PlacementRequest) {
	if c.shutdown.started() {
		c.exitPlan = exitPlan{c.shutdown.exitAt.Sub(now), req.EndConstraint, req.OutputTokens, c.othersAccept()}
	}
}

// shutdownDetails returns the log attributes of the plan, if there is one.
func (c *call) shutdownDetails() []any {
	if !c.shutdown.started() {
		return nil
	}
	return []any{
		"since-stop", c.arrivedAt.Sub(c.shutdown.startedAt), "exit-in", c.exitPlan.timeLeft, "end", c.exitPlan.constraint,
		"planned", c.exitPlan.tokens, "others-accept", c.exitPlan.othersAccept,
	}
}

var endConstraintNames = [...]string{"open", "preferred", "required"}

// String returns the constraint's name in logs.
func (e EndConstraint) String() string { return endConstraintNames[e] }
