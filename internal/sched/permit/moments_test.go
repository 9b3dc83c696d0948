package permit_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/sched/granter"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// way is one direction between a gateway and the scheduler, on which messages are
// late. On one link they keep their order.
type way struct {
	mu      sync.Mutex
	random  *rand.Rand
	ordered bool
	last    time.Time
}

// next returns how long the next message takes.
func (w *way) next(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	arrives := now.Add(time.Duration(w.random.IntN(150)) * time.Millisecond)
	if w.ordered && !arrives.After(w.last) {
		arrives = w.last.Add(time.Microsecond)
	}
	w.last = arrives
	return arrives.Sub(now)
}

// Guards against an engine that is filled twice by messages that come at any moment:
// each takes up to 150 ms.
func TestLateGrantsAtAnyMomentEndNoOtherPlace(t *testing.T) {
	for seed := range uint64(200) {
		bubble.Run(t, func(t *testing.T) { lateGrants(t, seed, true) })
	}
}

// Guards against an engine that is filled twice by messages of a link that was
// replaced, which arrive after those on the new one.
func TestGrantsThatOvertakeEndNoOtherPlace(t *testing.T) {
	for seed := range uint64(20) {
		bubble.Run(t, func(t *testing.T) { lateGrants(t, seed, false) })
	}
}

// lateGrants places one request after the other on an engine of one slot, and asks
// for a place for another one while each of them has it.
func lateGrants(t *testing.T, seed uint64, ordered bool) {
	there := &way{random: rand.New(rand.NewPCG(seed, 0)), ordered: ordered}
	back := &way{random: rand.New(rand.NewPCG(seed, 1)), ordered: ordered}
	var client *permit.Client
	var others atomic.Int64
	scheduler := granter.New(time.Now, func(v board.Verdict) {
		if v.Owner != "gateway" {
			if v.Upstream != "" {
				others.Add(1)
			}
			return
		}
		time.AfterFunc(back.next(time.Now()), func() { client.Verdict(permit.VerdictMessage(v).GetPlaceVerdict()) })
	}, slog.New(slog.DiscardHandler))
	scheduler.SetUpstreams([]board.Upstream{{ID: engine.ID, Service: "tutor", Domain: "a", Slots: 1, EventTokens: 6}})
	client = permit.New(permit.Parts{
		Node: "gateway", Domain: "a", Scheduler: func(time.Time) string { return "scheduler" },
		Send: func(_ string, e *wire.Envelope) bool {
			time.AfterFunc(there.next(time.Now()), func() { permit.Serve(time.Now(), scheduler, "gateway", e) })
			return true
		},
		Local: chooser{}, Upstream: func(string) (roster.Upstream, bool) { return engine, true },
		Service: func(string) *catalog.Service {
			return &catalog.Service{Name: "tutor", Engine: &catalog.Engine{Slots: 1}}
		},
		Metrics: noMetrics{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	for i := range 3 {
		now := time.Now()
		place, err := client.Pick(t.Context(), now, flow.Ask{
			ID: fmt.Sprintf("request-%d", i), Service: "tutor", Route: &catalog.Route{}, Due: now.Add(600 * time.Millisecond),
			Until: now.Add(15 * time.Second), Prompt: 1000, Output: 100,
		})
		require.NoError(t, err)
		client.TellHeld(time.Now())
		bubble.Pass(time.Second)
		later := time.Now()
		scheduler.Ask(board.Ask{
			Owner: "other", ID: fmt.Sprintf("other-%d", i), Service: "tutor", Domain: "a", Due: later.Add(600 * time.Millisecond),
			Until: later.Add(15 * time.Second), Prompt: 1000, Output: 100,
		})
		require.Zero(t, others.Load(), "seed %d, request %d: the engine has one slot, and it is in use", seed, i)
		scheduler.Ended("other", fmt.Sprintf("other-%d", i), board.End{Outcome: board.Left})
		place.Done(time.Now(), flow.Answered, 0)
		bubble.Pass(time.Second)
	}
}
