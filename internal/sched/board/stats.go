package board

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Stats is a summary of the scheduler for logs.
type Stats struct {
	Waiting, Late int
	Running       int
	Slots         int
	// Full and Idle count the engines without a free slot and without requests.
	Full, Idle int
	// Engines describes up to maxDescribedEngines of the engines that are skipped or that
	// others use too: their runs and slots, slowness and the reason. Unusual counts all of
	// them.
	Engines string
	Unusual int
	// Paces lists the paces of up to maxDescribedEngines of the engines whose pace differs
	// from the usual one, the slowest first. Paced counts all of them.
	Paces string
	Paced int
	// Services lists for each service by what factor prefill is slower than the decoding
	// speed suggests, and the part of the first-event latency that does not depend on the
	// engine.
	Services string
	// Workspaces lists up to MaxNamedWorkspaces workspaces of the requests that wait in time,
	// those with most first: how many wait, and how many slots the workspace holds in the
	// same services and tiers. The others are listed as one.
	Workspaces string
}

// maxDescribedEngines keeps the log record from growing with the fleet.
const maxDescribedEngines = 8

// Stats returns a summary at the given time.
func (s *Scheduler) Stats(now time.Time) Stats {
	stats := Stats{Waiting: len(s.waiting), Late: len(s.late), Workspaces: s.describeWaiting()}
	var engines []string
	for _, e := range s.engines {
		running := e.running(now)
		stats.Running += running
		stats.Slots += e.Slots
		if running >= e.Slots {
			stats.Full++
		}
		if running == 0 {
			stats.Idle++
		}
		warming := s.mayBeWarmingUp(now, e)
		if !e.unusual(now) && !warming {
			continue
		}
		text := e.describe(now)
		if warming {
			text += "!warming"
		}
		engines = append(engines, text)
	}
	slices.Sort(engines)
	stats.Paces, stats.Paced = s.describePaces(now)
	stats.Unusual = len(engines)
	stats.Engines = strings.Join(engines[:min(maxDescribedEngines, len(engines))], " ")
	var services []string
	for name, timing := range s.timings {
		services = append(services, fmt.Sprintf("%s:%.2f+%dms", name, timing.prefillFactor, timing.fixedLatency.Milliseconds()))
	}
	slices.Sort(services)
	stats.Services = strings.Join(services, " ")
	return stats
}

// unusual reports whether the engine is skipped or also used by others.
func (e *engine) unusual(now time.Time) bool {
	return now.Before(e.backoffUntil) || e.stalled(now) || e.failureRate.At(now) > failureMargin || e.externalLoad(now) >= 1
}

func (e *engine) describe(now time.Time) string {
	text := fmt.Sprintf("%s:%d/%d*%.2f", e.ID, len(e.runs), e.Slots, e.slowness.factor)
	if external := e.externalLoad(now); external >= 1 {
		text += fmt.Sprintf("+%.0f", external)
	}
	if wait := e.prefillWait(now); wait > time.Millisecond {
		text += fmt.Sprintf("r%d", wait.Milliseconds())
	}
	if now.Before(e.backoffUntil) {
		text += "!unreached"
	}
	if e.stalled(now) {
		text += "!stalled"
	}
	if rate := e.failureRate.At(now); rate > failureMargin {
		text += fmt.Sprintf("!failing%.2f", rate)
	}
	return text
}
