package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/action/outcome"
	"github.com/persimmonridge/persimmonridge/internal/caller/refusal"
	"github.com/persimmonridge/persimmonridge/internal/caller/request"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
)

const (
	// retryAtLeast and retryAtMost bound the Retry-After that a caller is told.
	retryAtLeast = 500 * time.Millisecond
	retryAtMost  = 30 * time.Second
)

// handler routes operators' endpoints and callers' requests.
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
		http.Error(w, "leaving, or no configuration yet", http.StatusServiceUnavailable)
	}
}

// call is one caller's request on its way.
type call struct {
	entry   *Entry
	q       *request.Request
	doc     document.Document
	out     *output
	outcome *outcome.Outcome
	retried bool
	// retryAfter is when the upstreams that declined expect room.
	retryAfter time.Duration
	tooLate    int
	declines   int
}

func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	now, id := e.now(), newID()
	w.Header().Set(request.HeaderRequestID, id)
	doc, revision := e.log.Current()
	if revision == 0 {
		refusal.New(refusal.NotConfigured, refusal.NotRun, "no configuration is known here yet", "try again").RetryAfter(time.Second).Write(w, id)
		return
	}
	q, refused := request.Read(now, id, r, doc)
	if refused != nil {
		e.metrics.refused(refused)
		refused.Write(w, id)
		return
	}
	c := &call{entry: e, q: q, doc: doc, outcome: outcome.New(id, e.invariants)}
	c.out = newOutput(id, w, e.invariants, e.now)
	e.metrics.inFlight.Inc()
	defer e.metrics.inFlight.Dec()
	refused = c.run(r.Context())
	c.finish(w, refused)
}

// run serves the request and returns why it has no whole answer, if so.
func (c *call) run(ctx context.Context) *refusal.Refusal {
	now := c.entry.now()
	if c.entry.suspects.Standing(now, c.q.Fingerprint()) == suspect.Convicted {
		return convicted()
	}
	if c.q.Keyed() {
		return c.runKeyed(ctx)
	}
	r := c.dispatch(ctx, func(choice) bool { return true })
	return c.refusalOf(r)
}

// finish settles the outcome, tells the caller of a refusal at once, and logs.
func (c *call) finish(w http.ResponseWriter, refused *refusal.Refusal) {
	e, now := c.entry, c.entry.now()
	kind := outcome.Answered
	switch {
	case refused == errGoneRefusal:
		kind = outcome.CallerGone
	case refused != nil && refused.Ran() == refusal.NotRun:
		kind = outcome.NotRun
	case refused != nil:
		kind = outcome.MayHaveRun
	case now.After(c.q.Deadline()):
		kind = outcome.Late
	}
	c.outcome.Settle(kind)
	e.metrics.observe(c, kind, refused)
	e.logger.Info("request ended", "request", c.q.ID(), "workspace", c.q.Workspace(), "action", c.q.Action().Route(),
		"tier", c.q.Tier(), "outcome", string(kind), "took", now.Sub(c.q.Arrived()).Round(time.Millisecond), "bytes", c.out.offset)
	if refused == nil || kind == outcome.CallerGone {
		return
	}
	if c.out.started {
		// The answer broke off after its first byte: the connection is
		// aborted, so that no caller takes a part for the whole.
		panic(http.ErrAbortHandler)
	}
	refused.Write(w, c.q.ID())
}

// errGoneRefusal stands for a caller that is gone and is told nothing.
var errGoneRefusal = refusal.New(refusal.Lost, refusal.MayHaveRun, "the caller is gone", "none")

// dispatch asks upstreams in turn until one answers. It goes on to the next
// only on proof that the last one did not run the request, or, where the
// rules allow a second run, once the first is known to be over. Before is
// asked before each offer and may forbid it.
func (c *call) dispatch(ctx context.Context, before func(choice) bool) result {
	e := c.entry
	s := newSearch(c)
	last := result{ending: notRun, reason: wire.Decline_REASON_UNSPECIFIED}
	for {
		next, ok := s.find(ctx)
		now := e.now()
		if !ok || now.After(c.q.Deadline()) {
			return last
		}
		next.patience = s.patience(next)
		if !before(next) {
			return result{ending: notRun, reason: wire.Decline_REASON_WITHDRAWN}
		}
		r := c.try(ctx, next)
		if ctx.Err() != nil && r.ending != answered {
			return result{ending: callerGone}
		}
		switch {
		case r.ending == notRun:
			e.logger.Info("offer not run", "node", e.settings.Node(), "request", c.q.ID(), "upstream", next.upstream.Name(),
				"reason", r.reason.String(), "incarnation", next.incarnation)
			s.note(e.now(), next, r.reason)
			c.note(next, r)
			last = r
		case r.ending == failedEarly && c.mayRunAgain(now):
			s.note(e.now(), next, wire.Decline_REASON_UNSPECIFIED)
			c.retried = true
			c.out.reset()
			last = r
		default:
			return r
		}
	}
}

func (c *call) try(ctx context.Context, next choice) result {
	e := c.entry
	e.moves.check(c.q, next.upstream, c.doc)
	a := &attempt{entry: e, q: c.q, out: c.out, upstream: next.upstream, runID: c.q.ID(), dispatched: c.outcome.Dispatched, mayRetry: c.q.RepeatSafe() && !c.retried}
	started := e.now()
	r := a.offer(ctx, next)
	e.metrics.offered(r)
	c.learn(started, next, r)
	return r
}

// learn feeds the forecast of plain services and this entry's own evidence on
// versions under test.
func (c *call) learn(started time.Time, next choice, r result) {
	e, now := c.entry, c.entry.now()
	if r.ending == notRun || r.ending == callerGone || r.outcome == wire.End_OUTCOME_PREEMPTED {
		return
	}
	took := now.Sub(started)
	failed := r.ending != answered || c.out.head.GetStatus() >= http.StatusInternalServerError
	if r.ending == answered {
		length := int(took.Milliseconds())
		if c.q.Service().Kind() == inventory.Model {
			length = c.out.tokens()
		}
		e.forecast.Observe(now, route(c.q), length)
	}
	e.moves.observe(c.q, next.upstream, failed)
}

// mayRunAgain tells whether a run that is known to be over may be followed by
// another: the rules say so, no byte was handed on, it is the first time, and
// the fleet's budget has room.
func (c *call) mayRunAgain(now time.Time) bool {
	if !c.q.RepeatSafe() || c.out.started || c.retried || now.After(c.q.Deadline()) {
		return false
	}
	if c.entry.suspects.Standing(now, c.q.Fingerprint()) == suspect.Convicted {
		return false
	}
	return c.entry.retries.Take(now, 1, 0)
}

func (c *call) note(next choice, r result) {
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
	wait := time.Duration(waits[min(c.q.Tier(), len(waits)-1)]) * time.Millisecond
	if c.retryAfter == 0 || wait < c.retryAfter {
		c.retryAfter = wait
	}
}

// refusalOf words what a caller is told of a result.
func (c *call) refusalOf(r result) *refusal.Refusal {
	switch r.ending {
	case answered:
		c.entry.retries.Earn(c.doc.Rules().RetryBudget())
		return nil
	case callerGone:
		return errGoneRefusal
	case notRun:
		if c.retried {
			return refusal.New(refusal.Failed, refusal.MayHaveRun, "the upstream failed, and no other took the request", "send it again; its action is safe to repeat").RetryAfter(c.advice())
		}
		return c.notRunRefusal(r)
	case failedEarly:
		return refusal.New(refusal.Failed, refusal.MayHaveRun, "the upstream failed: "+orUnknown(r.detail), "look whether it took effect before sending it again")
	}
	return refusal.New(refusal.Lost, refusal.MayHaveRun, "the answer was lost: "+orUnknown(r.detail), "look whether it took effect before sending it again")
}

func (c *call) notRunRefusal(r result) *refusal.Refusal {
	after := c.advice()
	switch {
	case r.reason == wire.Decline_REASON_CONVICTED:
		return convicted()
	case c.declines == 0 && r.reason == wire.Decline_REASON_UNSPECIFIED:
		return refusal.New(refusal.NoUpstream, refusal.NotRun, "no upstream of "+c.q.Service().Name()+" can be reached", "try again shortly").RetryAfter(after)
	case c.tooLate == c.declines:
		return refusal.New(refusal.TooLate, refusal.NotRun, "no upstream can finish it by its deadline", "try again later, or allow more time").RetryAfter(after)
	}
	return refusal.New(refusal.Overloaded, refusal.NotRun, "every upstream that may take it is full", "try again later").RetryAfter(after)
}

// advice is when another try is worth making.
func (c *call) advice() time.Duration { return min(max(c.retryAfter, retryAtLeast), retryAtMost) }

func convicted() *refusal.Refusal {
	return refusal.New(refusal.Convicted, refusal.NotRun, "this very request has crashed two upstreams", "do not send it again; change it or report it")
}

func orUnknown(detail string) string {
	if detail == "" {
		return "no reason was given"
	}
	return detail
}
