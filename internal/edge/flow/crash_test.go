package flow_test

import (
	"context"
	"net/http"
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
