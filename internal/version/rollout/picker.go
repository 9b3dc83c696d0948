package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// Picker chooses the side of a move for each request, and counts how requests
// went on both. It implements flow.Picker over another one.
type Picker struct {
	next flow.Picker

	mu      sync.Mutex
	states  map[string]State
	tallies map[string]*Tally
}

// NewPicker returns a picker that knows no move.
func NewPicker(next flow.Picker) *Picker {
	return &Picker{next: next, states: make(map[string]State), tallies: make(map[string]*Tally)}
}

// SetState takes the state of a service's move.
func (p *Picker) SetState(service string, s State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.states[service].Order != s.Order || p.tallies[service] == nil {
		p.tallies[service] = NewTally(s.Order)
	}
	p.states[service] = s
}

// State returns the state of a service's move.
func (p *Picker) State(service string) (State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[service]
	return s, ok
}

// Entries returns what was seen of each service's running move.
func (p *Picker) Entries() map[string]Report {
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
func (p *Picker) Pick(ctx context.Context, now time.Time, a flow.Ask) (flow.Place, error) {
	state, moving := p.State(a.Service)
	if !moving {
		return p.next.Pick(ctx, now, a)
	}
	toTarget := state.Phase == Complete || (state.Phase == Running && state.Chosen(a.Service, a.ID))
	if toTarget {
		a.Only = state.Target
	} else {
		a.Not = state.Target
	}
	place, err := p.next.Pick(ctx, now, a)
	if err != nil && state.Phase == Running && toTarget {
		// The target has no room or no upstream: the request is not the
		// target's to lose.
		a.Only, a.Not = "", state.Target
		place, err = p.next.Pick(ctx, now, a)
	}
	if err != nil || state.Phase != Running {
		return place, err
	}
	return &observed{Place: place, picker: p, service: a.Service, route: a.Route.Name, state: state, begun: now}, nil
}

// observed is a place whose outcome counts for a move.
type observed struct {
	flow.Place
	picker  *Picker
	service string
	route   string
	state   State
	begun   time.Time

	mu      sync.Mutex
	started time.Time
}

// Load implements flow.Place.
func (o *observed) Load(now time.Time, load exchange.Load) { o.Place.Load(now, load) }

// Upstream implements flow.Place.
func (o *observed) Upstream() roster.Upstream { return o.Place.Upstream() }

// Started implements flow.Place.
func (o *observed) Started(now time.Time) {
	o.mu.Lock()
	if o.started.IsZero() {
		o.started = now
	}
	o.mu.Unlock()
	o.Place.Started(now)
}

// Done implements flow.Place. What callers gave up and what did not run says
// nothing of a version; what broke off is a crash or a cut, which come to all.
func (o *observed) Done(now time.Time, outcome flow.Outcome, tokens int) {
	o.Place.Done(now, outcome, tokens)
	failed := outcome == flow.Failed
	if !failed && outcome != flow.Answered {
		return
	}
	o.mu.Lock()
	took := now.Sub(o.begun)
	if !o.started.IsZero() {
		took = o.started.Sub(o.begun)
	}
	o.mu.Unlock()
	side := old
	if o.Upstream().Version == o.state.Target {
		side = fresh
	}
	o.picker.mu.Lock()
	defer o.picker.mu.Unlock()
	if tally := o.picker.tallies[o.service]; tally != nil && tally.order == o.state.Order {
		tally.board.Observe(side, o.route, failed, took)
	}
}
