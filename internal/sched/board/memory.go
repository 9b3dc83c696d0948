package board

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// LearnedState is what a scheduler has learned and another scheduler would need seconds
// to learn again.
type LearnedState struct {
	Speeds   []Speed
	Services []LearnedService
}

// LearnedService is what was learned about all engines of a service.
type LearnedService struct {
	Name string
	// Overrun is by what factor streams may overrun their planned time, 0 if none has
	// ended yet.
	Overrun float64
	// Factor by which prefill is slower than the decoding speed suggests, and the part of
	// the first-event latency that does not depend on the engine.
	PrefillFactor float64
	FixedLatency  time.Duration
}

// LearnedState returns what was learned, sorted by ID and name.
func (s *Scheduler) LearnedState() LearnedState {
	m := LearnedState{Speeds: s.Speeds()}
	for name, timing := range s.timings {
		service := LearnedService{Name: name, PrefillFactor: timing.prefillFactor, FixedLatency: timing.fixedLatency}
		if timing.overrun.known {
			service.Overrun = timing.overrun.ratio()
		}
		m.Services = append(m.Services, service)
	}
	slices.SortFunc(m.Services, func(x, y LearnedService) int { return cmp.Compare(x.Name, y.Name) })
	return m
}

// ApplyLearned applies what the active scheduler has learned, while this one is on standby.
// Without it, after a takeover it would plan streams that must end in time with the
// default overrun and with the speeds of the last time it was active.
func (s *Scheduler) ApplyLearned(m LearnedState) {
	for _, speed := range m.Speeds {
		s.restoredSpeeds[speed.ID] = speed
		if e := s.engines[speed.ID]; e != nil {
			e.restoreSpeed(speed)
		}
	}
	for _, service := range m.Services {
		timing := s.timing(service.Name)
		timing.prefillFactor = min(max(service.PrefillFactor, minPrefillFactor), maxPrefillFactor)
		timing.fixedLatency = min(max(service.FixedLatency, 0), maxFixedLatency)
		timing.samples = max(timing.samples, restoredSamples)
		if service.Overrun >= minOverrun {
			timing.overrun = overrun{logRatio: math.Log(min(service.Overrun, maxOverrun)), known: true}
		}
	}
}

// restoredSamples is the number of first events that restored values count as.
const restoredSamples = 100
