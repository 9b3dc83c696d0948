package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// Guards against a length that is lost on the way to the scheduler.
func TestSchedulerIsToldTheEstimateBesideTheMaximum(t *testing.T) {
	now := time.Now()
	c := New(Dependencies{Now: func() time.Time { return now }})
	message := c.slotRequestMessage(1, flow.PlacementRequest{
		Route: &catalog.Route{}, OutputTokens: 2940, EstimatedTokens: 60, EndConstraint: flow.EndRequired,
	})
	ask := message.GetPlaceAsk()
	require.Equal(t, uint32(2940), ask.Output, "a scheduler of an earlier build plans the end by it")
	req := decodeSlotRequest(now, "gateway", ask)
	require.Equal(t, 2940, req.OutputTokens)
	require.Equal(t, 60, req.EstimatedTokens)
}

// Guards against a maximum that is lost on the way to the scheduler.
func TestSchedulerIsToldTheMaximumBesideTheEstimate(t *testing.T) {
	now := time.Now()
	c := New(Dependencies{Now: func() time.Time { return now }})
	message := c.slotRequestMessage(1, flow.PlacementRequest{
		Route: &catalog.Route{}, OutputTokens: 60, MaxTokens: 2940, EndConstraint: flow.EndPreferred,
	})
	ask := message.GetPlaceAsk()
	require.Equal(t, uint32(60), ask.Output, "a scheduler of an earlier build plans the end by it")
	req := decodeSlotRequest(now, "gateway", ask)
	require.Equal(t, 60, req.OutputTokens)
	require.Equal(t, 2940, req.MaxTokens)
}

// Guards against a scheduler that cannot do with the one length of a gateway of an earlier build.
func TestSlotRequestWithOneLengthHasNoOther(t *testing.T) {
	req := decodeSlotRequest(time.Now(), "gateway", &wire.PlaceAsk{Output: 2940, End: wire.PlaceAsk_SURE})
	require.Equal(t, 2940, req.OutputTokens)
	require.Zero(t, req.EstimatedTokens)
	require.Zero(t, req.MaxTokens)
}
