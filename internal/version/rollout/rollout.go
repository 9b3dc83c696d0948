// Package rollout moves a service's traffic to another version on the operators'
// order, a small share at a time, and reverts the move if the version is bad. One
// gateway decides, and all follow the state that it writes.
package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// Order is an operators' request to move a service's traffic.
type Order struct {
	Service  string
	Target   string
	Duration time.Duration
	// Revision is the order's revision in the store; a later order replaces it.
	Revision kv.Revision
}

// Phase is the phase of a move.
type Phase string

// Phases of a move.
const (
	Running  Phase = "running"
	Complete Phase = "complete"
	Reverted Phase = "reverted"
)

// State is the stored state of a move.
type State struct {
	// Order is the number of the order's revision, and Era its era, 0 in states of earlier builds.
	Order int64 `json:"order"`
	Era   int64 `json:"era,omitempty"`
	// Target is the version to which the traffic moves.
	Target string `json:"target"`
	Phase  Phase  `json:"phase"`
	// Share is the fraction of the service's requests that the target gets.
	Share float64 `json:"share"`
	// BeganMs is the start of the move in Unix milliseconds. It is stored for a
	// gateway that takes over as scheduler.
	BeganMs int64  `json:"began-ms"`
	Why     string `json:"why"`
}

// stage is a share and its end, as a fraction of the move's duration.
type stage struct{ until, share float64 }

// stages keep the target's part of all requests before the deadline below a tenth,
// however late it turns out bad: 0.2x0.03 + 0.5x0.06 + 0.15x0.15 is 0.059. The last
// stage shows faults that appear only under load.
var stages = []stage{{0.2, 0.03}, {0.7, 0.06}, {0.85, 0.15}}

const (
	// completeFraction is the fraction of the duration after which a version without
	// evidence against it gets all requests. The old upstreams then stop at once.
	completeFraction = 0.85
	// giveUpFraction is the fraction of the duration after which a move is reverted if
	// the target has no upstream, or the evidence still speaks against it.
	giveUpFraction = 0.95
	// enoughRuns is how many runs of the target must have been observed if the evidence of the
	// last share was lost. A version that fails a tenth of its requests shows in one of them
	// with a probability of 0.95.
	enoughRuns = 30
	// doubtLogRatio is the log-likelihood ratio, 20 to 1, from which a target is not taken for
	// sound yet.
	doubtLogRatio = 3.0
	// falseAlarmRate and missRate are the error rates of the test of failures over all runs of
	// the move.
	falseAlarmRate = 0.0005
	missRate       = 0.01
)

// Observed holds the observations on which a step is decided.
type Observed struct {
	// Judgement is the evidence on the target.
	Judgement Judgement
	// Ready reports whether any upstream of the target can be chosen.
	Ready bool
	// Since is from when on any process has counted its runs. What others counted before is
	// gone with them.
	Since time.Time
	// Partial reports that the gateway decides only since so short a time that others may not
	// have reported to it yet.
	Partial bool
}

// suffices reports whether the target was observed for long enough not to be taken for sound on
// nothing: for the whole of the last share, or in a number of runs.
func (o Observed) suffices(order Order, s State) bool {
	lastShare := time.UnixMilli(s.BeganMs).Add(time.Duration(stages[len(stages)-2].until * float64(order.Duration)))
	return !o.Since.After(lastShare) || o.Judgement.Runs >= enoughRuns
}

// Begin returns the state at the start of a move.
func Begin(now time.Time, o Order) State {
	s := o.awaited()
	s.Share, s.BeganMs, s.Why = stages[0].share, now.UnixMilli(), "ordered"
	return s
}

// Step returns the next state of a move and whether it differs from s.
func Step(now time.Time, o Order, s State, observed Observed) (State, bool) {
	if s.Phase != Running {
		return s, false
	}
	if observed.Judgement.IsBad() {
		return s.end(Reverted, 0, observed.Judgement.why()), true
	}
	elapsed := float64(now.UnixMilli()-s.BeganMs) / float64(max(1, o.Duration.Milliseconds()))
	if elapsed >= completeFraction && observed.Partial {
		return s, false
	}
	if elapsed >= completeFraction && observed.Ready && !observed.Judgement.Doubt && observed.suffices(o, s) {
		return s.end(Complete, 1, "nothing speaks against the version"), true
	}
	if elapsed >= giveUpFraction && !observed.Ready {
		return s.end(Reverted, 0, "no upstream of the version is there"), true
	}
	if elapsed >= giveUpFraction && !observed.Judgement.Doubt {
		return s.end(Reverted, 0, "what was known of the version is lost, and too few requests show that it is sound"), true
	}
	if elapsed >= giveUpFraction {
		return s.end(Reverted, 0, "the requests so far speak against the version"), true
	}
	for _, stage := range stages {
		if elapsed < stage.until && s.Share != stage.share {
			s.Share, s.Why = stage.share, "next share"
			return s, true
		}
		if elapsed < stage.until {
			return s, false
		}
	}
	return s, false
}

func (s State) end(phase Phase, share float64, why string) State {
	s.Phase, s.Share, s.Why = phase, share, why
	return s
}

// InTargetShare reports whether a request belongs to the target's share. It depends on the
// request's id, so that all gateways and retries agree.
func (s State) InTargetShare(service, request string) bool {
	position := float64(xxhash.Sum64String(service+"\n"+s.Target+"\n"+request)>>11) / (1 << 53)
	return position < s.Share
}
