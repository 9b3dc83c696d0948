package board

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Memory is what a scheduler learned and another needs seconds to learn anew.
type Memory struct {
	Speeds   []Speed
	Services []ServiceMemory
}

// ServiceMemory is what was learned of all engines of a service.
type ServiceMemory struct {
	Name string
	// Overrun is by how much streams may outrun their plan, 0 if none ended yet.
	Overrun float64
	// Reading is by how much engines read slower than they decode, and Fixed the
	// time to a first event that is no engine's work.
	Reading float64
	Fixed   time.Duration
}

// Memory returns what this board learned, in the order of ids and names.
func (b *Board) Memory() Memory {
	m := Memory{Speeds: b.Speeds()}
	for name, f := range b.families {
		s := ServiceMemory{Name: name, Reading: f.reading, Fixed: f.fixed}
		if f.overrun.known {
			s.Overrun = f.overrun.ratio()
		}
		m.Services = append(m.Services, s)
	}
	slices.SortFunc(m.Services, func(x, y ServiceMemory) int { return cmp.Compare(x.Name, y.Name) })
	return m
}

// Take believes what the scheduler tells, while this board does not schedule.
// Without it the next scheduler plans streams that must end in time with the
// room of one that has seen none end, and with speeds of when it scheduled last.
func (b *Board) Take(m Memory) {
	for _, s := range m.Speeds {
		b.recalled[s.ID] = s
		if e := b.engines[s.ID]; e != nil {
			e.believe(s)
		}
	}
	for _, s := range m.Services {
		f := b.family(s.Name)
		f.reading = min(max(s.Reading, readingLeast), readingMost)
		f.fixed = min(max(s.Fixed, 0), fixedMost)
		f.seen = max(f.seen, takenAs)
		if s.Overrun >= overrunLeast {
			f.overrun = overrun{log: math.Log(min(s.Overrun, overrunMost)), known: true}
		}
	}
}

// takenAs is the number of first events for which those count that another
// scheduler saw.
const takenAs = 100
