package permit_test

import (
	"context"
	"log/slog"
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

// failingPicker picks nothing without a scheduler.
type failingPicker struct{ fixedPicker }

func (failingPicker) Pick(context.Context, time.Time, flow.PlacementRequest) (flow.Placement, error) {
	return nil, flow.RefusePlacement(0, "chosen without the scheduler")
}

// Guards against requests that are placed without the scheduler because one packet was lost
// on the connection with it: all that follows waits for its retransmission, in one direction
// or the other, while another connection works. The slot that both copies got must be used
// once, and not given back when the other copy's answer comes.
func TestSlotRequestWithoutReplyIsRepeatedOnAnotherConnection(t *testing.T) {
	const latency, retransmission = 4 * time.Millisecond, 200 * time.Millisecond
	directions := map[string][2]time.Duration{
		"to the scheduler":   {retransmission, latency},
		"from the scheduler": {latency, retransmission},
		"both ways":          {retransmission, retransmission},
	}
	for name, delay := range directions {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				var client *permit.Client
				released := 0
				scheduler := granter.New(time.Now, func(d board.Decision) {
					answer := func() { client.HandleDecision("scheduler", permit.DecisionMessage(d).GetPlaceVerdict()) }
					time.AfterFunc(delay[1], answer)
					if d.Urgent {
						time.AfterFunc(latency, answer)
					}
				}, slog.New(slog.DiscardHandler))
				scheduler.SetUpstreams([]board.Upstream{{ID: engine.ID, Service: "tutor", Domain: "a", Slots: 1, TokensPerEvent: 6}})
				send := func(delay time.Duration) func(string, *wire.Envelope) bool {
					return func(_ string, e *wire.Envelope) bool {
						if e.GetPlaceEnded() != nil {
							released++
						}
						time.AfterFunc(delay, func() { permit.HandleMessage(time.Now(), scheduler, "gateway", e) })
						return true
					}
				}
				client = permit.New(permit.Dependencies{
					Node: "gateway", Domain: "a", Scheduler: func(time.Time) string { return "scheduler" },
					Send: send(delay[0]), SendAlternate: send(latency),
					Local: failingPicker{}, Upstream: func(string) (roster.Upstream, bool) { return engine, true },
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
				require.Less(t, time.Since(now), 40*time.Millisecond)
				bubble.Sleep(2 * retransmission)
				require.Zero(t, released, "the slot is in use")
				placement.Release(time.Now(), flow.Answered, 0)
				bubble.Sleep(2 * retransmission)
				require.Equal(t, 1, released)
			})
		})
	}
}
