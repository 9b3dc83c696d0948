package flow

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// takeAllFor is how long after the wish to stop the balancer may still send
	// new callers here. What comes later is refused if it may outlast the
	// process: its caller would have half an answer.
	takeAllFor = 2 * time.Second
	// lateRoom is how many times the guess of its length a stream that comes later
	// is planned with if no other process takes it. The room that a scheduler leaves
	// for those that outrun their guess is learned from short streams too, and too
	// small for long ones.
	lateRoom = 2
	// leavingRetry is told to those, and to callers of streams that no engine
	// would end before the process does; another process takes them at once.
	leavingRetry = 10 * time.Millisecond
)

// Ending tells how a stream's end and that of the process go together.
type Ending int

// The endings.
const (
	// EndOpen streams do not meet the end of the process.
	EndOpen Ending = iota
	// EndLikely streams should be over before it, EndSure ones must be.
	EndLikely
	EndSure
)

// stopping is when a process was told to stop and when it ends; both are zero
// in one that was not.
type stopping struct{ since, end time.Time }

// fits tells whether a process that stops may take the request. A generation of
// known length is taken here: whether an engine ends it in time is for whoever
// knows the engines. To measure it by its route's time instead would refuse
// nearly every stream beside free engines, since that is some ten times as long.
func (u *run) fits() bool {
	if !u.stop.underWay() || u.measured() {
		return true
	}
	return u.stop.early(u.arrived) || !u.until.After(u.stop.end)
}

func (s stopping) underWay() bool { return !s.end.IsZero() }

// early tells whether the balancer may not have noticed the stop yet.
func (s stopping) early(arrived time.Time) bool { return arrived.Sub(s.since) <= takeAllFor }

// measured tells whether the length of the generation is known well enough to
// plan its end.
func (u *run) measured() bool {
	return u.route.Kind == catalog.Streaming && u.request.Counted && u.request.OutputTokens > 0
}

// planEnd makes the ask say that the process ends before the caller's time does.
func (u *run) planEnd(a *Ask) {
	if !u.stop.underWay() || !u.measured() || !u.stop.end.Before(a.Until) {
		return
	}
	a.Until = u.stop.end
	if u.stop.early(u.arrived) {
		a.Ending = EndLikely
		return
	}
	a.Ending = EndSure
	if u.Elsewhere != nil && u.Elsewhere() {
		// No guess of a length is a bound, however padded.
		a.Output = u.request.OutputTokens
		return
	}
	a.Output = min(u.request.OutputTokens, lateRoom*a.Output)
}
