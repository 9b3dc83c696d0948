package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/action/outcome"
	"github.com/persimmonridge/persimmonridge/internal/caller/connection"
	"github.com/persimmonridge/persimmonridge/internal/caller/refusal"
	"github.com/persimmonridge/persimmonridge/internal/caller/request"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After sent to callers.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// handler serves the endpoints for operators and callers' requests.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /status", e.serveStatus)
	mux.Handle("GET /metrics", e.metrics.handler())
	mux.HandleFunc("/", e.serveCaller)
	return mux
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		http.Error(w, "draining, or no configuration received yet", http.StatusServiceUnavailable)
	}
}

// call is the state of one caller's request.
type call struct {
	entry   *Entry
	request *request.Request
	doc     document.Document
	output  *output
	outcome *outcome.Outcome
	retried bool
	// retryAfter is the shortest queueing time that a declining upstream
	// reported, 0 if none did.
	retryAfter time.Duration
	tooLate    int
	declines   int
}

func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	now, id := e.now(), newRequestID()
	w.Header().Set(request.HeaderRequestID, id)
	doc, revision := e.log.Current()
	if revision == 0 {
		refusal.New(refusal.NotConfigured, refusal.NotRun, "this entry has no configuration yet", "try again").RetryAfter(time.Second).Write(w, id)
		return
	}
	q, refused := request.Read(now, id, r, doc)
	if refused != nil {
		e.metrics.refused(refused)
		refused.Write(w, id)
		return
	}
	c := &call{entry: e, request: q, doc: doc, outcome: outcome.New(id, e.invariants)}
	c.output = newOutput(id, w, connection.EndingOf(r), e.invariants, e.now)
	e.metrics.inFlight.Inc()
	defer e.metrics.inFlight.Dec()
	refused = c.run(r.Context())
	c.finish(w, refused)
}

// run serves the request and returns a refusal if there is no complete
// response.
func (c *call) run(ctx context.Context) *refusal.Refusal {
	now := c.entry.now()
	if c.entry.suspects.Status(now, c.request.Fingerprint()) == suspect.Convicted {
		return convictedRefusal()
	}
	if c.request.Keyed() {
		return c.runKeyed(ctx)
	}
	r := c.dispatch(ctx, func(choice) bool { return true })
	return c.refusalOf(r)
}

// finish records and logs the outcome and sends a refusal to the caller.
func (c *call) finish(w http.ResponseWriter, refused *refusal.Refusal) {
	e, now := c.entry, c.entry.now()
	kind := outcome.Answered
	switch {
	case refused == callerGoneRefusal:
		kind = outcome.CallerGone
	case refused != nil && refused.Ran() == refusal.NotRun:
		kind = outcome.NotRun
	case refused != nil:
		kind = outcome.MayHaveRun
	case now.After(c.request.Deadline()):
		kind = outcome.Late
	}
	c.outcome.Settle(kind)
	e.metrics.observe(c, kind, refused)
	e.logger.Info("request ended", "request", c.request.ID(), "workspace", c.request.Workspace(), "action", c.request.Action().Route(),
		"tier", c.request.Tier(), "outcome", string(kind), "took", now.Sub(c.request.Arrived()).Round(time.Millisecond), "bytes", c.output.offset)
	if refused == nil {
		return
	}
	if kind == outcome.CallerGone || c.output.started {
		// The connection is aborted, so that the caller does not take a response
		// that ended early for complete. A caller that only closed its sending
		// side, which net/http does not distinguish, still reads.
		panic(http.ErrAbortHandler)
	}
	refused.Write(w, c.request.ID())
}

// callerGoneRefusal marks that the caller has disconnected; it is never sent.
var callerGoneRefusal = refusal.New(refusal.Lost, refusal.MayHaveRun, "caller disconnected", "none")

// dispatch offers the request to one upstream after another until one answers.
// It tries the next only after proof that the last one did not run the request
// or, where the rules allow a second run, after the first run has ended. It
// calls before ahead of each offer and stops if that returns false.
func (c *call) dispatch(ctx context.Context, before func(choice) bool) result {
	e := c.entry
	s := newSearch(c)
	last := result{ending: notRun, reason: wire.Decline_REASON_UNSPECIFIED}
	for {
		next, ok := s.find(ctx)
		now := e.now()
		if !ok || now.After(c.request.Deadline()) {
			return last
		}
		next.queueTimeout = s.queueTimeout(next)
		if !before(next) {
			return result{ending: notRun, reason: wire.Decline_REASON_WITHDRAWN}
		}
		r := c.try(ctx, next)
		if ctx.Err() != nil && r.ending != answered {
			return result{ending: callerGone}
		}
		switch {
		case r.ending == notRun:
			e.logger.Info("offer not run", "node", e.settings.Node(), "request", c.request.ID(), "upstream", next.upstream.Name(),
				"reason", r.reason.String(), "incarnation", next.incarnation)
			s.recordDecline(e.now(), next, r.reason)
			c.recordDecline(next, r)
			last = r
		case r.ending == failedEarly && c.mayRunAgain(now):
			s.recordDecline(e.now(), next, wire.Decline_REASON_UNSPECIFIED)
			c.retried = true
			c.output.reset()
			last = r
		default:
			return r
		}
	}
}

func (c *call) try(ctx context.Context, next choice) result {
	e := c.entry
	e.rollouts.checkShare(c.request, next.upstream, c.doc)
	a := &attempt{entry: e, request: c.request, output: c.output, upstream: next.upstream, runID: c.request.ID(), dispatched: c.outcome.Dispatched, mayRetry: c.request.RepeatSafe() && !c.retried}
	started := e.now()
	r := a.offer(ctx, next)
	e.metrics.offered(r)
	c.recordResult(started, next, r)
	return r
}

// recordResult updates the forecast and this entry's evidence on versions in
// rollout.
func (c *call) recordResult(started time.Time, next choice, r result) {
	e, now := c.entry, c.entry.now()
	if r.ending == notRun || r.ending == callerGone || r.outcome == wire.End_OUTCOME_PREEMPTED {
		return
	}
	took := now.Sub(started)
	failed := r.ending != answered || c.output.head.GetStatus() >= http.StatusInternalServerError
	if r.ending == answered {
		length := int(took.Milliseconds())
		if c.request.Service().Kind() == inventory.Model {
			length = c.output.tokens()
		}
		e.forecast.Observe(now, route(c.request), length)
	}
	e.rollouts.observe(c.request, next.upstream, failed)
}

// mayRunAgain reports whether an ended run may be followed by another: the
// rules allow it, the caller got no byte, it is the first retry, and the retry
// budget is not exhausted.
func (c *call) mayRunAgain(now time.Time) bool {
	if !c.request.RepeatSafe() || c.output.started || c.retried || now.After(c.request.Deadline()) {
		return false
	}
	if c.entry.suspects.Status(now, c.request.Fingerprint()) == suspect.Convicted {
		return false
	}
	return c.entry.retries.Take(now, 1, 0)
}

func (c *call) recordDecline(next choice, r result) {
	if r.reason != wire.Decline_REASON_PATIENCE {
		c.declines++
	}
	if r.reason == wire.Decline_REASON_TOO_LATE {
		c.tooLate++
	}
	load := next.upstream.Load()
	waits := load.GetWaitMs()
	if len(waits) == 0 {
		return
	}
	wait := time.Duration(waits[min(c.request.Tier(), len(waits)-1)]) * time.Millisecond
	if c.retryAfter == 0 || wait < c.retryAfter {
		c.retryAfter = wait
	}
}

// refusalOf returns the refusal to send to the caller, nil if it was answered.
func (c *call) refusalOf(r result) *refusal.Refusal {
	switch r.ending {
	case answered:
		c.entry.retries.Earn(c.doc.Rules().RetryBudget())
		return nil
	case callerGone:
		return callerGoneRefusal
	case notRun:
		if c.retried {
			return refusal.New(refusal.Failed, refusal.MayHaveRun, "the upstream failed, and no other accepted the request", "send it again; its action is safe to repeat").RetryAfter(c.retryAfterHint())
		}
		return c.notRunRefusal(r)
	case failedEarly:
		return refusal.New(refusal.Failed, refusal.MayHaveRun, "the upstream failed: "+detailOrDefault(r.detail), "check whether it took effect before sending it again")
	}
	return refusal.New(refusal.Lost, refusal.MayHaveRun, "the response was lost: "+detailOrDefault(r.detail), "check whether it took effect before sending it again")
}

func (c *call) notRunRefusal(r result) *refusal.Refusal {
	after := c.retryAfterHint()
	switch {
	case r.reason == wire.Decline_REASON_CONVICTED:
		return convictedRefusal()
	case c.declines == 0 && r.reason == wire.Decline_REASON_UNSPECIFIED:
		return refusal.New(refusal.NoUpstream, refusal.NotRun, "no upstream of "+c.request.Service().Name()+" is reachable", "try again shortly").RetryAfter(after)
	case c.tooLate == c.declines:
		return refusal.New(refusal.TooLate, refusal.NotRun, "no upstream can finish it by its deadline", "try again later, or allow more time").RetryAfter(after)
	}
	return refusal.New(refusal.Overloaded, refusal.NotRun, "all upstreams for this request are at capacity", "try again later").RetryAfter(after)
}

// retryAfterHint returns the Retry-After to send to the caller.
func (c *call) retryAfterHint() time.Duration {
	return min(max(c.retryAfter, minRetryAfter), maxRetryAfter)
}

func convictedRefusal() *refusal.Refusal {
	return refusal.New(refusal.CrashesUpstreams, refusal.NotRun, "an identical request has crashed two upstreams", "do not send it again; change it or report it")
}

func detailOrDefault(detail string) string {
	if detail == "" {
		return "no details were reported"
	}
	return detail
}
