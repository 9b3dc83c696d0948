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
	// firstMessageTimeout bounds the wait for a stream's first message.
	firstMessageTimeout = 10 * time.Second
	// heartbeatInterval is the longest time without a message on a request's
	// stream.
	heartbeatInterval = 500 * time.Millisecond
	// sendTimeout bounds the sending of a message to an entry that does not read.
	sendTimeout = 10 * time.Second
	// maxStreamLifetime bounds the lifetime of one stream.
	maxStreamLifetime = time.Hour
)

// serveStream serves one stream that an entry opened.
func (a *Agent) serveStream(ctx context.Context, stream *link.Stream) {
	defer func() { _ = stream.Close() }()
	envelope, err := stream.Receive(a.now().Add(firstMessageTimeout))
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

// offer accepts or declines an offer. The run that it returns is declined,
// queued or started.
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
	if reason := a.declineReason(now, o); reason != wire.Decline_REASON_UNSPECIFIED {
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
	replayBytes := 0
	if o.GetKeyed() {
		replayBytes = keyedReplayBytes
	}
	return &run{
		offer:   o,
		ticket:  a.ticket(now, o),
		buffer:  answer.New(o.GetRequestId(), maxUnackedBytes, replayBytes, a.invariants),
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
		options = append(options, admission.MaxWait(milliseconds(o.GetPatienceMs())))
	}
	if o.GetSuspect() || a.suspects.Status(now, o.GetFingerprint()) == suspect.Suspected {
		options = append(options, admission.Suspect())
	}
	deadline := now.Add(milliseconds(o.GetDeadlineMs()))
	startBy := a.startedAt.Add(time.Duration(o.GetStartByClockMs()) * time.Millisecond)
	return admission.NewTicket(o.GetRequestId(), o.GetWorkspace(), int(o.GetTier()), deadline, startBy, milliseconds(o.GetExpectedMs()), options...)
}

// declineReason returns the reason, if any, to decline the request regardless of
// the load.
func (a *Agent) declineReason(now time.Time, o *wire.Offer) wire.Decline_Reason {
	_, withdrawn := a.withdrawn[o.GetRequestId()]
	switch {
	case o.GetIncarnation() != 0 && o.GetIncarnation() != a.incarnation:
		return wire.Decline_REASON_INCARNATION
	case withdrawn:
		return wire.Decline_REASON_WITHDRAWN
	case a.clock(now) > o.GetStartByClockMs():
		return wire.Decline_REASON_TOO_LATE
	case a.suspects.Status(now, o.GetFingerprint()) == suspect.Convicted:
		return wire.Decline_REASON_CONVICTED
	}
	return wire.Decline_REASON_UNSPECIFIED
}

// resume serves the rest of a response on a new stream. A request that is
// unknown here was not dispatched by this incarnation and from now on will not
// be: an offer of it that is still in transit is declined on arrival.
func (a *Agent) resume(ctx context.Context, stream *link.Stream, request *wire.Resume) {
	now := a.now()
	a.mu.Lock()
	if request.GetIncarnation() != 0 && request.GetIncarnation() != a.incarnation {
		load := a.load(now)
		a.mu.Unlock()
		_ = a.send(stream, declineEnvelope(wire.Decline_REASON_INCARNATION, load))
		return
	}
	r := a.runs[request.GetRequestId()]
	_, ran := a.dispatched[request.GetRequestId()]
	if r == nil && !ran {
		a.withdrawn[request.GetRequestId()] = now.Add(withdrawnRetention)
		load := a.load(now)
		a.mu.Unlock()
		_ = a.send(stream, declineEnvelope(wire.Decline_REASON_UNKNOWN_RUN, load))
		return
	}
	if r == nil {
		a.mu.Unlock()
		_ = a.send(stream, endEnvelope(&wire.End{Outcome: wire.End_OUTCOME_FAILED, Detail: "the response is no longer retained"}))
		return
	}
	r.readers++
	r.detachedAt = time.Time{}
	a.mu.Unlock()
	a.serveRun(ctx, stream, r, request.GetOffset() == 0, request.GetOffset())
}

// serveRun sends the decision on a run and its response from an offset.
func (a *Agent) serveRun(ctx context.Context, stream *link.Stream, r *run, needHead bool, offset uint64) {
	defer a.detach(r)
	ctx, cancel := context.WithTimeout(ctx, maxStreamLifetime)
	defer cancel()
	receiveDone := make(chan struct{})
	go func() {
		defer close(receiveDone)
		defer cancel()
		a.receive(stream, r)
	}()
	a.deliver(ctx, stream, r, needHead, offset)
	cancel()
	_ = stream.Close()
	<-receiveDone
}

func (a *Agent) detach(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.readers--
	if r.readers == 0 {
		r.detachedAt = a.now()
	}
}

// receive handles acknowledgements and withdrawals until the stream ends.
func (a *Agent) receive(stream *link.Stream, r *run) {
	for {
		envelope, err := stream.Receive(a.now().Add(maxStreamLifetime))
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
		nextCtx, cancel := context.WithTimeout(ctx, heartbeatInterval)
		piece, err := r.buffer.Next(nextCtx, needHead, offset)
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

// sendEnd sends the last message of the stream. A run that never reached its
// upstream is declined, which proves that it did not run.
func (a *Agent) sendEnd(ctx context.Context, stream *link.Stream, r *run, end *wire.End) {
	a.mu.Lock()
	load, notRun, crash := a.load(a.now()), r.notRun, r.crash
	a.mu.Unlock()
	if notRun != wire.Decline_REASON_UNSPECIFIED {
		_ = a.send(stream, declineEnvelope(notRun, load))
		a.awaitPeerClose(ctx)
		return
	}
	_ = a.send(stream, endEnvelope(&wire.End{Outcome: end.GetOutcome(), Length: end.GetLength(), Detail: end.GetDetail(), Load: load, Crash: crash}))
	a.awaitPeerClose(ctx)
}

// awaitPeerClose gives the entry time to close the stream first. Otherwise a late
// message of the entry would be answered by a reset, which could overtake the
// agent's last message.
func (a *Agent) awaitPeerClose(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(heartbeatInterval):
	}
}

// awaitDecision sends heartbeats until the run starts or is declined. It sends
// the decline and reports whether the run started.
func (a *Agent) awaitDecision(ctx context.Context, stream *link.Stream, r *run) bool {
	// An immediate first message lets the entry distinguish a dead link from a
	// request that is queued.
	if err := a.send(stream, heartbeatEnvelope()); err != nil {
		return false
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.decided:
			a.mu.Lock()
			started, reason, load := r.started, r.notRun, a.load(a.now())
			a.mu.Unlock()
			if !started {
				_ = a.send(stream, declineEnvelope(reason, load))
				a.awaitPeerClose(ctx)
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

func dataEnvelope(piece answer.Chunk) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Data{Data: &wire.Data{Offset: piece.Offset(), Bytes: piece.Data()}}}
}
