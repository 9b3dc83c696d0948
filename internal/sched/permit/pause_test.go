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

// holdingPicker remembers the upstream whose slot is held.
type holdingPicker struct {
	fixedPicker
	held string
}

func (p *holdingPicker) Hold(_ time.Time, u roster.Upstream, _ flow.PlacementRequest) flow.Placement {
	p.held = u.ID
	return fixedPlacement{}
}

// pausingClient returns a client of a scheduler that knows two engines and nothing of what
// they stated, as one of an earlier build, and the upstreams that the client may not use.
func pausingClient(picker *holdingPicker) (client *permit.Client, paused map[string]time.Duration) {
	paused = make(map[string]time.Duration)
	upstreams := []roster.Upstream{
		{ID: "one", Service: "tutor", Domain: "a", Version: "v1", Slots: 8}, {ID: "two", Service: "tutor", Domain: "b", Version: "v2", Slots: 8},
	}
	scheduler := granter.New(time.Now, func(d board.Decision) {
		time.AfterFunc(time.Millisecond, func() { client.HandleDecision("scheduler", permit.DecisionMessage(d).GetPlaceVerdict()) })
	}, slog.New(slog.DiscardHandler))
	var engines []board.Upstream
	for _, u := range upstreams {
		engines = append(engines, board.Upstream{ID: u.ID, Service: u.Service, Domain: u.Domain, Version: u.Version, Slots: u.Slots, TokensPerEvent: 6})
	}
	scheduler.SetUpstreams(engines)
	client = permit.New(permit.Dependencies{
		Node: "gateway", Domain: "a", Scheduler: func(time.Time) string { return "scheduler" },
		Send: func(_ string, e *wire.Envelope) bool {
			time.AfterFunc(time.Millisecond, func() { permit.HandleMessage(time.Now(), scheduler, "gateway", e) })
			return true
		},
		Local: picker,
		Upstream: func(id string) (roster.Upstream, bool) {
			for _, u := range upstreams {
				if u.ID == id {
					return u, true
				}
			}
			return roster.Upstream{}, false
		},
		Ready: func(string) []roster.Upstream { return upstreams },
		Paused: func(time.Time, string) []permit.Pause {
			var pauses []permit.Pause
			for id, pause := range paused {
				pauses = append(pauses, permit.Pause{Upstream: id, For: pause})
			}
			return pauses
		},
		Service: func(string) *catalog.Service {
			return &catalog.Service{Name: "tutor", Engine: &catalog.Engine{Slots: 8}}
		},
		Metrics: noMetrics{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	return client, paused
}

// pick asks for a slot for a request with the given restrictions.
func pick(ctx context.Context, client *permit.Client, req flow.PlacementRequest) error {
	now := time.Now()
	req.ID, req.Service, req.Route, req.PromptTokens, req.OutputTokens = "r", "tutor", &catalog.Route{}, 1000, 100
	req.NextEventDue, req.Deadline = now.Add(600*time.Millisecond), now.Add(15*time.Second)
	placement, err := client.Pick(ctx, now, req)
	if err == nil {
		placement.Release(time.Now(), flow.Answered, 0)
	}
	return err
}

// Guards against a scheduler that grants, time after time, engines of which only this
// gateway knows that it may send them nothing, and against callers who are refused, or held,
// without the time at which one of them may get a request.
func TestSlotIsNotAskedForOnPausedUpstreams(t *testing.T) {
	for name, test := range map[string]struct {
		paused map[string]time.Duration
		req    flow.PlacementRequest
		// refusedFor is the Retry-After, 0 if a slot is granted.
		refusedFor time.Duration
	}{
		"none paused":                   {nil, flow.PlacementRequest{}, 0},
		"one paused":                    {map[string]time.Duration{"one": time.Second}, flow.PlacementRequest{}, 0},
		"all paused":                    {map[string]time.Duration{"one": 3 * time.Second, "two": time.Second}, flow.PlacementRequest{}, time.Second},
		"the other was tried":           {map[string]time.Duration{"one": 2 * time.Second}, flow.PlacementRequest{ExcludedUpstreams: []string{"two"}}, 2 * time.Second},
		"the other is in a region away": {map[string]time.Duration{"one": 2 * time.Second}, flow.PlacementRequest{Domains: []string{"a"}}, 2 * time.Second},
		"the other has another version": {map[string]time.Duration{"one": 2 * time.Second}, flow.PlacementRequest{RequiredVersion: "v1"}, 2 * time.Second},
		"one leaves":                    {map[string]time.Duration{"one": 0}, flow.PlacementRequest{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				var picker holdingPicker
				client, paused := pausingClient(&picker)
				for id, pause := range test.paused {
					paused[id] = pause
				}
				err := pick(t.Context(), client, test.req)
				bubble.Sleep(time.Second)
				if test.refusedFor == 0 {
					require.NoError(t, err)
					require.NotContains(t, test.paused, picker.held)
					return
				}
				require.Error(t, err)
				require.Equal(t, test.refusedFor, flow.RetryAfter(err))
			})
		})
	}
}
