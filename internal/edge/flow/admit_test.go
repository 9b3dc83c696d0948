package flow_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBlockedFingerprintIsRefused(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", successAnswer)
	f.blocked = true
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Empty(t, f.executed)
}

// Guards against a newly started process that refuses callers below their quota
// because it does not know the usage totals yet.
func TestRequestIsHeldUntilUsageIsKnown(t *testing.T) {
	f := newFixture(t)
	f.addUpstream("one", successAnswer)
	f.content.Workspaces[0].QuotaPerSecond, f.pendingQuotaRequests = 1, 3
	response, _, err := f.call("/read/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Zero(t, f.pendingQuotaRequests)
}
