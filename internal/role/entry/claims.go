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
	// ownerKeyPrefix precedes the keys that name the owners of partitions in the
	// platform's store.
	ownerKeyPrefix = "persimmonridge/claim-owner/"
	// ownerTimeout bounds one request to an owner.
	ownerTimeout = 3 * time.Second
	// ownerRetryDelay is the minimum delay before a request is repeated while
	// its owner changes. It is jittered so that not all entries take over a
	// partition without an owner at the same time.
	ownerRetryDelay = 50 * time.Millisecond
)

// ownerJSON is the value of an owner's key. It is only a hint where to send
// requests; the partition's tail alone determines its owner.
type ownerJSON struct {
	Node    string `json:"node"`
	Address string `json:"address"`
}

// claims holds the partitions that this entry owns and routes requests for
// others to their owners. A partition that has no owner, or whose owner is
// unreachable, is taken over by the first entry that needs it. This needs no
// lease: opening a partition swaps its tail, after which a previous owner,
// whether paused or disconnected, can no longer write.
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

func ownerKey(partition int) string { return fmt.Sprintf("%s%04d", ownerKeyPrefix, partition) }

// readOwner reads and caches the announced owner of the partition.
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

// acquire opens a partition. Concurrent callers share one attempt.
func (c *claims) acquire(ctx context.Context, partition int) {
	c.mu.Lock()
	if c.leaving || c.ownedPartition(partition) != nil {
		c.mu.Unlock()
		return
	}
	if opened, busy := c.opening[partition]; busy {
		c.mu.Unlock()
		select {
		case <-opened:
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
		e.logger.Warn("partition of claims could not be taken over", "partition", partition, "error", err.Error())
		return
	}
	if !c.addOwned(partition, p) {
		_ = p.Close()
		return
	}
	c.announce(ctx, partition, ownerJSON{Node: e.settings.Node(), Address: e.peers.Addr()})
}

// addOwned registers an opened partition unless this process has begun to stop
// in the meantime: the request that opened it may outlast the stop, and the
// partition would never be closed.
func (c *claims) addOwned(partition int, p *claim.Partition) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return false
	}
	c.owned[partition] = p
	return true
}

// announce writes the owner's key. After a failure, other entries find the
// owner by their own requests.
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

// ownedPartition returns the partition if this process owns it, otherwise nil.
// The caller holds the lock.
func (c *claims) ownedPartition(partition int) *claim.Partition {
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

// serve answers a request as the partition's owner.
func (c *claims) serve(ctx context.Context, message *wire.ClaimAsk) *wire.ClaimReply {
	c.mu.Lock()
	p := c.ownedPartition(int(message.GetPartition()))
	c.mu.Unlock()
	if p == nil {
		return &wire.ClaimReply{State: wire.ClaimReply_STATE_NOT_OWNER}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return p.Handle(ctx, message)
}

// request sends a request to the owner of the key's partition, here or on
// another entry, and retries until the context ends. An UNAVAILABLE reply
// grants nothing.
func (c *claims) request(ctx context.Context, message *wire.ClaimAsk) *wire.ClaimReply {
	partition := claim.PartitionOf(message.GetKey(), c.entry.settings.ClaimPartitions())
	message.Partition = uint32(partition)
	for ctx.Err() == nil {
		reply := c.requestOnce(ctx, partition, message)
		if reply.GetState() != wire.ClaimReply_STATE_NOT_OWNER {
			return reply
		}
		wait.For(ctx, ownerRetryDelay+rand.N(ownerRetryDelay))
		c.findOwner(ctx, partition)
	}
	return &wire.ClaimReply{State: wire.ClaimReply_STATE_UNAVAILABLE, Detail: "no owner of the claims for this key is reachable"}
}

// findOwner reads the owner again. If it is still the one that did not answer,
// or there is none, this process takes over the partition.
func (c *claims) findOwner(ctx context.Context, partition int) {
	c.mu.Lock()
	before := c.owners[partition]
	c.mu.Unlock()
	owner, _, err := c.readOwner(ctx, partition)
	if err != nil {
		return
	}
	if owner == before || owner.Address == "" || owner.Node == c.entry.settings.Node() {
		c.acquire(ctx, partition)
	}
}

func (c *claims) requestOnce(ctx context.Context, partition int, message *wire.ClaimAsk) *wire.ClaimReply {
	c.mu.Lock()
	owner, owned := c.owners[partition], c.ownedPartition(partition) != nil
	c.mu.Unlock()
	if owned {
		return c.serve(ctx, message)
	}
	if owner.Address == "" || owner.Node == c.entry.settings.Node() {
		return &wire.ClaimReply{State: wire.ClaimReply_STATE_NOT_OWNER}
	}
	return c.requestFromPeer(ctx, owner.Address, message)
}

// requestFromPeer sends the request to another entry, which counts as not the
// owner if it is unreachable or does not answer.
func (c *claims) requestFromPeer(ctx context.Context, address string, message *wire.ClaimAsk) *wire.ClaimReply {
	notOwner := &wire.ClaimReply{State: wire.ClaimReply_STATE_NOT_OWNER}
	e := c.entry
	stream, err := e.pool.Open(ctx, address)
	if err != nil {
		return notOwner
	}
	defer func() { _ = stream.Close() }()
	deadline := e.now().Add(ownerTimeout + time.Second)
	err = stream.Send(deadline, &wire.Envelope{Body: &wire.Envelope_ClaimAsk{ClaimAsk: message}})
	if err == nil {
		var envelope *wire.Envelope
		if envelope, err = stream.Receive(deadline); err == nil && envelope.GetClaimReply() != nil {
			return envelope.GetClaimReply()
		}
	}
	e.pool.Replace(address, stream.Session())
	return notOwner
}

// releaseAll releases all partitions, so that other entries can take them over
// without waiting.
func (c *claims) releaseAll() {
	owned := c.stopOwning()
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	for partition, p := range owned {
		_ = p.Close()
		c.announce(ctx, partition, ownerJSON{})
	}
}

func (c *claims) close() {
	for _, p := range c.stopOwning() {
		_ = p.Close()
	}
}

// stopOwning prevents further takeovers and returns the partitions that were
// owned.
func (c *claims) stopOwning() map[int]*claim.Partition {
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
