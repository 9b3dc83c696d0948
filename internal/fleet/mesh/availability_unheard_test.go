package mesh_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// Guards against an address that no gateway has heard of, such as a seed address of a VM
// that is gone, and that counts as accepting callers because no hub lists it.
func TestAddressThatNobodyHeardDoesNotCountAsAccepting(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		all := startFleet(t, n, 3)
		bubble.Sleep(2 * time.Second)
		all[0].mesh.AddPeer(time.Now(), "10.9.9.9:81")
		bubble.Sleep(2 * time.Second)
		within, _ := all[0].mesh.Availability(time.Now(), "")
		for _, p := range all {
			p.stop()
		}
		require.Equal(t, mesh.Availability{Accepting: 2, Total: 3}, within)
	})
}

// Guards against gateways that crash and still count as accepting callers, as none but
// the hubs notices their silence; they leave the count once they are forgotten.
func TestAvailabilityFollowsCrashedGateways(t *testing.T) {
	runDomains(t, func(n *network.Network, all []*process) {
		for _, i := range []int{9, 14} {
			n.Vanish(gatewayName(i))
			all[i].cancel()
		}
		bubble.Sleep(3 * time.Second)
		all[24].requireAvailability(t, 24, 2, 20)
		bubble.Sleep(3 * time.Minute)
		within, _ := all[24].mesh.Availability(time.Now(), domainOf(24))
		require.Equal(t, mesh.Availability{Accepting: 2, Total: 2}, within)
	})
}
