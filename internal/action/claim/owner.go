package claim

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
)

var namespace = errorx.NewNamespace("claim")

// Deposed means that this process no longer owns the partition, or cannot read
// or write it.
var Deposed = namespace.NewType("deposed")

const (
	// keyPrefix precedes the keys of all partitions in the platform's store.
	keyPrefix = "persimmonridge/claims/"
	// segmentTargetBytes is the approximate size at which the records of the
	// tail move to a segment; each commit rewrites the whole tail.
	segmentTargetBytes = 16 << 10
	// commitInterval is the minimum time between two commits of a partition.
	// Requests that arrive in between share the next commit, so that the write
	// rate is at most ten per second and partition, for any number of actions.
	commitInterval = 100 * time.Millisecond
	// maxWriteBackoff is the longest pause between attempts of one write.
	maxWriteBackoff = 500 * time.Millisecond
	// requestQueueSize bounds the requests that are queued for a partition.
	requestQueueSize = 1024
)

// Store is the subset of the platform's store that claims use.
type Store interface {
	Get(ctx context.Context, priority store.Priority, key string) (store.Entry, error)
	List(ctx context.Context, priority store.Priority, prefix string) ([]store.Entry, error)
	Swap(ctx context.Context, priority store.Priority, key string, value []byte, index uint64) (bool, error)
	Delete(ctx context.Context, key string, index uint64) (bool, error)
}

// tail is the value of the only key of a partition that is replaced by
// compare-and-swap. The owner of a partition is the process that wrote the
// tail last. A swap with an older index fails, which fences a previous owner
// that was paused.
type tail struct {
	Writer   string   `json:"writer"`
	Sequence uint64   `json:"sequence"`
	Segments []string `json:"segments"`
	Records  []record `json:"records"`
}

// Partition is a partition that this process owns.
type Partition struct {
	number int
	store  Store
	logger *slog.Logger
	now    func() time.Time
	writer string

	index     uint64
	tail      tail
	tailBytes int
	ledger    *ledger
	segments  map[string][]record

	requests chan *pendingRequest
	cancel   context.CancelFunc
	ctx      context.Context
	done     chan struct{}

	mu               sync.Mutex
	commits          uint64
	recordsCommitted uint64
}

// pendingRequest is a request with the channel for its reply.
type pendingRequest struct {
	message *wire.ClaimAsk
	reply   chan *wire.ClaimReply
}

// Open takes over a partition: it reads all records, then swaps the tail,
// after which every write of the previous owner fails.
func Open(ctx context.Context, number int, s Store, logger *slog.Logger, now func() time.Time) (*Partition, error) {
	runCtx, cancel := context.WithCancel(context.Background())
	p := &Partition{
		number: number, store: s, logger: logger, now: now, writer: rand.Text(),
		ledger: newLedger(), segments: make(map[string][]record),
		requests: make(chan *pendingRequest, requestQueueSize), ctx: runCtx, cancel: cancel, done: make(chan struct{}),
	}
	if err := p.load(ctx); err != nil {
		cancel()
		return nil, err
	}
	if err := p.swap(ctx); err != nil {
		cancel()
		return nil, err
	}
	logger.Info("claims taken over", "partition", number, "actions", len(p.ledger.committed))
	go p.run()
	return p, nil
}

func (p *Partition) tailKey() string { return fmt.Sprintf("%s%04d/tail", keyPrefix, p.number) }

func (p *Partition) segmentKey(name string) string {
	return fmt.Sprintf("%s%04d/segment/%s", keyPrefix, p.number, name)
}

// load reads the tail before the segments: a segment is written before the
// tail that refers to it, and deleted only after a tail without it is written.
func (p *Partition) load(ctx context.Context) error {
	entry, err := p.store.Get(ctx, store.Claims, p.tailKey())
	if err != nil {
		return err
	}
	p.index = entry.Index()
	if !entry.Exists() {
		return nil
	}
	if err := json.Unmarshal(entry.Value(), &p.tail); err != nil {
		return Deposed.Wrap(err, "claims of partition %d cannot be decoded; restore key %s", p.number, p.tailKey())
	}
	loaded := make([][]record, len(p.tail.Segments))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(4)
	for i, name := range p.tail.Segments {
		group.Go(func() error {
			var err error
			loaded[i], err = p.loadSegment(ctx, name)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for i, name := range p.tail.Segments {
		p.segments[name] = loaded[i]
		p.commitAll(loaded[i])
	}
	p.commitAll(p.tail.Records)
	p.tailBytes = estimateBytes(p.tail.Records)
	return nil
}

func (p *Partition) loadSegment(ctx context.Context, name string) ([]record, error) {
	entry, err := p.store.Get(ctx, store.Claims, p.segmentKey(name))
	if err != nil {
		return nil, err
	}
	var records []record
	if err := json.Unmarshal(entry.Value(), &records); err != nil {
		return nil, Deposed.Wrap(err, "segment %s of partition %d is missing or cannot be decoded; unless another owner has taken over, restore the key", name, p.number)
	}
	return records, nil
}

func (p *Partition) commitAll(records []record) {
	for _, r := range records {
		p.ledger.commit(r)
	}
}

// Handle passes a request to the owner and waits for its reply. An UNAVAILABLE
// reply means that no claim is granted. A write whose response was lost may
// still store a claim; its request is never dispatched, which the next request
// for the same key finds out.
func (p *Partition) Handle(ctx context.Context, message *wire.ClaimAsk) *wire.ClaimReply {
	request := &pendingRequest{message: message, reply: make(chan *wire.ClaimReply, 1)}
	select {
	case p.requests <- request:
	case <-ctx.Done():
		return unavailableReply("request queue of the claim owner is full")
	case <-p.done:
		return &wire.ClaimReply{State: wire.ClaimReply_STATE_NOT_OWNER}
	}
	select {
	case reply := <-request.reply:
		return reply
	case <-ctx.Done():
		return unavailableReply("claim was not written to the platform's store in time")
	case <-p.done:
		return &wire.ClaimReply{State: wire.ClaimReply_STATE_NOT_OWNER}
	}
}

// Done returns a channel that is closed when this process no longer owns the
// partition.
func (p *Partition) Done() <-chan struct{} { return p.done }

// Commits returns the number of commits and of the records written by them.
func (p *Partition) Commits() (commits, records uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.commits, p.recordsCommitted
}

// Close releases the partition and waits until its goroutine has ended.
func (p *Partition) Close() error {
	p.cancel()
	<-p.done
	return nil
}

// stagedWrite is a record that the next commit writes, with the reply to send
// after it.
type stagedWrite struct {
	request *pendingRequest
	record  record
	reply   *wire.ClaimReply
}

// run answers requests: immediately if nothing has to be written, otherwise
// after the next commit, which covers all requests received until then.
func (p *Partition) run() {
	defer close(p.done)
	var batch []stagedWrite
	var deferred []*pendingRequest
	due := time.NewTimer(0)
	defer due.Stop()
	for ready := false; ; {
		select {
		case <-p.ctx.Done():
			return
		case request := <-p.requests:
			batch, deferred = p.decide(request, batch, deferred)
		case <-due.C:
			ready = true
		}
		batch, deferred = p.drainQueue(batch, deferred)
		if !ready || len(batch) == 0 {
			continue
		}
		if err := p.commit(batch); err != nil {
			p.logger.Warn("partition of claims lost", "partition", p.number, "error", err.Error())
			return
		}
		retried := deferred
		batch, deferred, ready = nil, nil, false
		for _, request := range retried {
			batch, deferred = p.decide(request, batch, deferred)
		}
		due.Reset(commitInterval)
	}
}

// drainQueue decides all queued requests.
func (p *Partition) drainQueue(batch []stagedWrite, deferred []*pendingRequest) ([]stagedWrite, []*pendingRequest) {
	for {
		select {
		case request := <-p.requests:
			batch, deferred = p.decide(request, batch, deferred)
		default:
			return batch, deferred
		}
	}
}

// decide answers a request, stages its write, or defers it while a write for
// the same key is staged.
func (p *Partition) decide(request *pendingRequest, batch []stagedWrite, deferred []*pendingRequest) ([]stagedWrite, []*pendingRequest) {
	d := p.ledger.handle(p.now(), request.message)
	switch {
	case d.wait:
		deferred = append(deferred, request)
	case d.write == nil:
		request.reply <- d.reply
	default:
		batch = append(batch, stagedWrite{request: request, record: *d.write, reply: d.reply})
	}
	return batch, deferred
}

// commit writes a batch to the store, then sends its replies.
func (p *Partition) commit(batch []stagedWrite) error {
	records := make([]record, 0, len(batch))
	for _, s := range batch {
		records = append(records, s.record)
	}
	p.tail.Records = append(p.tail.Records, records...)
	p.tailBytes += estimateBytes(records)
	if err := p.swap(p.ctx); err != nil {
		return err
	}
	p.commitAll(records)
	for _, s := range batch {
		s.request.reply <- s.reply
	}
	p.mu.Lock()
	p.commits++
	p.recordsCommitted += uint64(len(records))
	p.mu.Unlock()
	if p.tailBytes > segmentTargetBytes {
		return p.rollSegment()
	}
	return nil
}

// swap writes the tail and reads it back for its new index. As the response to
// the write may be lost, the writer and the sequence in the stored tail decide
// whether the write took effect, may be repeated, or was prevented by another
// owner.
func (p *Partition) swap(ctx context.Context) error {
	p.tail.Writer = p.writer
	p.tail.Sequence++
	raw, err := json.Marshal(p.tail)
	if err != nil {
		return err
	}
	for attempt := 0; ; attempt++ {
		_, swapErr := p.store.Swap(ctx, store.Claims, p.tailKey(), raw, p.index)
		entry, readErr := p.store.Get(ctx, store.Claims, p.tailKey())
		if readErr == nil {
			applied, err := p.confirmSwap(entry)
			if applied || err != nil {
				return err
			}
		}
		if swapErr == nil && readErr == nil {
			return Deposed.New("swap of partition %d failed although its index is unchanged; check the platform's store", p.number)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(store.Backoff(attempt, maxWriteBackoff)):
		}
	}
}

// confirmSwap reports whether the last swap took effect, given the stored tail.
func (p *Partition) confirmSwap(entry store.Entry) (bool, error) {
	if entry.Index() == p.index {
		return false, nil
	}
	var stored tail
	if err := json.Unmarshal(entry.Value(), &stored); err != nil {
		return false, Deposed.Wrap(err, "claims of partition %d cannot be decoded; restore key %s", p.number, p.tailKey())
	}
	if stored.Writer != p.writer || stored.Sequence != p.tail.Sequence {
		return false, Deposed.New("partition %d was taken over by another owner", p.number)
	}
	p.index = entry.Index()
	return true, nil
}

// rollSegment moves the records of the tail to a new segment and drops
// segments that have no live records.
func (p *Partition) rollSegment() error {
	now := p.now()
	p.ledger.expire(now)
	name := fmt.Sprintf("%012d-%s", p.tail.Sequence, p.writer)
	raw, err := json.Marshal(p.tail.Records)
	if err != nil {
		return err
	}
	if err := p.writeSegment(name, raw); err != nil {
		return err
	}
	p.segments[name] = p.tail.Records
	var live, dead []string
	for _, segment := range append(p.tail.Segments, name) {
		if p.anyLive(now, p.segments[segment]) {
			live = append(live, segment)
			continue
		}
		dead = append(dead, segment)
	}
	p.tail.Segments, p.tail.Records, p.tailBytes = live, nil, 0
	if err := p.swap(p.ctx); err != nil {
		return err
	}
	p.deleteSegments(dead)
	return nil
}

// writeSegment retries until the store responds. Repeating the write is safe
// because no other process uses the segment's name.
func (p *Partition) writeSegment(name string, raw []byte) error {
	for attempt := 0; ; attempt++ {
		if _, err := p.store.Swap(p.ctx, store.Claims, p.segmentKey(name), raw, 0); err == nil {
			return nil
		}
		select {
		case <-p.ctx.Done():
			return p.ctx.Err()
		case <-time.After(store.Backoff(attempt, maxWriteBackoff)):
		}
	}
}

// deleteSegments deletes segments that the tail no longer refers to. A failure
// leaves a key that is never read.
func (p *Partition) deleteSegments(names []string) {
	for _, name := range names {
		delete(p.segments, name)
		entry, err := p.store.Get(p.ctx, store.Housekeeping, p.segmentKey(name))
		if err != nil || !entry.Exists() {
			continue
		}
		_, _ = p.store.Delete(p.ctx, p.segmentKey(name), entry.Index())
	}
}

func (p *Partition) anyLive(now time.Time, records []record) bool {
	for _, r := range records {
		if p.ledger.isLive(now, r) {
			return true
		}
	}
	return false
}

// estimateBytes estimates the encoded size of records.
func estimateBytes(records []record) int {
	// recordOverhead is the size of a record's field names and numbers, in bytes.
	const recordOverhead = 200
	total := 0
	for _, r := range records {
		total += recordOverhead + len(r.Key) + len(r.RequestID)
		if r.Answer != nil {
			total += len(r.Answer.Body) * 4 / 3
		}
	}
	return total
}
