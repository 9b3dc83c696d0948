package permit

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/sched/granter"
)

// HandleMessage passes a gateway's message to the scheduler's granter. It reports whether
// the message was one for the granter.
func HandleMessage(now time.Time, g *granter.Granter, owner string, e *wire.Envelope) bool {
	switch body := e.Body.(type) {
	case *wire.Envelope_PlaceAsk:
		g.Submit(decodeSlotRequest(now, owner, body.PlaceAsk))
	case *wire.Envelope_PlaceStarted:
		g.Started(owner, body.PlaceStarted.Id, decodeLoad(body.PlaceStarted))
	case *wire.Envelope_PlaceEnded:
		g.Release(owner, body.PlaceEnded.Id, decodeResult(body.PlaceEnded))
	case *wire.Envelope_PlacesHeld:
		g.Reconcile(owner, decodeHeldSlots(body.PlacesHeld))
	default:
		return false
	}
	return true
}

func decodeLoad(s *wire.PlaceStarted) granter.Load {
	if !s.LoadKnown {
		return granter.Load{Requests: -1}
	}
	return granter.Load{
		Requests: int(s.Running + s.Waiting), Pace: float64(s.PacePercent) / 100, Age: time.Duration(s.LoadAgeMs) * time.Millisecond,
	}
}

func decodeSlotRequest(now time.Time, owner string, a *wire.PlaceAsk) board.SlotRequest {
	return board.SlotRequest{
		Owner: owner, ID: a.Id, Number: a.Number, Service: a.Service, Domain: a.Domain, Tier: int(a.Tier),
		NextEventDue: now.Add(time.Duration(a.DueMs) * time.Millisecond),
		Deadline:     now.Add(time.Duration(a.UntilMs) * time.Millisecond),
		PromptTokens: int(a.Prompt), OutputTokens: int(a.Output), EndConstraint: decodeEndConstraint(a.End), EventGapTarget: time.Duration(a.MaxGapMs) * time.Millisecond,
		ExcludedUpstreams: a.Exclude, Resent: a.Again, Fingerprint: a.Fingerprint,
		Domains: a.Domains, RequiredVersion: a.OnlyVersion, ExcludedVersion: a.NotVersion, Workspace: a.Workspace, Repeated: a.Repeated,
		EstimatedTokens: int(a.Estimate), MaxTokens: int(a.Maximum),
	}
}

func decodeEndConstraint(e wire.PlaceAsk_End) board.EndConstraint {
	switch e {
	case wire.PlaceAsk_LIKELY:
		return board.EndPreferred
	case wire.PlaceAsk_SURE:
		return board.EndRequired
	}
	return board.EndUnconstrained
}

func endConstraintMessage(e flow.EndConstraint) wire.PlaceAsk_End {
	switch e {
	case flow.EndPreferred:
		return wire.PlaceAsk_LIKELY
	case flow.EndRequired:
		return wire.PlaceAsk_SURE
	case flow.EndUnconstrained:
	}
	return wire.PlaceAsk_OPEN
}

func decodeHeldSlots(h *wire.PlacesHeld) []board.HeldSlot {
	held := make([]board.HeldSlot, 0, len(h.Places))
	for _, p := range h.Places {
		held = append(held, board.HeldSlot{
			ID: p.Id, Number: p.Number, Upstream: p.Upstream, PromptTokens: int(p.Prompt), OutputTokens: int(p.Output), Started: p.Started,
			Workspace: p.Workspace, Tier: int(p.Tier),
		})
	}
	return held
}

func decodeResult(e *wire.PlaceEnded) board.SlotResult {
	return board.SlotResult{
		Outcome: board.Outcome(e.Outcome), Number: e.Number, StreamTime: time.Duration(e.StreamUs) * time.Microsecond, Tokens: int(e.Tokens),
	}
}

// DecisionMessage returns the message that carries a decision to the gateway that asked.
func DecisionMessage(d board.Decision) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_PlaceVerdict{PlaceVerdict: &wire.PlaceVerdict{
		Id: d.ID, Number: d.Number, Upstream: d.Upstream, RetryAfterMs: uint32(d.RetryAfter.Milliseconds()), Why: d.Reason, Waiting: d.Waiting,
	}}}
}
