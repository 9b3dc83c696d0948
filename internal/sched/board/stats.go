package board

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Stats is the board at one moment, for logs.
type Stats struct {
	Waiting, Late int
	Running       int
	Slots         int
	// Full and Idle count the engines without a free slot and without a request.
	Full, Idle int
	// Engines tells of those engines that get nothing, or that others use, their
	// running requests and slots, slowness and the reason, of statsMost at most;
	// Unusual counts them.
	Engines string
	Unusual int
	// Services tells of each service by how much its engines read slower than
	// they decode, and its time to a first event that is no engine's work.
	Services string
}

// statsMost bounds the engines that Stats describes, so that what is written does
// not grow with the fleet.
const statsMost = 8

// Stats returns the board at the moment.
func (b *Board) Stats(now time.Time) Stats {
	s := Stats{Waiting: len(b.waiting), Late: len(b.late)}
	var engines []string
	for _, e := range b.engines {
		running := e.running(now)
		s.Running += running
		s.Slots += e.Slots
		if running >= e.Slots {
			s.Full++
		}
		if running == 0 {
			s.Idle++
		}
		if e.unusual(now) {
			engines = append(engines, e.describe(now))
		}
	}
	slices.Sort(engines)
	s.Unusual = len(engines)
	s.Engines = strings.Join(engines[:min(statsMost, len(engines))], " ")
	var services []string
	for name, f := range b.families {
		services = append(services, fmt.Sprintf("%s:%.2f+%dms", name, f.reading, f.fixed.Milliseconds()))
	}
	slices.Sort(services)
	s.Services = strings.Join(services, " ")
	return s
}

// unusual tells whether the engine gets less than its slots hold.
func (e *engine) unusual(now time.Time) bool {
	return now.Before(e.avoid) || e.stalled(now) || e.failShare.At(now) > failMargin || e.others(now) >= 1
}

func (e *engine) describe(now time.Time) string {
	text := fmt.Sprintf("%s:%d/%d*%.2f", e.ID, len(e.runs), e.Slots, e.slowness.factor)
	if others := e.others(now); others >= 1 {
		text += fmt.Sprintf("+%.0f", others)
	}
	if wait := e.wait(now); wait > time.Millisecond {
		text += fmt.Sprintf("r%d", wait.Milliseconds())
	}
	if now.Before(e.avoid) {
		text += "!unreached"
	}
	if e.stalled(now) {
		text += "!stalled"
	}
	if failing := e.failShare.At(now); failing > failMargin {
		text += fmt.Sprintf("!failing%.2f", failing)
	}
	return text
}
