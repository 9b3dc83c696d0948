// Package granter makes a scheduler from package board safe for concurrent use, calls it
// at regular intervals, and delivers its decisions to the gateways that asked.
package granter

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// ownerGracePeriod is how long the slots of a silent gateway are kept. If it is down, its
// engines notice by its closed connections; if it is only unreachable, it reports its
// slots again later.
const ownerGracePeriod = 300 * time.Millisecond

// logInterval is the interval between log records of the scheduler while requests wait.
const logInterval = time.Second

// Granter is a scheduler that is safe for concurrent use.
type Granter struct {
	now     func() time.Time
	deliver func(board.Decision)
	logger  *slog.Logger

	mu         sync.Mutex
	scheduler  *board.Scheduler
	wake       chan struct{}
	dropTimers map[string]*time.Timer
	// loggedAt is when the scheduler was last logged.
	loggedAt time.Time
}

// New returns a granter with an empty scheduler. It calls deliver with each decision,
// without holding a lock.
func New(now func() time.Time, deliver func(board.Decision), logger *slog.Logger) *Granter {
	return &Granter{now: now, deliver: deliver, logger: logger, scheduler: board.New(), wake: make(chan struct{}, 1), dropTimers: make(map[string]*time.Timer)}
}

// Run ticks the scheduler while requests wait, until the context ends.
func (g *Granter) Run(ctx context.Context) error {
	ticker := time.NewTicker(board.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.wake:
		}
		for g.tick() {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	}
}

func (g *Granter) tick() bool {
	waiting := false
	var stats *board.Stats
	g.update(func(s *board.Scheduler, now time.Time) {
		s.Tick(now)
		waiting = s.Waiting()
		if now.Sub(g.loggedAt) >= logInterval {
			g.loggedAt = now
			current := s.Stats(now)
			stats = &current
		}
	})
	if stats != nil {
		attributes := []any{"waiting", stats.Waiting, "late", stats.Late,
			"running", stats.Running, "slots", stats.Slots, "full", stats.Full, "idle", stats.Idle,
			"unusual", stats.Unusual, "engines", stats.Engines, "services", stats.Services,
			"workspaces", stats.Workspaces}
		if stats.Paced > 0 {
			attributes = append(attributes, "paced", stats.Paced, "paces", stats.Paces)
		}
		g.logger.Info("requests wait", attributes...)
	}
	return waiting
}

// update changes the scheduler and delivers the resulting decisions.
func (g *Granter) update(change func(s *board.Scheduler, now time.Time)) {
	g.mu.Lock()
	change(g.scheduler, g.now())
	decisions := g.scheduler.Decisions()
	waiting := g.scheduler.Waiting()
	g.mu.Unlock()
	if waiting {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
	for _, d := range decisions {
		g.deliver(d)
	}
}

// SetLimiter sets the limiter of the scheduler.
func (g *Granter) SetLimiter(l board.Limiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetLimiter(l)
}

// RefuseWaiting refuses the waiting requests for which the function returns true.
func (g *Granter) RefuseWaiting(hopeless func(service string, domains []string) bool, retryAfter time.Duration, reason string) {
	g.update(func(s *board.Scheduler, now time.Time) { s.RefuseWaiting(now, hopeless, retryAfter, reason) })
}

// SetUpstreams replaces the list of engines that may be assigned requests.
func (g *Granter) SetUpstreams(upstreams []board.Upstream) {
	g.update(func(s *board.Scheduler, now time.Time) { s.SetUpstreams(now, upstreams) })
}

// SetReachableGateways sets how many of the known gateways this one hears.
func (g *Granter) SetReachableGateways(heard, known int) {
	g.update(func(s *board.Scheduler, now time.Time) { s.SetReachableGateways(now, heard, known) })
}

// RestoreSpeeds applies engine speeds learned by another scheduler.
func (g *Granter) RestoreSpeeds(speeds []board.Speed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.RestoreSpeeds(speeds)
}

// LearnedState returns what the scheduler has learned.
func (g *Granter) LearnedState() board.LearnedState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.LearnedState()
}

// ApplyLearned applies what the active scheduler has learned.
func (g *Granter) ApplyLearned(m board.LearnedState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.ApplyLearned(m)
}

// MinStreamTime returns how long the idle engine takes from the send of a prompt to the
// last of its output tokens.
func (g *Granter) MinStreamTime(upstream string, promptTokens, outputTokens int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.MinStreamTime(g.now(), upstream, promptTokens, outputTokens)
}

// Submit grants a slot to the request, queues the request or refuses it.
func (g *Granter) Submit(a board.SlotRequest) {
	g.update(func(s *board.Scheduler, now time.Time) { s.Submit(now, a) })
}

// Reconcile compares the runs of a gateway with all slots that it holds.
func (g *Granter) Reconcile(owner string, held []board.HeldSlot) {
	g.update(func(s *board.Scheduler, now time.Time) { s.Reconcile(now, owner, held) })
}

// Load is what an engine reported with the first event of a run.
type Load struct {
	// Requests is the number of requests, or -1 if the engine reported none.
	Requests int
	// Pace is by what factor work takes longer than usual, or 0 if the engine stated none.
	Pace float64
	// Age is how long ago the report arrived.
	Age time.Duration
}

// Started records the first event of a run, and what its engine reported.
func (g *Granter) Started(owner, id string, load Load) {
	g.update(func(s *board.Scheduler, now time.Time) {
		s.RecordPace(now, owner, id, load.Pace, load.Age)
		s.Started(now, owner, id, load.Requests)
	})
}

// SlowEngines returns the number of engines whose work takes much longer than usual.
func (g *Granter) SlowEngines() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.SlowEngines(g.now())
}

// Release ends the use of a slot, or withdraws a waiting request.
func (g *Granter) Release(owner, id string, end board.SlotResult) {
	g.update(func(s *board.Scheduler, now time.Time) { s.Release(now, owner, id, end) })
}

// OwnerDown drops a gateway's requests and slots after a grace period, unless OwnerUp is
// called before.
func (g *Granter) OwnerDown(owner string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dropTimers[owner] != nil {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(ownerGracePeriod, func() {
		g.update(func(s *board.Scheduler, now time.Time) {
			// A timer that has fired cannot be stopped.
			if g.dropTimers[owner] != timer {
				return
			}
			delete(g.dropTimers, owner)
			s.DropOwner(now, owner)
		})
	})
	g.dropTimers[owner] = timer
}

// OwnerUp cancels the drop of a gateway that is heard again.
func (g *Granter) OwnerUp(owner string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if timer := g.dropTimers[owner]; timer != nil {
		timer.Stop()
		delete(g.dropTimers, owner)
	}
}
