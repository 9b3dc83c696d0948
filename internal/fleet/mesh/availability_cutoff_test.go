package mesh_test

import (
	"testing"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// Guards against a gateway of a large fleet that loses its links and takes it that the gateways
// of which only its hubs told do not accept callers.
func TestGatewayThatHearsNobodyCountsWhatItsHubsSaidLast(t *testing.T) {
	runDomains(t, func(n *network.Network, all []*process) {
		all[9].setState(true, true)
		bubble.Sleep(time.Second)
		all[24].requireAvailability(t, 24, 3, 20)
		for i := range all {
			n.Vanish(gatewayName(i))
		}
		bubble.Sleep(3 * time.Second)
		all[24].requireAvailability(t, 24, 3, 20)
		bubble.Sleep(30 * time.Second)
		all[24].requireAvailability(t, 24, 3, 20)
	})
}
