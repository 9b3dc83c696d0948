package flow_test

import (
	"context"
	"net/http"
	"strconv"
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

// noSecondSlot is a Picker that has a request wait for its second slot until it gives up.
type noSecondSlot struct{ *fixture }

func (n noSecondSlot) Pick(ctx context.Context, now time.Time, a flow.PlacementRequest) (flow.Placement, error) {
	if !a.Resent {
		return n.fixture.Pick(ctx, now, a)
	}
	n.mu.Lock()
	n.placementRequests = append(n.placementRequests, a)
	n.mu.Unlock()
	time.Sleep(time.Until(a.WaitDeadline()))
	return nil, flow.RefusePlacement(0, "no slot became free")
}

// Guards against a stream that an upstream may have executed, and that waits for another slot
// until the process exits, so that its caller gets no answer at all.
func TestStreamThatWaitsForASecondSlotIsAnsweredBeforeTheExit(t *testing.T) {
	f := newFixture(t)
	f.picker = noSecondSlot{f}
	f.start()
	f.addUpstream("one", "HTTP/1.1 200")
	f.shutdownSince, f.otherAccepts = time.Now().Add(-6*time.Second), true
	f.headers = map[string]string{"X-Persimmonridge-Token-Counts": "10,10", "X-Persimmonridge-Length-Hint": "2"}
	response, _, err := f.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Len(t, f.placementRequests, 2, "another slot would be of no use")
	require.True(t, f.placementRequests[1].WaitDeadline().Before(f.placementRequests[1].Deadline))
}

// stopsWhilePicking is a Picker during whose first call a shutdown begins.
type stopsWhilePicking struct{ *fixture }

func (s stopsWhilePicking) Pick(ctx context.Context, now time.Time, a flow.PlacementRequest) (flow.Placement, error) {
	if s.shutdownSince.IsZero() {
		s.shutdownSince = time.Now()
	}
	return s.fixture.Pick(ctx, now, a)
}

// Guards against a stream of unknown length that waits for a slot while a shutdown
// begins, and is then sent although it would have been refused had it come later.
func TestStreamOfUnknownLengthPlacedAcrossTheStartOfAShutdownIsRefused(t *testing.T) {
	f := newFixture(t)
	f.picker = stopsWhilePicking{f}
	f.addUpstream("one", streamHeader+"id: 1\ndata: a\n\n")
	f.otherAccepts = true
	f.start()
	response, _, err := f.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Empty(t, f.executed)
	require.Equal(t, []flow.Outcome{flow.Canceled}, f.outcomes)
}

// A stream of known length that waits for a slot while a shutdown begins gives its slot
// back and is planned again, once.
func TestStreamPlacedAcrossTheStartOfAShutdownIsPlannedAgain(t *testing.T) {
	f := newFixture(t)
	f.picker = stopsWhilePicking{f}
	f.addUpstream("one", streamHeader+"id: 1\ndata: a\n\n")
	f.otherAccepts = true
	f.headers = map[string]string{"X-Persimmonridge-Token-Counts": "1000,100", "X-Persimmonridge-Length-Hint": "20"}
	f.start()
	response, _, err := f.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, f.placementRequests, 2)
	require.Equal(t, flow.EndRequired, f.placementRequests[1].EndConstraint)
	require.Equal(t, 100, f.placementRequests[1].OutputTokens)
	require.Equal(t, flow.Canceled, f.outcomes[0])
	require.Len(t, f.executed, 1)
}

// Guards against callers that stay on a connection of a process that shuts down, because
// its answers do not say that the connection ends.
func TestAnswersInAShutdownEndTheConnection(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", successAnswer)
	f.shutdownSince = time.Now().Add(-time.Second)
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
}

// refusesAll is a Picker that grants no slot, as a scheduler whose engines would take too
// long.
type refusesAll struct{}

func (refusesAll) Pick(context.Context, time.Time, flow.PlacementRequest) (flow.Placement, error) {
	return nil, flow.RefusePlacement(0, "no engine could complete the stream")
}

// Guards against callers that are told to come back at once while every process shuts down:
// they would lose their retry at another one that refuses them.
func TestRefusalInAShutdownTellsWhenAProcessAcceptsAgain(t *testing.T) {
	const back, spread = 4 * time.Second, 600 * time.Millisecond
	for _, c := range []struct {
		name                  string
		accept, acceptNoticed bool
		since                 time.Duration
		least, most           time.Duration
	}{
		{"others accept", true, true, 3 * time.Second, 0, 10 * time.Millisecond},
		{"no other accepts", false, false, 3 * time.Second, back, back + spread},
		{"others accept once the load balancer has noticed", false, true, 1500 * time.Millisecond, 10 * time.Millisecond, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.picker = refusesAll{}
			f.addUpstream("one", streamHeader+"id: 1\ndata: a\n\n")
			f.otherAccepts, f.acceptNoticed, f.nextAccepting = c.accept, c.acceptNoticed, back
			f.shutdownSince = time.Now().Add(-c.since)
			f.headers = map[string]string{"X-Persimmonridge-Token-Counts": "1000,100", "X-Persimmonridge-Length-Hint": "20"}
			f.start()
			response, _, err := f.call("/long/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.GreaterOrEqual(t, seconds, c.least.Seconds())
			require.LessOrEqual(t, seconds, c.most.Seconds())
		})
	}
}
