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
	// relayGap is the least time between two exchanges of configuration on one
	// stream, and relayMost the number of conversations up to which all are
	// told of a change at once.
	relayGap  = 500 * time.Millisecond
	relayMost = 64
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

	mu            sync.Mutex
	conversations map[string]*conversation
	open          int
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
	p := &Peer{log: log, suspects: suspects, changed: changed, now: now, evidence: NewSignal(), conversations: make(map[string]*conversation)}
	for _, option := range options {
		option(p)
	}
	return p
}

// Run keeps the conversation with the peer at the address until the stream or
// the context ends. Learn is called with each notice of the other side; it may
// be nil. The address may be empty where nobody will ask for it.
func (p *Peer) Run(ctx context.Context, address string, stream *link.Stream, learn func(now time.Time, notice *wire.Notice)) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	c := &conversation{peer: p, stream: stream, learn: learn, heard: NewSignal()}
	p.enter(address, c)
	var writing sync.WaitGroup
	writing.Go(func() {
		defer cancel()
		c.tell(ctx)
	})
	c.listen()
	cancel()
	writing.Wait()
	p.leave(address, c)
	stop()
	_ = stream.Close()
}

func (p *Peer) enter(address string, c *conversation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conversations[address] = c
	p.open++
}

func (p *Peer) leave(address string, c *conversation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if p.conversations[address] == c {
		delete(p.conversations, address)
	}
}

// few tells whether there are so few conversations that all may be told of a
// change of configuration at once.
func (p *Peer) few() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open <= relayMost
}

// Heard takes the revision that the peer at the address has said it holds, with
// a load report for example. A peer that is behind is sent what it lacks, and
// one that is ahead is asked. That way a change goes only to those that traffic
// goes to, and once; telling every link of every change would cost an entry of
// the design size more than its whole budget.
func (p *Peer) Heard(address string, revision uint64) {
	p.mu.Lock()
	c := p.conversations[address]
	p.mu.Unlock()
	if c != nil {
		c.note(revision)
	}
}

// conversation is one control stream.
type conversation struct {
	peer   *Peer
	stream *link.Stream
	learn  func(now time.Time, notice *wire.Notice)
	heard  *Signal
	// pace is how often the other side wants evidence, 0 for never.
	pace atomic.Int64
	// revision is what the other side last said it holds, or was sent since;
	// known tells whether it has said anything.
	revision atomic.Uint64
	known    atomic.Bool
}

// note takes the other side's revision and wakes the conversation if there is
// anything to do about it.
func (c *conversation) note(revision uint64) {
	c.revision.Store(revision)
	c.known.Store(true)
	if revision != c.peer.log.Revision() {
		c.heard.Raise()
	}
}

// tell sends notices when something changed, and configuration when one side
// lacks it.
func (c *conversation) tell(ctx context.Context) {
	p := c.peer
	var told, relayed time.Time
	for due := true; ; {
		changed, heard := p.changed.Wait(), c.heard.Wait()
		evidence, logChanged := p.evidence.Wait(), p.log.Changed()
		now := p.now()
		if due {
			told = now
			if err := c.send(now, notice(p.notice(now, c.pace.Load() > 0))); err != nil {
				return
			}
		}
		wait := relayGap - now.Sub(relayed)
		if wait <= 0 && c.apart() {
			relayed = now
			if err := c.relay(now); err != nil {
				return
			}
		}
		var again <-chan time.Time
		if wait > 0 && c.apart() {
			again = time.After(wait)
		}
		if !p.few() {
			logChanged = nil
		}
		due = c.await(ctx, told, changed, evidence, heard, logChanged, again)
		if ctx.Err() != nil {
			return
		}
	}
}

// apart tells whether the two sides are known to hold different revisions.
func (c *conversation) apart() bool {
	return c.known.Load() && c.revision.Load() != c.peer.log.Revision()
}

// relay sends the other side what it lacks, or asks it for what this one does.
// What was sent counts as held; should it be lost, the next load report says
// so.
func (c *conversation) relay(now time.Time) error {
	theirs, ours := c.revision.Load(), c.peer.log.Revision()
	if theirs > ours {
		return c.send(now, ask(ours))
	}
	c.revision.CompareAndSwap(theirs, ours)
	return c.send(now, c.peer.changes(theirs))
}

// await waits until something is to be done, and tells whether a notice is due.
// A change is told at once, evidence where it is wanted and at its pace.
func (c *conversation) await(ctx context.Context, told time.Time, changed, evidence, heard, logChanged <-chan struct{}, again <-chan time.Time) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(noticeGap):
	}
	pace := time.Duration(c.pace.Load())
	if pace == 0 {
		evidence = nil
	} else if left := told.Add(pace).Sub(c.peer.now()); left > 0 {
		evidence = delayed(ctx, evidence, left)
	}
	select {
	case <-ctx.Done():
	case <-changed:
		return true
	case <-evidence:
		return true
	case <-heard:
	case <-logChanged:
	case <-again:
	}
	return false
}

// delayed returns a channel that closes once the signal came and the time has
// passed.
func delayed(ctx context.Context, signal <-chan struct{}, left time.Duration) <-chan struct{} {
	both := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(left):
		}
		select {
		case <-ctx.Done():
		case <-signal:
			close(both)
		}
	}()
	return both
}

func (c *conversation) send(now time.Time, envelope *wire.Envelope) error {
	return c.stream.Send(now.Add(sendTimeout), envelope)
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

func (c *conversation) listen() {
	p := c.peer
	for {
		envelope, err := c.stream.Receive(p.now().Add(idleLimit))
		if err != nil {
			return
		}
		now := p.now()
		switch body := envelope.GetBody().(type) {
		case *wire.Envelope_Notice:
			c.takeNotice(now, body.Notice)
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

func (c *conversation) takeNotice(now time.Time, n *wire.Notice) {
	c.peer.take(now, n)
	if c.learn != nil {
		c.learn(now, n)
	}
	every := int64(time.Duration(n.GetEvidenceEveryMs()) * time.Millisecond)
	if before := c.pace.Swap(every); before == 0 && every > 0 {
		c.peer.changed.Raise()
	}
	c.note(n.GetRevision())
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
