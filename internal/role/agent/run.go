package agent

import (
	"context"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/upstream/admission"
	"github.com/persimmonridge/persimmonridge/internal/upstream/answer"
)

const (
	// answerBound is the unacknowledged bytes that hold an upstream back.
	answerBound = 64 << 10
	// answerKept is how much of a keyed action's answer stays readable.
	answerKept = 64 << 10
	// keptAfterEnd and keyedAfterEnd are how long an ended run is remembered,
	// for an entry that resumes and for a caller that sends again.
	keptAfterEnd  = 30 * time.Second
	keyedAfterEnd = 10 * time.Minute
	// keyedDispatched is how long a keyed dispatch itself is remembered. It is
	// longer than claims are kept: "unknown here" must prove, for as long as
	// anyone may ask, that the action was not run by this process.
	keyedDispatched = 25 * time.Hour
	// withdrawnFor is how long a request that was asked for but unknown stays
	// refused. It is longer than StartHorizon, past which any offer is void.
	withdrawnFor = 10 * time.Minute
	// StartHorizon is the furthest moment ahead at which an offer may still
	// start.
	StartHorizon = 5 * time.Minute
	// stalledAfter is how long a model may produce nothing.
	stalledAfter = 30 * time.Second
	// detachedFor is how long a run may have no reader before it is taken to
	// be abandoned; an entry that lives resumes sooner.
	detachedFor = 6 * time.Second
)

// run is one offered request from its offer to when it is forgotten. Its
// mutable fields are guarded by the agent's lock.
type run struct {
	offer  *wire.Offer
	ticket *admission.Ticket
	buffer *answer.Buffer
	ctx    context.Context
	cancel context.CancelFunc

	// decided is closed when the run starts or is declined.
	decided chan struct{}
	started bool
	// notRun is the proof that the request was not dispatched.
	notRun    wire.Decline_Reason
	preempted bool
	cut       bool
	stall     bool
	crash     *wire.Crash

	startedAt   time.Time
	firstToken  time.Time
	lastToken   time.Time
	tokens      int
	endedAt     time.Time
	readers     int
	detachedAt  time.Time
	reforecasts int
}

func (r *run) id() string { return r.offer.GetRequestId() }

// evidenceRoute is what the version's evidence is kept by.
func (r *run) evidenceRoute() string { return r.offer.GetWorkspace() + "/" + r.offer.GetAction() }

func (r *run) live() bool { return r.started && r.endedAt.IsZero() }

// forgettable tells whether nobody can ask for the run any more.
func (r *run) forgettable(now time.Time) bool {
	if r.endedAt.IsZero() || r.readers > 0 {
		return false
	}
	kept := keptAfterEnd
	if r.offer.GetKeyed() {
		kept = keyedAfterEnd
	}
	return now.Sub(r.endedAt) > kept
}

// stalled tells whether a model's run has made no progress for so long that
// its connection to the engine must be taken to be silent for good.
func (r *run) stalled(now time.Time) bool {
	progress := r.startedAt
	if r.lastToken.After(progress) {
		progress = r.lastToken
	}
	return r.live() && now.Sub(progress) > stalledAfter
}

// abandoned tells whether the run's entry has not come back for it.
func (r *run) abandoned(now time.Time) bool {
	return r.endedAt.IsZero() && r.readers == 0 && !r.detachedAt.IsZero() && now.Sub(r.detachedAt) > detachedFor
}
