// Package control exchanges state between two processes on a control stream,
// one for each session, separate from their requests. Each side sends notices of
// its changes, and the side with the higher configuration revision sends the
// missing changes. Nothing is sent while nothing changes.
package control

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/changelog"
	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
)

const (
	// noticeInterval is the minimum time between two notices on one stream.
	noticeInterval = 40 * time.Millisecond
	// syncInterval is the minimum time between two exchanges of configuration on
	// one stream, and maxBroadcastStreams the number of streams up to which a
	// change is sent on all of them immediately.
	syncInterval        = 500 * time.Millisecond
	maxBroadcastStreams = 64
	// sendTimeout bounds the sending of one message.
	sendTimeout = 5 * time.Second
	// receiveTimeout is effectively unlimited: a control stream may be silent, as
	// requests and not notices show whether a link is alive.
	receiveTimeout = 365 * 24 * time.Hour
)

// Signal wakes all goroutines that wait for a change. It is safe for concurrent
// use.
type Signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// NewSignal returns a signal.
func NewSignal() *Signal { return &Signal{ch: make(chan struct{})} }

// Raise wakes all current waiters.
func (s *Signal) Raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}

// Wait returns a channel that the next Raise closes.
func (s *Signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// Peer holds the state that a process sends on its control streams and updates
// from the notices that it receives.
type Peer struct {
	log      *changelog.Log
	suspects *suspect.Registry
	changed  *Signal
	evidence *Signal
	now      func() time.Time
	describe func(now time.Time, notice *wire.Notice, evidence bool)

	mu          sync.Mutex
	streams     map[string]*controlStream
	openStreams int
}

// Option sets one of a peer's hooks.
type Option func(*Peer)

// WithDescribe sets a function that adds to each notice before it is sent. Its
// parameter evidence reports whether the receiver wants evidence on versions.
func WithDescribe(f func(now time.Time, notice *wire.Notice, evidence bool)) Option {
	return func(p *Peer) { p.describe = f }
}

// WithEvidence sets the signal that is raised on new evidence. It wakes only streams
// whose other side wants evidence: with hundreds of entries, sending it to all
// of them would cost an agent more than all its other work.
func WithEvidence(s *Signal) Option { return func(p *Peer) { p.evidence = s } }

// NewPeer returns a peer for a configuration log and a register of crashes.
// The signal changed is raised on every change that a notice reports.
func NewPeer(log *changelog.Log, suspects *suspect.Registry, changed *Signal, now func() time.Time, options ...Option) *Peer {
	p := &Peer{log: log, suspects: suspects, changed: changed, now: now, evidence: NewSignal(), streams: make(map[string]*controlStream)}
	for _, option := range options {
		option(p)
	}
	return p
}

// Run serves the control stream with the peer at the address until the stream or
// the context ends. It calls onNotice with each received notice, unless that is
// nil. The address may be empty if ReportRevision is never called for this peer.
func (p *Peer) Run(ctx context.Context, address string, stream *link.Stream, onNotice func(now time.Time, notice *wire.Notice)) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	c := &controlStream{peer: p, stream: stream, onNotice: onNotice, revisionReported: NewSignal()}
	p.addStream(address, c)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer cancel()
		c.sendUpdates(ctx)
	})
	c.receive()
	cancel()
	writer.Wait()
	p.removeStream(address, c)
	stop()
	_ = stream.Close()
}

func (p *Peer) addStream(address string, c *controlStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams[address] = c
	p.openStreams++
}

func (p *Peer) removeStream(address string, c *controlStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openStreams--
	if p.streams[address] == c {
		delete(p.streams, address)
	}
}

// broadcasts reports whether there are few enough streams to send a
// configuration change on all of them immediately.
func (p *Peer) broadcasts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openStreams <= maxBroadcastStreams
}

// ReportRevision records the configuration revision of the peer at the address, as it
// was reported with a load report, for example. A peer with a lower revision is
// sent the missing changes; one with a higher revision is asked for them. This
// way a change is sent once, and only to peers that receive traffic; sending
// every change on every link would cost an entry of the design size more than
// its whole budget.
func (p *Peer) ReportRevision(address string, revision uint64) {
	p.mu.Lock()
	c := p.streams[address]
	p.mu.Unlock()
	if c != nil {
		c.setRevision(revision)
	}
}

// controlStream is the state of one control stream.
type controlStream struct {
	peer             *Peer
	stream           *link.Stream
	onNotice         func(now time.Time, notice *wire.Notice)
	revisionReported *Signal
	// evidenceInterval is how often the other side wants evidence, in
	// nanoseconds, 0 for never.
	evidenceInterval atomic.Int64
	// revision is the configuration revision that the other side last reported
	// or was sent since; known is set once it has reported one.
	revision atomic.Uint64
	known    atomic.Bool
}

// setRevision records the other side's revision and wakes the stream if it
// differs from this side's.
func (c *controlStream) setRevision(revision uint64) {
	c.revision.Store(revision)
	c.known.Store(true)
	if revision != c.peer.log.Revision() {
		c.revisionReported.Raise()
	}
}

// sendUpdates sends notices on changes, and synchronizes the configuration when
// the revisions differ.
func (c *controlStream) sendUpdates(ctx context.Context) {
	p := c.peer
	var lastNotice, lastSync time.Time
	for due := true; ; {
		changed, revisionReported := p.changed.Wait(), c.revisionReported.Wait()
		evidence, logChanged := p.evidence.Wait(), p.log.Changed()
		now := p.now()
		if due {
			lastNotice = now
			if err := c.send(now, noticeEnvelope(p.notice(now, c.evidenceInterval.Load() > 0))); err != nil {
				return
			}
		}
		wait := syncInterval - now.Sub(lastSync)
		if wait <= 0 && c.revisionsDiffer() {
			lastSync = now
			if err := c.syncConfiguration(now); err != nil {
				return
			}
		}
		var syncDue <-chan time.Time
		if wait > 0 && c.revisionsDiffer() {
			syncDue = time.After(wait)
		}
		if !p.broadcasts() {
			logChanged = nil
		}
		due = c.await(ctx, lastNotice, changed, evidence, revisionReported, logChanged, syncDue)
		if ctx.Err() != nil {
			return
		}
	}
}

// revisionsDiffer reports whether the two sides are known to have different
// revisions.
func (c *controlStream) revisionsDiffer() bool {
	return c.known.Load() && c.revision.Load() != c.peer.log.Revision()
}

// syncConfiguration sends the changes that the other side lacks, or requests
// those that this side lacks. Sent changes are assumed to arrive; if they are
// lost, the next load report shows it.
func (c *controlStream) syncConfiguration(now time.Time) error {
	theirs, ours := c.revision.Load(), c.peer.log.Revision()
	if theirs > ours {
		return c.send(now, changesRequest(ours))
	}
	c.revision.CompareAndSwap(theirs, ours)
	return c.send(now, c.peer.changes(theirs))
}

// await waits for the next event and reports whether a notice is due. Changes
// are sent immediately, evidence only if it is wanted and at most once per
// evidenceInterval.
func (c *controlStream) await(ctx context.Context, lastNotice time.Time, changed, evidence, revisionReported, logChanged <-chan struct{}, syncDue <-chan time.Time) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(noticeInterval):
	}
	interval := time.Duration(c.evidenceInterval.Load())
	if interval == 0 {
		evidence = nil
	} else if left := lastNotice.Add(interval).Sub(c.peer.now()); left > 0 {
		evidence = delayed(ctx, evidence, left)
	}
	select {
	case <-ctx.Done():
	case <-changed:
		return true
	case <-evidence:
		return true
	case <-revisionReported:
	case <-logChanged:
	case <-syncDue:
	}
	return false
}

// delayed returns a channel that is closed once the time has passed and the
// signal was raised.
func delayed(ctx context.Context, signal <-chan struct{}, left time.Duration) <-chan struct{} {
	ready := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(left):
		}
		select {
		case <-ctx.Done():
		case <-signal:
			close(ready)
		}
	}()
	return ready
}

func (c *controlStream) send(now time.Time, envelope *wire.Envelope) error {
	return c.stream.Send(now.Add(sendTimeout), envelope)
}

func (p *Peer) notice(now time.Time, evidence bool) *wire.Notice {
	n := &wire.Notice{Revision: p.log.Revision()}
	for _, crash := range p.suspects.Crashes(now) {
		// Rounded up: a node that hears its own report again must not shorten a life.
		life := (crash.Life(now) + time.Millisecond - 1) / time.Millisecond
		n.Crashes = append(n.Crashes, &wire.Crash{Id: crash.ID(), Fingerprints: crash.Fingerprints(), LifeMs: uint32(life)})
	}
	if p.describe != nil {
		p.describe(now, n, evidence)
	}
	return n
}

func (c *controlStream) receive() {
	p := c.peer
	for {
		envelope, err := c.stream.Receive(p.now().Add(receiveTimeout))
		if err != nil {
			return
		}
		now := p.now()
		switch body := envelope.GetBody().(type) {
		case *wire.Envelope_Notice:
			c.handleNotice(now, body.Notice)
		case *wire.Envelope_ChangesAsk:
			err = c.send(now, p.changes(body.ChangesAsk.GetAbove()))
		case *wire.Envelope_Changes:
			p.apply(body.Changes)
		}
		if err != nil {
			return
		}
	}
}

func (c *controlStream) handleNotice(now time.Time, n *wire.Notice) {
	c.peer.recordCrashes(now, n)
	if c.onNotice != nil {
		c.onNotice(now, n)
	}
	interval := int64(time.Duration(n.GetEvidenceEveryMs()) * time.Millisecond)
	if before := c.evidenceInterval.Swap(interval); before == 0 && interval > 0 {
		c.peer.changed.Raise()
	}
	c.setRevision(n.GetRevision())
}

func (p *Peer) recordCrashes(now time.Time, n *wire.Notice) {
	isNew := false
	for _, crash := range n.GetCrashes() {
		life := time.Duration(crash.GetLifeMs()) * time.Millisecond
		if p.suspects.Record(now, suspect.NewReportedCrash(now, crash.GetId(), life, crash.GetFingerprints())) {
			isNew = true
		}
	}
	if isNew {
		p.changed.Raise()
	}
}

func (p *Peer) changes(above uint64) *wire.Envelope {
	snapshot, records := p.log.Since(above)
	out := &wire.Changes{}
	if snapshot != nil {
		out.Snapshot, _ = json.Marshal(snapshot)
	}
	for _, record := range records {
		raw, err := json.Marshal(record)
		if err == nil {
			out.Records = append(out.Records, raw)
		}
	}
	return &wire.Envelope{Body: &wire.Envelope_Changes{Changes: out}}
}

// apply applies a peer's changes. Changes that cannot be decoded or do not
// continue the log are dropped: the node catches up from the log in the store.
func (p *Peer) apply(c *wire.Changes) {
	var snapshot *changelog.Snapshot
	if len(c.GetSnapshot()) > 0 {
		snapshot = &changelog.Snapshot{}
		if err := json.Unmarshal(c.GetSnapshot(), snapshot); err != nil {
			return
		}
	}
	records := make([]changelog.Record, 0, len(c.GetRecords()))
	for _, raw := range c.GetRecords() {
		var record changelog.Record
		if err := json.Unmarshal(raw, &record); err != nil {
			return
		}
		records = append(records, record)
	}
	_ = p.log.Apply(snapshot, records)
}

func noticeEnvelope(n *wire.Notice) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Notice{Notice: n}}
}

func changesRequest(above uint64) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ChangesAsk{ChangesAsk: &wire.ChangesAsk{Above: above}}}
}
