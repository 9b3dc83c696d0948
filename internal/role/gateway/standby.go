package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// standbyEvery is how often the scheduler tells the next ones what it
	// learned; estimates move by little in a second.
	standbyEvery = time.Second
	// standbys is how many are told: the next one may go together with the
	// scheduler.
	standbys = 2
	// standbyEngines bounds the engines in one message, at some 30 bytes each:
	// 2 KB a second in all. Of larger fleets each message holds another part.
	standbyEngines = 32
)

// standby keeps those that would schedule next informed.
type standby struct {
	*Gateway
	// turn is the engine that the next message begins with.
	turn int
}

// run tells what was learned while this gateway schedules.
func (s *standby) run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := s.now()
		if s.peers.scheduler(now) == s.settings.Name {
			s.tell(now)
		}
		wait.For(ctx, standbyEvery)
	}
	return nil
}

func (s *standby) tell(now time.Time) {
	next := s.peers.successors(now)
	if len(next) == 0 {
		return
	}
	message := memoryMessage(s.part(s.granter.Memory()))
	for _, node := range next {
		s.mesh.Send(node, message)
	}
}

// part leaves of the engines those whose turn it is.
func (s *standby) part(m board.Memory) board.Memory {
	if len(m.Speeds) <= standbyEngines {
		return m
	}
	from := s.turn % len(m.Speeds)
	to := min(from+standbyEngines, len(m.Speeds))
	s.turn = to
	m.Speeds = m.Speeds[from:to]
	return m
}

// successors returns the gateways that would schedule next, the first of them
// first.
func (p *peers) successors(now time.Time) []string {
	next := p.candidates(now)
	slices.SortFunc(next, candidate.compare)
	nodes := make([]string, 0, standbys)
	for _, c := range next[:min(standbys, len(next))] {
		nodes = append(nodes, c.node)
	}
	return nodes
}

func memoryMessage(m board.Memory) *wire.Envelope {
	message := &wire.SchedulerMemory{}
	for _, s := range m.Speeds {
		message.Speeds = append(message.Speeds, &wire.EngineSpeed{Id: s.ID, Born: s.Born, Slowness: float32(s.Slowness)})
	}
	for _, s := range m.Services {
		message.Services = append(message.Services, &wire.ServiceMemory{
			Name: s.Name, Overrun: float32(s.Overrun), Reading: float32(s.Reading), FixedUs: uint32(s.Fixed.Microseconds()),
		})
	}
	return &wire.Envelope{Body: &wire.Envelope_SchedulerMemory{SchedulerMemory: message}}
}

// takeMemory believes a peer that schedules. What one says that no longer does,
// or not yet, is older than what is known here.
func (p *peers) takeMemory(now time.Time, peer string, message *wire.SchedulerMemory) {
	if p.scheduler(now) != peer {
		return
	}
	var m board.Memory
	for _, s := range message.Speeds {
		m.Speeds = append(m.Speeds, board.Speed{ID: s.Id, Born: s.Born, Slowness: float64(s.Slowness)})
	}
	for _, s := range message.Services {
		m.Services = append(m.Services, board.ServiceMemory{
			Name: s.Name, Overrun: float64(s.Overrun), Reading: float64(s.Reading), Fixed: time.Duration(s.FixedUs) * time.Microsecond,
		})
	}
	p.granter.Take(m)
}
