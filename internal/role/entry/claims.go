package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/action/claim"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
)

const (
	// ownerPrefix is where the owners of partitions stand in the store.
	ownerPrefix = "persimmonridge/claim-owner/"
	// ownEvery is how often a process looks for partitions without an owner.
	ownEvery = time.Second
	// ownersFresh is how long the list of owners is used unread.
	ownersFresh = 10 * time.Second
	// askTimeout bounds one question to an owner.
	askTimeout = 3 * time.Second
	// askAgain is the pause before a question whose owner is changing.
	askAgain = 100 * time.Millisecond
	// orphanRounds is how often a partition must be found without an owner
	// before a process takes more than its fair share.
	orphanRounds = 3
)

// ownerJSON is the value of an owner's key.
type ownerJSON struct {
	Node    string `json:"node"`
	Address string `json:"address"`
}

// claims is this entry's part in keyed actions: the partitions it owns, and
// the way to those of others.
type claims struct {
	entry *Entry

	mu       sync.Mutex
	owned    map[int]*claim.Partition
	owners   map[int]ownerJSON
	readAt   time.Time
	orphaned map[int]int
	leaving  bool
}

func newClaims(e *Entry) *claims {
	return &claims{entry: e, owned: make(map[int]*claim.Partition), owners: make(map[int]ownerJSON), orphaned: make(map[int]int)}
}

func ownerKey(partition int) string { return fmt.Sprintf("%s%04d", ownerPrefix, partition) }

// run keeps looking for partitions without an owner.
func (c *claims) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.look(ctx)
		sleep(ctx, ownEvery/2+rand.N(ownEvery))
	}
}

// look reads the owners and takes what nobody holds, up to a fair share. The
// lease only spreads the work: whoever opens a partition fences the one
// before by swapping the partition's tail.
func (c *claims) look(ctx context.Context) {
	if !c.refresh(ctx, store.Watches) {
		return
	}
	free := c.unowned()
	rand.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	for _, partition := range free {
		if ctx.Err() != nil || !c.mayTake(partition) {
			continue
		}
		c.take(ctx, partition)
	}
}

// refresh reads who owns what, and drops what this process lost.
func (c *claims) refresh(ctx context.Context, priority store.Priority) bool {
	entries, err := c.entry.store.List(ctx, priority, ownerPrefix)
	if err != nil {
		return false
	}
	owners := make(map[int]ownerJSON)
	for _, entry := range entries {
		partition, err := strconv.Atoi(strings.TrimPrefix(entry.Key(), ownerPrefix))
		var owner ownerJSON
		if err != nil || entry.Session() == "" || json.Unmarshal(entry.Value(), &owner) != nil {
			continue
		}
		owners[partition] = owner
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners, c.readAt = owners, c.entry.now()
	for partition, p := range c.owned {
		if isDone(p) || owners[partition].Node != c.entry.settings.Node() {
			delete(c.owned, partition)
			go func() { _ = p.Close() }()
		}
	}
	return true
}

func isDone(p *claim.Partition) bool {
	select {
	case <-p.Done():
		return true
	default:
		return false
	}
}

func (c *claims) unowned() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var free []int
	for partition := range c.entry.settings.ClaimPartitions() {
		owner, owned := c.owners[partition]
		mine := owner.Node == c.entry.settings.Node() && c.owned[partition] == nil
		if owned && !mine {
			delete(c.orphaned, partition)
			continue
		}
		c.orphaned[partition]++
		free = append(free, partition)
	}
	return free
}

func (c *claims) mayTake(partition int) bool {
	entries := max(len(c.entry.table.Entries()), 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return false
	}
	share := (c.entry.settings.ClaimPartitions() + entries - 1) / entries
	return len(c.owned) < share || c.orphaned[partition] >= orphanRounds
}

func (c *claims) take(ctx context.Context, partition int) {
	e := c.entry
	value, err := json.Marshal(ownerJSON{Node: e.settings.Node(), Address: e.peers.Addr()})
	if err != nil {
		return
	}
	held, err := e.holder.TryAcquire(ctx, ownerKey(partition), value)
	if err != nil || !held {
		return
	}
	p, err := claim.Open(ctx, partition, e.store, e.logger, e.now)
	if err != nil {
		e.logger.Warn("claims not taken over", "partition", partition, "error", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.orphaned, partition)
	c.owned[partition] = p
	c.owners[partition] = ownerJSON{Node: e.settings.Node(), Address: e.peers.Addr()}
}

// serve answers an ask as the partition's owner.
func (c *claims) serve(ctx context.Context, ask *wire.ClaimAsk) *wire.ClaimReply {
	c.mu.Lock()
	p := c.owned[int(ask.GetPartition())]
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
	for {
		reply := c.askOwner(ctx, partition, ask)
		moved := reply.GetState() == wire.ClaimReply_STATE_NOT_OWNER
		if !moved {
			return reply
		}
		if ctx.Err() != nil {
			return &wire.ClaimReply{State: wire.ClaimReply_STATE_UNAVAILABLE, Detail: "the claims of this key have no owner for the moment"}
		}
		sleep(ctx, askAgain)
		c.refresh(ctx, store.Claims)
	}
}

func (c *claims) askOwner(ctx context.Context, partition int, ask *wire.ClaimAsk) *wire.ClaimReply {
	notOwner := &wire.ClaimReply{State: wire.ClaimReply_STATE_NOT_OWNER}
	e := c.entry
	c.mu.Lock()
	owner, known := c.owners[partition]
	mine := c.owned[partition] != nil
	stale := e.now().Sub(c.readAt) > ownersFresh
	c.mu.Unlock()
	if mine {
		return c.serve(ctx, ask)
	}
	if !known || stale {
		c.refresh(ctx, store.Claims)
		c.mu.Lock()
		owner, known = c.owners[partition]
		c.mu.Unlock()
	}
	if !known || owner.Node == e.settings.Node() {
		return notOwner
	}
	stream, err := e.pool.Open(ctx, owner.Address)
	if err != nil {
		return notOwner
	}
	defer func() { _ = stream.Close() }()
	deadline := e.now().Add(askTimeout)
	if err := stream.Send(deadline, &wire.Envelope{Body: &wire.Envelope_ClaimAsk{ClaimAsk: ask}}); err != nil {
		e.pool.Replace(owner.Address, stream.Session())
		return notOwner
	}
	envelope, err := stream.Receive(deadline)
	if err != nil {
		e.pool.Replace(owner.Address, stream.Session())
		return notOwner
	}
	return envelope.GetClaimReply()
}

// handOver gives all partitions up, so that others take them at once.
func (c *claims) handOver() {
	c.mu.Lock()
	c.leaving = true
	owned := c.owned
	c.owned = make(map[int]*claim.Partition)
	c.mu.Unlock()
	for partition, p := range owned {
		_ = p.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, _ = c.entry.store.Release(ctx, ownerKey(partition), c.entry.holder.Session(), nil)
		cancel()
	}
}

func (c *claims) close() {
	c.mu.Lock()
	owned := c.owned
	c.owned = make(map[int]*claim.Partition)
	c.mu.Unlock()
	for _, p := range owned {
		_ = p.Close()
	}
}

// count returns the number of partitions owned here.
func (c *claims) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.owned)
}
