package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// hubListKey is the store key of the hubs of a large fleet. A gateway that starts reads
	// it first: if it is none of them it gets the rest from a hub, as many gateways that
	// start at once would share the store's link for the whole list of upstreams.
	hubListKey = "gateway-hubs"
	// hubListInterval is how often the list is compared with the hubs. They change when
	// gateways with more CPU come or go.
	hubListInterval = 2 * time.Second
	// firstRelayTimeout is how long a gateway that starts waits for a hub that is ready. Hubs
	// that start at the same time have read the store by then.
	firstRelayTimeout = 700 * time.Millisecond
	// configurationTime is how long after its start a gateway has its configuration at the
	// latest, unless neither hubs nor the store answer.
	configurationTime = 1500 * time.Millisecond
	// hubListTime is how long after the start the list is read; the store mostly answers in
	// 4 ms.
	hubListTime = 100 * time.Millisecond
	// firstRelayPoll is the pause between two looks for such a hub.
	firstRelayPoll = 10 * time.Millisecond
)

// listedHub is a hub in the store.
type listedHub struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Domain  string `json:"domain,omitempty"`
	Rank    int64  `json:"rank"`
}

// hubList keeps the list of hubs in the store. It implements follow.View.
type hubList struct {
	*Gateway

	mu     sync.Mutex
	stored []listedHub
	// readOnce is set once the list was read, or could not be.
	readOnce bool
}

// Replace implements follow.View.
func (h *hubList) Replace(_ time.Time, s kv.Snapshot) {
	for _, item := range s.Items {
		h.load(item.Value)
	}
}

// Apply implements follow.View.
func (h *hubList) Apply(_ time.Time, c kv.Changes) {
	for _, e := range c.Events {
		if !e.Deleted {
			h.load(e.Value)
		}
	}
}

func (h *hubList) load(value []byte) []listedHub {
	var hubs []listedHub
	if err := json.Unmarshal(value, &hubs); err != nil {
		h.logger.Warn("list of hubs ignored", "err", err)
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stored = hubs
	return hubs
}

// run writes the list while this gateway is the keeper of a large fleet. Two gateways that
// both take themselves for it may overwrite each other's list; either is usable.
func (h *hubList) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, hubListInterval)
		now := h.now()
		if !h.isLargeFleet() || h.peers.keeper(now) != h.settings.Name || h.stopping() {
			continue
		}
		if hubs := h.present(now); h.differs(hubs) {
			h.write(ctx, hubs)
		}
	}
	return nil
}

// present returns the gateways of lowest rank, this one included.
func (h *hubList) present(now time.Time) []listedHub {
	h.peers.mu.Lock()
	hubs := []listedHub{{Node: h.settings.Name, Address: h.settings.LinkAddress, Domain: h.settings.Domain, Rank: h.peers.rank}}
	h.peers.mu.Unlock()
	for _, p := range h.mesh.LowestRanked(now) {
		hubs = append(hubs, listedHub{Node: p.Node, Address: p.Address, Domain: p.Domain, Rank: p.Rank})
	}
	return hubs
}

func (h *hubList) differs(hubs []listedHub) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.Equal(h.stored, hubs)
}

func (h *hubList) write(ctx context.Context, hubs []listedHub) {
	value, err := json.Marshal(hubs)
	if err != nil {
		h.logger.Error("list of hubs could not be encoded", "err", err)
		return
	}
	if _, err := h.peers.commitForAll(ctx, kv.Transaction{Puts: []kv.Put{{Key: hubListKey, Value: value}}}); err != nil {
		h.logger.Info("list of hubs not written to the store", "err", err)
		return
	}
	h.load(value)
}

// configurationDue reports whether this process has just started in a fleet that has a list of
// hubs, or may have one, and will have its configuration soon.
func (h *hubList) configurationDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	age := now.Sub(h.startedAt)
	return h.catalog.Load() == nil && (len(h.stored) > 0 && age < configurationTime || !h.readOnce && age < hubListTime)
}

// listedElsewhere reads the list from the store and adds the hubs as peers. It returns whether
// there is a list, and this gateway is not on it.
func (h *hubList) listedElsewhere(ctx context.Context) bool {
	snapshot, err := h.store.Range(ctx, hubListKey)
	h.mu.Lock()
	h.readOnce = true
	h.mu.Unlock()
	if err != nil || len(snapshot.Items) == 0 {
		return false
	}
	hubs := h.load(snapshot.Items[0].Value)
	for _, hub := range hubs {
		if hub.Node == h.settings.Name {
			return false
		}
		h.mesh.AddRankedPeer(h.now(), hub.Address, hub.Rank)
		h.mesh.SetDomain(hub.Address, hub.Domain)
	}
	return len(hubs) > 0
}
