package gateway

import (
	"maps"
	"net/netip"
	"sync"
)

// listens holds the addresses at which gateways listen, by the key of their registration. An
// upstream's registration that names one of them would send requests round to a gateway.
type listens struct {
	mu    sync.Mutex
	byKey map[string][]string
}

func newListens() *listens { return &listens{byKey: make(map[string][]string)} }

// listens returns all addresses at which the gateway listens.
func (m member) listens() []string { return append([]string{m.Address}, m.Listens...) }

func (l *listens) replace(byKey map[string][]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byKey = maps.Clone(byKey)
}

func (l *listens) add(key string, addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byKey[key] = addresses
}

func (l *listens) remove(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byKey, key)
}

// addresses returns all addresses in the notation in which upstreams' addresses are read.
func (l *listens) addresses(own ...string) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]bool)
	add := func(addresses []string) {
		for _, address := range addresses {
			if parsed, err := netip.ParseAddrPort(address); err == nil {
				all[netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String()] = true
			}
		}
	}
	add(own)
	for _, addresses := range l.byKey {
		add(addresses)
	}
	return all
}

// reserveAddresses keeps upstreams out that name the address of a gateway.
func (g *Gateway) reserveAddresses() {
	s := g.settings
	if g.roster.SetReserved(g.listens.addresses(s.CallerAddress, s.ReadinessAddress, s.LinkAddress, s.MetricsAddress)) {
		g.publishEngines()
	}
}
