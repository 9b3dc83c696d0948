package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
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

// Reports returns the report on each service's running move for the scheduler that receives it.
func (p *Picker) Reports(now time.Time, receiver string) map[string]Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := make(map[string]Report)
	for service, s := range p.states {
		if s.Phase == Running {
			tally := p.tallies[service]
			samples, baselines := tally.speeds.report(now, receiver)
			reports[service] = Report{Order: s.Order, Entries: tally.Entries(), Samples: samples, Baselines: baselines}
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
	return &countedPlacement{
		Placement: placement, picker: p, service: a.Service, route: a.Route.Name, state: state,
		isSlowStart: placement.Upstream().WarmUpRemaining > 0,
	}, nil
}

// countedPlacement is a flow.Placement whose outcome is counted for a move.
type countedPlacement struct {
	flow.Placement
	picker  *Picker
	service string
	route   string
	state   State
	// isSlowStart reports that the upstream warms up, and is slow whatever its version.
	isSlowStart bool

	// The fields below are guarded by the picker's lock. sentAt is when the request was sent: how
	// long it waited for a slot says nothing of the version. measuring is what is measured next,
	// or measured once there is nothing left.
	sentAt, startedAt time.Time
	measuring         evidence.Measure
}

// measured ends the measures of a run.
const measured = evidence.EventPause + 1

// ReportLoad implements flow.Placement.
func (p *countedPlacement) ReportLoad(now time.Time, load exchange.Load) {
	p.Placement.ReportLoad(now, load)
}

// Upstream implements flow.Placement.
func (p *countedPlacement) Upstream() roster.Upstream { return p.Placement.Upstream() }

// AnswerStarted implements flow.Placement.
func (p *countedPlacement) AnswerStarted(now time.Time) {
	p.picker.mu.Lock()
	if p.startedAt.IsZero() {
		p.startedAt = now
		p.measure(now, evidence.FirstEvent, now.Sub(p.sentAt), false)
	}
	p.picker.mu.Unlock()
	p.Placement.AnswerStarted(now)
}

// RunBegan implements flow.RunObserver.
func (p *countedPlacement) RunBegan(now time.Time) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	p.sentAt = now
	if tally := p.tally(); tally != nil && !p.isSlowStart {
		tally.speeds.open[p] = struct{}{}
	}
}

// EventArrived implements flow.RunObserver.
func (p *countedPlacement) EventArrived(now time.Time, number int) {
	if number != 1+measuredEvents {
		return
	}
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	p.measure(now, evidence.EventPause, now.Sub(p.startedAt)/measuredEvents, false)
}

// side returns the version that the run is on, and whether that is the target.
func (p *countedPlacement) side() (name string, target bool) {
	if p.Upstream().Version == p.state.Target {
		return sideTarget, true
	}
	return sideOld, false
}

// measure records a measurement, unless it was recorded before. The caller holds the picker's
// lock.
func (p *countedPlacement) measure(now time.Time, measure evidence.Measure, took time.Duration, atLeast bool) {
	tally := p.tally()
	if tally == nil || p.isSlowStart || p.measuring != measure {
		return
	}
	p.measuring++
	if p.measuring == measured {
		delete(tally.speeds.open, p)
	}
	_, target := p.side()
	tally.speeds.observe(now, target, evidence.Sample{
		Measure: measure, Route: p.route, Upstream: p.Upstream().ID, Bucket: evidence.Bucket(took), AtLeast: atLeast,
	})
}

// measureWaiting records a run that has not got to the next measurement for long. The caller
// holds the picker's lock.
func (p *countedPlacement) measureWaiting(now time.Time) {
	switch {
	case p.measuring == evidence.FirstEvent && now.Sub(p.sentAt) >= longestMeasure:
		p.measure(now, evidence.FirstEvent, longestMeasure, true)
	case p.measuring == evidence.EventPause && !p.startedAt.IsZero() && now.Sub(p.startedAt) >= measuredEvents*longestMeasure:
		p.measure(now, evidence.EventPause, longestMeasure, true)
	}
}

// abandon records a run that ended before the next measurement: it would have taken at least as
// long. The caller holds the picker's lock.
func (p *countedPlacement) abandon(now time.Time) {
	if p.startedAt.IsZero() && !p.sentAt.IsZero() {
		p.measure(now, evidence.FirstEvent, now.Sub(p.sentAt), true)
	}
}

// tally returns the counts of the move, or nil if another one has begun. The caller holds the
// picker's lock.
func (p *countedPlacement) tally() *Tally {
	if tally := p.picker.tallies[p.service]; tally != nil && tally.order == p.state.Order {
		return tally
	}
	return nil
}

// Release implements flow.Placement. Requests that did not run say nothing about a version;
// neither do answers that broke off, since crashes and cut connections affect every version. What
// callers canceled says only how long it had taken until then.
func (p *countedPlacement) Release(now time.Time, outcome flow.Outcome, tokens int) {
	p.Placement.Release(now, outcome, tokens)
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	tally := p.tally()
	if tally == nil {
		return
	}
	delete(tally.speeds.open, p)
	failed := outcome == flow.Failed
	switch {
	case outcome == flow.Canceled:
		p.abandon(now)
	case failed || outcome == flow.Answered:
		took := now.Sub(p.sentAt)
		if !p.startedAt.IsZero() {
			took = p.startedAt.Sub(p.sentAt)
		}
		side, _ := p.side()
		tally.board.Observe(side, p.route, failed, took)
	}
}
