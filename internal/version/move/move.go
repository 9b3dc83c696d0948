// Package move decides how a service's traffic moves from one version to another:
// shares are planned back from the deadline, a step needs evidence, and the move to
// a bad version is rolled back. The package does no I/O and reads no clock.
package move

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/rules"
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
)

// stage is one share of traffic with the earliest and the latest time of its end,
// as fractions of the time from start to deadline. A stage does not end before
// earliest, however good the evidence; it ends at latest if there is no evidence
// against the version.
type stage struct {
	share    float64
	earliest float64
	latest   float64
}

// stages spread a move over its whole time, so that a fault that shows late affects
// a small share. The last tenth of the time is slack.
var stages = []stage{{0.02, 0.15, 0.25}, {0.10, 0.35, 0.45}, {0.50, 0.60, 0.70}, {1, 0.80, 0.90}}

const (
	// minStageFraction is the minimum duration of a stage as a fraction of the move's
	// time. It also holds if the move is behind schedule.
	minStageFraction = 0.04
	// falseAlarmRate and missRate are the error rates of the test used for a step.
	falseAlarmRate = 0.001
	missRate       = 0.01
)

// Test returns the test used for a step.
func Test() evidence.Test { return evidence.NewTest(falseAlarmRate, missRate) }

// Observed holds the observations on which a step is decided.
type Observed struct {
	// All holds the counts since the start of the move, and Stage those since the
	// start of the stage.
	All   *evidence.Board
	Stage *evidence.Board
	// Fault is the finding of the watch over the newest reports.
	Fault evidence.Finding
	// StoppedUpstreams is the number of upstreams that stopped themselves.
	StoppedUpstreams int
	// Ready reports whether any upstream of the new version can be chosen.
	Ready bool
}

// Step returns the next state of a move and whether it differs from the recorded
// state. known is false if no state has been recorded yet.
func Step(now time.Time, m rules.Move, state document.MoveState, known bool, o Observed) (document.MoveState, bool) {
	switch {
	case !known:
		return begin(now, m, o)
	case state.Verdict() != document.Moving:
		return state, false
	}
	if why, bad := fault(m, o); bad {
		return document.NewMoveState(state.Stage(), 0, document.RolledBack, now, why), true
	}
	if now.After(m.Deadline()) {
		return stepLate(now, m, state, o)
	}
	return advance(now, m, state, o)
}

func begin(now time.Time, m rules.Move, o Observed) (document.MoveState, bool) {
	if now.Before(m.Start()) {
		return document.MoveState{}, false
	}
	if now.After(m.Deadline()) {
		return document.NewMoveState(0, 0, document.RolledBack, now, "the deadline passed before the move began; set a later one"), true
	}
	if !o.Ready {
		return document.MoveState{}, false
	}
	return document.NewMoveState(0, stages[0].share, document.Moving, now, fmt.Sprintf("began with %.0f%% of the traffic", 100*stages[0].share)), true
}

func fault(m rules.Move, o Observed) (string, bool) {
	if o.StoppedUpstreams > 0 {
		total := o.All.Total(m.To())
		return fmt.Sprintf("%d upstreams of %s stopped themselves: %d of %d runs failed", o.StoppedUpstreams, m.To(), total.Failures(), total.Runs()), true
	}
	finding := o.Fault
	if finding.Verdict() == evidence.Open {
		finding = Test().Judge(o.All, m.From(), m.To())
	}
	switch finding.Verdict() {
	case evidence.BadFailures:
		return fmt.Sprintf("%s fails%s: %d of %d runs against %d of %d with %s", m.To(), onRoute(finding.Route()),
			finding.Candidate().Failures(), finding.Candidate().Runs(), finding.Baseline().Failures(), finding.Baseline().Runs(), m.From()), true
	case evidence.BadLatency:
		return fmt.Sprintf("%s is slower%s: seen over %d runs against %d with %s", m.To(), onRoute(finding.Route()),
			finding.Candidate().Runs(), finding.Baseline().Runs(), m.From()), true
	}
	return "", false
}

func onRoute(route string) string {
	if route == "" {
		return ""
	}
	return " on " + route
}

// advance goes to the next stage if the evidence of this stage is good and the
// stage has lasted long enough, or if the stage's time is up and no run of the new
// version failed, because little traffic must not keep a good version from
// completing.
func advance(now time.Time, m rules.Move, state document.MoveState, o Observed) (document.MoveState, bool) {
	span, plan := m.Deadline().Sub(m.Start()), stages[state.Stage()]
	tooEarly := now.Before(m.Start().Add(fractionOf(span, plan.earliest))) || now.Sub(state.Since()) < fractionOf(span, minStageFraction)
	candidate := o.Stage.Total(m.To())
	latestReached := !now.Before(m.Start().Add(fractionOf(span, plan.latest)))
	mayAdvanceOnTime := latestReached && candidate.Failures() == 0 && o.Ready
	if tooEarly || !mayAdvanceOnTime && o.stageVerdict(m) != evidence.Good {
		return state, false
	}
	why := fmt.Sprintf("%d runs of %s, %d failed", candidate.Runs(), m.To(), candidate.Failures())
	next := state.Stage() + 1
	if next == len(stages) {
		return document.NewMoveState(state.Stage(), 1, document.Completed, now, "completed: "+why), true
	}
	return document.NewMoveState(next, stages[next].share, document.Moving, now, why), true
}

// stageVerdict compares the new version's runs of this stage with the old version's
// runs of the whole move, because in the last stage the old version has no runs.
func (o Observed) stageVerdict(m rules.Move) evidence.Verdict {
	return Test().Judge(o.All.With(m.From(), o.Stage, m.To()), m.From(), m.To()).Verdict()
}

// Stopped returns the state of a move that the circuit breaker of a single entry stopped. Any
// entry may record it, not only the one that decides on moves: otherwise that one
// would see no more failures and take the version for healthy.
func Stopped(now time.Time, m rules.Move, state document.MoveState, who string) document.MoveState {
	why := fmt.Sprintf("%s fails: %s stopped sending to it on what its own callers saw", m.To(), who)
	return document.NewMoveState(state.Stage(), 0, document.RolledBack, now, why)
}

// stepLate applies the if-late rule to a move that did not meet its deadline.
func stepLate(now time.Time, m rules.Move, state document.MoveState, o Observed) (document.MoveState, bool) {
	if m.IfLate() == rules.Hold {
		return advanceLate(now, m, state, o)
	}
	total := o.All.Total(m.To())
	why := fmt.Sprintf("not enough evidence by the deadline: %d runs of %s, %d failed", total.Runs(), m.To(), total.Failures())
	return document.NewMoveState(state.Stage(), 0, document.RolledBack, now, why), true
}

// advanceLate advances a held move, but only on good evidence.
func advanceLate(now time.Time, m rules.Move, state document.MoveState, o Observed) (document.MoveState, bool) {
	if o.stageVerdict(m) != evidence.Good {
		return state, false
	}
	return advance(now, m, state, o)
}

// CanMeetDeadline reports whether a move can still meet its deadline if every remaining
// stage has the minimum duration, so that one that cannot is reported early.
func CanMeetDeadline(now time.Time, m rules.Move, state document.MoveState) bool {
	remaining := len(stages) - state.Stage()
	required := time.Duration(remaining) * fractionOf(m.Deadline().Sub(m.Start()), minStageFraction)
	return !now.Add(required).After(m.Deadline())
}

// InShare reports whether a request belongs to the share of the new version. It
// depends only on the move, the request's id and the share, so that all entries
// agree without a shared counter.
func InShare(m rules.Move, requestID string, share float64) bool {
	const steps = 1 << 20
	hash := xxhash.Sum64String(m.Name() + "\x00" + requestID)
	return float64(hash%steps) < share*steps
}

func fractionOf(span time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(span))
}
