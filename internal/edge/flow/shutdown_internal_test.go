package flow

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	testGrace   = 7300 * time.Millisecond
	testTimeout = 15 * time.Second
	testMax     = 2940
	testHint    = 12
)

// stopCase is a streaming request and when it arrives and is placed, counted from the
// start of the process's shutdown.
type stopCase struct {
	name            string
	arrives, placed time.Duration
	othersAccept    bool
	lengthNotStated bool
	hint            int
	attempts        int
	timeout         time.Duration
	constraint      EndConstraint
	planned         int
}

// plan returns what a process decides on the request and tells the scheduler.
func (s stopCase) plan(t *testing.T) (accepted bool, req PlacementRequest, asked int) {
	t.Helper()
	startedAt := time.Unix(1_000_000, 0)
	timeout := testTimeout
	if s.timeout > 0 {
		timeout = s.timeout
	}
	c := &call{
		w: httptest.NewRecorder(),
		Handler: New(Dependencies{
			ShutdownStatus: func() (since, until time.Time, leaving bool) { return startedAt, startedAt.Add(testGrace), true },
			OthersAccept: func(bool) bool {
				asked++
				return s.othersAccept
			},
		}),
		route:     &catalog.Route{Kind: catalog.Streaming, Timeout: timeout, LatencyTarget: time.Second},
		request:   Request{TokensStated: !s.lengthNotStated, PromptTokens: 1000, OutputTokens: testMax, LengthHint: s.hint},
		arrivedAt: startedAt.Add(s.arrives), deadline: startedAt.Add(s.arrives + timeout), attempts: s.attempts,
	}
	if s.lengthNotStated {
		c.request.PromptTokens, c.request.OutputTokens = 0, 0
	}
	c.checkShutdown()
	placedAt := startedAt.Add(max(s.arrives, s.placed))
	accepted = c.fitsBeforeExit(placedAt)
	req = c.placementRequest(placedAt, "tutor")
	return accepted, req, asked
}

// boundsTheLength reports whether the stream is planned to end by the exit of the process
// by the most that it may generate, or cannot outlast the process.
func boundsTheLength(s stopCase, req PlacementRequest) bool {
	exitAt := time.Unix(1_000_000, 0).Add(testGrace)
	if !req.Deadline.After(exitAt) && req.EndConstraint == EndUnconstrained {
		return true
	}
	return req.EndConstraint != EndUnconstrained && !req.Deadline.After(exitAt) && req.OutputTokens >= testMax && !s.lengthNotStated
}

// Guards against a stream that a process accepts during its shutdown by an estimate of its
// length, and cuts off, while another process accepts requests.
func TestStreamInAShutdownIsPlannedByABoundWhileOthersAccept(t *testing.T) {
	for _, s := range []stopCase{
		{name: "at once", arrives: 0, hint: testHint},
		{name: "1.0 s", arrives: time.Second, hint: testHint},
		{name: "1.5 s", arrives: 1500 * time.Millisecond, hint: testHint},
		{name: "2.0 s", arrives: 2 * time.Second, hint: testHint},
		{name: "2.001 s", arrives: 2001 * time.Millisecond, hint: testHint},
		{name: "5.5 s", arrives: 5500 * time.Millisecond, hint: testHint},
		{name: "1.5 s, no hint", arrives: 1500 * time.Millisecond},
		{name: "1.5 s, length not stated", arrives: 1500 * time.Millisecond, lengthNotStated: true},
		{name: "2.5 s, length not stated", arrives: 2500 * time.Millisecond, lengthNotStated: true},
		{name: "1.5 s, placed at 6 s", arrives: 1500 * time.Millisecond, placed: 6 * time.Second, hint: testHint},
		{name: "1.5 s, sent again at 5 s", arrives: 1500 * time.Millisecond, placed: 5 * time.Second, attempts: 1, hint: testHint},
		{name: "before, placed at 1 s", arrives: -time.Millisecond, placed: time.Second, hint: testHint},
		{name: "before, sent again at 5 s", arrives: -time.Millisecond, placed: 5 * time.Second, attempts: 1, hint: testHint},
		{name: "1.5 s, caller waits 5 s", arrives: 1500 * time.Millisecond, timeout: 5 * time.Second, hint: testHint},
	} {
		t.Run(s.name, func(t *testing.T) {
			s.othersAccept = true
			accepted, req, asked := s.plan(t)
			left := req.Deadline.Sub(time.Unix(1_000_000, 0).Add(max(s.arrives, s.placed)))
			t.Logf("accepted %t, constraint %s, told %d of at most %d tokens, time left %s, asked for others %d times",
				accepted, req.EndConstraint, req.OutputTokens, testMax, left, asked)
			if !accepted {
				return
			}
			require.True(t, boundsTheLength(s, req), "accepted with no bound of its length")
		})
	}
}

// What a process tells the scheduler of a stream with no other process left: the most that
// it may generate after the first two seconds, the estimate before.
func TestStreamInAShutdownIsPlannedByAnEstimateEarlyOnlyWhileNobodyElseAccepts(t *testing.T) {
	for _, s := range []stopCase{
		{arrives: time.Second, hint: testHint, constraint: EndPreferred, planned: testHint},
		{arrives: 1999 * time.Millisecond, hint: testHint, constraint: EndPreferred, planned: testHint},
		{arrives: 2001 * time.Millisecond, hint: testHint, constraint: EndRequired, planned: testMax},
		{arrives: 5 * time.Second, hint: testHint, constraint: EndRequired, planned: testMax},
		{arrives: 5 * time.Second, constraint: EndRequired, planned: testMax},
		{arrives: time.Second, constraint: EndPreferred, planned: testMax},
	} {
		t.Run(fmt.Sprintf("%s, hint %d", s.arrives, s.hint), func(t *testing.T) {
			_, req, _ := s.plan(t)
			require.Equal(t, s.constraint, req.EndConstraint)
			require.Equal(t, s.planned, req.OutputTokens)
		})
	}
}
