// Package rollout moves a service's traffic to another version when operators
// order it, a small share at a time, and takes it back when the version is bad.
// The gateway that schedules decides; all gateways follow what it wrote.
package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
)

// Order is the operators' wish.
type Order struct {
	Service  string
	Target   string
	Duration time.Duration
	// Revision is the order's in the store; a later order replaces it.
	Revision int64
}

// Phase is where a move stands.
type Phase string

// The phases.
const (
	Running  Phase = "running"
	Complete Phase = "complete"
	Reverted Phase = "reverted"
)

// State is what is kept of a move.
type State struct {
	Order int64 `json:"order"`
	// Target is the version that the move is to.
	Target string `json:"target"`
	Phase  Phase  `json:"phase"`
	// Share is the part of the service's requests that the target gets.
	Share float64 `json:"share"`
	// BeganMs is when the move began, in Unix milliseconds, for a gateway that
	// takes the duty over.
	BeganMs int64  `json:"began-ms"`
	Why     string `json:"why"`
}

// stage is a share and the part of the move's time up to which it lasts.
type stage struct{ until, share float64 }

// stages keep what a version gets in all under a tenth of the requests up to
// the deadline, however late it turns out bad: 0.2x0.03 + 0.5x0.06 + 0.15x0.15
// is 0.059. The last stage shows faults that appear only under load.
var stages = []stage{{0.2, 0.03}, {0.7, 0.06}, {0.85, 0.15}}

const (
	// completeAt is the part of the time after which a version that nothing
	// speaks against takes over: its old upstreams stop then at once.
	completeAt = 0.85
	// giveUpAt is the part after which a move without any upstream of its
	// target is taken back.
	giveUpAt = 0.95
	// falseAlarm and missed are the error rates of the test over all runs.
	falseAlarm = 0.0005
	missed     = 0.01
)

// Observed is what the holder of the duty knows of a move.
type Observed struct {
	// Fault is what speaks against the target, or the zero Finding.
	Fault evidence.Finding
	// Ready tells whether upstreams of the target can be chosen.
	Ready bool
}

// Begin returns the state at the start of a move.
func Begin(now time.Time, o Order) State {
	return State{Order: o.Revision, Target: o.Target, Phase: Running, Share: stages[0].share, BeganMs: now.UnixMilli(), Why: "ordered"}
}

// Step decides what comes next for a running move and whether anything changes.
func Step(now time.Time, o Order, s State, seen Observed) (State, bool) {
	if s.Phase != Running {
		return s, false
	}
	if bad(seen.Fault) {
		return s.end(Reverted, 0, "the version is bad on route "+seen.Fault.Route()), true
	}
	part := float64(now.UnixMilli()-s.BeganMs) / float64(max(1, o.Duration.Milliseconds()))
	if part >= completeAt && seen.Ready {
		return s.end(Complete, 1, "nothing speaks against the version"), true
	}
	if part >= giveUpAt {
		return s.end(Reverted, 0, "no upstream of the version is there"), true
	}
	for _, stage := range stages {
		if part < stage.until && s.Share != stage.share {
			s.Share, s.Why = stage.share, "next share"
			return s, true
		}
		if part < stage.until {
			return s, false
		}
	}
	return s, false
}

func (s State) end(phase Phase, share float64, why string) State {
	s.Phase, s.Share, s.Why = phase, share, why
	return s
}

func bad(f evidence.Finding) bool {
	return f.Verdict() == evidence.BadFailures || f.Verdict() == evidence.BadLatency
}

// Chosen tells whether a request belongs to the target's share. The id decides,
// so that all gateways and repeats agree.
func (s State) Chosen(service, request string) bool {
	at := float64(xxhash.Sum64String(service+"\n"+s.Target+"\n"+request)>>11) / (1 << 53)
	return at < s.Share
}
