package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// Guards against many schedulers at once after a return of all gateways: each
// one waited for the others' next gossip, an interval that grows with the fleet.
func TestGatewaysThatReturnTogetherHearEachOtherAtOnce(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		const size, apart = 68, 4 * time.Millisecond
		n := network.New()
		name := func(i int) string { return fmt.Sprintf("g%d:1", i) }
		var peers []string
		for i := range size {
			peers = append(peers, name(i))
		}
		var all []*process
		for i := range size {
			all = append(all, start(t, n, name(i), uint64(i+1), &wire.Gossip{Rank: int64(i + 1), Ready: true}, peers...))
			bubble.Pass(apart)
		}
		bubble.Pass(120 * time.Millisecond)
		for i := 1; i < size; i++ {
			first, _ := all[i].handler.from(name(0))
			require.NotNil(t, first, "gateway %d has not heard the first in rank", i)
			require.True(t, first.HearsYou, "the first in rank does not say that it hears gateway %d", i)
		}
		for _, p := range all {
			p.stop()
		}
	})
}
