package flow_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
)

// statedLength is the headers of a stream of at most 100 tokens and an estimate of 20.
func statedLength() map[string]string {
	return map[string]string{"X-Persimmonridge-Token-Counts": "1000,100", "X-Persimmonridge-Length-Hint": "20"}
}

// stopsBeforeGrant is a Picker that grants the numbered slot a time after a shutdown began.
type stopsBeforeGrant struct {
	*fixture
	grant int
	since time.Duration
}

func (s stopsBeforeGrant) Pick(ctx context.Context, now time.Time, a flow.PlacementRequest) (flow.Placement, error) {
	p, err := s.fixture.Pick(ctx, now, a)
	if len(s.placementRequests) == s.grant {
		s.shutdownSince = time.Now().Add(-s.since)
	}
	return p, err
}

// Guards against a stream that was asked for before a shutdown, is granted a slot in it, and is
// sent with no regard to the exit because no other process accepts it.
func TestStreamGrantedInAShutdownOfAllIsPlannedAgain(t *testing.T) {
	for _, c := range []struct {
		name       string
		since      time.Duration
		constraint flow.EndConstraint
		planned    int
	}{
		{"early", time.Second, flow.EndPreferred, 20},
		{"late", 3 * time.Second, flow.EndRequired, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.picker = stopsBeforeGrant{f, 1, c.since}
			f.addUpstream("one", streamHeader+"id: 1\ndata: a\n\n")
			f.headers = statedLength()
			f.start()
			response, _, err := f.call("/long/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Len(t, f.placementRequests, 2)
			require.Equal(t, c.constraint, f.placementRequests[1].EndConstraint)
			require.Equal(t, c.planned, f.placementRequests[1].OutputTokens)
			require.Len(t, f.executed, 1)
		})
	}
}

// Guards against a stream of unknown length that is sent late in a shutdown, because it waited
// for its slot since before and no other process accepts it.
func TestStreamOfUnknownLengthGrantedLateInAShutdownOfAllIsRefused(t *testing.T) {
	f := newFixture(t)
	f.picker = stopsBeforeGrant{f, 1, 3 * time.Second}
	f.addUpstream("one", streamHeader+"id: 1\ndata: a\n\n")
	f.start()
	response, _, err := f.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Empty(t, f.executed)
}

// Guards against a loop of grants that are given back: a stream of unknown length that comes
// early in a shutdown of all is accepted.
func TestStreamOfUnknownLengthGrantedEarlyInAShutdownOfAllIsSentOnce(t *testing.T) {
	f := newFixture(t)
	f.picker = stopsBeforeGrant{f, 1, time.Second}
	f.addUpstream("one", streamHeader+"id: 1\ndata: a\n\n")
	f.start()
	response, _, err := f.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, f.placementRequests, 1)
}

// endsTooLate is a Picker that grants no second slot, and counts how many were asked for.
type endsTooLate struct{ *fixture }

func (e endsTooLate) Pick(ctx context.Context, now time.Time, a flow.PlacementRequest) (flow.Placement, error) {
	if a.Resent {
		e.placementRequests = append(e.placementRequests, a)
		return nil, flow.RefusePlacement(0, "no engine could complete the stream")
	}
	return e.fixture.Pick(ctx, now, a)
}

// Guards against a resumed stream that asks for a slot without end.
func TestBrokenStreamIsPlacedOnceWithoutAllowance(t *testing.T) {
	f := newFixture(t)
	f.picker = endsTooLate{f}
	f.addUpstream("one", brokenStream)
	f.addUpstream("two", streamHeader+"id: 1\ndata: a\n\n")
	f.shutdownSince = time.Now().Add(-time.Second)
	f.headers = statedLength()
	f.start()
	_, _, err := f.call("/long/x")
	require.Error(t, err)
	f.server.Close() // waits for the handler, which ends after its caller
	require.Len(t, f.placementRequests, 3)
	require.Equal(t, flow.EndPreferred, f.placementRequests[1].EndConstraint)
	require.Equal(t, flow.EndUnconstrained, f.placementRequests[2].EndConstraint)
}

// stopsAtDecline is a Picker whose first slot ends as a shutdown has begun three seconds ago.
type stopsAtDecline struct{ *fixture }

func (s stopsAtDecline) Pick(ctx context.Context, now time.Time, a flow.PlacementRequest) (flow.Placement, error) {
	p, err := s.fixture.Pick(ctx, now, a)
	return stopsAtRelease{p, s.fixture}, err
}

type stopsAtRelease struct {
	flow.Placement
	fixture *fixture
}

func (s stopsAtRelease) Release(now time.Time, o flow.Outcome, tokens int) {
	s.Placement.Release(now, o, tokens)
	s.fixture.shutdownSince = time.Now().Add(-3 * time.Second)
}

// Guards against a stream of unknown length that an upstream declined, and that is sent to
// another one in a shutdown although it was executed nowhere and may outlast the process.
func TestDeclinedStreamOfUnknownLengthIsNotSentAgainInAShutdown(t *testing.T) {
	for _, c := range []struct {
		name   string
		picker func(f *fixture) flow.Picker
	}{
		{"shutdown before the second slot is asked for", func(f *fixture) flow.Picker { return stopsAtDecline{f} }},
		{"shutdown while the second slot is awaited", func(f *fixture) flow.Picker { return stopsBeforeGrant{f, 2, 3 * time.Second} }},
	} {
		for _, othersAccept := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				f := newFixture(t)
				f.picker, f.otherAccepts = c.picker(f), othersAccept
				f.addUpstream("one", declinedAnswer)
				f.addUpstream("two", streamHeader+"id: 1\ndata: a\n\n")
				f.start()
				response, _, err := f.call("/long/x")
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				require.Len(t, f.executed, 1)
			})
		}
	}
}

// acceptsBeforeGrant is a Picker during whose first call another process begins to accept.
type acceptsBeforeGrant struct{ *fixture }

func (a acceptsBeforeGrant) Pick(ctx context.Context, now time.Time, req flow.PlacementRequest) (flow.Placement, error) {
	a.otherAccepts = true
	return a.fixture.Pick(ctx, now, req)
}

// Guards against a stream that came early in a shutdown of all, waited for its slot, and is sent
// by its estimate although another process accepts callers by then.
func TestWaitingStreamIsPlannedByItsMaximumOnceOthersAccept(t *testing.T) {
	f := newFixture(t)
	f.picker = acceptsBeforeGrant{f}
	f.shutdownSince = time.Now().Add(-time.Second)
	f.addUpstream("one", streamHeader+"id: 1\ndata: a\n\n")
	f.headers = statedLength()
	f.start()
	response, _, err := f.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	last := f.placementRequests[len(f.placementRequests)-1]
	require.Equal(t, flow.EndRequired, last.EndConstraint)
	require.Equal(t, 100, last.OutputTokens)
}
