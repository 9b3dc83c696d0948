package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against gateways that keep an old configuration, and an upstream that has left, since
// several large versions come between two looks at the store.
func TestLargeConfigurationsInQuickSuccessionAreInForceInTime(t *testing.T) {
	const versions, routes = 10, 4500
	var idle strings.Builder
	for i := range routes {
		fmt.Fprintf(&idle, `{"name":"idle-%d","hostname":"idle","prefix":"/idle-%d/","kind":"idempotent","timeoutMs":15000,"targetLatencyMs":600,"service":"tutor","maxAttempts":2,"note":%q},`,
			i, i, strings.Repeat("x", 60))
	}
	var served, denied []int
	var later []time.Time
	runFleet(t, func(f *fleet) {
		put := func(version int, key string) {
			f.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s
				{"name":"r","hostname":"h","prefix":"/v%d/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":600,"service":"tutor","maxAttempts":2,"streamResume":true,"gapAimMs":250}],
				"services":[{"name":"tutor","engine":{"slots":%d,"stride":6}}],"tenants":[{"name":"studio","apiKeys":[%q]}]}`, version, idle.String(), version, f.slots, key))
		}
		for version := 2; version < 2+versions; version++ {
			put(version, "key")
			bubble.Sleep(80 * time.Millisecond)
		}
		put(2+versions, "other")
		f.register(0, "a", `,"state":"draining"`)
		bubble.Sleep(f.settings(0).ConfigApplyLimit)
		since := time.Now()
		for i := range gateways {
			path := fmt.Sprintf("/v%d/x?events=1", 2+versions)
			served = append(served, f.callWithHeaders(i, path, fmt.Sprint("new-", i), strings.NewReader("b"), map[string]string{"Api-Key": "other"}).status)
			denied = append(denied, f.call(i, path, fmt.Sprint("old-", i)).status)
		}
		later = f.arrivalsSince(0, since)
	})
	require.Equal(t, []int{http.StatusOK, http.StatusOK, http.StatusOK}, served)
	require.Equal(t, []int{http.StatusUnauthorized, http.StatusUnauthorized, http.StatusUnauthorized}, denied)
	require.Empty(t, later, "the upstream has left")
}
