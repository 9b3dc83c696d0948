// Package moves plays many seeded version moves against the decisions alone:
// the same share, evidence, brakes and steps as in the roles, with drawn
// requests in place of processes.
package moves

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/config/rules"
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
	"github.com/persimmonridge/persimmonridge/internal/version/move"
)

// Kind is how a new version is.
type Kind string

// The kinds.
const (
	Good      Kind = "good"
	FailsNow  Kind = "fails at once"
	SlowNow   Kind = "slows at once"
	Later     Kind = "fails later"
	UnderLoad Kind = "fails under load"
	OneRoute  Kind = "fails on one route"
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Good, FailsNow, SlowNow, Later, UnderLoad, OneRoute} }

// Trouble is what else goes wrong.
type Trouble string

// The troubles.
const (
	Calm         Trouble = "calm"
	StoreOutage  Trouble = "store outage in the middle"
	PausedHolder Trouble = "holder paused past its lease"
)

// Troubles returns all troubles.
func Troubles() []Trouble { return []Trouble{Calm, StoreOutage, PausedHolder} }

// Setting is one move.
type Setting struct {
	Seed    uint64
	Kind    Kind
	Trouble Trouble
	// Rate is requests a second of the service.
	Rate float64
	// Span is the time from start to deadline.
	Span time.Duration
}

// Outcome is how one move went.
type Outcome struct {
	Verdict document.Verdict
	InTime  bool
	// Requests is all, Harmed those that met a fault of the new version.
	Requests int
	Harmed   int
	// MostShare is the largest share the version had while it was faulty.
	MostShare float64
	// FaultToNone is the time from the first fault that showed to the last
	// request sent to the version.
	FaultToNone time.Duration
}

const (
	// upstreams run each version; routes are workspace and action.
	upstreams = 5
	routes    = 10
	// baseFailures is the share of runs that fail with any version.
	baseFailures = 0.004
	// badFailures is the share that fail with a bad one, where it is bad.
	badFailures = 0.35
	// slowFactor is how much slower a slow version is.
	slowFactor = 4
	// stepEvery and tellEvery are the pace of the duty and of evidence.
	stepEvery = time.Second
	// braked agents and entries stop at once; others hear of it after this.
	hearAfter = time.Second
	// loadShare is the share of traffic from which an under-load fault shows.
	loadShare = 0.4
	// laterPart is the part of the time after which a later fault begins.
	laterPart = 0.3
	// entries is the number of entries, each with a brake of its own.
	entries = 3
)

// play is one move under way.
type play struct {
	setting Setting
	random  *rand.Rand
	wish    rules.Move
	start   time.Time
	state   document.MoveState
	known   bool
	agents  [2][upstreams]*evidence.Board
	braked  [upstreams]bool
	brakeAt time.Time
	watch   *evidence.Watch
	agent   [upstreams]*evidence.Brake
	local   [entries]*evidence.Brake
	stopped [entries]bool
	stage   *evidence.Board
	stageOf document.MoveState
	out     Outcome
	faultAt time.Time
	lastNew time.Time
}

// Run plays one move to its end.
func Run(s Setting) (Outcome, error) {
	p, err := newPlay(s)
	if err != nil {
		return Outcome{}, err
	}
	end := p.start.Add(s.Span + s.Span/10)
	step := p.start
	for now, number := p.start, 0; now.Before(end); number++ {
		now = now.Add(time.Duration(p.random.ExpFloat64() / s.Rate * float64(time.Second)))
		for !step.After(now) {
			p.step(step)
			step = step.Add(stepEvery)
		}
		p.request(now, number)
		if p.known && p.state.Verdict() == document.TakenBack {
			break
		}
	}
	p.out.Verdict = p.state.Verdict()
	p.out.InTime = p.state.Verdict() == document.Completed && !p.state.Since().After(p.wish.By())
	if !p.faultAt.IsZero() && p.lastNew.After(p.faultAt) {
		p.out.FaultToNone = p.lastNew.Sub(p.faultAt)
	}
	return p.out, nil
}

func newPlay(s Setting) (*play, error) {
	start := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	wish, err := wishOf(start, start.Add(s.Span))
	if err != nil {
		return nil, err
	}
	p := &play{setting: s, random: rand.New(rand.NewPCG(s.Seed, 5)), wish: wish, start: start, stage: evidence.NewBoard(), watch: evidence.NewWatch()}
	for version := range p.agents {
		for i := range p.agents[version] {
			p.agents[version][i] = evidence.NewBoard()
		}
	}
	for i := range p.agent {
		p.agent[i] = evidence.NewBrake()
	}
	for i := range p.local {
		p.local[i] = evidence.NewBrake()
	}
	return p, nil
}

// wishOf builds the move as operators write it.
func wishOf(start, by time.Time) (rules.Move, error) {
	inv, findings := inventory.Parse([]byte(`{"site":"s","failure-domains":{"a":{}},"workspaces":{"w":{}},
		"services":{"tutor":{"kind":"model","versions":{"old":{},"new":{}},"actions":{"answer":{}}}}}`))
	if len(findings) > 0 {
		return rules.Move{}, fmt.Errorf("inventory: %s", findings[0])
	}
	raw := fmt.Sprintf(`{"tiers":["t"],"actions":{},"moves":{"m":{"service":"tutor","from":"old","to":"new","start":%q,"by":%q}}}`,
		start.Format(time.RFC3339), by.Format(time.RFC3339))
	parsed, findings := rules.Parse([]byte(raw), inv)
	if len(findings) > 0 {
		return rules.Move{}, fmt.Errorf("rules: %s", findings[0])
	}
	return parsed.Moves()[0], nil
}

// request draws one request and runs it.
func (p *play) request(now time.Time, number int) {
	p.out.Requests++
	entry := p.random.IntN(entries)
	route := fmt.Sprintf("route-%d", p.random.IntN(routes))
	fresh := p.goesNew(now, entry, fmt.Sprintf("%d-%d", p.setting.Seed, number))
	upstream := p.random.IntN(upstreams)
	if fresh && p.braked[upstream] {
		fresh = false
	}
	failed, latency := p.run(now, fresh, route)
	version := 0
	if fresh {
		version = 1
		p.lastNew = now
	}
	board := p.agents[version][upstream]
	board.Observe([]string{"old", "new"}[version], route, failed, latency)
	p.brakes(now, fresh, entry, upstream, route, failed)
}

func (p *play) goesNew(now time.Time, entry int, id string) bool {
	if !p.known || p.state.Verdict() == document.TakenBack || p.stopped[entry] {
		return false
	}
	if p.state.Verdict() == document.Completed {
		return true
	}
	heard := !p.brakeAt.IsZero() && now.Sub(p.brakeAt) > hearAfter
	return !heard && move.Chosen(p.wish, id, p.state.Share())
}

// run draws how a run goes.
func (p *play) run(now time.Time, fresh bool, route string) (failed bool, latency time.Duration) {
	latency = time.Duration((80 + 60*p.random.ExpFloat64()) * float64(time.Millisecond))
	rate := baseFailures
	if fresh && p.faulty(now, route) {
		if p.setting.Kind == SlowNow {
			latency *= slowFactor
			p.harm(now)
		} else {
			rate = badFailures
		}
	}
	failed = p.random.Float64() < rate
	if failed && rate == badFailures {
		p.harm(now)
	}
	return failed, latency
}

func (p *play) harm(now time.Time) {
	p.out.Harmed++
	if p.faultAt.IsZero() {
		p.faultAt = now
	}
	p.out.MostShare = max(p.out.MostShare, p.state.Share())
}

func (p *play) faulty(now time.Time, route string) bool {
	switch p.setting.Kind {
	case FailsNow, SlowNow:
		return true
	case Later:
		return now.Sub(p.start) > time.Duration(laterPart*float64(p.setting.Span))
	case UnderLoad:
		return p.state.Share() >= loadShare
	case OneRoute:
		return route == "route-0"
	}
	return false
}

// brakes are those of the agent and of the entry, without store or duty.
func (p *play) brakes(now time.Time, fresh bool, entry, upstream int, route string, failed bool) {
	moving := p.known && p.state.Verdict() == document.Moving
	if !fresh || !moving {
		return
	}
	if p.agent[upstream].Observe(route, failed) {
		p.braked[upstream] = true
		if p.brakeAt.IsZero() {
			p.brakeAt = now
		}
	}
	p.stopped[entry] = p.local[entry].Observe(route, failed) || p.stopped[entry]
}

// step is the duty's; with the store down nothing is recorded, and a paused
// holder does nothing until another takes the lease.
func (p *play) step(now time.Time) {
	part := float64(now.Sub(p.start)) / float64(p.setting.Span)
	if p.setting.Trouble == StoreOutage && part > 0.3 && part < 0.5 {
		return
	}
	if p.setting.Trouble == PausedHolder && part > 0.3 && now.Sub(p.start) < time.Duration(0.3*float64(p.setting.Span))+12*time.Second {
		return
	}
	for _, stopped := range p.stopped {
		if stopped && p.state.Verdict() == document.Moving {
			p.state = move.Stopped(now, p.wish, p.state, "an entry")
			return
		}
	}
	all := evidence.NewBoard()
	for version := range p.agents {
		for _, board := range p.agents[version] {
			all.Merge(board)
		}
	}
	if p.state != p.stageOf {
		p.stage, p.stageOf = all, p.state
	}
	braked := 0
	for _, b := range p.braked {
		if b {
			braked++
		}
	}
	next, changed := move.Step(now, p.wish, p.state, p.known, move.Observed{All: all, Stage: all.Since(p.stage), Fault: p.watch.Update(all, "old", "new"), Braked: braked, Ready: true})
	if changed {
		p.state, p.known = next, true
	}
}
