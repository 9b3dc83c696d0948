package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/caller/request"
	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/member"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/role/agent"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
)

var (
	errCallerGone = errors.New("the caller is gone")
	errGap        = errors.New("a piece of the answer is missing")
	errRetry      = errors.New("the upstream failed before its answer began")
)

const (
	// silentAfter is how long a request's stream may be without a message
	// before its link is taken to be dead: three heartbeats and a half.
	silentAfter = 1750 * time.Millisecond
	// firstWordAfter is how long the agent may take to say that it has the
	// offer, which it does at once.
	firstWordAfter = 500 * time.Millisecond
	// unheardAfter is how long an agent may have said nothing before its link is
	// tried ahead of an offer: two heartbeats.
	unheardAfter = time.Second
	// lostAfter is how long an agent may stay out of reach, over new links
	// too, before its request is given up as lost.
	lostAfter = 6 * time.Second
	// resumePause is between two attempts to reach an agent again.
	resumePause = 100 * time.Millisecond
	// ackEvery is the number of bytes after which they are acknowledged.
	ackEvery = 16 << 10
	// overtime is how long past its deadline a running request is awaited.
	overtime = 30 * time.Second
)

// ending is how one attempt at one upstream ended.
type ending int

const (
	// answered: the whole answer was handed to the caller.
	answered ending = iota + 1
	// notRun: it is proven that the request was not dispatched.
	notRun
	// failedEarly: the run is known to be over, and no byte was handed on.
	failedEarly
	// lost: it may have run, and nothing more can be learned.
	lost
	// broken: it ran, and its answer broke off after the first byte.
	broken
	// callerGone: nobody waits for the answer any more.
	callerGone
)

// result is an ending with what the agent said of it.
type result struct {
	ending  ending
	reason  wire.Decline_Reason
	outcome wire.End_Outcome
	detail  string
}

// attempt is one request's conversation with one agent, over as many links as
// it takes.
type attempt struct {
	entry       *Entry
	q           *request.Request
	out         *output
	upstream    *member.Upstream
	runID       string
	incarnation uint64
	current     atomic.Pointer[link.Stream]
	dispatched  func()
	mayRetry    bool
	headSeen    bool
	// resumed tells that the run may have been begun by an earlier process of
	// the agent than the one that answers.
	resumed bool
	acked   uint64
}

// offer makes the offer and follows it to its end.
func (a *attempt) offer(ctx context.Context, c choice) result {
	e := a.entry
	if !e.contact(ctx, a.upstream) || !e.confirm(ctx, a.upstream) {
		return result{ending: notRun, reason: wire.Decline_REASON_UNREACHABLE}
	}
	now := e.now()
	clock, _ := a.upstream.Clock(now)
	a.incarnation = c.incarnation
	if a.incarnation == 0 {
		a.incarnation = a.upstream.Incarnation()
	}
	stream, err := e.pool.Open(ctx, a.upstream.Address())
	if err != nil {
		a.upstream.Failed(now)
		return result{ending: notRun, reason: wire.Decline_REASON_UNREACHABLE}
	}
	a.current.Store(stream)
	defer a.closeStream()
	a.upstream.Sent(now, c.work, a.q.PrefixKey())
	offer := &wire.Envelope{Body: &wire.Envelope_Offer{Offer: a.build(now, clock, c)}}
	if err := stream.Send(now.Add(sendTimeout), offer); err != nil {
		return a.follow(ctx, false)
	}
	return a.follow(ctx, true)
}

// build writes the offer. It is void past a moment on the agent's own clock:
// an entry that was paused between its decision and its sending, or a link
// that delivers late, cannot cause a dispatch that nobody waits for.
func (a *attempt) build(now time.Time, clock uint64, c choice) *wire.Offer {
	q := a.q
	left := max(q.Deadline().Sub(now), 0)
	horizon := min(max(left-c.work, 0), agent.StartHorizon)
	offer := &wire.Offer{
		RequestId: q.ID(), Incarnation: a.incarnation,
		Workspace: q.Workspace(), Service: q.Service().Name(), Action: q.Action().Route(),
		Tier: uint32(q.Tier()), DeadlineMs: uint32(left.Milliseconds()), ExpectedMs: uint32(c.work.Milliseconds()),
		StartByClockMs: clock + uint64(horizon.Milliseconds()),
		RepeatSafe:     q.RepeatSafe(), Keyed: q.Keyed(),
		Fingerprint: q.Fingerprint(), PrefixKey: q.PrefixKey(), PrefixTokens: uint32(q.PrefixTokens()), PatienceMs: uint32(c.patience.Milliseconds()),
		Method: q.Method(), Path: q.Path(), Body: q.Body(),
		Suspect: a.entry.suspects.Standing(now, q.Fingerprint()) == suspect.Suspected,
	}
	for _, field := range q.Headers() {
		offer.Headers = append(offer.Headers, &wire.Field{Name: field.Name(), Value: field.Value()})
	}
	return offer
}

// attach follows a run that another entry's offer began.
func (a *attempt) attach(ctx context.Context) result {
	if !a.entry.contact(ctx, a.upstream) {
		return result{ending: lost, detail: "the agent cannot be reached"}
	}
	defer a.closeStream()
	return a.follow(ctx, false)
}

func (a *attempt) closeStream() {
	if stream := a.current.Load(); stream != nil {
		_ = stream.Close()
	}
}

// follow reads the conversation to its end. When the link falls silent or
// breaks, it resumes at its offset on a new one; it never offers again.
func (a *attempt) follow(ctx context.Context, connected bool) result {
	stop := a.watchCaller(ctx)
	defer stop()
	for {
		if !connected {
			if r, ok := a.resume(ctx); !ok {
				return r
			}
		}
		r, over := a.converse(ctx)
		if over {
			return r
		}
		// Until the agent speaks again no other request is sent there: a VM that
		// vanished would swallow each of them as it swallowed this one.
		a.upstream.Failed(a.entry.now())
		a.entry.pool.Replace(a.upstream.Address(), a.current.Load().Session())
		a.closeStream()
		connected = false
		a.entry.metrics.resumed.Inc()
	}
}

// watchCaller withdraws the request when its caller goes away.
func (a *attempt) watchCaller(ctx context.Context) func() {
	stop := context.AfterFunc(ctx, func() {
		a.withdraw(a.q.RepeatSafe())
	})
	return func() { stop() }
}

func (a *attempt) withdraw(cancelRunning bool) {
	stream := a.current.Load()
	if stream == nil {
		return
	}
	message := &wire.Envelope{Body: &wire.Envelope_Withdraw{Withdraw: &wire.Withdraw{CancelRunning: cancelRunning}}}
	_ = stream.Send(a.entry.now().Add(time.Second), message)
}

// resume asks for the rest of the answer on a new link, until the agent has
// been out of reach for lostAfter.
func (a *attempt) resume(ctx context.Context) (result, bool) {
	e := a.entry
	a.resumed = true
	giveUp := e.now().Add(lostAfter)
	for e.now().Before(giveUp) {
		stream, err := e.pool.Open(ctx, a.upstream.Address())
		if err == nil {
			a.current.Store(stream)
			ask := &wire.Resume{RequestId: a.runID, Incarnation: a.incarnation, Offset: a.out.offset}
			err = stream.Send(e.now().Add(time.Second), &wire.Envelope{Body: &wire.Envelope_Resume{Resume: ask}})
			if err == nil {
				return result{}, true
			}
			e.pool.Replace(a.upstream.Address(), stream.Session())
		}
		if ctx.Err() != nil {
			return result{ending: callerGone}, false
		}
		a.upstream.Failed(e.now())
		wait.For(ctx, resumePause)
	}
	return result{ending: a.lostOrBroken(), detail: "the agent beside the upstream cannot be reached"}, false
}

func (a *attempt) overOrBroken() ending {
	if a.out.started {
		return broken
	}
	return failedEarly
}

func (a *attempt) lostOrBroken() ending {
	if a.out.started {
		return broken
	}
	return lost
}

// converse reads messages until the end (true) or until the link is of no
// more use (false).
func (a *attempt) converse(ctx context.Context) (result, bool) {
	e := a.entry
	allowed := firstWordAfter
	for {
		envelope, err := a.current.Load().Receive(e.now().Add(allowed))
		if ctx.Err() != nil && err != nil {
			return result{ending: callerGone}, true
		}
		if err != nil {
			if errorx.IsOfType(err, link.Silent) {
				e.logger.Warn("link silent", "node", e.settings.Node(), "request", a.runID, "upstream", a.upstream.Name(),
					"session", a.current.Load().Session(), "heard-before", e.now().Sub(a.upstream.HeardAt()).Round(time.Millisecond))
			}
			return result{}, false
		}
		allowed = silentAfter
		a.upstream.Heard(e.now())
		if a.overdue(e.now()) {
			a.withdraw(a.q.RepeatSafe())
			return result{ending: a.lostOrBroken(), detail: "not finished long after its deadline"}, true
		}
		r, over, err := a.take(envelope)
		switch {
		case errors.Is(err, errCallerGone):
			a.withdraw(a.q.RepeatSafe())
			return result{ending: callerGone}, true
		case errors.Is(err, errRetry):
			a.withdraw(true)
			return result{ending: failedEarly, outcome: wire.End_OUTCOME_FAILED}, true
		case err != nil:
			return result{ending: broken, detail: err.Error()}, true
		case over:
			return r, true
		}
	}
}

func (a *attempt) overdue(now time.Time) bool { return now.After(a.q.Deadline().Add(overtime)) }

// take handles one message.
func (a *attempt) take(envelope *wire.Envelope) (result, bool, error) {
	now := a.entry.now()
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_Head:
		a.dispatched()
		a.headSeen = true
		if a.mayRetry && body.Head.GetStatus() >= http.StatusInternalServerError {
			return result{}, false, errRetry
		}
		a.out.setHead(body.Head)
	case *wire.Envelope_Data:
		if err := a.out.write(body.Data); err != nil {
			return result{}, false, err
		}
		a.acknowledge()
	case *wire.Envelope_Decline:
		a.report(now, body.Decline.GetLoad())
		return a.declined(body.Decline), true, nil
	case *wire.Envelope_End:
		a.report(now, body.End.GetLoad())
		return a.ended(body.End), true, nil
	}
	return result{}, false, nil
}

// report takes a load report that came with an outcome.
func (a *attempt) report(now time.Time, load *wire.Load) {
	if load == nil {
		return
	}
	a.upstream.Report(now, load)
	a.entry.peer.Heard(a.upstream.Address(), load.GetRevision())
}

func (a *attempt) acknowledge() {
	if a.out.offset-a.acked < ackEvery {
		return
	}
	a.acked = a.out.offset
	ack := &wire.Envelope{Body: &wire.Envelope_Ack{Ack: &wire.Ack{Offset: a.acked}}}
	// A failure to send shows as silence on the next read.
	_ = a.current.Load().Send(a.entry.now().Add(sendTimeout), ack)
}

// declined is proof that the request was not dispatched, with one exception:
// an agent that was restarted since cannot know what the one before it did.
func (a *attempt) declined(d *wire.Decline) result {
	restarted := d.GetReason() == wire.Decline_REASON_INCARNATION && a.resumed
	if restarted || a.headSeen {
		// The earlier process's connection to its upstream ended with it, and
		// the run with the connection: it is over, whatever it did.
		return result{ending: a.overOrBroken(), outcome: wire.End_OUTCOME_FAILED, detail: "the agent beside the upstream was restarted"}
	}
	return result{ending: notRun, reason: d.GetReason()}
}

func (a *attempt) ended(end *wire.End) result {
	a.dispatched()
	r := result{outcome: end.GetOutcome(), detail: end.GetDetail()}
	switch {
	case end.GetOutcome() == wire.End_OUTCOME_ANSWERED && end.GetLength() == a.out.offset:
		a.out.begin()
		r.ending = answered
	case a.out.started:
		r.ending = broken
	default:
		r.ending = failedEarly
	}
	if end.GetOutcome() == wire.End_OUTCOME_UPSTREAM_LOST {
		a.entry.learnCrash(end.GetCrash())
		a.entry.logger.Warn("upstream died under a request", "request", a.runID, "upstream", a.upstream.Name())
	}
	return r
}
