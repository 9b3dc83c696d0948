// Package moves simulates seeded version moves. It uses the same share, evidence,
// circuit breaker and step logic as the real processes, with random requests instead
// of running processes.
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

// Kind is the behavior of the new version.
type Kind string

// The kinds of new versions.
const (
	Good      Kind = "good"
	FailsNow  Kind = "fails at once"
	SlowNow   Kind = "slows at once"
	Later     Kind = "fails later"
	UnderLoad Kind = "fails under load"
	OneRoute  Kind = "fails on one route"
)

// Kinds returns all kinds of new versions.
func Kinds() []Kind { return []Kind{Good, FailsNow, SlowNow, Later, UnderLoad, OneRoute} }

// Disturbance is a disturbance that is independent of the new version.
type Disturbance string

// The disturbances.
const (
	Calm         Disturbance = "calm"
	StoreOutage  Disturbance = "store outage in the middle"
	PausedHolder Disturbance = "holder paused past its lease"
)

// Disturbances returns all disturbances.
func Disturbances() []Disturbance { return []Disturbance{Calm, StoreOutage, PausedHolder} }

// Setting holds the parameters of one simulated move.
type Setting struct {
	Seed        uint64
	Kind        Kind
	Disturbance Disturbance
	// Rate is the number of requests of the service per second.
	Rate float64
	// Span is the time from start to deadline.
	Span time.Duration
}

// Outcome is the result of one simulated move.
type Outcome struct {
	Verdict document.Verdict
	InTime  bool
	// Requests is the number of all requests, and Affected the number of those
	// affected by a fault of the new version.
	Requests int
	Affected int
	// MaxFaultyShare is the largest traffic share of the new version at a request affected
	// by its fault.
	MaxFaultyShare float64
	// FaultToLastRequest is the time from the first request affected by a fault of the new
	// version to the last request sent to that version.
	FaultToLastRequest time.Duration
}

const (
	// upstreams is the number of upstreams of each version, and routes the number of
	// combinations of workspace and action.
	upstreams = 5
	routes    = 10
	// baseFailureRate is the share of runs that fail on any version.
	baseFailureRate = 0.004
	// faultyFailureRate is the share of runs that fail where a version is faulty.
	faultyFailureRate = 0.35
	// slowFactor is the factor by which a slow version increases latency.
	slowFactor = 4
	// stepInterval is the interval between steps of the process that leads the move.
	stepInterval = time.Second
	// propagationDelay is the time after which other processes know that a circuit
	// breaker tripped; its agent or entry stops at once.
	propagationDelay = time.Second
	// overloadShare is the traffic share from which the fault of UnderLoad occurs.
	overloadShare = 0.4
	// laterFaultStart is the fraction of the span after which the fault of Later begins.
	laterFaultStart = 0.3
	// entries is the number of entries, each with its own circuit breaker.
	entries = 3
)

// simulation is the state of one simulated move.
type simulation struct {
	setting        Setting
	random         *rand.Rand
	rule           rules.Move
	start          time.Time
	state          document.MoveState
	hasState       bool
	boards         [2][upstreams]*evidence.Board
	agentStopped   [upstreams]bool
	firstStoppedAt time.Time
	watch          *evidence.Watch
	agentBreakers  [upstreams]*evidence.Breaker
	entryBreakers  [entries]*evidence.Breaker
	entryStopped   [entries]bool
	stage          *evidence.Board
	stageState     document.MoveState
	outcome        Outcome
	firstFaultAt   time.Time
	lastNewRunAt   time.Time
}

// Run simulates one move to its end.
func Run(s Setting) (Outcome, error) {
	sim, err := newSimulation(s)
	if err != nil {
		return Outcome{}, err
	}
	end := sim.start.Add(s.Span + s.Span/10)
	step := sim.start
	for now, number := sim.start, 0; now.Before(end); number++ {
		now = now.Add(time.Duration(sim.random.ExpFloat64() / s.Rate * float64(time.Second)))
		for !step.After(now) {
			sim.step(step)
			step = step.Add(stepInterval)
		}
		sim.request(now, number)
		if sim.hasState && sim.state.Verdict() == document.RolledBack {
			break
		}
	}
	sim.outcome.Verdict = sim.state.Verdict()
	sim.outcome.InTime = sim.state.Verdict() == document.Completed && !sim.state.Since().After(sim.rule.Deadline())
	if !sim.firstFaultAt.IsZero() && sim.lastNewRunAt.After(sim.firstFaultAt) {
		sim.outcome.FaultToLastRequest = sim.lastNewRunAt.Sub(sim.firstFaultAt)
	}
	return sim.outcome, nil
}

func newSimulation(s Setting) (*simulation, error) {
	start := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	rule, err := newMoveRule(start, start.Add(s.Span))
	if err != nil {
		return nil, err
	}
	sim := &simulation{setting: s, random: rand.New(rand.NewPCG(s.Seed, 5)), rule: rule, start: start, stage: evidence.NewBoard(), watch: evidence.NewWatch()}
	for version := range sim.boards {
		for i := range sim.boards[version] {
			sim.boards[version][i] = evidence.NewBoard()
		}
	}
	for i := range sim.agentBreakers {
		sim.agentBreakers[i] = evidence.NewBreaker()
	}
	for i := range sim.entryBreakers {
		sim.entryBreakers[i] = evidence.NewBreaker()
	}
	return sim, nil
}

// newMoveRule builds the move by parsing an inventory and rules.
func newMoveRule(start, by time.Time) (rules.Move, error) {
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

// request generates and runs one request.
func (sim *simulation) request(now time.Time, number int) {
	sim.outcome.Requests++
	entry := sim.random.IntN(entries)
	route := fmt.Sprintf("route-%d", sim.random.IntN(routes))
	onNew := sim.routesToNew(now, entry, fmt.Sprintf("%d-%d", sim.setting.Seed, number))
	upstream := sim.random.IntN(upstreams)
	if onNew && sim.agentStopped[upstream] {
		onNew = false
	}
	failed, latency := sim.run(now, onNew, route)
	version := 0
	if onNew {
		version = 1
		sim.lastNewRunAt = now
	}
	board := sim.boards[version][upstream]
	board.Observe([]string{"old", "new"}[version], route, failed, latency)
	sim.updateBreakers(now, onNew, entry, upstream, route, failed)
}

func (sim *simulation) routesToNew(now time.Time, entry int, id string) bool {
	if !sim.hasState || sim.state.Verdict() == document.RolledBack || sim.entryStopped[entry] {
		return false
	}
	if sim.state.Verdict() == document.Completed {
		return true
	}
	stopKnown := !sim.firstStoppedAt.IsZero() && now.Sub(sim.firstStoppedAt) > propagationDelay
	return !stopKnown && move.InShare(sim.rule, id, sim.state.Share())
}

// run draws the result and latency of one run.
func (sim *simulation) run(now time.Time, onNew bool, route string) (failed bool, latency time.Duration) {
	latency = time.Duration((80 + 60*sim.random.ExpFloat64()) * float64(time.Millisecond))
	rate := baseFailureRate
	if onNew && sim.faulty(now, route) {
		if sim.setting.Kind == SlowNow {
			latency *= slowFactor
			sim.recordAffected(now)
		} else {
			rate = faultyFailureRate
		}
	}
	failed = sim.random.Float64() < rate
	if failed && rate == faultyFailureRate {
		sim.recordAffected(now)
	}
	return failed, latency
}

func (sim *simulation) recordAffected(now time.Time) {
	sim.outcome.Affected++
	if sim.firstFaultAt.IsZero() {
		sim.firstFaultAt = now
	}
	sim.outcome.MaxFaultyShare = max(sim.outcome.MaxFaultyShare, sim.state.Share())
}

func (sim *simulation) faulty(now time.Time, route string) bool {
	switch sim.setting.Kind {
	case FailsNow, SlowNow:
		return true
	case Later:
		return now.Sub(sim.start) > time.Duration(laterFaultStart*float64(sim.setting.Span))
	case UnderLoad:
		return sim.state.Share() >= overloadShare
	case OneRoute:
		return route == "route-0"
	}
	return false
}

// updateBreakers records the result of a run on the new version in the breakers of its
// agent and entry, which need neither the store nor the leader of the move.
func (sim *simulation) updateBreakers(now time.Time, onNew bool, entry, upstream int, route string, failed bool) {
	moving := sim.hasState && sim.state.Verdict() == document.Moving
	if !onNew || !moving {
		return
	}
	if sim.agentBreakers[upstream].Observe(route, failed) {
		sim.agentStopped[upstream] = true
		if sim.firstStoppedAt.IsZero() {
			sim.firstStoppedAt = now
		}
	}
	sim.entryStopped[entry] = sim.entryBreakers[entry].Observe(route, failed) || sim.entryStopped[entry]
}

// step runs one step of the process that leads the move. Nothing is recorded during a
// store outage, and a paused leader does nothing until another takes over the lease.
func (sim *simulation) step(now time.Time) {
	fraction := float64(now.Sub(sim.start)) / float64(sim.setting.Span)
	if sim.setting.Disturbance == StoreOutage && fraction > 0.3 && fraction < 0.5 {
		return
	}
	if sim.setting.Disturbance == PausedHolder && fraction > 0.3 && now.Sub(sim.start) < time.Duration(0.3*float64(sim.setting.Span))+12*time.Second {
		return
	}
	for _, stopped := range sim.entryStopped {
		if stopped && sim.state.Verdict() == document.Moving {
			sim.state = move.Stopped(now, sim.rule, sim.state, "an entry")
			return
		}
	}
	merged := evidence.NewBoard()
	for version := range sim.boards {
		for _, board := range sim.boards[version] {
			merged.Merge(board)
		}
	}
	if sim.state != sim.stageState {
		sim.stage, sim.stageState = merged, sim.state
	}
	stoppedUpstreams := 0
	for _, isStopped := range sim.agentStopped {
		if isStopped {
			stoppedUpstreams++
		}
	}
	next, changed := move.Step(now, sim.rule, sim.state, sim.hasState, move.Observed{All: merged, Stage: merged.Since(sim.stage), Fault: sim.watch.Update(merged, "old", "new"), StoppedUpstreams: stoppedUpstreams, Ready: true})
	if changed {
		sim.state, sim.hasState = next, true
	}
}
