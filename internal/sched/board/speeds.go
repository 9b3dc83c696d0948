package board

import (
	"cmp"
	"slices"
)

// Speed is the learned speed of one engine. An engine that restarted has a different
// StartedAtMs and may run on other hardware.
type Speed struct {
	ID          string
	StartedAtMs int64
	Slowness    float64
}

// valid reports whether the slowness is within the allowed bounds.
func (s Speed) valid() bool { return s.Slowness >= minSlowness && s.Slowness <= maxSlowness }

// Speeds returns the learned engine speeds, sorted by ID.
func (s *Scheduler) Speeds() []Speed {
	var speeds []Speed
	for _, e := range s.engines {
		if e.slowness.known() {
			speeds = append(speeds, Speed{ID: e.ID, StartedAtMs: e.StartedAtMs, Slowness: e.slowness.factor})
		}
	}
	slices.SortFunc(speeds, func(x, y Speed) int { return cmp.Compare(x.ID, y.ID) })
	return speeds
}

// RestoreSpeeds applies engine speeds learned by another scheduler. Without them, a new
// scheduler takes all engines for ordinary ones, and assigns streams to engines a third as
// fast that cannot end them before the caller's deadline. Speeds that this scheduler has
// learned itself take precedence.
func (s *Scheduler) RestoreSpeeds(speeds []Speed) {
	s.restoredSpeeds = make(map[string]Speed, len(speeds))
	for _, speed := range speeds {
		s.restoredSpeeds[speed.ID] = speed
	}
	for _, e := range s.engines {
		s.applyRestoredSpeed(e)
	}
}

// applyRestoredSpeed sets the restored speed of an engine whose speed is unknown.
func (s *Scheduler) applyRestoredSpeed(e *engine) {
	if speed, ok := s.restoredSpeeds[e.ID]; ok && !e.slowness.known() {
		e.restoreSpeed(speed)
	}
}

// restoreSpeed sets the speed if it is valid and belongs to this start of the engine.
func (e *engine) restoreSpeed(s Speed) {
	if s.StartedAtMs == e.StartedAtMs && s.valid() {
		e.slowness = estimate{factor: s.Slowness, evidence: maxEvidence}
	}
}
