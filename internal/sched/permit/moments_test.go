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

// link delays the messages in one direction between a gateway and the scheduler. An
// ordered link keeps their order.
type link struct {
	mu          sync.Mutex
	random      *rand.Rand
	ordered     bool
	lastArrival time.Time
}

// delay returns how long the next message takes.
func (l *link) delay(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrives := now.Add(time.Duration(l.random.IntN(150)) * time.Millisecond)
	if l.ordered && !arrives.After(l.lastArrival) {
		arrives = l.lastArrival.Add(time.Microsecond)
	}
	l.lastArrival = arrives
	return arrives.Sub(now)
}

// Guards against assigning more requests to an engine than it has slots when messages are
// delayed by up to 150 ms each.
func TestDelayedGrantsDoNotReleaseOtherSlots(t *testing.T) {
	for seed := range uint64(200) {
		bubble.Run(t, func(t *testing.T) { testDelayedGrants(t, seed, true) })
	}
}

// Guards against assigning more requests to an engine than it has slots when delayed
// messages from a replaced connection arrive after those on the new one.
func TestReorderedGrantsDoNotReleaseOtherSlots(t *testing.T) {
	for seed := range uint64(20) {
		bubble.Run(t, func(t *testing.T) { testDelayedGrants(t, seed, false) })
	}
}

// testDelayedGrants places requests one after the other on an engine with one slot, and
// while each of them holds the slot, asks for a slot for another request.
func testDelayedGrants(t *testing.T, seed uint64, ordered bool) {
	toScheduler := &link{random: rand.New(rand.NewPCG(seed, 0)), ordered: ordered}
	toGateway := &link{random: rand.New(rand.NewPCG(seed, 1)), ordered: ordered}
	var client *permit.Client
	var otherGrants atomic.Int64
	scheduler := granter.New(time.Now, func(d board.Decision) {
		if d.Owner != "gateway" {
			if d.Upstream != "" {
				otherGrants.Add(1)
			}
			return
		}
		time.AfterFunc(toGateway.delay(time.Now()), func() { client.HandleDecision("scheduler", permit.DecisionMessage(d).GetPlaceVerdict()) })
	}, slog.New(slog.DiscardHandler))
	scheduler.SetUpstreams([]board.Upstream{{ID: engine.ID, Service: "tutor", Domain: "a", Slots: 1, TokensPerEvent: 6}})
	client = permit.New(permit.Dependencies{
		Node: "gateway", Domain: "a", Scheduler: func(time.Time) string { return "scheduler" },
		Send: func(_ string, e *wire.Envelope) bool {
			time.AfterFunc(toScheduler.delay(time.Now()), func() { permit.HandleMessage(time.Now(), scheduler, "gateway", e) })
			return true
		},
		Local: fixedPicker{}, Upstream: func(string) (roster.Upstream, bool) { return engine, true },
		Service: func(string) *catalog.Service {
			return &catalog.Service{Name: "tutor", Engine: &catalog.Engine{Slots: 1}}
		},
		Metrics: noMetrics{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	for i := range 3 {
		now := time.Now()
		placement, err := client.Pick(t.Context(), now, flow.PlacementRequest{
			ID: fmt.Sprintf("request-%d", i), Service: "tutor", Route: &catalog.Route{}, NextEventDue: now.Add(600 * time.Millisecond),
			Deadline: now.Add(15 * time.Second), PromptTokens: 1000, OutputTokens: 100,
		})
		require.NoError(t, err)
		client.ReportHeld(time.Now())
		bubble.Sleep(time.Second)
		later := time.Now()
		scheduler.Submit(board.SlotRequest{
			Owner: "other", ID: fmt.Sprintf("other-%d", i), Service: "tutor", Domain: "a", NextEventDue: later.Add(600 * time.Millisecond),
			Deadline: later.Add(15 * time.Second), PromptTokens: 1000, OutputTokens: 100,
		})
		require.Zero(t, otherGrants.Load(), "seed %d, request %d: the engine has one slot, and it is in use", seed, i)
		scheduler.Release("other", fmt.Sprintf("other-%d", i), board.SlotResult{Outcome: board.Canceled})
		placement.Release(time.Now(), flow.Answered, 0)
		bubble.Sleep(time.Second)
	}
}
