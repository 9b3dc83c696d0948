package agent

import (
	"context"
	"errors"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/dispatch/forecast"
	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/upstream/admission"
	"github.com/persimmonridge/persimmonridge/internal/upstream/answer"
	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
)

const (
	// firstMessage bounds the wait for a stream's first message.
	firstMessage = 10 * time.Second
	// heartbeatEvery is how long a request's stream may be without a message.
	heartbeatEvery = 500 * time.Millisecond
	// sendTimeout bounds a message to an entry that does not read.
	sendTimeout = 10 * time.Second
	// streamLife bounds one stream.
	streamLife = time.Hour
)

// serveStream serves one stream of an entry.
func (a *Agent) serveStream(ctx context.Context, stream *link.Stream) {
	defer func() { _ = stream.Close() }()
	envelope, err := stream.Receive(a.now().Add(firstMessage))
	if err != nil {
		return
	}
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_Hello:
		a.peer.Run(ctx, "", stream, nil)
	case *wire.Envelope_Offer:
		a.serveRun(ctx, stream, a.offer(body.Offer), true, 0)
	case *wire.Envelope_Resume:
		a.resume(ctx, stream, body.Resume)
	}
}

// offer takes a request in and decides on it. The run it returns is declined,
// waiting or started.
func (a *Agent) offer(o *wire.Offer) *run {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Offers++
	if known := a.runs[o.GetRequestId()]; known != nil && known.started {
		known.readers++
		return known
	}
	r := a.newRun(now, o)
	if reason := a.refusal(now, o); reason != wire.Decline_REASON_UNSPECIFIED {
		a.decline(now, r, reason)
		return r
	}
	a.runs[r.id()] = r
	a.apply(now, a.admission.Offer(now, r.ticket))
	if !r.started && r.endedAt.IsZero() {
		a.limit.Saturated()
	}
	return r
}

func (a *Agent) newRun(now time.Time, o *wire.Offer) *run {
	ctx, cancel := context.WithCancel(a.ctx)
	kept := 0
	if o.GetKeyed() {
		kept = answerKept
	}
	return &run{
		offer:   o,
		ticket:  a.ticket(now, o),
		buffer:  answer.New(o.GetRequestId(), answerBound, kept, a.invariants),
		ctx:     ctx,
		cancel:  cancel,
		decided: make(chan struct{}),
		readers: 1,
	}
}

func (a *Agent) ticket(now time.Time, o *wire.Offer) *admission.Ticket {
	var options []admission.TicketOption
	if o.GetRepeatSafe() {
		options = append(options, admission.RepeatSafe())
	}
	if o.GetPatienceMs() > 0 {
		options = append(options, admission.Patience(milliseconds(o.GetPatienceMs())))
	}
	if o.GetSuspect() || a.suspects.Standing(now, o.GetFingerprint()) == suspect.Suspected {
		options = append(options, admission.Suspect())
	}
	deadline := now.Add(milliseconds(o.GetDeadlineMs()))
	startBy := a.startedAt.Add(time.Duration(o.GetStartByClockMs()) * time.Millisecond)
	return admission.NewTicket(o.GetRequestId(), o.GetWorkspace(), int(o.GetTier()), deadline, startBy, milliseconds(o.GetExpectedMs()), options...)
}

// refusal finds what forbids the request here, whatever the load.
func (a *Agent) refusal(now time.Time, o *wire.Offer) wire.Decline_Reason {
	_, withdrawn := a.withdrawn[o.GetRequestId()]
	switch {
	case o.GetIncarnation() != 0 && o.GetIncarnation() != a.incarnation:
		return wire.Decline_REASON_INCARNATION
	case withdrawn:
		return wire.Decline_REASON_WITHDRAWN
	case a.clock(now) > o.GetStartByClockMs():
		return wire.Decline_REASON_TOO_LATE
	case a.suspects.Standing(now, o.GetFingerprint()) == suspect.Convicted:
		return wire.Decline_REASON_CONVICTED
	}
	return wire.Decline_REASON_UNSPECIFIED
}

// resume serves the rest of an answer on a new stream. A request that is not
// known here was never dispatched by this incarnation, and from now on never
// will be: an offer that is still under way is refused when it arrives.
func (a *Agent) resume(ctx context.Context, stream *link.Stream, ask *wire.Resume) {
	now := a.now()
	a.mu.Lock()
	if ask.GetIncarnation() != 0 && ask.GetIncarnation() != a.incarnation {
		load := a.load(now)
		a.mu.Unlock()
		_ = a.send(stream, declineEnvelope(wire.Decline_REASON_INCARNATION, load))
		return
	}
	r := a.runs[ask.GetRequestId()]
	_, ran := a.dispatched[ask.GetRequestId()]
	if r == nil && !ran {
		a.withdrawn[ask.GetRequestId()] = now.Add(withdrawnFor)
		load := a.load(now)
		a.mu.Unlock()
		_ = a.send(stream, declineEnvelope(wire.Decline_REASON_UNKNOWN_RUN, load))
		return
	}
	if r == nil {
		a.mu.Unlock()
		_ = a.send(stream, endEnvelope(&wire.End{Outcome: wire.End_OUTCOME_FAILED, Detail: "the answer is no longer kept"}))
		return
	}
	r.readers++
	r.detachedAt = time.Time{}
	a.mu.Unlock()
	a.serveRun(ctx, stream, r, ask.GetOffset() == 0, ask.GetOffset())
}

// serveRun sends what becomes of a run, from an offset.
func (a *Agent) serveRun(ctx context.Context, stream *link.Stream, r *run, needHead bool, offset uint64) {
	defer a.detach(r)
	ctx, cancel := context.WithTimeout(ctx, streamLife)
	defer cancel()
	listening := make(chan struct{})
	go func() {
		defer close(listening)
		defer cancel()
		a.listen(stream, r)
	}()
	a.deliver(ctx, stream, r, needHead, offset)
	cancel()
	_ = stream.Close()
	<-listening
}

func (a *Agent) detach(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.readers--
	if r.readers == 0 {
		r.detachedAt = a.now()
	}
}

// listen takes acknowledgements and withdrawals until the stream ends.
func (a *Agent) listen(stream *link.Stream, r *run) {
	for {
		envelope, err := stream.Receive(a.now().Add(streamLife))
		if err != nil {
			return
		}
		switch body := envelope.GetBody().(type) {
		case *wire.Envelope_Ack:
			r.buffer.Ack(body.Ack.GetOffset())
		case *wire.Envelope_Withdraw:
			a.withdraw(r, body.Withdraw.GetCancelRunning())
		}
	}
}

func (a *Agent) withdraw(r *run, cancelRunning bool) {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !r.endedAt.IsZero():
	case r.started:
		if cancelRunning {
			r.cancel()
		}
	case a.admission.Withdraw(r.id()):
		a.decline(now, r, wire.Decline_REASON_WITHDRAWN)
	}
}

func (a *Agent) deliver(ctx context.Context, stream *link.Stream, r *run, needHead bool, offset uint64) {
	if !a.awaitDecision(ctx, stream, r) {
		return
	}
	for {
		beat, cancel := context.WithTimeout(ctx, heartbeatEvery)
		piece, err := r.buffer.Next(beat, needHead, offset)
		cancel()
		switch {
		case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
			err = a.send(stream, heartbeatEnvelope())
		case err != nil:
			return
		case piece.Head() != nil:
			needHead = false
			err = a.send(stream, &wire.Envelope{Body: &wire.Envelope_Head{Head: piece.Head()}})
		case piece.End() != nil:
			a.sendEnd(ctx, stream, r, piece.End())
			return
		default:
			err = a.send(stream, dataEnvelope(piece))
			offset += uint64(len(piece.Data()))
		}
		if err != nil {
			return
		}
	}
}

// sendEnd closes the conversation. A run that turned out never to have reached
// its upstream is declined: that is proof, too.
func (a *Agent) sendEnd(ctx context.Context, stream *link.Stream, r *run, end *wire.End) {
	a.mu.Lock()
	load, notRun, crash := a.load(a.now()), r.notRun, r.crash
	a.mu.Unlock()
	if notRun != wire.Decline_REASON_UNSPECIFIED {
		_ = a.send(stream, declineEnvelope(notRun, load))
		a.linger(ctx)
		return
	}
	_ = a.send(stream, endEnvelope(&wire.End{Outcome: end.GetOutcome(), Length: end.GetLength(), Detail: end.GetDetail(), Load: load, Crash: crash}))
	a.linger(ctx)
}

// linger leaves the entry time to close first, so that its last message is
// not answered by a reset that would overtake ours.
func (a *Agent) linger(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(heartbeatEvery):
	}
}

// awaitDecision sends heartbeats until the run starts. It sends the decline
// itself and tells whether the run started.
func (a *Agent) awaitDecision(ctx context.Context, stream *link.Stream, r *run) bool {
	// A first word at once lets the entry tell a link that swallows its offers
	// from a request that takes its time.
	if err := a.send(stream, heartbeatEnvelope()); err != nil {
		return false
	}
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-r.decided:
			a.mu.Lock()
			started, reason, load := r.started, r.notRun, a.load(a.now())
			a.mu.Unlock()
			if !started {
				_ = a.send(stream, declineEnvelope(reason, load))
				a.linger(ctx)
			}
			return started
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if err := a.send(stream, heartbeatEnvelope()); err != nil {
				return false
			}
		}
	}
}

func (a *Agent) send(stream *link.Stream, envelope *wire.Envelope) error {
	return stream.Send(a.now().Add(sendTimeout), envelope)
}

func (a *Agent) route(r *run) forecast.Route {
	return forecast.NewRoute(r.offer.GetWorkspace(), r.offer.GetAction())
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func declineEnvelope(reason wire.Decline_Reason, load *wire.Load) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Decline{Decline: &wire.Decline{Reason: reason, Load: load}}}
}

func endEnvelope(end *wire.End) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_End{End: end}}
}

func heartbeatEnvelope() *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
}

func dataEnvelope(piece answer.Piece) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Data{Data: &wire.Data{Offset: piece.Offset(), Bytes: piece.Data()}}}
}
