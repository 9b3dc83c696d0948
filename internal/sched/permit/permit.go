// Package permit gets places for requests from the gateway that schedules at
// present, and chooses by itself while none can be asked.
package permit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// answerSlack is how much longer than the longest wait that a scheduler plans
// an ask is waited for. A scheduler that lives but lost the ask is not asked
// for longer than a caller would wait.
const answerSlack = 1500 * time.Millisecond

// wordWithin is how long a scheduler's first word may take: whether it grants,
// refuses or lets wait. It comes within some 4 ms across failure domains; over
// a link that loses packets, or from a VM that has become slow, waiting for it
// costs more of a caller's few hundred milliseconds than choosing here.
const wordWithin = 40 * time.Millisecond

// asksMost bounds the schedulers that one request asks, each after the one
// before went silent.
const asksMost = 3

// Local chooses without asking anybody.
type Local interface {
	flow.Picker
	// Hold counts a place at an upstream that somebody else chose.
	Hold(u roster.Upstream) flow.Place
}

// Parts are what a Client works with.
type Parts struct {
	// Node is this gateway's name, Domain its failure domain.
	Node, Domain string
	// Scheduler returns the gateway to ask, "" if there is none.
	Scheduler func(now time.Time) string
	// Send queues a message for a gateway.
	Send func(node string, e *wire.Envelope) bool
	// Own takes messages as if a gateway had sent them, when this one schedules.
	Own      func(now time.Time, e *wire.Envelope)
	Local    Local
	Upstream func(id string) (roster.Upstream, bool)
	Service  func(name string) *catalog.Service
	Metrics  Metrics
	Logger   *slog.Logger
	Now      func() time.Time
}

// Metrics takes what came of asks for a place.
type Metrics interface {
	// Placed counts an ask by its result, one of a few words, and how long it
	// took.
	Placed(result string, waited time.Duration)
}

type verdict struct {
	// number is that of the ask.
	number     uint64
	upstream   string
	retryAfter time.Duration
	why        string
	// lost verdicts tell that the scheduler is gone.
	lost bool
	// waiting verdicts tell that the ask is heard.
	waiting bool
	// mute verdicts tell that no word came in time.
	mute bool
}

// result names a verdict for the metrics; without one the caller left or the
// scheduler said no more in time.
func (v verdict) result(ok bool) string {
	switch {
	case !ok:
		return "none"
	case v.mute:
		return "mute"
	case v.lost:
		return "lost"
	case v.upstream == "":
		return "refused"
	}
	return "granted"
}

type pending struct {
	scheduler string
	number    uint64
	verdicts  chan verdict
}

// Client implements flow.Picker.
type Client struct {
	Parts

	mu      sync.Mutex
	pending map[string]*pending
	places  map[*place]struct{}
	current string
	// numbers counts the asks and the places that were not asked for. A
	// request may have several, one after the other.
	numbers uint64
}

// New returns a client of the parts.
func New(parts Parts) *Client {
	return &Client{Parts: parts, pending: make(map[string]*pending), places: make(map[*place]struct{})}
}

// Pick implements flow.Picker.
func (c *Client) Pick(ctx context.Context, now time.Time, a flow.Ask) (flow.Place, error) {
	service := c.Service(a.Service)
	if service == nil || service.Engine == nil {
		return c.Local.Pick(ctx, now, a)
	}
	for range asksMost {
		scheduler := c.Scheduler(c.Now())
		if scheduler == "" {
			break
		}
		got, ok := c.ask(ctx, scheduler, a)
		if ctx.Err() != nil {
			return nil, flow.RefusePlace(0, "the caller left or its time is over")
		}
		if got.mute {
			break
		}
		if !ok || got.lost {
			continue
		}
		if got.upstream == "" {
			return nil, flow.RefusePlace(got.retryAfter, "no place: %s", got.why)
		}
		if u, known := c.Upstream(got.upstream); known && u.State == roster.Ready {
			return c.keep(c.Local.Hold(u), a, got.number), nil
		}
		// The scheduler does not know yet that the upstream leaves.
		c.tell(ended(a.ID, got.number, board.End{Outcome: board.Unreached}))
		a.Exclude = append(append([]string(nil), a.Exclude...), got.upstream)
	}
	return c.pickHere(ctx, a)
}

// pickHere chooses without a scheduler. The place is counted like one that was
// granted, so that the scheduler hears of it. A stream that must end in time gets
// none: a full engine would keep it in its own queue, and which ones are full is
// not known here.
func (c *Client) pickHere(ctx context.Context, a flow.Ask) (flow.Place, error) {
	c.Logger.Debug("choosing without the scheduler", "id", a.ID)
	now := c.Now()
	if a.Ending == flow.EndSure {
		return nil, flow.RefusePlace(0, "this process stops before the request could end")
	}
	chosen, err := c.Local.Pick(ctx, now, a)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.numbers++
	number := c.numbers
	c.mu.Unlock()
	return c.keep(chosen, a, number), nil
}

// ask asks one scheduler and waits for its verdict.
func (c *Client) ask(ctx context.Context, scheduler string, a flow.Ask) (verdict, bool) {
	p := &pending{scheduler: scheduler, verdicts: make(chan verdict, 2)}
	c.mu.Lock()
	c.numbers++
	p.number = c.numbers
	c.pending[a.ID] = p
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, a.ID)
		c.mu.Unlock()
	}()
	if !c.sendTo(scheduler, c.askMessage(p.number, a)) {
		return verdict{}, false
	}
	asked := c.Now()
	got, ok := c.await(ctx, p, a)
	c.Metrics.Placed(got.result(ok), c.Now().Sub(asked))
	if !ok || got.mute {
		c.sendTo(scheduler, ended(a.ID, p.number, board.End{Outcome: board.Left}))
	}
	got.number = p.number
	return got, ok
}

// await waits for the first word, and then for the verdict.
func (c *Client) await(ctx context.Context, p *pending, a flow.Ask) (verdict, bool) {
	word := time.NewTimer(wordWithin)
	defer word.Stop()
	last := time.NewTimer(min(a.Until.Sub(c.Now()), answerSlack))
	defer last.Stop()
	for {
		select {
		case got := <-p.verdicts:
			if got.waiting {
				word.Stop()
				continue
			}
			return got, true
		case <-word.C:
			return verdict{mute: true}, true
		case <-ctx.Done():
			return verdict{}, false
		case <-last.C:
			c.Logger.Warn("no verdict from the scheduler", "id", a.ID, "scheduler", p.scheduler)
			return verdict{}, false
		}
	}
}

func (c *Client) askMessage(number uint64, a flow.Ask) *wire.Envelope {
	now := c.Now()
	return &wire.Envelope{Body: &wire.Envelope_PlaceAsk{PlaceAsk: &wire.PlaceAsk{
		Id: a.ID, Number: number, Service: a.Service, Tier: uint32(a.Tier), Domain: c.Domain,
		DueMs: a.Due.Sub(now).Milliseconds(), UntilMs: a.Until.Sub(now).Milliseconds(),
		Prompt: uint32(a.Prompt), Output: uint32(a.Output), MaxGapMs: uint32(a.Route.MaxGap.Milliseconds()),
		Exclude: a.Exclude, Again: a.Again, Fingerprint: a.Fingerprint,
		OnlyVersion: a.Only, NotVersion: a.Not, End: endMessage(a.Ending),
	}}}
}

func (c *Client) sendTo(node string, e *wire.Envelope) bool {
	if node == c.Node {
		c.Own(c.Now(), e)
		return true
	}
	return c.Send(node, e)
}

// tell sends a message to the gateway that schedules now.
func (c *Client) tell(e *wire.Envelope) {
	if scheduler := c.Scheduler(c.Now()); scheduler != "" {
		c.sendTo(scheduler, e)
	}
}

// Verdict takes a scheduler's answer. A place that comes after its ask was given
// up is given back by its number: the request may have another place by then.
func (c *Client) Verdict(v *wire.PlaceVerdict) {
	c.mu.Lock()
	p := c.pending[v.Id]
	c.mu.Unlock()
	if p == nil || p.number != v.Number {
		if v.Upstream != "" {
			c.tell(ended(v.Id, v.Number, board.End{Outcome: board.Left}))
		}
		return
	}
	select {
	case p.verdicts <- verdict{upstream: v.Upstream, retryAfter: time.Duration(v.RetryAfterMs) * time.Millisecond, why: v.Why, waiting: v.Waiting}:
	default:
	}
}

// Down tells that a gateway is gone: what was asked of it is asked elsewhere.
func (c *Client) Down(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if p.scheduler != node {
			continue
		}
		select {
		case p.verdicts <- verdict{lost: true}:
		default:
		}
	}
}

// Follow notes a new scheduler and tells it of the places that are held.
func (c *Client) Follow(now time.Time) {
	scheduler := c.Scheduler(now)
	c.mu.Lock()
	before := c.current
	c.current = scheduler
	c.mu.Unlock()
	if scheduler == before {
		return
	}
	c.Logger.Info("scheduler", "node", scheduler, "before", before)
	c.TellHeld(now)
}

// TellHeld tells the scheduler of all places that are held. It is repeated every
// TellEvery, because a message may be lost, and a place that another gateway
// granted for a moment would stay taken there for good.
func (c *Client) TellHeld(now time.Time) {
	scheduler := c.Scheduler(now)
	if scheduler == "" {
		return
	}
	held := &wire.PlacesHeld{}
	c.mu.Lock()
	for p := range c.places {
		held.Places = append(held.Places, p.held())
	}
	c.mu.Unlock()
	c.sendTo(scheduler, &wire.Envelope{Body: &wire.Envelope_PlacesHeld{PlacesHeld: held}})
}

// TellEvery is how often TellHeld is to be called.
const TellEvery = time.Second

func (c *Client) keep(local flow.Place, a flow.Ask, number uint64) flow.Place {
	p := &place{client: c, local: local, upstream: local.Upstream(), ask: a, number: number}
	c.mu.Lock()
	c.places[p] = struct{}{}
	c.mu.Unlock()
	return p
}

// place is a place on an engine.
type place struct {
	client   *Client
	local    flow.Place
	upstream roster.Upstream
	ask      flow.Ask
	number   uint64

	mu      sync.Mutex
	started time.Time
	load    *exchange.Load
}

// Upstream implements flow.Place.
func (p *place) Upstream() roster.Upstream { return p.upstream }

// Load implements flow.Place.
func (p *place) Load(now time.Time, load exchange.Load) {
	p.local.Load(now, load)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load = &load
}

// Started implements flow.Place.
func (p *place) Started(now time.Time) {
	message := &wire.PlaceStarted{Id: p.ask.ID}
	p.mu.Lock()
	p.started = now
	if p.load != nil {
		message.LoadKnown, message.Running, message.Waiting = true, uint32(p.load.Running), uint32(p.load.Waiting)
	}
	p.mu.Unlock()
	p.local.Started(now)
	p.client.tell(&wire.Envelope{Body: &wire.Envelope_PlaceStarted{PlaceStarted: message}})
}

// Done implements flow.Place.
func (p *place) Done(now time.Time, o flow.Outcome, tokens int) {
	p.local.Done(now, o, tokens)
	p.client.mu.Lock()
	delete(p.client.places, p)
	p.client.mu.Unlock()
	p.mu.Lock()
	stream := time.Duration(0)
	if !p.started.IsZero() {
		stream = now.Sub(p.started)
	}
	p.mu.Unlock()
	p.client.tell(ended(p.ask.ID, p.number, board.End{Outcome: boardOutcome(o), Stream: stream, Tokens: tokens}))
}

func (p *place) held() *wire.PlaceHeld {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &wire.PlaceHeld{
		Id: p.ask.ID, Number: p.number, Upstream: p.upstream.ID, Prompt: uint32(p.ask.Prompt), Output: uint32(p.ask.Output),
		Started: !p.started.IsZero(),
	}
}

func ended(id string, number uint64, end board.End) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_PlaceEnded{PlaceEnded: &wire.PlaceEnded{
		Id: id, Number: number, Outcome: uint32(end.Outcome),
		StreamUs: uint64(end.Stream.Microseconds()), Tokens: uint32(end.Tokens),
	}}}
}

func boardOutcome(o flow.Outcome) board.Outcome {
	switch o {
	case flow.Answered:
		return board.Answered
	case flow.Declined:
		return board.Declined
	case flow.Unreached:
		return board.Unreached
	case flow.Left:
		return board.Left
	case flow.Broken:
		return board.Broken
	case flow.Failed:
	}
	return board.Failed
}
