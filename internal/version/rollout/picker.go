package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// Picker chooses the side of a move for each request, and counts the outcomes on
// both sides. It implements flow.Picker by wrapping another one.
type Picker struct {
	next flow.Picker

	mu      sync.Mutex
	states  map[string]State
	tallies map[string]*Tally
}

// NewPicker returns a picker without moves that wraps next.
func NewPicker(next flow.Picker) *Picker {
	return &Picker{next: next, states: make(map[string]State), tallies: make(map[string]*Tally)}
}

// SetState sets the state of a service's move.
func (p *Picker) SetState(service string, s State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.states[service].Order != s.Order || p.tallies[service] == nil {
		p.tallies[service] = NewTally(s.Order)
	}
	p.states[service] = s
}

// Renumber continues a service's move, which keeps its counts, under another order's revision.
func (p *Picker) Renumber(service string, s State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if tally := p.tallies[service]; tally != nil {
		tally.order = s.Order
		p.states[service] = s
	}
}

// State returns the state of a service's move.
func (p *Picker) State(service string) (State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[service]
	return s, ok
}

// Reports returns the report on each service's running move.
func (p *Picker) Reports() map[string]Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := make(map[string]Report)
	for service, s := range p.states {
		if s.Phase == Running {
			reports[service] = Report{Order: s.Order, Entries: p.tallies[service].Entries()}
		}
	}
	return reports
}

// Pick implements flow.Picker.
func (p *Picker) Pick(ctx context.Context, now time.Time, a flow.PlacementRequest) (flow.Placement, error) {
	state, moving := p.State(a.Service)
	if !moving {
		return p.next.Pick(ctx, now, a)
	}
	toTarget := state.Phase == Complete || (state.Phase == Running && state.InTargetShare(a.Service, a.ID))
	if toTarget {
		a.RequiredVersion = state.Target
	} else {
		a.ExcludedVersion = state.Target
	}
	placement, err := p.next.Pick(ctx, now, a)
	if err != nil && state.Phase == Running && toTarget {
		// The target has no free slot or no upstream; the request must not fail
		// because of the move, so it goes to the other versions.
		a.RequiredVersion, a.ExcludedVersion = "", state.Target
		placement, err = p.next.Pick(ctx, now, a)
	}
	if err != nil || state.Phase != Running {
		return placement, err
	}
	return &countedPlacement{Placement: placement, picker: p, service: a.Service, route: a.Route.Name, state: state, pickedAt: now}, nil
}

// countedPlacement is a flow.Placement whose outcome is counted for a move.
type countedPlacement struct {
	flow.Placement
	picker   *Picker
	service  string
	route    string
	state    State
	pickedAt time.Time

	mu        sync.Mutex
	startedAt time.Time
}

// ReportLoad implements flow.Placement.
func (p *countedPlacement) ReportLoad(now time.Time, load exchange.Load) {
	p.Placement.ReportLoad(now, load)
}

// Upstream implements flow.Placement.
func (p *countedPlacement) Upstream() roster.Upstream { return p.Placement.Upstream() }

// AnswerStarted implements flow.Placement.
func (p *countedPlacement) AnswerStarted(now time.Time) {
	p.mu.Lock()
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.mu.Unlock()
	p.Placement.AnswerStarted(now)
}

// Release implements flow.Placement. Requests that callers canceled or that did not run
// say nothing about a version; neither do answers that broke off, since crashes and
// cut connections affect every version.
func (p *countedPlacement) Release(now time.Time, outcome flow.Outcome, tokens int) {
	p.Placement.Release(now, outcome, tokens)
	failed := outcome == flow.Failed
	if !failed && outcome != flow.Answered {
		return
	}
	p.mu.Lock()
	took := now.Sub(p.pickedAt)
	if !p.startedAt.IsZero() {
		took = p.startedAt.Sub(p.pickedAt)
	}
	p.mu.Unlock()
	side := sideOld
	if p.Upstream().Version == p.state.Target {
		side = sideTarget
	}
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	if tally := p.picker.tallies[p.service]; tally != nil && tally.order == p.state.Order {
		tally.board.Observe(side, p.route, failed, took)
	}
}
