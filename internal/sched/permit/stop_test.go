package permit_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/sched/local"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// stopPicks is a client whose scheduler answers as scripted.
type stopPicks struct {
	client *permit.Client
	asks   []*wire.PlaceAsk
	// scheduler is the present scheduler, queuedAfter and grantedAfter the delays of its
	// replies, if any.
	scheduler                 string
	queuedAfter, grantedAfter time.Duration
	// untilExit is set if the deadline of requests is the exit of the process.
	untilExit bool
}

func newStopPicks(plain bool) *stopPicks {
	p := &stopPicks{scheduler: "other"}
	ready := func(string) []roster.Upstream { return []roster.Upstream{engine} }
	p.client = permit.New(permit.Dependencies{
		Node: "gateway", Domain: "a", Scheduler: func(time.Time) string { return p.scheduler }, Send: p.send,
		Local:    local.New("a", ready, func() int { return 1 }),
		Upstream: func(string) (roster.Upstream, bool) { return engine, true },
		Service: func(name string) *catalog.Service {
			if plain {
				return &catalog.Service{Name: name}
			}
			return engineService(name)
		},
		Metrics: noMetrics{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	return p
}

func (p *stopPicks) send(_ string, e *wire.Envelope) bool {
	ask := e.GetPlaceAsk()
	if ask == nil {
		return true
	}
	p.asks = append(p.asks, ask)
	reply := func(after time.Duration, v *wire.PlaceVerdict) {
		if after > 0 {
			v.Id, v.Number = ask.Id, ask.Number
			time.AfterFunc(after, func() { p.client.HandleDecision("other", v) })
		}
	}
	reply(p.queuedAfter, &wire.PlaceVerdict{Waiting: true})
	reply(p.grantedAfter, &wire.PlaceVerdict{Upstream: engine.ID})
	return true
}

// pick asks for a slot for a stream of the told length that is cut off after remaining.
func (p *stopPicks) pick(t *testing.T, told int, remaining time.Duration, e flow.EndConstraint) error {
	now := time.Now()
	placement, err := p.client.Pick(t.Context(), now, flow.PlacementRequest{
		ID: "one", Service: "s", Route: &catalog.Route{}, PromptTokens: 1000, OutputTokens: told,
		NextEventDue: now.Add(600 * time.Millisecond), Deadline: now.Add(remaining), EndConstraint: e, UntilExit: p.untilExit,
	})
	if err == nil {
		placement.Release(time.Now(), flow.Canceled, 0)
	}
	return err
}

// Guards against a stream that is placed on an engine although it cannot end before the
// process exits, whoever chooses the engine. The stream of 2,940 tokens has 20 ms.
func TestStreamThatCannotEndInTimeIsNotPlaced(t *testing.T) {
	for _, c := range []struct {
		name      string
		plain     bool
		scheduler string
		e         flow.EndConstraint
	}{
		{"scheduler silent, preferred", false, "other", flow.EndPreferred},
		{"scheduler silent, required", false, "other", flow.EndRequired},
		{"no scheduler, preferred", false, "", flow.EndPreferred},
		{"no scheduler, required", false, "", flow.EndRequired},
		{"plain service, preferred", true, "other", flow.EndPreferred},
		{"plain service, required", true, "other", flow.EndRequired},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				p := newStopPicks(c.plain)
				p.scheduler = c.scheduler
				require.Error(t, p.pick(t, 2940, 60*time.Millisecond, c.e))
			})
		})
	}
}

// Guards against a grant that was right when it was made and arrives when the rest of the
// time no longer suffices.
func TestGrantThatArrivesTooLateIsNotUsed(t *testing.T) {
	for _, e := range []flow.EndConstraint{flow.EndPreferred, flow.EndRequired} {
		t.Run(e.String(), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				p := newStopPicks(false)
				p.queuedAfter, p.grantedAfter = 10*time.Millisecond, 1400*time.Millisecond
				require.Error(t, p.pick(t, 2940, 1450*time.Millisecond, e))
			})
		})
	}
}

// The scheduler is told one length and the time left; the longest length that a request
// allows is not among what it is told.
func TestSlotRequestCarriesOneLength(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		p := newStopPicks(false)
		p.grantedAfter = 10 * time.Millisecond
		require.NoError(t, p.pick(t, 12, 5800*time.Millisecond, flow.EndPreferred))
		require.Len(t, p.asks, 1)
		require.Equal(t, uint32(12), p.asks[0].Output)
		require.Equal(t, int64(5800), p.asks[0].UntilMs)
		require.Equal(t, wire.PlaceAsk_LIKELY, p.asks[0].End)
	})
}

// Guards against a request that waits for a slot until the process exits, so that its
// refusal does not reach the caller: also one that upstreams may have executed, which is
// placed even if it may be cut off.
func TestRequestThatWaitsInAStopIsRefusedBeforeTheExit(t *testing.T) {
	for _, e := range []flow.EndConstraint{flow.EndRequired, flow.EndPreferred, flow.EndUnconstrained} {
		t.Run(e.String(), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				const remaining = 800 * time.Millisecond
				p := newStopPicks(false)
				p.queuedAfter, p.untilExit = 5*time.Millisecond, true
				began := time.Now()
				require.Error(t, p.pick(t, 10, remaining, e))
				require.LessOrEqual(t, time.Since(began), remaining-20*time.Millisecond)
			})
		})
	}
}
