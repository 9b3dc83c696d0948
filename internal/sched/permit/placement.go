package permit

import (
	"math"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

func (c *Client) hold(local flow.Placement, req flow.PlacementRequest, number uint64) flow.Placement {
	p := &placement{client: c, local: local, upstream: local.Upstream(), request: req, number: number}
	c.mu.Lock()
	c.placements[p] = struct{}{}
	if granted := c.pending[req.ID]; granted != nil && granted.number == number {
		delete(c.pending, req.ID)
	}
	c.mu.Unlock()
	return p
}

// placement is a slot on an engine.
type placement struct {
	client   *Client
	local    flow.Placement
	upstream roster.Upstream
	request  flow.PlacementRequest
	number   uint64

	mu        sync.Mutex
	startedAt time.Time
	// load is what the upstream stated last, at loadAt; nil if it has stated nothing.
	load   *exchange.Load
	loadAt time.Time
}

// Upstream implements flow.Placement.
func (p *placement) Upstream() roster.Upstream { return p.upstream }

// ReportLoad implements flow.Placement.
func (p *placement) ReportLoad(now time.Time, load exchange.Load) {
	p.local.ReportLoad(now, load)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load, p.loadAt = &load, now
}

// AnswerStarted implements flow.Placement.
func (p *placement) AnswerStarted(now time.Time) {
	message := &wire.PlaceStarted{Id: p.request.ID}
	p.mu.Lock()
	p.startedAt = now
	if p.load != nil {
		message.LoadKnown, message.Running, message.Waiting = true, uint32(p.load.Running), uint32(p.load.Waiting)
		message.PacePercent, message.LoadAgeMs = uint32(math.Round(100*p.load.Pace)), uint32(max(0, now.Sub(p.loadAt)).Milliseconds())
	}
	p.mu.Unlock()
	p.local.AnswerStarted(now)
	p.client.notify(&wire.Envelope{Body: &wire.Envelope_PlaceStarted{PlaceStarted: message}})
}

// Release implements flow.Placement.
func (p *placement) Release(now time.Time, o flow.Outcome, tokens int) {
	p.local.Release(now, o, tokens)
	p.client.mu.Lock()
	delete(p.client.placements, p)
	p.client.mu.Unlock()
	p.mu.Lock()
	stream := time.Duration(0)
	if !p.startedAt.IsZero() {
		stream = now.Sub(p.startedAt)
	}
	p.mu.Unlock()
	p.client.notify(endedMessage(p.request.ID, p.number, board.SlotResult{Outcome: boardOutcome(o), StreamTime: stream, Tokens: tokens}))
}

func (p *placement) heldMessage() *wire.PlaceHeld {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &wire.PlaceHeld{
		Id: p.request.ID, Number: p.number, Upstream: p.upstream.ID, Prompt: uint32(p.request.PromptTokens), Output: uint32(p.request.OutputTokens),
		Started: !p.startedAt.IsZero(), Workspace: p.request.Workspace, Tier: uint32(p.request.Tier),
	}
}

func endedMessage(id string, number uint64, end board.SlotResult) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_PlaceEnded{PlaceEnded: &wire.PlaceEnded{
		Id: id, Number: number, Outcome: uint32(end.Outcome),
		StreamUs: uint64(end.StreamTime.Microseconds()), Tokens: uint32(end.Tokens),
	}}}
}

func boardOutcome(o flow.Outcome) board.Outcome {
	switch o {
	case flow.Answered:
		return board.Answered
	case flow.Declined:
		return board.Declined
	case flow.Unreachable:
		return board.Unreachable
	case flow.Canceled, flow.Withheld:
		return board.Canceled
	case flow.Interrupted:
		return board.Interrupted
	case flow.Misdirected:
		return board.Misdirected
	case flow.Failed:
	}
	return board.Failed
}
