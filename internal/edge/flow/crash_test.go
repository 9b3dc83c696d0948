package flow_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
)

// blockingPicker is a flow.Picker that has the request blocked at a pick, while it waits
// for a placement or as it gets one.
type blockingPicker struct {
	*fixture
	// at is the number of the pick, waits whether it then waits until its context ends.
	at    int
	waits bool
}

func (p *blockingPicker) Pick(ctx context.Context, now time.Time, a flow.PlacementRequest) (flow.Placement, error) {
	if len(p.placementRequests) == p.at {
		p.blocked = true
		p.whenBlocked()
		if p.waits {
			<-ctx.Done()
			return nil, flow.RefusePlacement(time.Second, "waited in vain")
		}
	}
	return p.fixture.Pick(ctx, now, a)
}

// Guards against a request that is sent although it has become known since its arrival
// that it crashes upstreams: while it waits, with its slot granted, as a retry or a resume.
func TestRequestThatBecomesBlockedIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name, path, first string
		at                int
		waits             bool
		status, executed  int
	}{
		{"waits", "/read/x", successAnswer, 0, true, http.StatusServiceUnavailable, 0},
		{"granted", "/read/x", successAnswer, 0, false, http.StatusServiceUnavailable, 0},
		{"payment granted", "/pay/x", successAnswer, 0, false, http.StatusServiceUnavailable, 0},
		{"waits to be retried", "/read/x", "HTTP/1.1 200", 1, true, http.StatusBadGateway, 1},
		{"granted to be retried", "/read/x", "HTTP/1.1 200", 1, false, http.StatusBadGateway, 1},
		{"declined, then waits", "/pay/x", declinedAnswer, 1, true, http.StatusServiceUnavailable, 1},
		{"waits to be resumed", "/long/x", brokenStream, 1, true, 0, 1},
		{"granted to be resumed", "/long/x", brokenStream, 1, false, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.addUpstream("one", c.first)
			f.addUpstream("two", successAnswer)
			f.picker = &blockingPicker{fixture: f, at: c.at, waits: c.waits}
			f.start()
			response, body, err := f.call(c.path)
			require.Len(t, f.executed, c.executed)
			if c.status == 0 {
				require.Error(t, err, "a stream that is not resumed must not look complete")
				require.Equal(t, "id: 1\r\ndata: a\r\n\r\n", body)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.status, response.StatusCode)
			require.Equal(t, c.status == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != "")
		})
	}
}

// Guards against an answer that ends with its upstream and clears its request of the
// crash, and against none that does.
func TestAnswerThatMayEndWithItsUpstreamDoesNotClearTheRequest(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\n" + idHeader + ": ID\n" + sealHeader + ": s\n\nok"
	for answer, served := range map[string]int{successAnswer: 1, unframed: 0, failureAnswer: 0} {
		f := newFixture(t)
		f.addUpstream("one", answer)
		_, _, err := f.call("/pay/x")
		require.NoError(t, err)
		require.Equal(t, served, f.served, answer)
	}
}

// Guards against a stream that has neither a length nor chunks and looks complete although
// its upstream broke it off: within an event, or before the first one.
func TestStreamThatEndsWithItsConnectionIsCompleteOnlyAfterAnEvent(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	whole := strings.ReplaceAll(first+second, "\n", "\r\n")
	for name, c := range map[string]struct {
		sent     string
		complete bool
	}{
		"between events":           {first + second, true},
		"before the first event":   {"", false},
		"blank lines alone":        {"\n\n", false},
		"a comment alone":          {": begins\n", false},
		"within the ID of the 1st": {"id:", false},
		"within the 1st":           {"id: 1\ndata: a\n", false},
		"within the ID of the 2nd": {first + "id: 2", false},
		"within the data":          {first + "id: 2\ndata: ", false},
		"before the blank line":    {first + "id: 2\ndata: b\n", false},
		"within the line end":      {first + "id: 2\ndata: b\n\r", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addUpstream("one", streamHeader+c.sent)
			f.addUpstream("two", streamHeader+first+second)
			_, body, err := f.call("/long/x")
			require.NoError(t, err)
			require.Equal(t, whole, body)
			require.Equal(t, !c.complete, len(f.executed) == 2, "it is resumed only if it was broken off")

			f = newFixture(t)
			f.addUpstream("one", streamHeader+c.sent)
			response, _, err := f.call("/once/x")
			succeeds := err == nil && response.StatusCode == http.StatusOK
			f.server.Close() // waits for the handler, which may still record what broke off
			require.Equal(t, c.complete, succeeds)
			require.Equal(t, !c.complete, len(f.crashReports) > 0, "it may be a crash")
		})
	}
}
