package entry

import (
	"context"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/caller/refusal"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// claimTimeout is how long a request waits for a claim before its action is
	// refused as not run.
	claimTimeout = 5 * time.Second
	// recordTimeout bounds the attempts to store the outcome of an action with
	// its claim, which run after the caller got its response.
	recordTimeout = time.Minute
	// attachRetryInterval is the time between attempts to follow an action that
	// another request runs.
	attachRetryInterval = 150 * time.Millisecond
	// maxUnreachable is the number of failures to reach a run after which one
	// more ends the request as one that may have run.
	maxUnreachable = 2
	// claimRetryAfter is the Retry-After while claims cannot be written, and the
	// time between attempts to store an outcome.
	claimRetryAfter = 3 * time.Second
)

// runKeyed serves an action that must not run twice: its key is claimed before
// the dispatch, and a resend attaches to the run or replays its response.
func (c *call) runKeyed(ctx context.Context) *refusal.Refusal {
	c.output.recorder = &recorder{}
	k := &keyed{call: c}
	for {
		if refused, over := k.tryClaim(ctx); over {
			return refused
		}
		if k.unreachable > maxUnreachable || c.entry.now().After(c.request.Deadline()) || ctx.Err() != nil {
			return unfinishedRefusal()
		}
		wait.For(ctx, attachRetryInterval)
	}
}

// keyed is the state of one keyed request while it obtains its claim.
type keyed struct {
	call *call
	// replaces is the claim of an earlier attempt whose request provably did not
	// run on the claimed upstream.
	replaces *wire.ClaimAsk_Replaced
	// held means that another attempt with the key was found, after which this
	// request must not report "not run".
	held        bool
	unreachable int
}

// tryClaim requests the claim once and acts on the reply. If over is set, the
// request has its outcome.
func (k *keyed) tryClaim(ctx context.Context) (refused *refusal.Refusal, over bool) {
	c := k.call
	target, ok := c.reachable(ctx)
	if !ok {
		c.entry.logger.Info("no upstream to claim for", "node", c.entry.settings.Node(), "request", c.request.ID())
		return k.refusalWithoutDispatch(c.refusalOf(result{ending: notRun})), true
	}
	target.incarnation = target.upstream.Incarnation()
	reply := c.claim(ctx, target, k.replaces)
	c.entry.logger.Info("claim answered", "request", c.request.ID(), "key", c.request.ClaimKey(), "state", reply.GetState().String(),
		"holder", reply.GetRequestId(), "replaces", k.replaces.GetRequestId())
	switch reply.GetState() {
	case wire.ClaimReply_STATE_GRANTED:
		return c.runClaimed(ctx, target)
	case wire.ClaimReply_STATE_FINISHED:
		return c.replay(reply.GetAnswer()), true
	case wire.ClaimReply_STATE_MISMATCH:
		return refusal.New(refusal.KeyMismatch, refusal.NotRun, "this key was used with another body", "send the first body again, or a new key for a new action"), true
	case wire.ClaimReply_STATE_HELD:
		k.held = true
		return k.attach(ctx, reply)
	}
	message := "this attempt did not run: its claim could not be stored (" + reply.GetDetail() + "); an earlier attempt may have run"
	return k.refusalWithoutDispatch(refusal.New(refusal.ClaimsUnavailable, refusal.NotRun, message, "send it again with the same key").RetryAfter(claimRetryAfter)), true
}

// reachable returns the best upstream whose agent responds, so that the claim
// does not name one that no longer exists.
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
		s.recordDecline(c.entry.now(), next, wire.Decline_REASON_UNREACHABLE)
	}
}

// refusalWithoutDispatch returns the refusal of a request that was not
// dispatched itself: the given one, unless an earlier attempt may have run.
func (k *keyed) refusalWithoutDispatch(refused *refusal.Refusal) *refusal.Refusal {
	if k.held {
		return unfinishedRefusal()
	}
	return refused
}

func unfinishedRefusal() *refusal.Refusal {
	return refusal.New(refusal.Unfinished, refusal.MayHaveRun, "an earlier attempt with this key may have run; its outcome is unknown", "check whether it took effect, or send it again with the same key").RetryAfter(claimRetryAfter)
}

// attach follows the run of another attempt to its end.
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
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	message := c.claimRequest(wire.ClaimAsk_STEP_CLAIM, next)
	message.Replaces = replaces
	return c.entry.claims.request(ctx, message)
}

func (c *call) claimRequest(step wire.ClaimAsk_Step, next choice) *wire.ClaimAsk {
	message := &wire.ClaimAsk{Step: step, Key: c.request.ClaimKey(), Fingerprint: c.request.Fingerprint(), RequestId: c.request.ID()}
	if next.upstream != nil {
		message.Upstream, message.Incarnation = next.upstream.Name(), next.incarnation
	}
	return message
}

// runClaimed dispatches an action whose claim this request holds. Before each
// further offer the claim is moved to the next upstream, so that a resend
// attaches to the right one. If another attempt has taken over the claim, no
// offer is made and the request starts again with a new claim.
func (c *call) runClaimed(ctx context.Context, claimed choice) (refused *refusal.Refusal, over bool) {
	// The run continues when its caller disconnects: the outcome belongs to the
	// action, and the caller may request it again.
	detached := context.WithoutCancel(ctx)
	displaced := false
	r := c.dispatch(detached, func(next choice) bool {
		if next.upstream == claimed.upstream && next.incarnation == claimed.incarnation {
			return true
		}
		claimed = next
		moveCtx, cancel := context.WithTimeout(detached, claimTimeout)
		defer cancel()
		reply := c.entry.claims.request(moveCtx, c.claimRequest(wire.ClaimAsk_STEP_DISPATCH, next))
		displaced = reply.GetState() == wire.ClaimReply_STATE_HELD
		return reply.GetState() == wire.ClaimReply_STATE_GRANTED
	})
	if displaced {
		return nil, false
	}
	c.record(r)
	return c.refusalOf(r), true
}

// record stores the outcome with the claim, in the background.
func (c *call) record(r result) {
	message := c.claimRequest(wire.ClaimAsk_STEP_FINISH, choice{})
	switch r.ending {
	case notRun:
		message.Step = wire.ClaimAsk_STEP_RELEASE
	case answered:
		message.Answer = c.output.stored(wire.End_OUTCOME_ANSWERED)
	case broken, callerGone:
		// The agent still has the complete response; a resend attaches to it.
		return
	default:
		message.Answer = c.output.stored(wire.End_OUTCOME_FAILED)
	}
	e := c.entry
	e.wg.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, recordTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if e.claims.request(ctx, message).GetState() != wire.ClaimReply_STATE_UNAVAILABLE {
				return
			}
			wait.For(ctx, claimRetryAfter)
		}
	})
}

// attach follows the run that holds the claim.
func (c *call) attach(ctx context.Context, reply *wire.ClaimReply) result {
	u, ok := c.entry.table.Upstream(reply.GetUpstream())
	if !ok {
		return result{ending: lost, detail: "the upstream that ran the request no longer exists"}
	}
	a := &attempt{
		entry: c.entry, request: c.request, output: c.output, upstream: u, runID: reply.GetRequestId(),
		incarnation: reply.GetIncarnation(), dispatched: c.outcome.Dispatched,
	}
	r := a.attach(ctx)
	if !c.output.started {
		c.output.reset()
	}
	return r
}

// replay responds with the stored response of a finished action.
func (c *call) replay(answer *wire.StoredAnswer) *refusal.Refusal {
	c.outcome.Dispatched()
	if answer.GetOutcome() != wire.End_OUTCOME_ANSWERED || !answer.GetWhole() {
		return refusal.New(refusal.Unfinished, refusal.MayHaveRun, "an earlier attempt with this key ran, and its response is not stored", "check whether it took effect")
	}
	c.output.setHead(&wire.Head{Status: answer.GetStatus(), Headers: answer.GetHeaders()})
	c.output.recorder = nil
	if err := c.output.begin(); err != nil {
		return refusal.New(refusal.Unfinished, refusal.MayHaveRun, "an earlier attempt with this key ran, and its response cannot be sent: "+err.Error(), "check whether it took effect")
	}
	if err := c.output.write(&wire.Data{Bytes: answer.GetBody()}); err != nil {
		return callerGoneRefusal
	}
	if err := c.output.complete(); err != nil {
		return callerGoneRefusal
	}
	return nil
}
