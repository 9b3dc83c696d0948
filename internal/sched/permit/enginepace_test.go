package permit_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/sched/granter"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
)

// Guards against a pace that is lost on the way to the scheduler, and against one that no
// engine can have, from a gateway that is faulty or of an earlier build.
func TestSchedulerRecordsThePaceOfAFirstEvent(t *testing.T) {
	for name, test := range map[string]struct {
		started *wire.PlaceStarted
		slow    int
	}{
		"slow":                   {&wire.PlaceStarted{LoadKnown: true, PacePercent: 250, LoadAgeMs: 3}, 1},
		"as usual":               {&wire.PlaceStarted{LoadKnown: true, PacePercent: 100}, 0},
		"none":                   {&wire.PlaceStarted{LoadKnown: true}, 0},
		"without a load":         {&wire.PlaceStarted{PacePercent: 250}, 0},
		"below the least":        {&wire.PlaceStarted{LoadKnown: true, PacePercent: 9}, 0},
		"above the greatest":     {&wire.PlaceStarted{LoadKnown: true, PacePercent: 1 << 31}, 0},
		"stated a long time ago": {&wire.PlaceStarted{LoadKnown: true, PacePercent: 250, LoadAgeMs: 1<<32 - 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			g := granter.New(func() time.Time { return now }, func(board.Decision) {}, slog.New(slog.DiscardHandler))
			g.SetUpstreams([]board.Upstream{{ID: "engine", Service: "tutor", Domain: "a", Slots: 2, TokensPerEvent: 6}})
			g.Reconcile("gateway", []board.HeldSlot{{ID: "request", Upstream: "engine", PromptTokens: 100}})
			test.started.Id = "request"
			require.True(t, permit.HandleMessage(now, g, "gateway", &wire.Envelope{Body: &wire.Envelope_PlaceStarted{PlaceStarted: test.started}}))
			require.Equal(t, test.slow, g.SlowEngines())
		})
	}
}
