package board

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// minPace and maxPace bound the paces that engines state. Others are errors, and treated as
// if the engine had stated none.
const (
	minPace = 0.1
	maxPace = 100
)

const (
	// paceTolerance is the difference from the usual pace from which an engine's pace is
	// shown in logs.
	paceTolerance = 0.05
	// slowPace is the pace above which an engine counts as slowed in the metrics.
	slowPace = 1.5
)

// RecordPace records the pace that the engine of a run stated an age ago: by what factor
// its work takes longer than usual. It is to be called before Started, which grants slots
// by the pace. The pace is not part of LearnedState, because it changes several times in a
// second.
func (s *Scheduler) RecordPace(now time.Time, owner, id string, pace float64, age time.Duration) {
	if !(pace >= minPace && pace <= maxPace) {
		return
	}
	if e := s.byRun[runKey(owner, id)]; e != nil {
		e.pace.Stated(now.Add(-max(0, age)), pace)
		e.updatePrefillPace(now)
	}
}

// SlowEngines returns the number of listed engines whose pace is above slowPace.
func (s *Scheduler) SlowEngines(now time.Time) int {
	count := 0
	for _, e := range s.engines {
		if e.pace.At(now) > slowPace {
			count++
		}
	}
	return count
}

// slownessAt returns the slowness of the engine at the pace expected now. First events are
// planned with it. Gaps between events are planned with meanSlowness if that is larger: a
// stream outlasts the pace at which it was placed.
func (e *engine) slownessAt(now time.Time) float64 { return e.slowness.factor * e.pace.At(now) }

// meanSlowness returns the slowness of the engine at its mean pace. The ends of streams are
// planned with it, because most streams last longer than a pace.
func (e *engine) meanSlowness() float64 { return e.slowness.factor * e.pace.Mean() }

// meanPaceSince returns the mean pace from the first event of a run until now.
func (e *engine) meanPaceSince(now time.Time, r *run) float64 {
	elapsed := now.Sub(r.startedAt).Seconds()
	if elapsed <= 0 {
		return 1
	}
	// A statement that arrived late changes the integral before the first event, too.
	return min(max(1+(e.pace.Excess(now)-r.excessAtStart)/elapsed, minPace), maxPace)
}

// updatePrefillPace adjusts the planned end of the pending prefill to the pace expected now.
func (e *engine) updatePrefillPace(now time.Time) {
	pace := e.pace.At(now)
	if pace == e.prefillPace {
		return
	}
	if wait := e.prefillWait(now); wait > 0 {
		e.prefillUntil = now.Add(time.Duration(float64(wait) * pace / e.prefillPace))
	}
	e.prefillPace = pace
}

// describePaces lists the paces of the engines whose pace differs from the usual one, and
// returns how many they are.
func (s *Scheduler) describePaces(now time.Time) (text string, count int) {
	var paced []*engine
	for _, e := range s.engines {
		if math.Abs(e.pace.At(now)-1) >= paceTolerance {
			paced = append(paced, e)
		}
	}
	slices.SortFunc(paced, func(x, y *engine) int {
		return cmp.Or(cmp.Compare(y.pace.At(now), x.pace.At(now)), cmp.Compare(x.ID, y.ID))
	})
	texts := make([]string, 0, maxDescribedEngines)
	for _, e := range paced[:min(maxDescribedEngines, len(paced))] {
		texts = append(texts, fmt.Sprintf("%s:%.2f", e.ID, e.pace.At(now)))
	}
	return strings.Join(texts, " "), len(paced)
}
