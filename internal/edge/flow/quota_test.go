package flow_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// quotaRecord is what the Handler did with the quota of the fixture's workspace.
type quotaRecord struct {
	// refuseArrivals and refuseSends make the quota refuse at that stage.
	refuseArrivals, refuseSends bool
	waiting, placed             float64
	charges                     []float64
	refunded                    float64
	// sentBeforeCharge reports that an upstream had executed the request when it was
	// charged.
	sentBeforeCharge bool
}

func (f *fixture) Enqueue(_ time.Time, _ *catalog.Workspace, cost float64) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.quota.refuseArrivals || f.pendingQuotaRequests > 0 {
		return false, time.Second
	}
	f.quota.waiting += cost
	return true, 0
}

func (f *fixture) Dequeue(_ time.Time, _ *catalog.Workspace, cost float64, placed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quota.waiting -= cost
	if placed {
		f.quota.placed += cost
	}
}

func (f *fixture) Take(_ time.Time, _ *catalog.Workspace, cost float64) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.quota.refuseSends {
		return false, time.Second
	}
	f.quota.charges = append(f.quota.charges, cost)
	f.quota.sentBeforeCharge = len(f.executed) > 0
	return true, 0
}

func (f *fixture) Settles(time.Time, *catalog.Workspace) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingQuotaRequests--
	return f.pendingQuotaRequests >= 0
}

func (f *fixture) Return(_ *catalog.Workspace, cost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quota.refunded += cost
}

// recorded returns the record once the handler has ended.
func (f *fixture) recorded() quotaRecord {
	f.server.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quota
}

func newQuotaFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.content.Workspaces[0].QuotaPerSecond = 1
	return f
}

// A request above the quota is refused as not executed.
func TestRequestAboveTheQuotaIsRefusedAtItsArrival(t *testing.T) {
	f := newQuotaFixture(t)
	f.addUpstream("one", successAnswer)
	f.quota.refuseArrivals = true
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	require.Equal(t, "1.000", response.Header.Get("Retry-After"))
	q := f.recorded()
	require.Empty(t, f.executed)
	require.Empty(t, f.placementRequests)
	require.Empty(t, q.charges)
	require.Zero(t, q.refunded)
	require.Zero(t, q.waiting)
}

// Guards against charging a request that waits and is refused, because no upstream
// accepts it.
func TestRequestThatGetsNoSlotCostsNothing(t *testing.T) {
	f := newQuotaFixture(t)
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	q := f.recorded()
	require.Empty(t, q.charges)
	require.Zero(t, q.refunded)
	require.Zero(t, q.waiting)
	require.Zero(t, q.placed)
}

// A request that was charged and that no upstream has executed is refunded.
func TestDeclinedRequestIsRefundedOnce(t *testing.T) {
	f := newQuotaFixture(t)
	f.addUnreachable("gone")
	f.addUpstream("full", declinedAnswer)
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	q := f.recorded()
	require.Equal(t, []float64{1}, q.charges)
	require.InDelta(t, 1, q.refunded, 0)
	require.Zero(t, q.waiting)
}

// Guards against a cost that is charged for each attempt, or refunded although an
// upstream executed the request.
func TestRetriesAndResumesAreChargedOnce(t *testing.T) {
	for path, answers := range map[string][]string{
		"/read/x": {failureAnswer, successAnswer},
		"/long/x": {brokenStream, streamHeader + "id: 2\ndata: b\n\n"},
		"/pay/x":  {declinedAnswer, successAnswer},
	} {
		t.Run(path, func(t *testing.T) {
			f := newQuotaFixture(t)
			for i, answer := range answers {
				f.addUpstream([]string{"one", "two"}[i], answer)
			}
			response, _, err := f.call(path)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			q := f.recorded()
			require.Len(t, f.executed, 2)
			require.Equal(t, []float64{1}, q.charges)
			require.False(t, q.sentBeforeCharge)
			require.Zero(t, q.refunded)
			require.Zero(t, q.waiting)
			require.InDelta(t, 1, q.placed, 0)
		})
	}
}

// Guards against a request that is sent although the bucket emptied while it waited, and
// against a slot that is held by a request that was refused.
func TestRequestWithASlotAndAnEmptyBucketGivesTheSlotBack(t *testing.T) {
	f := newQuotaFixture(t)
	f.addUpstream("one", successAnswer)
	f.quota.refuseSends = true
	response, _, err := f.call("/pay/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	require.Equal(t, "1.000", response.Header.Get("Retry-After"))
	q := f.recorded()
	require.Equal(t, []flow.Outcome{flow.Canceled}, f.outcomes)
	require.Empty(t, f.executed)
	require.Empty(t, q.charges)
	require.Zero(t, q.refunded)
	require.Zero(t, q.waiting)
	require.InDelta(t, 1, q.placed, 0)
}

// leavingPicker holds requests until their callers leave.
type leavingPicker struct{ waits chan struct{} }

// Pick implements flow.Picker.
func (p leavingPicker) Pick(ctx context.Context, _ time.Time, _ flow.PlacementRequest) (flow.Placement, error) {
	close(p.waits)
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against charging a caller that leaves while its request waits, and against a
// cost that counts as waiting for ever.
func TestCallerThatLeavesBeforeTheSendCostsNothing(t *testing.T) {
	f := newQuotaFixture(t)
	picker := leavingPicker{waits: make(chan struct{})}
	f.picker = picker
	f.start()
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+"/read/x", http.NoBody)
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("Api-Key", "key")
	go func() {
		<-picker.waits
		leave()
	}()
	_, err = f.server.Client().Do(request) //nolint:bodyclose // it fails
	require.Error(t, err)
	q := f.recorded()
	require.Empty(t, q.charges)
	require.Zero(t, q.refunded)
	require.Zero(t, q.waiting)
}
