package permit_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

func discardMessage(string, *wire.Envelope) bool        { return true }
func noUpstream(string) (u roster.Upstream, known bool) { return u, false }
func otherScheduler(time.Time) string                   { return "other" }
func engineService(name string) *catalog.Service {
	return &catalog.Service{Name: name, Engine: &catalog.Engine{}}
}

// Guards against a stream that a stopping gateway accepts late and sends to a full engine,
// where it waits until it is cut off. Only the scheduler knows which engines are full.
func TestStreamThatMustEndIsRefusedWithoutScheduler(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		c := permit.New(permit.Dependencies{
			Node: "gateway", Domain: "a", Scheduler: otherScheduler, Send: discardMessage, Local: fixedPicker{}, Upstream: noUpstream,
			Service: engineService, Metrics: noMetrics{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
		})
		pick := func(id string, e flow.EndConstraint) error {
			now := time.Now()
			_, err := c.Pick(t.Context(), now, flow.PlacementRequest{
				ID: id, Service: "s", Route: &catalog.Route{}, PromptTokens: 1292, OutputTokens: 8,
				NextEventDue: now.Add(400 * time.Millisecond), Deadline: now.Add(1100 * time.Millisecond), EndConstraint: e,
			})
			return err
		}
		require.NoError(t, pick("open", flow.EndUnconstrained))
		require.NoError(t, pick("likely", flow.EndPreferred))
		require.Error(t, pick("sure", flow.EndRequired))
	})
}
