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
