package flow_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
)

// longStreamsDoNotFit is a Picker that grants no second slot to a stream that must end in
// time, as a scheduler whose engines would take too long.
type longStreamsDoNotFit struct{ *fixture }

func (l longStreamsDoNotFit) Pick(ctx context.Context, now time.Time, a flow.PlacementRequest) (flow.Placement, error) {
	if a.Resent && a.EndConstraint == flow.EndRequired {
		return nil, flow.RefusePlacement(0, "no engine could complete the stream")
	}
	return l.fixture.Pick(ctx, now, a)
}

// Guards against a stream that an upstream may have executed and that is then refused
// for the shutdown: its caller would be told 502, which is no promise, and would find no
// other process.
func TestStreamThatMayHaveBeenExecutedIsNotRefusedForAShutdown(t *testing.T) {
	for _, since := range []time.Duration{time.Second, 3 * time.Second} {
		f := newFixture(t)
		f.picker = longStreamsDoNotFit{f}
		f.start()
		f.addUpstream("one", "HTTP/1.1 200")
		f.addUpstream("two", streamHeader+"id: 1\ndata: a\n\n")
		f.shutdownSince, f.otherAccepts = time.Now().Add(-since), true
		f.headers = map[string]string{"X-Persimmonridge-Token-Counts": "1000,100", "X-Persimmonridge-Length-Hint": "20"}
		response, _, err := f.call("/long/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Len(t, f.placementRequests, 2)
		require.Equal(t, flow.EndRequired, f.placementRequests[0].EndConstraint)
		require.Equal(t, flow.EndPreferred, f.placementRequests[1].EndConstraint)
		require.Equal(t, 20, f.placementRequests[1].OutputTokens)
	}
}
