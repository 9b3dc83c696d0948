package gateway_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// Guards against gateways with small links that never have a large configuration after all of
// them have started again, as each answer of the store is given up before it has arrived.
func TestLargeConfigurationIsReadOverSmallLinksAfterAllStartAgain(t *testing.T) {
	const bytesPerSecond, configApply, recovery = 1.25e6, 4 * time.Second, 12 * time.Second
	var idle strings.Builder
	for i := range 4500 {
		fmt.Fprintf(&idle, `{"name":"idle-%d","hostname":"idle","prefix":"/idle-%d/","kind":"idempotent","timeoutMs":15000,"targetLatencyMs":600,"service":"tutor","maxAttempts":2,"note":%q},`,
			i, i, strings.Repeat("x", 60))
	}
	links := make(map[int]*network.Link)
	for i := range gateways {
		links[i] = network.NewLink(bytesPerSecond)
	}
	var statuses []int
	f := &fleet{size: gateways, slots: slots, logger: slog.New(slog.DiscardHandler), links: links, storeOverLinks: true, configApply: configApply}
	playFleet(t, f, func(f *fleet) {
		value := fmt.Sprintf(`{"version":2,"routes":[%s
			{"name":"r","hostname":"h","prefix":"/new/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":600,"service":"tutor","maxAttempts":2,"streamResume":true,"gapAimMs":250}],
			"services":[{"name":"tutor","engine":{"slots":%d,"stride":6}}],"tenants":[{"name":"studio","apiKeys":["key"]}]}`, idle.String(), f.slots)
		require.Less(t, len(value), 1<<20)
		f.store.Put("op/config", value)
		bubble.Sleep(configApply)
		require.Equal(t, http.StatusOK, f.call(0, "/new/x?events=1", "before").status)
		for i := range gateways {
			f.kill(i)
		}
		bubble.Sleep(recovery)
		for i := range gateways {
			statuses = append(statuses, f.call(i, "/new/x?events=1", fmt.Sprint("new-", i)).status)
		}
	})
	require.Equal(t, []int{http.StatusOK, http.StatusOK, http.StatusOK}, statuses)
}
