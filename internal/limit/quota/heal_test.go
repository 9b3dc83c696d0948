package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a partition that heals gateway by gateway and lets a workspace exceed the
// bound: the refill that was left to each gateway, which did not use it, is credited to all
// others when it returns. The workspace sends four times its quota at the others.
func TestGatewaysThatReturnOneAfterAnotherStayWithinTheBound(t *testing.T) {
	const from, until = 3 * time.Second, 20 * time.Second
	for _, lost := range []int{4, 8, 16} {
		for _, step := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%d every %v", lost, step), func(t *testing.T) {
				s := newScenario(24, large())
				s.length, s.costs = until+time.Duration(lost)*step+2*time.Second, deploymentCosts
				s.ledgerOf = func(at time.Duration, gateway int) int {
					if gateway < lost && at > from && at < until+time.Duration(gateway)*step {
						return noLedger
					}
					return 0
				}
				s.load = func(time.Duration) float64 { return 4 }
				s.weight = func(_ time.Duration, gateway int) float64 {
					if gateway < lost {
						return 0
					}
					return 1 / float64(s.size-lost)
				}
				require.LessOrEqual(t, s.run(1).most(window), bound(s.workspace))
			})
		}
	}
}
