package flow_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
)

func TestAnswerIsPassedOn(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", successAnswer)
	response, body, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "s", response.Header.Get(sealHeader))
	require.Equal(t, "ok", body)
	require.Equal(t, []string{"one after  tenant studio key "}, f.executed, "the upstream gets the workspace's name and not the API key")
}

// Guards against a payment that is executed twice after its answer was lost:
// because it is sent to another upstream, or because its caller is told that it was
// not executed and sends it again.
func TestNonIdempotentRequestWithLostAnswerIsNotRetriedOrRefused(t *testing.T) {
	for name, text := range map[string]string{"closed": "HTTP/1.1 200", "unsealed": unsealedAnswer, "other id": strings.ReplaceAll(successAnswer, "ID", "zz")} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addUpstream("one", text)
			f.addUpstream("two", successAnswer)
			response, _, err := f.call("/pay/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Len(t, f.executed, 1)
		})
	}
}

// A payment that no upstream has executed, because they are down or full, may be
// sent to the next one, or be refused with a Retry-After.
func TestNonIdempotentRequestIsRetriedIfNotExecuted(t *testing.T) {
	f := newFixture(t)
	f.addUnreachable("gone")
	f.addUpstream("full", declinedAnswer)
	f.addUpstream("three", successAnswer)
	response, _, err := f.call("/pay/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, []flow.Outcome{flow.Unreachable, flow.Declined, flow.Answered}, f.outcomes)
}

func TestNonIdempotentRequestThatWasNotExecutedIsRefusedWithRetryAfter(t *testing.T) {
	f := newFixture(t)
	f.addUnreachable("gone")
	response, _, err := f.call("/pay/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1.500", response.Header.Get("Retry-After"))
}

// A failed read is retried on another upstream within the attempts of its route
// and the fleet's retry budget. After that the failure is passed on unchanged.
func TestFailedReadIsRetriedUpToMaxAttempts(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", failureAnswer)
	f.addUpstream("two", successAnswer)
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)

	f = newFixture(t)
	f.addUpstream("one", failureAnswer)
	f.addUpstream("two", failureAnswer)
	f.addUpstream("three", successAnswer)
	response, body, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Equal(t, "bad", body)
	require.Len(t, f.executed, 2)
}

// An upstream dies within an event. The stream is resumed on another upstream
// after the last complete event. The caller gets the header of the first upstream
// and nothing of the partial event.
func TestBrokenStreamIsResumedAfterTheLastCompleteEvent(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", brokenStream)
	f.addUpstream("two", streamHeader+"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	response, body, err := f.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, "first", response.Header.Get(sealHeader))
	require.Equal(t, "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3\r\ndata: c\r\n\r\n", body)
	require.Contains(t, f.executed[1], "two after 1 ")
}

// Guards against resumable streams that are aborted with "no slot became free in
// time". After sixteen engines had crashed in a burst, the first events of their
// streams had been due seconds before, and the scheduler took them for requests
// that are late anyway.
func TestResumedStreamGetsANewDueTime(t *testing.T) {
	f := newFixture(t)
	f.content.Routes[2].LatencyTarget = 10 * time.Millisecond
	f.addUpstream("one", brokenStream)
	f.addUpstream("two", streamHeader+"id: 2\ndata: b\n\n")
	_, _, err := f.call("/long/x")
	require.NoError(t, err)
	require.Len(t, f.placementRequests, 2)
	require.True(t, f.placementRequests[1].Resent)
	require.GreaterOrEqual(t, f.placementRequests[1].NextEventDue.Sub(f.placementRequests[0].NextEventDue), time.Second)
}

// A broken stream whose route does not allow resuming is aborted. It must not look
// complete to the caller, and no other upstream gets the request.
func TestNonResumableStreamIsAborted(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", brokenStream)
	f.addUpstream("two", streamHeader)
	_, body, err := f.call("/once/x")
	require.Error(t, err)
	require.NotContains(t, body, "id: 2")
	require.Len(t, f.executed, 1)
}

// If the upstream does not answer within the route's timeout, the caller gets a
// gateway timeout and is not told that the request was not executed.
func TestSilentUpstreamTimesOut(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", "")
	response, _, err := f.call("/short/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
}

// Retries share a budget across the fleet. Once it is exhausted a read is not
// retried, which would add load to services that are already failing; the caller
// gets the upstream's failure.
func TestExhaustedRetryBudgetEndsRetries(t *testing.T) {
	f := newFixture(t)
	f.retryBudget = 0
	f.addUpstream("one", failureAnswer)
	f.addUpstream("two", successAnswer)
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Len(t, f.executed, 1)
}

// Guards against a share of retries that grows with each upstream that refuses a connection: the
// request was counted anew for each of them.
func TestRequestIsCountedOnceHoweverManyUpstreamsRefuseConnections(t *testing.T) {
	f := newFixture(t)
	for _, name := range []string{"one", "two", "three"} {
		f.addUnreachable(name)
	}
	f.addUpstream("four", successAnswer)
	f.requireStatus("/read/x", http.StatusOK)
	require.Equal(t, 1, f.requestsCounted)
	require.Equal(t, 10, f.retryBudget, "nothing was sent twice")
}

func TestRoutingAndAuthentication(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", successAnswer)
	for path, want := range map[string]int{"/read/x": http.StatusOK, "/nowhere/": http.StatusNotFound, "/read": http.StatusNotFound} {
		response, _, err := f.call(path)
		require.NoError(t, err)
		require.Equal(t, want, response.StatusCode, path)
	}
	f.content.Workspaces[0].APIKeys = nil
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	response, _, err = f.call("/open/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// A process without a configuration must answer that it is unavailable, and not
// that a route or key is unknown.
func TestMissingConfigurationIsUnavailable(t *testing.T) {
	f := newFixture(t)
	f.content.Version = 0
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

// Guards against a long stream that arrives shortly before the process exits, on a
// connection that is still open, and is cut off. It is refused at once, while a
// short request is served.
func TestRequestThatOutlastsAShutdownIsRefused(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", successAnswer)
	f.shutdownSince = time.Now().Add(-5 * time.Second)
	response, _, err := f.call("/long/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	f.content.Routes[1].Timeout = time.Second
	response, _, err = f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a stream that is accepted late in a shutdown, exceeds its
// estimated length and is cut off. Late streams are planned with more than the
// estimate, though never with more than they may generate.
func TestLateStreamIsPlannedWithItsMaximum(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", streamHeader+"id: 1\ndata: a\n\n")
	for _, c := range []struct {
		since             time.Duration
		tokenCounts, hint string
		ending            flow.EndConstraint
		planned           int
	}{
		{time.Second, "1000,100", "20", flow.EndPreferred, 20},
		{2500 * time.Millisecond, "1000,100", "20", flow.EndRequired, 100},
		{3 * time.Second, "1000,100", "20", flow.EndRequired, 100},
		{3 * time.Second, "1000,30", "20", flow.EndRequired, 30},
	} {
		f.shutdownSince = time.Now().Add(-c.since)
		f.headers = map[string]string{"X-Persimmonridge-Token-Counts": c.tokenCounts, "X-Persimmonridge-Length-Hint": c.hint}
		_, _, err := f.call("/long/x")
		require.NoError(t, err)
		request := f.placementRequests[len(f.placementRequests)-1]
		require.Equal(t, c.ending, request.EndConstraint)
		require.Equal(t, c.planned, request.OutputTokens)
	}
}

// Guards against a stream that is accepted during a shutdown, exceeds any estimate of
// its length and is cut off, although another process could have served it.
func TestStreamInShutdownIsPlannedWithItsMaximumWhileOthersAccept(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", streamHeader+"id: 1\ndata: a\n\n")
	for _, c := range []struct {
		since        time.Duration
		otherAccepts bool
		ending       flow.EndConstraint
		planned      int
	}{
		{0, true, flow.EndRequired, 100},
		{time.Second, true, flow.EndRequired, 100},
		{time.Second, false, flow.EndPreferred, 20},
		{3 * time.Second, true, flow.EndRequired, 100},
		{3 * time.Second, false, flow.EndRequired, 100},
	} {
		f.shutdownSince, f.otherAccepts = time.Now().Add(-c.since), c.otherAccepts
		f.headers = map[string]string{"X-Persimmonridge-Token-Counts": "1000,100", "X-Persimmonridge-Length-Hint": "20"}
		_, _, err := f.call("/long/x")
		require.NoError(t, err)
		request := f.placementRequests[len(f.placementRequests)-1]
		require.Equal(t, c.ending, request.EndConstraint)
		require.Equal(t, c.planned, request.OutputTokens)
	}
}
