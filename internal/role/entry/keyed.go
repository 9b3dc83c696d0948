package entry

import (
	"context"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/caller/refusal"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// claimWithin is how long a caller waits for a claim before its action is
	// refused as not run.
	claimWithin = 5 * time.Second
	// recordWithin is how long the outcome of an action is offered to its
	// claim's owner; the caller has its answer by then.
	recordWithin = time.Minute
	// attachPause is between two looks at an action that another entry runs.
	attachPause = 150 * time.Millisecond
	// unreachableRounds is how often a run that cannot be reached is looked
	// for before the caller is told that it may have run.
	unreachableRounds = 2
	// claimRetry is the Retry-After while claims cannot be written.
	claimRetry = 3 * time.Second
)

// runKeyed serves an action that must not run twice: it is claimed before it
// is dispatched, and a resend attaches to the run or replays its answer.
func (c *call) runKeyed(ctx context.Context) *refusal.Refusal {
	c.out.recorder = &recorder{}
	k := &keyed{call: c}
	for {
		if refused, over := k.round(ctx); over {
			return refused
		}
		if k.unreachable > unreachableRounds || c.entry.now().After(c.q.Deadline()) || ctx.Err() != nil {
			return unfinished()
		}
		wait.For(ctx, attachPause)
	}
}

// keyed is the way of one keyed request through its claim.
type keyed struct {
	call *call
	// replaces is an earlier try's claim whose request was proven not to have
	// run where the claim stood.
	replaces *wire.ClaimAsk_Replaced
	// held tells that another try with the key was found; from then on "not
	// run" is not ours to say.
	held        bool
	unreachable int
}

// round asks for the claim once and acts on the reply; over tells that the
// request has its outcome.
func (k *keyed) round(ctx context.Context) (refused *refusal.Refusal, over bool) {
	c := k.call
	next, ok := c.reachable(ctx)
	if !ok {
		c.entry.logger.Info("no upstream to claim for", "node", c.entry.settings.Node(), "request", c.q.ID())
		return k.without(c.refusalOf(result{ending: notRun})), true
	}
	next.incarnation = next.upstream.Incarnation()
	reply := c.claim(ctx, next, k.replaces)
	c.entry.logger.Info("claim answered", "request", c.q.ID(), "key", c.q.ClaimKey(), "state", reply.GetState().String(),
		"holder", reply.GetRequestId(), "replaces", k.replaces.GetRequestId())
	switch reply.GetState() {
	case wire.ClaimReply_STATE_GRANTED:
		return c.runClaimed(ctx, next)
	case wire.ClaimReply_STATE_FINISHED:
		return c.replay(reply.GetAnswer()), true
	case wire.ClaimReply_STATE_MISMATCH:
		return refusal.New(refusal.KeyMismatch, refusal.NotRun, "this key was used with another body", "send the first body again, or a new key for a new action"), true
	case wire.ClaimReply_STATE_HELD:
		k.held = true
		return k.attach(ctx, reply)
	}
	message := "this try did not run: its claim cannot be written (" + reply.GetDetail() + "); whether an earlier try did is not known"
	return k.without(refusal.New(refusal.StoreDown, refusal.NotRun, message, "send it again with the same key").RetryAfter(claimRetry)), true
}

// reachable returns the best upstream whose agent answers, so that the claim does
// not name one that is gone.
func (c *call) reachable(ctx context.Context) (choice, bool) {
	s := newSearch(c)
	for {
		next, ok := s.find(ctx)
		if !ok || ctx.Err() != nil {
			return choice{}, false
		}
		if c.entry.contact(ctx, next.upstream) && c.entry.confirm(ctx, next.upstream) {
			return next, true
		}
		s.note(c.entry.now(), next, wire.Decline_REASON_UNREACHABLE)
	}
}

// without words the refusal of a request that was not dispatched itself.
func (k *keyed) without(refused *refusal.Refusal) *refusal.Refusal {
	if k.held {
		return unfinished()
	}
	return refused
}

func unfinished() *refusal.Refusal {
	return refusal.New(refusal.Unfinished, refusal.MayHaveRun, "an earlier try with this key may have run; its outcome is not known", "look whether it took effect, or ask again with the same key").RetryAfter(claimRetry)
}

// attach follows the run of another try to its end.
func (k *keyed) attach(ctx context.Context, reply *wire.ClaimReply) (*refusal.Refusal, bool) {
	r := k.call.attach(ctx, reply)
	switch {
	case r.ending == answered, r.ending == callerGone, r.ending == broken:
		return k.call.refusalOf(r), true
	case r.ending == notRun && r.reason == wire.Decline_REASON_UNKNOWN_RUN:
		k.replaces = &wire.ClaimAsk_Replaced{RequestId: reply.GetRequestId(), Upstream: reply.GetUpstream(), Incarnation: reply.GetIncarnation()}
	case r.ending == lost || r.ending == failedEarly:
		k.unreachable++
	}
	return nil, false
}

func (c *call) claim(ctx context.Context, next choice, replaces *wire.ClaimAsk_Replaced) *wire.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	ask := c.ask(wire.ClaimAsk_STEP_CLAIM, next)
	ask.Replaces = replaces
	return c.entry.claims.ask(ctx, ask)
}

func (c *call) ask(step wire.ClaimAsk_Step, next choice) *wire.ClaimAsk {
	ask := &wire.ClaimAsk{Step: step, Key: c.q.ClaimKey(), Fingerprint: c.q.Fingerprint(), RequestId: c.q.ID()}
	if next.upstream != nil {
		ask.Upstream, ask.Incarnation = next.upstream.Name(), next.incarnation
	}
	return ask
}

// runClaimed dispatches an action whose claim this request holds. Before each
// further offer the claim is moved to the next upstream, so that a resend
// looks in the right place; when another try has taken the claim over, the
// offer is not made and the request starts again from the claim.
func (c *call) runClaimed(ctx context.Context, claimed choice) (refused *refusal.Refusal, over bool) {
	// The run goes on when its caller goes away: the outcome belongs to the
	// action, and the caller may ask for it again.
	detached := context.WithoutCancel(ctx)
	displaced := false
	r := c.dispatch(detached, func(next choice) bool {
		if next.upstream == claimed.upstream && next.incarnation == claimed.incarnation {
			return true
		}
		claimed = next
		moveCtx, cancel := context.WithTimeout(detached, claimWithin)
		defer cancel()
		reply := c.entry.claims.ask(moveCtx, c.ask(wire.ClaimAsk_STEP_DISPATCH, next))
		displaced = reply.GetState() == wire.ClaimReply_STATE_HELD
		return reply.GetState() == wire.ClaimReply_STATE_GRANTED
	})
	if displaced {
		return nil, false
	}
	c.record(r)
	return c.refusalOf(r), true
}

// record writes the outcome down with the claim, in the background.
func (c *call) record(r result) {
	ask := c.ask(wire.ClaimAsk_STEP_FINISH, choice{})
	switch r.ending {
	case notRun:
		ask.Step = wire.ClaimAsk_STEP_RELEASE
	case answered:
		ask.Answer = c.out.stored(wire.End_OUTCOME_ANSWERED)
	case broken, callerGone:
		// The agent still has the answer, whole; a resend attaches to it.
		return
	default:
		ask.Answer = c.out.stored(wire.End_OUTCOME_FAILED)
	}
	e := c.entry
	e.wg.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, recordWithin)
		defer cancel()
		for ctx.Err() == nil {
			if e.claims.ask(ctx, ask).GetState() != wire.ClaimReply_STATE_UNAVAILABLE {
				return
			}
			wait.For(ctx, claimRetry)
		}
	})
}

// attach follows the run that holds the claim.
func (c *call) attach(ctx context.Context, reply *wire.ClaimReply) result {
	u, ok := c.entry.table.Upstream(reply.GetUpstream())
	if !ok {
		return result{ending: lost, detail: "the upstream that ran it is gone"}
	}
	a := &attempt{
		entry: c.entry, q: c.q, out: c.out, upstream: u, runID: reply.GetRequestId(),
		incarnation: reply.GetIncarnation(), dispatched: c.outcome.Dispatched,
	}
	r := a.attach(ctx)
	if !c.out.started {
		c.out.reset()
	}
	return r
}

// replay answers with what was kept of a finished action.
func (c *call) replay(answer *wire.StoredAnswer) *refusal.Refusal {
	c.outcome.Dispatched()
	if answer.GetOutcome() != wire.End_OUTCOME_ANSWERED || !answer.GetWhole() {
		return refusal.New(refusal.Unfinished, refusal.MayHaveRun, "an earlier try with this key ran, and its answer is not kept", "look whether it took effect")
	}
	c.out.setHead(&wire.Head{Status: answer.GetStatus(), Headers: answer.GetHeaders()})
	c.out.recorder = nil
	c.out.begin()
	if err := c.out.write(&wire.Data{Bytes: answer.GetBody()}); err != nil {
		return errGoneRefusal
	}
	return nil
}
