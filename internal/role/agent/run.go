package agent

import (
	"context"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/upstream/admission"
	"github.com/persimmonridge/persimmonridge/internal/upstream/answer"
)

const (
	// maxUnackedBytes is the number of unacknowledged response bytes at which
	// reading from the upstream pauses.
	maxUnackedBytes = 64 << 10
	// keyedReplayBytes is how much of a keyed action's response stays readable
	// after it was acknowledged.
	keyedReplayBytes = 64 << 10
	// runRetention and keyedRunRetention are how long an ended run is retained,
	// for an entry that resumes and for a caller that sends it again.
	runRetention      = 30 * time.Second
	keyedRunRetention = 10 * time.Minute
	// keyedDispatchRetention is how long the dispatch of a keyed action is
	// recorded. It is longer than the retention of claims: as long as anyone may
	// ask for the action, an unknown run must prove that this process did not run
	// it.
	keyedDispatchRetention = 25 * time.Hour
	// withdrawnRetention is how long a request that was unknown when it was
	// asked for is declined. It is longer than StartHorizon, after which every
	// offer has expired.
	withdrawnRetention = 10 * time.Minute
	// StartHorizon is the maximum time after which an offer may still start.
	StartHorizon = 5 * time.Minute
	// stallTimeout is how long a model may produce no token.
	stallTimeout = 30 * time.Second
	// detachTimeout is how long a run may have no reader before it is considered
	// abandoned; a live entry resumes sooner.
	detachTimeout = 6 * time.Second
)

// run is the state of one offered request, from its offer until it is removed.
// Its mutable fields are guarded by the agent's lock.
type run struct {
	offer  *wire.Offer
	ticket *admission.Ticket
	buffer *answer.Buffer
	ctx    context.Context
	cancel context.CancelFunc

	// decided is closed when the run starts or is declined.
	decided chan struct{}
	started bool
	// notRun is the reason why the request was provably not run.
	notRun         wire.Decline_Reason
	preempted      bool
	connectionLost bool
	stallDetected  bool
	crash          *wire.Crash

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

// evidenceRoute returns the key of the run's evidence.
func (r *run) evidenceRoute() string { return r.offer.GetWorkspace() + "/" + r.offer.GetAction() }

func (r *run) live() bool { return r.started && r.endedAt.IsZero() }

// expired reports whether the run has no reader and its retention is over.
func (r *run) expired(now time.Time) bool {
	if r.endedAt.IsZero() || r.readers > 0 {
		return false
	}
	retention := runRetention
	if r.offer.GetKeyed() {
		retention = keyedRunRetention
	}
	return now.Sub(r.endedAt) > retention
}

// stalled reports whether a model's run made no progress for stallTimeout, after
// which its connection to the engine is considered dead.
func (r *run) stalled(now time.Time) bool {
	progress := r.startedAt
	if r.lastToken.After(progress) {
		progress = r.lastToken
	}
	return r.live() && now.Sub(progress) > stallTimeout
}

// abandoned reports whether no entry has resumed the run for detachTimeout.
func (r *run) abandoned(now time.Time) bool {
	return r.endedAt.IsZero() && r.readers == 0 && !r.detachedAt.IsZero() && now.Sub(r.detachedAt) > detachTimeout
}
