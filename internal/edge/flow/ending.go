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

// unplaced ends a request for which there is no place.
func (u *run) unplaced(ctx context.Context, err error) {
	if ctx.Err() != nil {
		u.expire(ctx)
		return
	}
	if u.mayHaveRun || u.stream.opened {
		u.giveUp(err.Error())
		return
	}
	retryAfter := RetryAfter(err)
	if retryAfter == 0 && u.stop.underWay() {
		retryAfter = leavingRetry
	}
	u.refuse(http.StatusServiceUnavailable, retryAfter, err.Error())
}

// expire ends a request whose time is over or whose caller left.
func (u *run) expire(ctx context.Context) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		u.returnCost()
		u.finishLeft(u.leftOutcome(), u.lastSend()...)
		panic(http.ErrAbortHandler)
	}
	u.giveUp("out of time")
}

// giveUp tells the caller that there will be no answer. Only a request that
// has not run anywhere is refused as not run.
func (u *run) giveUp(why string) {
	if u.stream.opened {
		u.finish("stream broken off", append(u.lastSend(), "why", why)...)
		panic(http.ErrAbortHandler)
	}
	if u.failure != nil {
		u.passFailure()
		return
	}
	if !u.mayHaveRun {
		u.refuse(http.StatusServiceUnavailable, declinedRetry, why)
		return
	}
	status := http.StatusBadGateway
	if !u.Now().Before(u.until) {
		status = http.StatusGatewayTimeout
	}
	u.Translator.Refuse(u.request, 0, u.w.Header())
	u.w.WriteHeader(status)
	u.finish("gave up", append(u.lastSend(), "status", status, "why", why)...)
}

// refuse answers a request that has not run and will not.
func (u *run) refuse(status int, retryAfter time.Duration, why string) {
	u.returnCost()
	u.Translator.Refuse(u.request, retryAfter, u.w.Header())
	u.w.WriteHeader(status)
	u.finish("refused", "status", status, "why", why, "retry-after", retryAfter)
}

func (u *run) returnCost() {
	if u.cost > 0 && !u.mayHaveRun {
		u.Quota.Return(u.work, u.cost)
		u.cost = 0
	}
}

// finish writes the line that tells what became of the request. Lines of
// requests that went well are of the lowest level, so that a bound on the log's
// volume meets them first.
func (u *run) finish(outcome string, details ...any) {
	took := u.Now().Sub(u.arrived)
	route := ""
	if u.route != nil {
		route = u.route.Name
	}
	u.Metrics.Finished(route, u.tier, outcome, took)
	args := []any{"outcome", outcome, "route", route, "tier", u.tier, "took", took, "sends", u.sends}
	if len(u.exclude) > 0 {
		args = append(args, "tried", slices.Clone(u.exclude))
	}
	level := slog.LevelWarn
	if outcome == outcomeAnswered && u.sends <= 1 && !u.late(took) {
		level = slog.LevelDebug
	}
	u.logger.Log(context.Background(), level, "request", append(args, details...)...)
}

// outcomeAnswered is the outcome of a request that got an upstream's success,
// outcomeLeft that of one whose caller did not wait for its end, and outcomeCut
// that of one which this process's end cut.
const (
	outcomeAnswered = "answered"
	outcomeLeft     = "caller left"
	outcomeCut      = "cut by the stop"
	// outcomeClosed is that of a request whose connection this process closed.
	outcomeClosed = "connection closed"
)

// leftOutcome names why the connection ended: a process that stops closes those
// that are still open at its end.
func (u *run) leftOutcome() string {
	if _, end, leaving := u.Leaving(); leaving && !u.Now().Before(end) {
		return outcomeCut
	}
	if u.conn != nil && u.conn.ClosedInFlight() {
		return outcomeClosed
	}
	return outcomeLeft
}

// finishLeft writes the line of a request whose connection ended before its
// answer, with how long it had been idle before the request.
func (u *run) finishLeft(outcome string, details ...any) {
	if u.conn != nil {
		details = append(details, "idle", u.conn.IdleTime())
	}
	u.finish(outcome, details...)
}

// lastSend is what a request's last line tells of its last send, if there was
// one: where it went, how far it got, its lengths and what it waited for. Without
// it, a caller who left a stream after ten seconds left no sign of the slow
// engine that had it.
func (u *run) lastSend() []any {
	if u.upstream == "" {
		return nil
	}
	details := []any{"upstream", u.upstream, "placed", u.placed, "first-event", u.firstEvent}
	if u.route.Kind != catalog.Streaming {
		return details
	}
	return append(details, "last-event", u.stream.last, "longest-gap", u.longestGap,
		"prompt", u.request.PromptTokens, "output", u.request.OutputTokens, "hint", u.request.LengthHint)
}

// late tells whether the answer came after its objective.
func (u *run) late(took time.Duration) bool {
	if u.route.Kind != catalog.Streaming {
		return took > u.route.Objective
	}
	return u.placed+u.firstEvent > u.route.Objective || (u.route.MaxGap > 0 && u.longestGap > u.route.MaxGap)
}
