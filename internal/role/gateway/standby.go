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
	// standbySyncInterval is how often the scheduler sends its learned estimates to its
	// standbys; estimates change little within a second.
	standbySyncInterval = time.Second
	// standbyCount is the number of standbys: the first may fail together with the
	// scheduler.
	standbyCount = 2
	// maxStandbyEngines bounds the engines in one message, at some 30 bytes each: about
	// 2 KB a second to all standbys. For a larger fleet, successive messages hold
	// successive batches.
	maxStandbyEngines = 32
)

// standbySync copies the scheduler's learned estimates to its standbys, the gateways
// that would be the next schedulers.
type standbySync struct {
	*Gateway
	// nextEngine is the index of the first engine in the next message.
	nextEngine int
}

// run sends the learned estimates while this gateway is the scheduler.
func (s *standbySync) run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := s.now()
		if s.peers.scheduler(now) == s.settings.Name {
			s.sendMemory(now)
		}
		wait.For(ctx, standbySyncInterval)
	}
	return nil
}

func (s *standbySync) sendMemory(now time.Time) {
	standbys := s.peers.successors(now)
	if len(standbys) == 0 {
		return
	}
	message := learnedStateMessage(s.nextBatch(s.granter.LearnedState()))
	for _, node := range standbys {
		s.mesh.Send(node, message)
	}
}

// nextBatch reduces the engine speeds to the batch for the next message.
func (s *standbySync) nextBatch(m board.LearnedState) board.LearnedState {
	if len(m.Speeds) <= maxStandbyEngines {
		return m
	}
	from := s.nextEngine % len(m.Speeds)
	to := min(from+maxStandbyEngines, len(m.Speeds))
	s.nextEngine = to
	m.Speeds = m.Speeds[from:to]
	return m
}

// successors returns the gateways that would be the next schedulers, in that order.
func (p *peers) successors(now time.Time) []string {
	sorted := p.candidates(now)
	slices.SortFunc(sorted, candidate.compare)
	nodes := make([]string, 0, standbyCount)
	for _, c := range sorted[:min(standbyCount, len(sorted))] {
		nodes = append(nodes, c.node)
	}
	return nodes
}

func learnedStateMessage(m board.LearnedState) *wire.Envelope {
	message := &wire.SchedulerMemory{}
	for _, s := range m.Speeds {
		message.Speeds = append(message.Speeds, &wire.EngineSpeed{Id: s.ID, Born: s.StartedAtMs, Slowness: float32(s.Slowness)})
	}
	for _, s := range m.Services {
		message.Services = append(message.Services, &wire.ServiceMemory{
			Name: s.Name, Overrun: float32(s.Overrun), Reading: float32(s.PrefillFactor), FixedUs: uint32(s.FixedLatency.Microseconds()),
		})
	}
	return &wire.Envelope{Body: &wire.Envelope_SchedulerMemory{SchedulerMemory: message}}
}

// applySchedulerMemory applies the estimates that the scheduler sent. Those of a peer
// that is no longer the scheduler, or not yet, are older than what is known here.
func (p *peers) applySchedulerMemory(now time.Time, peer string, message *wire.SchedulerMemory) {
	if p.scheduler(now) != peer {
		return
	}
	var m board.LearnedState
	for _, s := range message.Speeds {
		m.Speeds = append(m.Speeds, board.Speed{ID: s.Id, StartedAtMs: s.Born, Slowness: float64(s.Slowness)})
	}
	for _, s := range message.Services {
		m.Services = append(m.Services, board.LearnedService{
			Name: s.Name, Overrun: float64(s.Overrun), PrefillFactor: float64(s.Reading), FixedLatency: time.Duration(s.FixedUs) * time.Microsecond,
		})
	}
	p.granter.ApplyLearned(m)
}
