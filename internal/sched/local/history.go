package local

import "time"

const (
	// historySize and historyStep give a history that reaches back at least loadMaxAge:
	// changes within a step count as one.
	historySize = 64
	historyStep = 5 * time.Millisecond
)

// history holds the past values of the number of this process's requests at an upstream. A
// sample that another gateway received counts these requests, too, so the number at that
// time is needed to tell the requests of others.
type history struct {
	points [historySize]point
	count  int
}

type point struct {
	at      time.Time
	running int
}

// record adds a value.
func (h *history) record(now time.Time, running int) {
	if h.count > 0 {
		if last := &h.points[(h.count-1)%historySize]; now.Sub(last.at) < historyStep {
			last.running = running
			return
		}
	}
	h.points[h.count%historySize] = point{now, running}
	h.count++
}

// at returns the value at a time, or the oldest one that is known.
func (h *history) at(t time.Time) int {
	running := 0
	for i := h.count - 1; i >= max(0, h.count-historySize); i-- {
		p := h.points[i%historySize]
		running = p.running
		if !p.at.After(t) {
			break
		}
	}
	return running
}
