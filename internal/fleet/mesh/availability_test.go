package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

const (
	availabilityFleet   = 25
	availabilityDomains = 5
)

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%availabilityDomains) }

// setState changes what the process tells of itself, and tells it at once.
func (p *process) setState(ready, leaving bool) {
	p.handler.mu.Lock()
	sent := p.handler.sent
	p.handler.sent = &wire.Gossip{Rank: sent.Rank, Domain: sent.Domain, Ready: ready, Leaving: leaving}
	p.handler.mu.Unlock()
	p.mesh.GossipNow()
}

// runDomains starts a fleet whose gateways tell their failure domains.
func runDomains(t *testing.T, script func(n *network.Network, all []*process)) {
	t.Helper()
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		all := startFleet(t, n, availabilityFleet)
		for i, p := range all {
			p.handler.mu.Lock()
			p.handler.sent = &wire.Gossip{Rank: int64(i + 1), Ready: true, Domain: domainOf(i)}
			p.handler.mu.Unlock()
			for j := range all {
				p.mesh.SetDomain(gatewayName(j), domainOf(j))
			}
		}
		bubble.Sleep(5 * time.Second)
		script(n, all)
		for _, p := range all {
			p.stop()
		}
	})
}

func (p *process) requireAvailability(t *testing.T, i, acceptingWithin, acceptingOutside int) {
	t.Helper()
	within, outside := p.mesh.Availability(time.Now(), domainOf(i))
	const perDomain = availabilityFleet / availabilityDomains
	require.Equal(t, mesh.Availability{Accepting: acceptingWithin, Total: perDomain - 1}, within, "gateway %d", i)
	require.Equal(t, mesh.Availability{Accepting: acceptingOutside, Total: availabilityFleet - perDomain}, outside, "gateway %d", i)
}

// Guards against a stopping gateway that takes the hubs for the whole fleet: it must
// know how many gateways of its failure domain accept callers, also of those whose
// gossip it does not receive.
func TestGatewaysKnowWhichOfADomainAcceptCallers(t *testing.T) {
	runDomains(t, func(n *network.Network, all []*process) {
		for i, p := range all {
			p.requireAvailability(t, i, 4, 20)
		}
		// Gateways 9, 14 and 19 are in the domain of gateway 24, and none of them is a hub.
		for _, i := range []int{9, 14, 19} {
			all[i].setState(true, true)
		}
		bubble.Sleep(time.Second)
		all[24].requireAvailability(t, 24, 1, 20)
		all[4].requireAvailability(t, 4, 1, 20)
		all[23].requireAvailability(t, 23, 4, 17)
		all[9].setState(false, false)
		n.Vanish(gatewayName(14))
		all[19].setState(true, false)
		bubble.Sleep(3 * time.Second)
		all[24].requireAvailability(t, 24, 2, 20)
	})
}

// Guards against reports that no longer hold: hubs that fail must not leave gateways
// counted as stopping.
func TestAvailabilityFollowsLostHubs(t *testing.T) {
	runDomains(t, func(n *network.Network, all []*process) {
		all[9].setState(true, true)
		bubble.Sleep(time.Second)
		all[24].requireAvailability(t, 24, 3, 20)
		for i := range 8 {
			n.Vanish(gatewayName(i))
		}
		all[9].setState(true, false)
		bubble.Sleep(5 * time.Second)
		// Of the eight lost hubs one is in the domain of gateway 24.
		all[24].requireAvailability(t, 24, 3, 13)
	})
}

// A gateway that has not told its failure domain, as those of earlier versions, counts
// as one of the same domain.
func TestGatewayOfUnknownDomainCountsAsOfTheSame(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		all := startFleet(t, n, 3)
		bubble.Sleep(2 * time.Second)
		within, outside := all[0].mesh.Availability(time.Now(), "domain-0")
		require.Equal(t, mesh.Availability{Accepting: 2, Total: 2}, within)
		require.Zero(t, outside)
		all[1].setState(true, true)
		all[2].mesh.SetDomain(gatewayName(0), "domain-1")
		bubble.Sleep(time.Second)
		within, _ = all[0].mesh.Availability(time.Now(), "domain-0")
		require.Equal(t, mesh.Availability{Accepting: 1, Total: 2}, within)
		_, outside = all[2].mesh.Availability(time.Now(), "domain-2")
		require.Equal(t, mesh.Availability{Accepting: 1, Total: 1}, outside)
		for _, p := range all {
			p.stop()
		}
	})
}

// Guards against a gateway that has lost its links to all others and takes it that none of
// them accepts callers.
func TestGatewayThatHearsNobodyCountsWhatOthersSaidLast(t *testing.T) {
	runDomains(t, func(n *network.Network, all []*process) {
		all[5].setState(true, true)
		bubble.Sleep(time.Second)
		all[0].requireAvailability(t, 0, 3, 20)
		for i := range all {
			n.Vanish(gatewayName(i))
		}
		bubble.Sleep(3 * time.Second)
		within, outside := all[0].mesh.Availability(time.Now(), domainOf(0))
		require.Equal(t, 3, within.Accepting, "all of the domain but the one that stops")
		require.Equal(t, availabilityFleet-availabilityFleet/availabilityDomains, outside.Total)
		require.Positive(t, outside.Accepting)
	})
}
