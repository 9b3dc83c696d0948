// Package granter runs a board: it guards it, gives it the time, and hands its
// verdicts to those who asked.
package granter

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// dropAfter is how long the places of a gateway that went silent are kept: its
// engines notice its end by their connections, and a gateway that is only out
// of touch tells anew what it holds.
const dropAfter = 300 * time.Millisecond

// logEvery is how often the board is told in the log while requests wait.
const logEvery = time.Second

// Granter is a board in use. It is safe for concurrent use.
type Granter struct {
	now     func() time.Time
	deliver func(board.Verdict)
	logger  *slog.Logger

	mu     sync.Mutex
	board  *board.Board
	wake   chan struct{}
	owners map[string]*time.Timer
	// logged is when the board was last told in the log.
	logged time.Time
}

// New returns a granter of an empty board. Deliver gets each verdict, without
// any lock held.
func New(now func() time.Time, deliver func(board.Verdict), logger *slog.Logger) *Granter {
	return &Granter{now: now, deliver: deliver, logger: logger, board: board.New(), wake: make(chan struct{}, 1), owners: make(map[string]*time.Timer)}
}

// Run ticks the board while requests wait, until the context ends.
func (g *Granter) Run(ctx context.Context) error {
	ticker := time.NewTicker(board.TickEvery)
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
	g.do(func(b *board.Board, now time.Time) {
		b.Tick(now)
		waiting = b.Waiting()
		if now.Sub(g.logged) >= logEvery {
			g.logged = now
			s := b.Stats(now)
			stats = &s
		}
	})
	if stats != nil {
		g.logger.Info("requests wait", "waiting", stats.Waiting, "late", stats.Late,
			"running", stats.Running, "slots", stats.Slots, "full", stats.Full, "idle", stats.Idle,
			"unusual", stats.Unusual, "engines", stats.Engines, "services", stats.Services)
	}
	return waiting
}

// do changes the board and hands out what it decides.
func (g *Granter) do(change func(b *board.Board, now time.Time)) {
	g.mu.Lock()
	change(g.board, g.now())
	verdicts := g.board.Verdicts()
	waiting := g.board.Waiting()
	g.mu.Unlock()
	if waiting {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
	for _, v := range verdicts {
		g.deliver(v)
	}
}

// SetUpstreams takes the engines that may get work.
func (g *Granter) SetUpstreams(upstreams []board.Upstream) {
	g.do(func(b *board.Board, now time.Time) { b.SetUpstreams(now, upstreams) })
}

// SetReach tells how many of the known gateways this one hears.
func (g *Granter) SetReach(heard, known int) {
	g.do(func(b *board.Board, now time.Time) { b.SetReach(now, heard, known) })
}

// Recall takes what another scheduler learned.
func (g *Granter) Recall(speeds []board.Speed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.board.Recall(speeds)
}

// Memory returns what was learned.
func (g *Granter) Memory() board.Memory {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.board.Memory()
}

// Take believes what the scheduler tells.
func (g *Granter) Take(m board.Memory) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.board.Take(m)
}

// Ask takes a request for a place.
func (g *Granter) Ask(a board.Ask) {
	g.do(func(b *board.Board, now time.Time) { b.Ask(now, a) })
}

// Held takes all places that a gateway holds.
func (g *Granter) Held(owner string, held []board.HeldSlot) {
	g.do(func(b *board.Board, now time.Time) { b.Reconcile(now, owner, held) })
}

// Started notes a first event and how many requests the engine said it has, or
// -1.
func (g *Granter) Started(owner, id string, reported int) {
	g.do(func(b *board.Board, now time.Time) { b.Started(now, owner, id, reported) })
}

// Ended takes a place back, or withdraws an ask.
func (g *Granter) Ended(owner, id string, end board.End) {
	g.do(func(b *board.Board, now time.Time) { b.Ended(now, owner, id, end) })
}

// OwnerDown forgets a gateway's places after a while, unless it is heard again.
func (g *Granter) OwnerDown(owner string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owners[owner] != nil {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(dropAfter, func() {
		g.do(func(b *board.Board, now time.Time) {
			// A timer that has fired cannot be stopped.
			if g.owners[owner] != timer {
				return
			}
			delete(g.owners, owner)
			b.DropOwner(now, owner)
		})
	})
	g.owners[owner] = timer
}

// OwnerUp keeps the places of a gateway that is heard again.
func (g *Granter) OwnerUp(owner string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if timer := g.owners[owner]; timer != nil {
		timer.Stop()
		delete(g.owners, owner)
	}
}
