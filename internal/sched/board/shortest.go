package board

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

// MinStreamTime returns how long the idle engine takes from the send of a prompt to the
// last of its output tokens, by the speed that was learned here or by another scheduler.
// As in endsInTime, the first event is at the pace expected now and the rest at the mean
// pace. An engine that is not listed, or whose speed is not known, counts as the fastest.
func (s *Scheduler) MinStreamTime(now time.Time, upstream string, promptTokens, outputTokens int) time.Duration {
	e := s.engines[upstream]
	if e == nil || !e.slowness.known() {
		return profile.MinStreamTime(minSlowness, promptTokens, outputTokens)
	}
	return e.idleFirstEvent(now, promptTokens) + fromMs(profile.DecodeMs(outputTokens, 1)*e.meanSlowness())
}
