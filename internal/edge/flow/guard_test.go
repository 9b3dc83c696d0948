package flow_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// guard implements flow.SendGuard: it withholds requests from the named upstreams.
type guard struct {
	withheld []string
	failed   []string
	warmUp   time.Duration
	pause    time.Duration
}

func (g *guard) Admit(_ time.Time, u roster.Upstream) string {
	if slices.Contains(g.withheld, u.ID) {
		return "withheld"
	}
	return ""
}

func (g *guard) Await(time.Time, roster.Upstream) func(time.Time) { return nil }

func (g *guard) Pause(time.Time, string) time.Duration { return g.pause }

func (g *guard) AnswerReceived(_ time.Time, _ roster.Upstream, _ time.Time, answer *exchange.Answer) {
	g.warmUp = answer.WarmUpRemaining
}

func (g *guard) Failed(_ time.Time, upstream string) { g.failed = append(g.failed, upstream) }

// Guards against requests to an upstream that may get none at the moment of sending, and
// against callers that fail because of it while another upstream could serve them.
func TestRequestIsNotSentToAnUpstreamThatMayGetNone(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("cold", successAnswer)
	f.addUpstream("warm", successAnswer)
	f.guard = &guard{withheld: []string{"cold"}}
	f.start()
	response, _, err := f.call("/pay/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, f.executed, 1)
	require.Contains(t, f.executed[0], "warm")
	require.Empty(t, f.guard.failed, "withholding a request is no failure of the upstream")
}

// Guards against a caller who is told that the request may have run, or who is held,
// although every upstream may get no request at the moment.
func TestRequestWithheldFromAllUpstreamsIsRefused(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("cold", successAnswer)
	f.guard = &guard{withheld: []string{"cold"}}
	f.start()
	response, _, err := f.call("/pay/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Empty(t, f.executed)
}

// Guards against an upstream's own statement of its warm-up that is ignored, and against
// a failed connection, the first sign of a restart, that is not reported.
func TestGuardHearsOfWarmUpAndFailures(t *testing.T) {
	f := newFixture(t)
	f.addUnreachable("gone")
	f.addUpstream("cold", strings.Replace(successAnswer, "\n", "\nX-Persimmonridge-Cold-Ms: 1500\n", 1))
	f.guard = &guard{}
	f.start()
	require.Equal(t, http.StatusOK, f.status("/pay/x"))
	require.Equal(t, []string{"gone"}, f.guard.failed)
	require.Equal(t, 1500*time.Millisecond, f.guard.warmUp)
}

// Guards against requests that leave the regions which their route and workspace allow.
func TestRequestIsPlacedInItsRegionsOnly(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("u", successAnswer)
	f.domains = map[string][]string{"north": {"a", "b"}}
	f.content.Routes[0].AllowedRegions = []string{"north", "south"}
	f.content.Workspaces[0].AllowedRegions = []string{"north"}
	require.Equal(t, http.StatusOK, f.status("/pay/x"))
	require.Equal(t, []string{"a", "b"}, f.placementRequests[0].Domains)
	f.content.Workspaces[0].AllowedRegions = []string{"south"}
	require.Equal(t, http.StatusServiceUnavailable, f.status("/pay/x"))
	require.Len(t, f.placementRequests, 1)
}

// Guards against an upstream whose address another one has that is taken for a full one.
func TestMisdirectedRequestGoesToAnotherUpstream(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("replaced", "HTTP/1.1 421 Misdirected Request\nContent-Length: 0\n\n")
	f.addUpstream("u", successAnswer)
	require.Equal(t, http.StatusOK, f.status("/pay/x"))
	require.Equal(t, []flow.Outcome{flow.Misdirected, flow.Answered}, f.outcomes)
}

// status makes a call and returns the status of its answer.
func (f *fixture) status(path string) int {
	response, _, err := f.call(path)
	require.NoError(f.t, err)
	return response.StatusCode
}

func (f *fixture) domainsIn(regions []string) []string {
	var domains []string
	for _, region := range regions {
		domains = append(domains, f.domains[region]...)
	}
	return domains
}

// Guards against a caller of a declined request who is told to come back while all
// upstreams still rest.
func TestDeclinedCallerIsToldWhenAnUpstreamTakesRequests(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("resting", declinedAnswer)
	f.guard = &guard{pause: 2500 * time.Millisecond}
	f.start()
	response, _, err := f.call("/pay/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "2.500", response.Header.Get("Retry-After"))
}

// Guards against statements of another upstream, or in bytes of a faulty one, that are taken
// for those of the upstream that got the request.
func TestGuardHearsOnlyWhatTheUpstreamStates(t *testing.T) {
	const misdirected = "HTTP/1.1 421 Other\n" + idHeader + ": ID\nContent-Length: 0\n\n"
	for name, test := range map[string]struct {
		answer string
		heard  bool
	}{
		"executed":     {successAnswer, true},
		"declined":     {declinedAnswer, true},
		"failed":       {failureAnswer, true},
		"without seal": {unsealedAnswer, true},
		"without ID":   {strings.Replace(unsealedAnswer, idHeader, "Other", 1), false},
		"misdirected":  {misdirected, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addUpstream("one", strings.Replace(test.answer, "Content-Length", "X-Persimmonridge-Cold-Ms: 1500\nContent-Length", 1))
			f.guard = &guard{}
			f.start()
			_, _, err := f.call("/pay/x")
			require.NoError(t, err)
			require.Equal(t, test.heard, f.guard.warmUp > 0)
		})
	}
}
