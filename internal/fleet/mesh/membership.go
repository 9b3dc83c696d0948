package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

const (
	// maxWholeList is the length up to which lists of gateways are sent whole when they have
	// changed. Sent whole to all, longer ones would grow with the square of the fleet.
	maxWholeList = 32
	// wholeListEvery is the number of gossip messages per one that carries such a list of
	// heard peers even if it has not changed.
	wholeListEvery = 50
	// heardRefreshParts is the number of messages with the sender's identity in which all of
	// a longer list are sent again. At the longest gossip interval that takes 96 s, and a
	// peer that nobody mentions is removed after removeAfter.
	heardRefreshParts = 24
	// unavailableMemory is how many lists a change may start from.
	unavailableMemory = 32
)

// heardPeer is a peer that is alive, and the version at which it was heard anew.
type heardPeer struct {
	*wire.Heard
	version uint64
}

// heardPeers are the peers that are alive, in order of address.
type heardPeers struct {
	all []heardPeer
	// sum is a checksum of the addresses, and version that of the latest.
	sum, version uint64
	// since holds, by version, what was heard anew since.
	since map[uint64][]*wire.Heard
}

// heardPeers returns the peers that are alive.
func (m *Mesh) heardPeers(now time.Time) heardPeers {
	timeout := m.livenessTimeout()
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := heardPeers{version: m.heardVersion, since: make(map[uint64][]*wire.Heard)}
	for _, p := range m.peers {
		if p.Node != "" && now.Sub(p.LastHeard) < timeout {
			heard.all = append(heard.all, heardPeer{Heard: &wire.Heard{Address: p.Address, Rank: p.Rank}, version: p.heardVersion})
		}
	}
	slices.SortFunc(heard.all, func(x, y heardPeer) int { return cmp.Compare(x.Address, y.Address) })
	addresses := make([]string, len(heard.all))
	for i, h := range heard.all {
		addresses[i] = h.Address
	}
	heard.sum = checksum(addresses)
	return heard
}

// news returns the peers of which the receiver is to be told with the sender's identity: all
// on a new stream, later those that were heard anew and a part of the others.
func (h *heardPeers) news(to *peer) []*wire.Heard {
	defer func() { to.sentHeardVersion, to.sentHeardSum = h.version, h.sum }()
	if len(h.all) <= maxWholeList {
		if to.gossipsSent%wholeListEvery != 0 && h.sum == to.sentHeardSum {
			return nil
		}
		return h.heardSince(0)
	}
	news := h.heardSince(to.sentHeardVersion)
	if to.sentHeardVersion == 0 {
		return news
	}
	part := (len(h.all) + heardRefreshParts - 1) / heardRefreshParts
	from := to.gossipsSent / identityEvery % heardRefreshParts * part
	for i := from; i < min(from+part, len(h.all)); i++ {
		if h.all[i].version <= to.sentHeardVersion {
			news = append(slices.Clip(news), h.all[i].Heard)
		}
	}
	return news
}

// heardSince returns the peers that were heard anew since the version.
func (h *heardPeers) heardSince(version uint64) []*wire.Heard {
	list, ok := h.since[version]
	if ok {
		return list
	}
	for _, p := range h.all {
		if version == 0 || p.version > version {
			list = append(list, p.Heard)
		}
	}
	h.since[version] = list
	return list
}

// checksum returns a checksum of a sorted list.
func checksum(addresses []string) uint64 {
	digest := xxhash.New()
	for _, address := range addresses {
		_, _ = digest.WriteString(address) // a digest's Write never fails
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// unavailableList lists the gateways that do not accept callers, in order of address.
type unavailableList struct {
	addresses []string
	sum       uint64
}

// unavailableLists holds the lists that were sent lately, from which changes start.
type unavailableLists struct {
	sent []*unavailableList
	// to is the list that changes lead to, and changes holds them by the checksum of the
	// list that they start from.
	to      *unavailableList
	changes map[uint64]*wire.UnavailableChange
}

// unavailableGateways returns the gateways that do not accept callers, or nil if this process
// may not hear all gateways.
func (m *Mesh) unavailableGateways(now time.Time, timeout time.Duration) *unavailableList {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hub || now.Sub(m.hubSince) <= timeout {
		return nil
	}
	list := &unavailableList{}
	for address, p := range m.peers {
		if !p.acceptsCallers(now, timeout) {
			list.addresses = append(list.addresses, address)
		}
	}
	slices.Sort(list.addresses)
	list.sum = checksum(list.addresses)
	return list
}

// tell adds the list to a gossip message, or how it differs from the one that the receiver
// has.
func (u *unavailableLists) tell(gossip *wire.Gossip, to *peer, list *unavailableList) {
	change := u.change(to.sentUnavailableSum, list)
	if len(list.addresses) <= maxWholeList || !to.readsChanges || change == nil {
		gossip.Unavailable = &wire.Unavailable{Addresses: list.addresses, Sum: list.sum}
	} else {
		gossip.UnavailableChange = change
	}
	to.sentUnavailableSum = list.sum
}

// change returns how the list differs from the one with the checksum, or nil if that one is
// not known any more.
func (u *unavailableLists) change(from uint64, list *unavailableList) *wire.UnavailableChange {
	if u.to == nil || u.to.sum != list.sum {
		u.to, u.changes = list, make(map[uint64]*wire.UnavailableChange)
		if len(u.sent) == unavailableMemory {
			u.sent = slices.Delete(u.sent, 0, 1)
		}
		u.sent = append(u.sent, list)
	}
	if change, ok := u.changes[from]; ok {
		return change
	}
	i := slices.IndexFunc(u.sent, func(l *unavailableList) bool { return l.sum == from })
	if i < 0 {
		return nil
	}
	change := &wire.UnavailableChange{
		BaseSum: from, Sum: list.sum,
		Added: missing(list.addresses, u.sent[i].addresses), Removed: missing(u.sent[i].addresses, list.addresses),
	}
	u.changes[from] = change
	return change
}

// missing returns those of a sorted list that are not in the other.
func missing(list, from []string) []string {
	var missing []string
	for _, address := range list {
		if _, found := slices.BinarySearch(from, address); !found {
			missing = append(missing, address)
		}
	}
	return missing
}

// recordUnavailable takes over the peer's list or a change of it. A restarted peer has
// reported nothing yet.
func (p *peer) recordUnavailable(g *wire.Gossip, restarted bool) {
	if restarted {
		p.unavailable, p.unavailableSum, p.needsUnavailable = nil, 0, false
	}
	if g.Node != "" {
		p.readsChanges = g.ReadsChanges
	}
	if g.NeedsUnavailable {
		p.sentUnavailableSum = 0
	}
	if list := g.Unavailable; list != nil {
		p.unavailable, p.unavailableSum, p.needsUnavailable = make(map[string]struct{}, len(list.Addresses)), list.Sum, false
		for _, address := range list.Addresses {
			p.unavailable[address] = struct{}{}
		}
	}
	if change := g.UnavailableChange; change != nil {
		p.applyUnavailableChange(change)
	}
}

// applyUnavailableChange changes the peer's list. If it is not the one that the change starts
// from, the whole list is needed.
func (p *peer) applyUnavailableChange(change *wire.UnavailableChange) {
	if p.unavailable == nil || p.unavailableSum != change.BaseSum {
		p.needsUnavailable = true
		return
	}
	for _, address := range change.Added {
		p.unavailable[address] = struct{}{}
	}
	for _, address := range change.Removed {
		delete(p.unavailable, address)
	}
	p.unavailableSum = change.Sum
}
