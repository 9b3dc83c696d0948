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
	errCallerGone = errors.New("caller disconnected")
	errGap        = errors.New("response from the agent has a gap")
	errNoHead     = errors.New("response from the agent has no head")
	errRetry      = errors.New("upstream failed before the response started")
)

const (
	// silenceTimeout is how long a request's stream may be without a message
	// before its link is considered dead: 3.5 heartbeat intervals.
	silenceTimeout = 1750 * time.Millisecond
	// firstMessageTimeout is how long the agent may take to acknowledge an
	// offer, which it does on receipt.
	firstMessageTimeout = 500 * time.Millisecond
	// pingAfter is how long an agent may have been silent before its link is
	// pinged ahead of an offer: two heartbeat intervals.
	pingAfter = time.Second
	// lostTimeout is how long an agent may be unreachable, also over new links,
	// before its request is considered lost.
	lostTimeout = 6 * time.Second
	// resumeInterval is the time between attempts to reach an agent again.
	resumeInterval = 100 * time.Millisecond
	// ackBytes is the number of received bytes after which they are
	// acknowledged.
	ackBytes = 16 << 10
	// overdueGrace is how long a running request is awaited past its deadline.
	overdueGrace = 30 * time.Second
)

// ending is how one attempt at one upstream ended.
type ending int

const (
	// answered: the caller got the complete response.
	answered ending = iota + 1
	// notRun: the request was provably not dispatched.
	notRun
	// failedEarly: the run has ended, and the caller got no byte of a response.
	failedEarly
	// lost: the request may have run, and its outcome cannot be determined.
	lost
	// broken: the request ran, and its response ended early, after the first
	// byte.
	broken
	// callerGone: the caller has disconnected.
	callerGone
)

// result is an ending with the details that the agent reported.
type result struct {
	ending  ending
	reason  wire.Decline_Reason
	outcome wire.End_Outcome
	detail  string
}

// attempt is one request's exchange with one agent, which may continue over
// several links.
type attempt struct {
	entry       *Entry
	request     *request.Request
	output      *output
	upstream    *member.Upstream
	runID       string
	incarnation uint64
	current     atomic.Pointer[link.Stream]
	dispatched  func()
	mayRetry    bool
	headSeen    bool
	// resumed means that the run may have been started by an earlier process of
	// the agent than the one that responds.
	resumed bool
	acked   uint64
}

// offer sends the offer and follows it to its end.
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
		a.upstream.RecordFailure(now)
		return result{ending: notRun, reason: wire.Decline_REASON_UNREACHABLE}
	}
	a.current.Store(stream)
	defer a.closeStream()
	a.upstream.RecordSent(now, c.work, a.request.PrefixKey())
	offer := &wire.Envelope{Body: &wire.Envelope_Offer{Offer: a.buildOffer(now, clock, c)}}
	if err := stream.Send(now.Add(sendTimeout), offer); err != nil {
		return a.follow(ctx, false)
	}
	return a.follow(ctx, true)
}

// buildOffer returns the offer. It expires at a time on the agent's own clock,
// so that an entry that was paused between decision and sending, or a link that
// delivers late, cannot cause a dispatch after the caller has given up.
func (a *attempt) buildOffer(now time.Time, clock uint64, c choice) *wire.Offer {
	q := a.request
	left := max(q.Deadline().Sub(now), 0)
	horizon := min(max(left-c.work, 0), agent.StartHorizon)
	offer := &wire.Offer{
		RequestId: q.ID(), Incarnation: a.incarnation,
		Workspace: q.Workspace(), Service: q.Service().Name(), Action: q.Action().Route(),
		Tier: uint32(q.Tier()), DeadlineMs: uint32(left.Milliseconds()), ExpectedMs: uint32(c.work.Milliseconds()),
		StartByClockMs: clock + uint64(horizon.Milliseconds()),
		RepeatSafe:     q.RepeatSafe(), Keyed: q.Keyed(),
		Fingerprint: q.Fingerprint(), PrefixKey: q.PrefixKey(), PrefixTokens: uint32(q.PrefixTokens()), PatienceMs: uint32(c.queueTimeout.Milliseconds()),
		Method: q.Method(), Path: q.Path(), Body: q.Body(),
		Suspect: a.entry.suspects.Status(now, q.Fingerprint()) == suspect.Suspected,
	}
	for _, field := range q.Headers() {
		offer.Headers = append(offer.Headers, &wire.Field{Name: field.Name(), Value: field.Value()})
	}
	return offer
}

// attach follows a run that was started by another entry's offer.
func (a *attempt) attach(ctx context.Context) result {
	if !a.entry.contact(ctx, a.upstream) {
		return result{ending: lost, detail: "agent unreachable"}
	}
	defer a.closeStream()
	return a.follow(ctx, false)
}

func (a *attempt) closeStream() {
	if stream := a.current.Load(); stream != nil {
		_ = stream.Close()
	}
}

// follow reads the exchange to its end. If the link is silent or fails, it
// resumes at the current offset on a new link; it never repeats the offer.
func (a *attempt) follow(ctx context.Context, connected bool) result {
	stop := a.watchCaller(ctx)
	defer stop()
	for {
		if !connected {
			if r, ok := a.resume(ctx); !ok {
				return r
			}
		}
		r, over := a.receive(ctx)
		if over {
			return r
		}
		// Until the agent responds again, no other request is sent there: on a
		// lost VM each of them would be lost like this one.
		a.upstream.RecordFailure(a.entry.now())
		a.entry.pool.Replace(a.upstream.Address(), a.current.Load().Session())
		a.closeStream()
		connected = false
		a.entry.metrics.linksReplaced.Inc()
	}
}

// watchCaller withdraws the request when its caller disconnects.
func (a *attempt) watchCaller(ctx context.Context) func() {
	stop := context.AfterFunc(ctx, func() {
		a.withdraw(a.request.RepeatSafe())
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

// resume requests the rest of the response on a new link, until the agent has
// been unreachable for lostTimeout.
func (a *attempt) resume(ctx context.Context) (result, bool) {
	e := a.entry
	a.resumed = true
	giveUp := e.now().Add(lostTimeout)
	for e.now().Before(giveUp) {
		stream, err := e.pool.Open(ctx, a.upstream.Address())
		if err == nil {
			a.current.Store(stream)
			message := &wire.Resume{RequestId: a.runID, Incarnation: a.incarnation, Offset: a.output.offset}
			err = stream.Send(e.now().Add(time.Second), &wire.Envelope{Body: &wire.Envelope_Resume{Resume: message}})
			if err == nil {
				return result{}, true
			}
			e.pool.Replace(a.upstream.Address(), stream.Session())
		}
		if ctx.Err() != nil {
			return result{ending: callerGone}, false
		}
		a.upstream.RecordFailure(e.now())
		wait.For(ctx, resumeInterval)
	}
	return result{ending: a.lostOrBroken(), detail: "agent of the upstream unreachable"}, false
}

func (a *attempt) failedOrBroken() ending {
	if a.output.started {
		return broken
	}
	return failedEarly
}

func (a *attempt) lostOrBroken() ending {
	if a.output.started {
		return broken
	}
	return lost
}

// receive handles messages until the exchange ends (true) or the link fails
// (false).
func (a *attempt) receive(ctx context.Context) (result, bool) {
	e := a.entry
	allowed := firstMessageTimeout
	for {
		envelope, err := a.current.Load().Receive(e.now().Add(allowed))
		if ctx.Err() != nil && err != nil {
			return result{ending: callerGone}, true
		}
		if err != nil {
			if errorx.IsOfType(err, link.Silent) {
				e.logger.Warn("link silent", "node", e.settings.Node(), "request", a.runID, "upstream", a.upstream.Name(),
					"session", a.current.Load().Session(), "heard-before", e.now().Sub(a.upstream.LastMessageAt()).Round(time.Millisecond))
			}
			return result{}, false
		}
		allowed = silenceTimeout
		a.upstream.RecordMessage(e.now())
		if a.overdue(e.now()) {
			a.withdraw(a.request.RepeatSafe())
			return result{ending: a.lostOrBroken(), detail: "still running long after its deadline"}, true
		}
		r, over, err := a.handle(envelope)
		switch {
		case errors.Is(err, errCallerGone):
			a.withdraw(a.request.RepeatSafe())
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

func (a *attempt) overdue(now time.Time) bool {
	return now.After(a.request.Deadline().Add(overdueGrace))
}

// handle processes one message.
func (a *attempt) handle(envelope *wire.Envelope) (result, bool, error) {
	now := a.entry.now()
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_Head:
		a.dispatched()
		a.headSeen = true
		if a.mayRetry && body.Head.GetStatus() >= http.StatusInternalServerError {
			return result{}, false, errRetry
		}
		a.output.setHead(body.Head)
	case *wire.Envelope_Data:
		if err := a.output.write(body.Data); err != nil {
			return result{}, false, err
		}
		a.acknowledge()
	case *wire.Envelope_Decline:
		a.recordLoad(now, body.Decline.GetLoad())
		return a.declined(body.Decline), true, nil
	case *wire.Envelope_End:
		a.recordLoad(now, body.End.GetLoad())
		return a.ended(body.End), true, nil
	}
	return result{}, false, nil
}

// recordLoad applies a load recordLoad that was sent with an outcome.
func (a *attempt) recordLoad(now time.Time, load *wire.Load) {
	if load == nil {
		return
	}
	a.upstream.Report(now, load)
	a.entry.peer.ReportRevision(a.upstream.Address(), load.GetRevision())
}

func (a *attempt) acknowledge() {
	if a.output.offset-a.acked < ackBytes {
		return
	}
	a.acked = a.output.offset
	ack := &wire.Envelope{Body: &wire.Envelope_Ack{Ack: &wire.Ack{Offset: a.acked}}}
	// A failed send is noticed as silence by the next read.
	_ = a.current.Load().Send(a.entry.now().Add(sendTimeout), ack)
}

// declined returns the result of a decline. It proves that the request was not
// dispatched, unless the agent was restarted since: the new process does not
// know what the previous one did.
func (a *attempt) declined(d *wire.Decline) result {
	restarted := d.GetReason() == wire.Decline_REASON_INCARNATION && a.resumed
	if restarted || a.headSeen {
		// The previous process's connection to its upstream ended with it, and
		// with the connection the run, whatever it had done.
		return result{ending: a.failedOrBroken(), outcome: wire.End_OUTCOME_FAILED, detail: "agent of the upstream restarted"}
	}
	return result{ending: notRun, reason: d.GetReason()}
}

func (a *attempt) ended(end *wire.End) result {
	a.dispatched()
	r := result{outcome: end.GetOutcome(), detail: end.GetDetail()}
	switch {
	case end.GetOutcome() != wire.End_OUTCOME_ANSWERED || end.GetLength() != a.output.offset:
		r.ending = a.failedOrBroken()
	default:
		r.ending = answered
		if err := a.output.complete(); err != nil {
			r.ending, r.detail = a.failedOrBroken(), err.Error()
		}
	}
	if end.GetOutcome() == wire.End_OUTCOME_UPSTREAM_LOST {
		a.entry.recordCrash(end.GetCrash())
		a.entry.logger.Warn("upstream died during a request", "request", a.runID, "upstream", a.upstream.Name())
	}
	return r
}
