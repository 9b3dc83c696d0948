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
	// Engines tells of each engine its running requests and slots, its
	// slowness, and why it gets nothing if it does not.
	Engines string
	// Services tells of each service by how much its engines read slower than
	// they decode, and its time to a first event that is no engine's work.
	Services string
}

// Stats returns the board at the moment.
func (b *Board) Stats(now time.Time) Stats {
	s := Stats{Waiting: len(b.waiting), Late: len(b.late)}
	var engines []string
	for _, e := range b.engines {
		s.Running += e.running(now)
		s.Slots += e.Slots
		engines = append(engines, e.describe(now))
	}
	slices.Sort(engines)
	s.Engines = strings.Join(engines, " ")
	var services []string
	for name, f := range b.families {
		services = append(services, fmt.Sprintf("%s:%.2f+%dms", name, f.reading, f.fixed.Milliseconds()))
	}
	slices.Sort(services)
	s.Services = strings.Join(services, " ")
	return s
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
