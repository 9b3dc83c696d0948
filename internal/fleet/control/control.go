// Package control is the conversation that two processes keep beside their
// requests, one stream for each session: each tells the other what changed,
// and whoever holds the higher configuration revision hands it on. Nothing is
// sent while nothing changes.
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
	// noticeGap is the least time between two notices on one stream.
	noticeGap = 40 * time.Millisecond
	// sendTimeout bounds the writing of one message.
	sendTimeout = 5 * time.Second
	// idleLimit is how long a peer may say nothing: forever, in effect, since
	// requests and not notices are the evidence that a link lives.
	idleLimit = 365 * 24 * time.Hour
)

// Signal wakes all who wait for a change. It is safe for concurrent use.
type Signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// NewSignal returns a signal.
func NewSignal() *Signal { return &Signal{ch: make(chan struct{})} }

// Raise wakes all who wait now.
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

// Peer is what a process tells on its control streams, and where it puts what
// it is told.
type Peer struct {
	log      *changelog.Log
	suspects *suspect.Register
	changed  *Signal
	evidence *Signal
	now      func() time.Time
	describe func(now time.Time, notice *wire.Notice, evidence bool)
}

// Option sets one of a peer's hooks.
type Option func(*Peer)

// Describe lets f add to each notice before it is sent; evidence tells whether
// the other side wants the evidence on versions.
func Describe(f func(now time.Time, notice *wire.Notice, evidence bool)) Option {
	return func(p *Peer) { p.describe = f }
}

// Evidence is raised by whoever has new evidence. It wakes only conversations
// whose other side wants it: with hundreds of entries, telling all of them
// would cost an agent more than everything else together.
func Evidence(s *Signal) Option { return func(p *Peer) { p.evidence = s } }

// NewPeer returns a peer over a configuration log and a register of crashes.
// Changed is raised by whoever changes something worth telling.
func NewPeer(log *changelog.Log, suspects *suspect.Register, changed *Signal, now func() time.Time, options ...Option) *Peer {
	p := &Peer{log: log, suspects: suspects, changed: changed, now: now, evidence: NewSignal()}
	for _, option := range options {
		option(p)
	}
	return p
}

// Run keeps the conversation until the stream or the context ends. Learn is
// called with each notice of the other side; it may be nil.
func (p *Peer) Run(ctx context.Context, stream *link.Stream, learn func(now time.Time, notice *wire.Notice)) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	var writing sync.WaitGroup
	pace := &atomic.Int64{}
	writing.Go(func() {
		defer cancel()
		p.tell(ctx, stream, pace)
	})
	p.listen(stream, learn, pace)
	cancel()
	writing.Wait()
	stop()
	_ = stream.Close()
}

func (p *Peer) tell(ctx context.Context, stream *link.Stream, pace *atomic.Int64) {
	var told time.Time
	for {
		changed, logChanged := p.changed.Wait(), p.log.Changed()
		evidence := p.evidence.Wait()
		now := p.now()
		wanted := pace.Load() > 0
		if wanted {
			told = now
		}
		if err := stream.Send(now.Add(sendTimeout), notice(p.notice(now, wanted))); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(noticeGap):
		}
		p.await(ctx, changed, logChanged, func() (<-chan struct{}, time.Duration) {
			every := time.Duration(pace.Load())
			if every == 0 {
				return nil, 0
			}
			return evidence, told.Add(every).Sub(p.now())
		})
		if ctx.Err() != nil {
			return
		}
	}
}

// await waits until something is to be told: a change at once, evidence where
// it is wanted and not before its pace allows.
func (p *Peer) await(ctx context.Context, changed, logChanged <-chan struct{}, wanted func() (<-chan struct{}, time.Duration)) {
	evidence, left := wanted()
	if left > 0 {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			return
		case <-logChanged:
			return
		case <-time.After(left):
		}
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-logChanged:
	case <-evidence:
	}
}

func (p *Peer) notice(now time.Time, evidence bool) *wire.Notice {
	n := &wire.Notice{Revision: p.log.Revision()}
	for _, crash := range p.suspects.Crashes(now) {
		n.Crashes = append(n.Crashes, &wire.Crash{Id: crash.ID(), Fingerprints: crash.Fingerprints()})
	}
	if p.describe != nil {
		p.describe(now, n, evidence)
	}
	return n
}

func (p *Peer) listen(stream *link.Stream, learn func(time.Time, *wire.Notice), pace *atomic.Int64) {
	for {
		envelope, err := stream.Receive(p.now().Add(idleLimit))
		if err != nil {
			return
		}
		now := p.now()
		switch body := envelope.GetBody().(type) {
		case *wire.Envelope_Notice:
			p.take(now, body.Notice)
			every := time.Duration(body.Notice.GetEvidenceEveryMs()) * time.Millisecond
			if first := every > 0 && pace.Swap(int64(every)) == 0; first {
				p.changed.Raise()
			}
			pace.Store(int64(every))
			if learn != nil {
				learn(now, body.Notice)
			}
			if body.Notice.GetRevision() > p.log.Revision() {
				err = stream.Send(now.Add(sendTimeout), ask(p.log.Revision()))
			}
		case *wire.Envelope_ChangesAsk:
			err = stream.Send(now.Add(sendTimeout), p.changes(body.ChangesAsk.GetAbove()))
		case *wire.Envelope_Changes:
			p.apply(body.Changes)
		}
		if err != nil {
			return
		}
	}
}

func (p *Peer) take(now time.Time, n *wire.Notice) {
	news := false
	for _, crash := range n.GetCrashes() {
		if p.suspects.Learn(now, suspect.NewCrash(crash.GetId(), now, crash.GetFingerprints())) {
			news = true
		}
	}
	if news {
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

// apply takes a peer's changes. What does not parse or does not follow is
// dropped: the store's own log will bring the node up to date.
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

func notice(n *wire.Notice) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Notice{Notice: n}}
}

func ask(above uint64) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ChangesAsk{ChangesAsk: &wire.ChangesAsk{Above: above}}}
}
