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

// Deposed means that another process owns the partition now.
var Deposed = namespace.NewType("deposed")

const (
	// prefix is where partitions stand in the platform's store.
	prefix = "persimmonridge/claims/"
	// segmentBytes is about how large the open segment grows; each commit
	// writes it whole.
	segmentBytes = 16 << 10
	// commitGap is the least time between two commits of a partition; what
	// arrives meanwhile shares the next one. It bounds the writes: partitions
	// times ten a second, however many actions there are.
	commitGap = 100 * time.Millisecond
	// settleMost is the longest pause between attempts of one commit.
	settleMost = 500 * time.Millisecond
	// asksHeld bounds the asks that wait for a partition.
	asksHeld = 1024
)

// Store is what claims need of the platform's service.
type Store interface {
	Get(ctx context.Context, priority store.Priority, key string) (store.Entry, error)
	List(ctx context.Context, priority store.Priority, prefix string) ([]store.Entry, error)
	Swap(ctx context.Context, priority store.Priority, key string, value []byte, index uint64) (bool, error)
	Delete(ctx context.Context, key string, index uint64) (bool, error)
}

// tail is the one key of a partition that is swapped. Whoever owns the
// partition has written it last; a swap with an older index fails, and that
// is what fences an owner that was paused.
type tail struct {
	Writer   string   `json:"writer"`
	Sequence uint64   `json:"sequence"`
	Segments []string `json:"segments"`
	Records  []record `json:"records"`
}

// Partition is one partition while this process owns it.
type Partition struct {
	number int
	store  Store
	logger *slog.Logger
	now    func() time.Time
	writer string

	index    uint64
	open     tail
	size     int
	ledger   *ledger
	segments map[string][]record

	asks   chan *pendingAsk
	cancel context.CancelFunc
	ctx    context.Context
	done   chan struct{}

	mu      sync.Mutex
	commits uint64
	grouped uint64
}

// pendingAsk is one ask with the place for its reply.
type pendingAsk struct {
	ask   *wire.ClaimAsk
	reply chan *wire.ClaimReply
}

// Open takes a partition over: it reads everything, then swaps the tail, from
// which moment the previous owner can write no more.
func Open(ctx context.Context, number int, s Store, logger *slog.Logger, now func() time.Time) (*Partition, error) {
	runCtx, cancel := context.WithCancel(context.Background())
	p := &Partition{
		number: number, store: s, logger: logger, now: now, writer: rand.Text(),
		ledger: newLedger(), segments: make(map[string][]record),
		asks: make(chan *pendingAsk, asksHeld), ctx: runCtx, cancel: cancel, done: make(chan struct{}),
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

func (p *Partition) tailKey() string { return fmt.Sprintf("%s%04d/tail", prefix, p.number) }

func (p *Partition) segmentKey(name string) string {
	return fmt.Sprintf("%s%04d/segment/%s", prefix, p.number, name)
}

// load reads the tail first: a segment that the tail names was written before
// it, and a segment is deleted only once no tail names it.
func (p *Partition) load(ctx context.Context) error {
	entry, err := p.store.Get(ctx, store.Claims, p.tailKey())
	if err != nil {
		return err
	}
	p.index = entry.Index()
	if !entry.Exists() {
		return nil
	}
	if err := json.Unmarshal(entry.Value(), &p.open); err != nil {
		return Deposed.Wrap(err, "the claims of partition %d are unreadable; restore key %s", p.number, p.tailKey())
	}
	loaded := make([][]record, len(p.open.Segments))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(4)
	for i, name := range p.open.Segments {
		group.Go(func() error {
			var err error
			loaded[i], err = p.loadSegment(ctx, name)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for i, name := range p.open.Segments {
		p.segments[name] = loaded[i]
		p.commitAll(loaded[i])
	}
	p.commitAll(p.open.Records)
	p.size = measure(p.open.Records)
	return nil
}

func (p *Partition) loadSegment(ctx context.Context, name string) ([]record, error) {
	entry, err := p.store.Get(ctx, store.Claims, p.segmentKey(name))
	if err != nil {
		return nil, err
	}
	var records []record
	if err := json.Unmarshal(entry.Value(), &records); err != nil {
		return nil, Deposed.Wrap(err, "segment %s of partition %d is missing or unreadable; another owner has moved on, or restore the key", name, p.number)
	}
	return records, nil
}

func (p *Partition) commitAll(records []record) {
	for _, r := range records {
		p.ledger.commit(r)
	}
}

// Ask puts a question to the owner and waits for its reply. An UNAVAILABLE
// reply means that no claim is granted; a claim that a lost write leaves
// behind anyway names a request that is never dispatched, and the next asker
// finds that out.
func (p *Partition) Ask(ctx context.Context, ask *wire.ClaimAsk) *wire.ClaimReply {
	question := &pendingAsk{ask: ask, reply: make(chan *wire.ClaimReply, 1)}
	select {
	case p.asks <- question:
	case <-ctx.Done():
		return unavailable("the claims' owner is busy")
	case <-p.done:
		return &wire.ClaimReply{State: wire.ClaimReply_STATE_NOT_OWNER}
	}
	select {
	case reply := <-question.reply:
		return reply
	case <-ctx.Done():
		return unavailable("the platform's store did not answer in time")
	case <-p.done:
		return &wire.ClaimReply{State: wire.ClaimReply_STATE_NOT_OWNER}
	}
}

// Done is closed when the partition is no longer owned.
func (p *Partition) Done() <-chan struct{} { return p.done }

// Commits returns the number of commits and of records in them.
func (p *Partition) Commits() (commits, records uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.commits, p.grouped
}

// Close gives the partition up and waits.
func (p *Partition) Close() error {
	p.cancel()
	<-p.done
	return nil
}

// staged is a decision that waits for the next commit.
type staged struct {
	question *pendingAsk
	record   record
	reply    *wire.ClaimReply
}

// run answers asks: at once where nothing is written, else with the next
// commit, for which all that arrives meanwhile is gathered.
func (p *Partition) run() {
	defer close(p.done)
	var batch []staged
	var busy []*pendingAsk
	due := time.NewTimer(0)
	defer due.Stop()
	for ready := false; ; {
		select {
		case <-p.ctx.Done():
			return
		case question := <-p.asks:
			batch, busy = p.decide(question, batch, busy)
		case <-due.C:
			ready = true
		}
		batch, busy = p.gather(batch, busy)
		if !ready || len(batch) == 0 {
			continue
		}
		if err := p.commit(batch); err != nil {
			p.logger.Warn("claims given up", "partition", p.number, "error", err.Error())
			return
		}
		again := busy
		batch, busy, ready = nil, nil, false
		for _, question := range again {
			batch, busy = p.decide(question, batch, busy)
		}
		due.Reset(commitGap)
	}
}

// gather decides on all asks that have arrived.
func (p *Partition) gather(batch []staged, busy []*pendingAsk) ([]staged, []*pendingAsk) {
	for {
		select {
		case question := <-p.asks:
			batch, busy = p.decide(question, batch, busy)
		default:
			return batch, busy
		}
	}
}

// decide answers an ask, stages its write, or keeps it back while a write for
// the same key is staged.
func (p *Partition) decide(question *pendingAsk, batch []staged, busy []*pendingAsk) ([]staged, []*pendingAsk) {
	d := p.ledger.ask(p.now(), question.ask)
	switch {
	case d.wait:
		busy = append(busy, question)
	case d.write == nil:
		question.reply <- d.reply
	default:
		batch = append(batch, staged{question: question, record: *d.write, reply: d.reply})
	}
	return batch, busy
}

// commit writes a batch down, then gives its replies.
func (p *Partition) commit(batch []staged) error {
	records := make([]record, 0, len(batch))
	for _, s := range batch {
		records = append(records, s.record)
	}
	p.open.Records = append(p.open.Records, records...)
	p.size += measure(records)
	if err := p.swap(p.ctx); err != nil {
		return err
	}
	p.commitAll(records)
	for _, s := range batch {
		s.question.reply <- s.reply
	}
	p.mu.Lock()
	p.commits++
	p.grouped += uint64(len(records))
	p.mu.Unlock()
	if p.size > segmentBytes {
		return p.roll()
	}
	return nil
}

// swap writes the tail and learns its new index. An answer that was lost is
// settled by reading back: the writer's mark and sequence tell whether the
// write took effect, whether it may be tried again, or whether another owner
// has taken over.
func (p *Partition) swap(ctx context.Context) error {
	p.open.Writer = p.writer
	p.open.Sequence++
	raw, err := json.Marshal(p.open)
	if err != nil {
		return err
	}
	for attempt := 0; ; attempt++ {
		_, swapErr := p.store.Swap(ctx, store.Claims, p.tailKey(), raw, p.index)
		entry, readErr := p.store.Get(ctx, store.Claims, p.tailKey())
		if readErr == nil {
			took, err := p.settle(entry)
			if took || err != nil {
				return err
			}
		}
		if swapErr == nil && readErr == nil {
			return Deposed.New("partition %d could not be swapped although its index stands; look at the platform's service", p.number)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(store.Backoff(attempt, settleMost)):
		}
	}
}

func (p *Partition) settle(entry store.Entry) (bool, error) {
	if entry.Index() == p.index {
		return false, nil
	}
	var seen tail
	if err := json.Unmarshal(entry.Value(), &seen); err != nil {
		return false, Deposed.Wrap(err, "the claims of partition %d are unreadable; restore key %s", p.number, p.tailKey())
	}
	if seen.Writer != p.writer || seen.Sequence != p.open.Sequence {
		return false, Deposed.New("partition %d was taken over; ask its new owner", p.number)
	}
	p.index = entry.Index()
	return true, nil
}

// roll moves the open records to a segment of their own, and leaves out
// segments in which nothing is live any more.
func (p *Partition) roll() error {
	now := p.now()
	p.ledger.expire(now)
	name := fmt.Sprintf("%012d-%s", p.open.Sequence, p.writer)
	raw, err := json.Marshal(p.open.Records)
	if err != nil {
		return err
	}
	if err := p.writeSegment(name, raw); err != nil {
		return err
	}
	p.segments[name] = p.open.Records
	var kept, dead []string
	for _, segment := range append(p.open.Segments, name) {
		if p.anyLive(now, p.segments[segment]) {
			kept = append(kept, segment)
			continue
		}
		dead = append(dead, segment)
	}
	p.open.Segments, p.open.Records, p.size = kept, nil, 0
	if err := p.swap(p.ctx); err != nil {
		return err
	}
	p.discard(dead)
	return nil
}

// writeSegment repeats until an answer comes: the name is ours alone, so
// writing it again changes nothing.
func (p *Partition) writeSegment(name string, raw []byte) error {
	for attempt := 0; ; attempt++ {
		if _, err := p.store.Swap(p.ctx, store.Claims, p.segmentKey(name), raw, 0); err == nil {
			return nil
		}
		select {
		case <-p.ctx.Done():
			return p.ctx.Err()
		case <-time.After(store.Backoff(attempt, settleMost)):
		}
	}
}

// discard deletes segments that no tail names; a failure leaves a key behind
// that nobody reads.
func (p *Partition) discard(names []string) {
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
		if p.ledger.live(now, r) {
			return true
		}
	}
	return false
}

// measure estimates the bytes of records as written.
func measure(records []record) int {
	// recordOverhead is the bytes of a record's field names and numbers.
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
