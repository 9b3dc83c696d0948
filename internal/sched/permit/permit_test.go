package permit_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/sched/granter"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

var engine = roster.Upstream{ID: "engine", Service: "tutor", Domain: "a", Slots: 1, State: roster.Ready}

// fixedPicker always picks the same engine.
type fixedPicker struct{}

func (fixedPicker) Pick(context.Context, time.Time, flow.PlacementRequest) (flow.Placement, error) {
	return fixedPlacement{}, nil
}
func (fixedPicker) Hold(time.Time, roster.Upstream, flow.PlacementRequest) flow.Placement {
	return fixedPlacement{}
}

// fixedPlacement is a slot on the engine.
type fixedPlacement struct{}

func (fixedPlacement) Upstream() roster.Upstream            { return engine }
func (fixedPlacement) ReportLoad(time.Time, exchange.Load)  {}
func (fixedPlacement) AnswerStarted(time.Time)              {}
func (fixedPlacement) Release(time.Time, flow.Outcome, int) {}

// noMetrics discards all metrics.
type noMetrics struct{}

func (noMetrics) Placed(string, time.Duration) {}

// Guards against assigning more requests to an engine than it has slots: a grant that
// arrives after its request was placed locally is released, and must not release the
// request's actual slot.
func TestLateGrantDoesNotReleaseTheSlotInUse(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		const latency = 60 * time.Millisecond
		var client *permit.Client
		granted := make(map[string]int)
		scheduler := granter.New(time.Now, func(d board.Decision) {
			if d.Upstream != "" {
				granted[d.Owner]++
			}
			if d.Owner == "gateway" {
				time.AfterFunc(latency, func() { client.HandleDecision("scheduler", permit.DecisionMessage(d).GetPlaceVerdict()) })
			}
		}, slog.New(slog.DiscardHandler))
		scheduler.SetUpstreams([]board.Upstream{{ID: engine.ID, Service: "tutor", Domain: "a", Slots: 1, TokensPerEvent: 6}})
		client = permit.New(permit.Dependencies{
			Node: "gateway", Domain: "a", Scheduler: func(time.Time) string { return "scheduler" },
			Send: func(_ string, e *wire.Envelope) bool {
				time.AfterFunc(latency, func() { permit.HandleMessage(time.Now(), scheduler, "gateway", e) })
				return true
			},
			Local: fixedPicker{}, Upstream: func(string) (roster.Upstream, bool) { return engine, true },
			Service: func(string) *catalog.Service {
				return &catalog.Service{Name: "tutor", Engine: &catalog.Engine{Slots: 1}}
			},
			Metrics: noMetrics{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
		})
		now := time.Now()
		placement, err := client.Pick(t.Context(), now, flow.PlacementRequest{
			ID: "one", Service: "tutor", Route: &catalog.Route{}, NextEventDue: now.Add(600 * time.Millisecond),
			Deadline: now.Add(15 * time.Second), PromptTokens: 1000, OutputTokens: 100,
		})
		require.NoError(t, err)
		// The scheduler hears of the slot after the slot request was withdrawn.
		client.ReportHeld(time.Now())
		bubble.Sleep(4 * latency)
		later := time.Now()
		scheduler.Submit(board.SlotRequest{
			Owner: "other", ID: "two", Service: "tutor", Domain: "a", NextEventDue: later.Add(600 * time.Millisecond),
			Deadline: later.Add(15 * time.Second), PromptTokens: 1000, OutputTokens: 100,
		})
		require.Equal(t, 1, granted["gateway"])
		require.Zero(t, granted["other"], "the engine has one slot, and it is in use")
		placement.Release(later, flow.Answered, 0)
		bubble.Sleep(2 * latency)
	})
}
