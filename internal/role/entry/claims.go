package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/action/claim"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// ownerPrefix is where the owners of partitions stand in the store.
	ownerPrefix = "persimmonridge/claim-owner/"
	// askTimeout bounds one question to an owner.
	askTimeout = 3 * time.Second
	// askAgain is the least pause before a question whose owner is changing;
	// it is jittered, so that not every entry takes an orphan over at once.
	askAgain = 50 * time.Millisecond
)

// ownerJSON is the value of an owner's key. It is advice on whom to ask; who
// owns a partition is decided by its tail alone.
type ownerJSON struct {
	Node    string `json:"node"`
	Address string `json:"address"`
}

// claims is this entry's part in keyed actions: the partitions it owns, and
// the way to those of others. A partition without an owner is taken by the
// entry that first needs it, and one whose owner cannot be reached as well.
// No lease is needed for that: whoever opens a partition swaps its tail, and
// an owner before it, paused or cut off, can write no more.
type claims struct {
	entry *Entry

	mu      sync.Mutex
	owned   map[int]*claim.Partition
	owners  map[int]ownerJSON
	opening map[int]chan struct{}
	leaving bool
}

func newClaims(e *Entry) *claims {
	return &claims{entry: e, owned: make(map[int]*claim.Partition), owners: make(map[int]ownerJSON), opening: make(map[int]chan struct{})}
}

func ownerKey(partition int) string { return fmt.Sprintf("%s%04d", ownerPrefix, partition) }

// readOwner learns who says to own the partition.
func (c *claims) readOwner(ctx context.Context, partition int) (ownerJSON, store.Entry, error) {
	entry, err := c.entry.store.Get(ctx, store.Watches, ownerKey(partition))
	if err != nil || !entry.Exists() {
		return ownerJSON{}, entry, err
	}
	var owner ownerJSON
	if err := json.Unmarshal(entry.Value(), &owner); err != nil {
		return ownerJSON{}, entry, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners[partition] = owner
	return owner, entry, nil
}

// take opens a partition, once for all who ask for it here.
func (c *claims) take(ctx context.Context, partition int) {
	c.mu.Lock()
	if c.leaving || c.mine(partition) != nil {
		c.mu.Unlock()
		return
	}
	if under, busy := c.opening[partition]; busy {
		c.mu.Unlock()
		select {
		case <-under:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	c.opening[partition] = done
	c.mu.Unlock()
	c.open(ctx, partition)
	c.mu.Lock()
	delete(c.opening, partition)
	c.mu.Unlock()
	close(done)
}

func (c *claims) open(ctx context.Context, partition int) {
	e := c.entry
	p, err := claim.Open(ctx, partition, e.store, e.logger, e.now)
	if err != nil {
		e.logger.Warn("claims not taken over", "partition", partition, "error", err.Error())
		return
	}
	if !c.keep(partition, p) {
		_ = p.Close()
		return
	}
	c.announce(ctx, partition, ownerJSON{Node: e.settings.Node(), Address: e.peers.Addr()})
}

// keep holds an opened partition unless this process began to stop meanwhile:
// its caller's request may outlive the stop, and nobody would close it.
func (c *claims) keep(partition int, p *claim.Partition) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return false
	}
	c.owned[partition] = p
	return true
}

// announce writes the owner's key; if that fails, askers find out later.
func (c *claims) announce(ctx context.Context, partition int, owner ownerJSON) {
	value, err := json.Marshal(owner)
	if err != nil {
		return
	}
	_, entry, err := c.readOwner(ctx, partition)
	if err == nil {
		_, _ = c.entry.store.Swap(ctx, store.Claims, ownerKey(partition), value, entry.Index())
	}
}

// mine returns the partition if this process owns it; the caller holds the
// lock.
func (c *claims) mine(partition int) *claim.Partition {
	p := c.owned[partition]
	if p == nil {
		return nil
	}
	select {
	case <-p.Done():
		delete(c.owned, partition)
		return nil
	default:
		return p
	}
}

// serve answers an ask as the partition's owner.
func (c *claims) serve(ctx context.Context, ask *wire.ClaimAsk) *wire.ClaimReply {
	c.mu.Lock()
	p := c.mine(int(ask.GetPartition()))
	c.mu.Unlock()
	if p == nil {
		return &wire.ClaimReply{State: wire.ClaimReply_STATE_NOT_OWNER}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return p.Ask(ctx, ask)
}

// ask puts a question to the key's owner, wherever it is, until the context
// ends. An UNAVAILABLE reply grants nothing.
func (c *claims) ask(ctx context.Context, ask *wire.ClaimAsk) *wire.ClaimReply {
	partition := claim.PartitionOf(ask.GetKey(), c.entry.settings.ClaimPartitions())
	ask.Partition = uint32(partition)
	for ctx.Err() == nil {
		reply := c.askOnce(ctx, partition, ask)
		if reply.GetState() != wire.ClaimReply_STATE_NOT_OWNER {
			return reply
		}
		wait.For(ctx, askAgain+rand.N(askAgain))
		c.findOwner(ctx, partition)
	}
	return &wire.ClaimReply{State: wire.ClaimReply_STATE_UNAVAILABLE, Detail: "the claims of this key have no owner for the moment"}
}

// findOwner reads the owner anew; when it is still the one that did not
// answer, or there is none, this process takes the partition over.
func (c *claims) findOwner(ctx context.Context, partition int) {
	c.mu.Lock()
	before := c.owners[partition]
	c.mu.Unlock()
	owner, _, err := c.readOwner(ctx, partition)
	if err != nil {
		return
	}
	if owner == before || owner.Address == "" || owner.Node == c.entry.settings.Node() {
		c.take(ctx, partition)
	}
}

func (c *claims) askOnce(ctx context.Context, partition int, ask *wire.ClaimAsk) *wire.ClaimReply {
	c.mu.Lock()
	owner, mine := c.owners[partition], c.mine(partition) != nil
	c.mu.Unlock()
	if mine {
		return c.serve(ctx, ask)
	}
	if owner.Address == "" || owner.Node == c.entry.settings.Node() {
		return &wire.ClaimReply{State: wire.ClaimReply_STATE_NOT_OWNER}
	}
	return c.askPeer(ctx, owner.Address, ask)
}

// askPeer asks another entry. One that cannot be reached or says nothing is
// taken not to be the owner.
func (c *claims) askPeer(ctx context.Context, address string, ask *wire.ClaimAsk) *wire.ClaimReply {
	notOwner := &wire.ClaimReply{State: wire.ClaimReply_STATE_NOT_OWNER}
	e := c.entry
	stream, err := e.pool.Open(ctx, address)
	if err != nil {
		return notOwner
	}
	defer func() { _ = stream.Close() }()
	deadline := e.now().Add(askTimeout + time.Second)
	err = stream.Send(deadline, &wire.Envelope{Body: &wire.Envelope_ClaimAsk{ClaimAsk: ask}})
	if err == nil {
		var envelope *wire.Envelope
		if envelope, err = stream.Receive(deadline); err == nil && envelope.GetClaimReply() != nil {
			return envelope.GetClaimReply()
		}
	}
	e.pool.Replace(address, stream.Session())
	return notOwner
}

// handOver gives all partitions up, so that others take them at once.
func (c *claims) handOver() {
	owned := c.leave()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	for partition, p := range owned {
		_ = p.Close()
		c.announce(ctx, partition, ownerJSON{})
	}
}

func (c *claims) close() {
	for _, p := range c.leave() {
		_ = p.Close()
	}
}

// leave takes no partition from now on and returns those that were owned.
func (c *claims) leave() map[int]*claim.Partition {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	owned := c.owned
	c.owned = make(map[int]*claim.Partition)
	return owned
}

// count returns the number of partitions owned here.
func (c *claims) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.owned)
}
