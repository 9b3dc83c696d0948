// Package move steps a service's traffic from one version to another: shares
// are planned back from the deadline, a step needs evidence, and a version
// that is bad is taken back. It decides; it does no I/O and reads no clock.
package move

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/rules"
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
)

// stage is one share of traffic, with the parts of the time between start and
// deadline at which it ends at the earliest, however good the evidence, and at
// the latest, if nothing speaks against the version.
type stage struct {
	share    float64
	earliest float64
	latest   float64
}

// stages spread a move over its time instead of racing it: a fault that shows
// only later meets a small share. The last tenth of the time is slack.
var stages = []stage{{0.02, 0.15, 0.25}, {0.10, 0.35, 0.45}, {0.50, 0.60, 0.70}, {1, 0.80, 0.90}}

const (
	// dwellPart is the least part of the time that a stage lasts, also when
	// the move is behind its plan.
	dwellPart = 0.04
	// falseAlarm and missed are the error rates of the test behind a step.
	falseAlarm = 0.001
	missed     = 0.01
)

// Test returns the test that a step uses.
func Test() evidence.Test { return evidence.NewTest(falseAlarm, missed) }

// Observed is what the duty's holder knows of the versions under test.
type Observed struct {
	// All is the evidence since the move's start, and Stage that since the
	// stage began.
	All   *evidence.Board
	Stage *evidence.Board
	// Fault is what the watch over the newest reports found.
	Fault evidence.Finding
	// Braked is the number of upstreams that braked themselves.
	Braked int
	// Ready tells whether upstreams of the new version can be chosen at all.
	Ready bool
}

// Step decides what comes next for a move and whether anything changes. The
// state is the recorded one; known is false before the first.
func Step(now time.Time, m rules.Move, state document.MoveState, known bool, o Observed) (document.MoveState, bool) {
	switch {
	case !known:
		return begin(now, m, o)
	case state.Verdict() != document.Moving:
		return state, false
	}
	if why, bad := fault(m, o); bad {
		return document.NewMoveState(state.Stage(), 0, document.TakenBack, now, why), true
	}
	if now.After(m.By()) {
		return late(now, m, state, o)
	}
	return advance(now, m, state, o)
}

func begin(now time.Time, m rules.Move, o Observed) (document.MoveState, bool) {
	if now.Before(m.Start()) {
		return document.MoveState{}, false
	}
	if now.After(m.By()) {
		return document.NewMoveState(0, 0, document.TakenBack, now, "the deadline passed before the move began; set a later one"), true
	}
	if !o.Ready {
		return document.MoveState{}, false
	}
	return document.NewMoveState(0, stages[0].share, document.Moving, now, fmt.Sprintf("began with %.0f%% of the traffic", 100*stages[0].share)), true
}

func fault(m rules.Move, o Observed) (string, bool) {
	if o.Braked > 0 {
		total := o.All.Total(m.To())
		return fmt.Sprintf("%d upstreams of %s stopped themselves: %d of %d runs failed", o.Braked, m.To(), total.Failures(), total.Runs()), true
	}
	finding := o.Fault
	if finding.Verdict() == evidence.Open {
		finding = Test().Judge(o.All, m.From(), m.To())
	}
	switch finding.Verdict() {
	case evidence.BadFailures:
		return fmt.Sprintf("%s fails%s: %d of %d runs against %d of %d with %s", m.To(), on(finding.Route()),
			finding.Fresh().Failures(), finding.Fresh().Runs(), finding.Old().Failures(), finding.Old().Runs(), m.From()), true
	case evidence.BadLatency:
		return fmt.Sprintf("%s is slower%s: seen over %d runs against %d with %s", m.To(), on(finding.Route()),
			finding.Fresh().Runs(), finding.Old().Runs(), m.From()), true
	}
	return "", false
}

func on(route string) string {
	if route == "" {
		return ""
	}
	return " on " + route
}

// advance goes on when the evidence of this stage is good and the stage has
// lasted long enough, or when the stage's time is up and nothing speaks
// against it: little traffic must not keep a good version from completing.
func advance(now time.Time, m rules.Move, state document.MoveState, o Observed) (document.MoveState, bool) {
	span, plan := m.By().Sub(m.Start()), stages[state.Stage()]
	early := now.Before(m.Start().Add(part(span, plan.earliest))) || now.Sub(state.Since()) < part(span, dwellPart)
	fresh := o.Stage.Total(m.To())
	timeUp := !now.Before(m.Start().Add(part(span, plan.latest)))
	nothingAgainst := timeUp && fresh.Failures() == 0 && o.Ready
	if early || !nothingAgainst && o.stageVerdict(m) != evidence.Good {
		return state, false
	}
	why := fmt.Sprintf("%d runs of %s, %d failed", fresh.Runs(), m.To(), fresh.Failures())
	next := state.Stage() + 1
	if next == len(stages) {
		return document.NewMoveState(state.Stage(), 1, document.Completed, now, "completed: "+why), true
	}
	return document.NewMoveState(next, stages[next].share, document.Moving, now, why), true
}

// stageVerdict compares the new version's runs of this stage with the old
// version's of the whole move: in the last stage the old one has none.
func (o Observed) stageVerdict(m rules.Move) evidence.Verdict {
	return Test().Judge(o.All.With(m.From(), o.Stage, m.To()), m.From(), m.To()).Verdict()
}

// Stopped is the state of a move that a single entry's brake stopped. Any entry
// may record it, whoever holds the duty: were it kept to itself, the duty
// would see no more failures and take the silence for health.
func Stopped(now time.Time, m rules.Move, state document.MoveState, who string) document.MoveState {
	why := fmt.Sprintf("%s fails: %s stopped sending to it on what its own callers saw", m.To(), who)
	return document.NewMoveState(state.Stage(), 0, document.TakenBack, now, why)
}

// late applies the operators' rule for a move that did not meet its deadline.
func late(now time.Time, m rules.Move, state document.MoveState, o Observed) (document.MoveState, bool) {
	if m.IfLate() == rules.Hold {
		return advanceLate(now, m, state, o)
	}
	total := o.All.Total(m.To())
	why := fmt.Sprintf("not enough evidence by the deadline: %d runs of %s, %d failed", total.Runs(), m.To(), total.Failures())
	return document.NewMoveState(state.Stage(), 0, document.TakenBack, now, why), true
}

// advanceLate lets a held move go on, on good evidence only.
func advanceLate(now time.Time, m rules.Move, state document.MoveState, o Observed) (document.MoveState, bool) {
	if o.stageVerdict(m) != evidence.Good {
		return state, false
	}
	return advance(now, m, state, o)
}

// Fits tells whether a move can still meet its deadline at the earliest pace,
// so that one that cannot is named early.
func Fits(now time.Time, m rules.Move, state document.MoveState) bool {
	left := len(stages) - state.Stage()
	need := time.Duration(left) * part(m.By().Sub(m.Start()), dwellPart)
	return !now.Add(need).After(m.By())
}

// Chosen tells whether a request belongs to the share of the new version. All
// entries agree with no shared counter, because only the request's id and the
// share decide.
func Chosen(m rules.Move, requestID string, share float64) bool {
	const steps = 1 << 20
	hash := xxhash.Sum64String(m.Name() + "\x00" + requestID)
	return float64(hash%steps) < share*steps
}

func part(span time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(span))
}
