package local_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/local"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// Guards against callers who are refused beside idle upstreams, because most of them reach
// one of many gateways and it may use no more than a part of each upstream.
func TestOneOfManyGatewaysMayUseWhatTheOthersLeave(t *testing.T) {
	const slots, many = 8, 20
	now := time.Unix(1_000_000, 0)
	ready := []roster.Upstream{{ID: "one", Slots: slots}, {ID: "two", Slots: slots}}
	for _, c := range []struct {
		name string
		// prepare tells the chooser of one answer of each upstream.
		prepare func(p flow.Placement)
		after   time.Duration
		want    int
	}{
		{"nothing is known of the others", func(p flow.Placement) { p.Release(now, flow.Answered, 0) }, 0, 2 * slots},
		{"the others use nothing", func(p flow.Placement) {
			p.ReportLoad(now, exchange.Load{Running: 1, Slots: slots})
			p.Release(now, flow.Answered, 0)
		}, 0, 2 * slots},
		{"the others use three slots", func(p flow.Placement) {
			p.ReportLoad(now, exchange.Load{Running: 4, Slots: slots})
			p.Release(now, flow.Answered, 0)
		}, 0, 2 * (slots - 3)},
		{"the others use all, so that its part is left", func(p flow.Placement) {
			p.ReportLoad(now, exchange.Load{Running: slots, Waiting: slots, Slots: slots})
			p.Release(now, flow.Answered, 0)
		}, 0, 2 * 3},
		{"upstreams turn requests away", func(p flow.Placement) { p.Release(now, flow.Declined, 0) }, 500 * time.Millisecond, 2 * 3},
		{"upstreams turned requests away a while ago", func(p flow.Placement) { p.Release(now, flow.Declined, 0) }, 2 * time.Second, 2 * slots},
	} {
		t.Run(c.name, func(t *testing.T) {
			chooser := local.New("a", func(string) []roster.Upstream { return ready }, func() int { return many })
			for i := range ready {
				chosen, err := chooser.Pick(t.Context(), now, flow.PlacementRequest{ExcludedUpstreams: []string{ready[1-i].ID}})
				require.NoError(t, err)
				c.prepare(chosen)
			}
			got := 0
			for {
				if _, err := chooser.Pick(t.Context(), now.Add(c.after), flow.PlacementRequest{ID: fmt.Sprint(got)}); err != nil {
					break
				}
				got++
			}
			require.Equal(t, c.want, got)
		})
	}
}
