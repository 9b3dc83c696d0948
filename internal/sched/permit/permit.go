// Package permit requests slots on engines from the gateway that is the scheduler at
// present, and chooses an upstream locally while no scheduler can be asked.
package permit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// decisionTimeout is how long a gateway waits for the scheduler's decision: somewhat
// longer than the longest wait that a scheduler plans. If the scheduler is up but lost the
// slot request, the request does not wait longer than a caller would.
const decisionTimeout = 1500 * time.Millisecond

// firstReplyTimeout is how long a scheduler may take for its first reply, whether it
// grants a slot, refuses or queues the slot request. A reply takes about 4 ms across
// failure domains. On a link that loses packets, or from a VM that has become slow,
// waiting for it would cost more of a caller's few hundred milliseconds than choosing an
// upstream locally.
const firstReplyTimeout = 40 * time.Millisecond

// repeatAfter is the time without a reply after which a slot request is sent again on another
// connection. A reply takes about 4 ms within a failure domain and 8 to 15 ms across; a
// packet that is lost delays it by a retransmission timeout of 200 ms.
const repeatAfter = 18 * time.Millisecond

// maxSchedulers is how many schedulers are asked for one request, each after the previous
// one went silent or was replaced. The last one keeps its slot request even if it is
// replaced, so a scheduler that changes back and forth causes no further messages.
const maxSchedulers = 3

// settleTime is how long after a change of the scheduler the new one is asked for slots. By
// then the other gateways have reported their slots to it, too; before, it takes full
// engines for idle.
const settleTime = 30 * time.Millisecond

// maxSettleWait is how long a request that arrives while the scheduler changes again and
// again waits before it asks the present one.
const maxSettleWait = 3 * settleTime

// movedRetryAfter is the Retry-After of a request whose time to wait ended after it was
// moved to another scheduler: the shortest that schedulers give.
const movedRetryAfter = 300 * time.Millisecond

// EvacuatedRetryAfter and EvacuatedReason answer requests whose upstreams are all in
// evacuated failure domains. An evacuation lasts for seconds at least.
const (
	EvacuatedRetryAfter = 2 * time.Second
	EvacuatedReason     = "all failure domains with upstreams of the service are evacuated"
)

// Local chooses an upstream without a scheduler.
type Local interface {
	flow.Picker
	// Hold counts a request at an upstream that was chosen elsewhere.
	Hold(now time.Time, u roster.Upstream, req flow.PlacementRequest) flow.Placement
}

// Dependencies are the dependencies of a Client.
type Dependencies struct {
	// Node is the name of this gateway, Domain its failure domain.
	Node, Domain string
	// Scheduler returns the gateway that is the scheduler, or "" if there is none.
	Scheduler func(now time.Time) string
	// Send queues a message to a gateway.
	Send func(node string, e *wire.Envelope) bool
	// SendAlternate queues a message to a gateway on another connection than Send. It may be
	// nil.
	SendAlternate func(node string, e *wire.Envelope) bool
	// DeliverLocally handles messages to the scheduler if that is this gateway itself.
	DeliverLocally func(now time.Time, e *wire.Envelope)
	Local          Local
	Upstream       func(id string) (roster.Upstream, bool)
	Service        func(name string) *catalog.Service
	// Evacuated reports whether all upstreams of the service in the failure domains are
	// evacuated; nil domains stand for all. It may be nil.
	Evacuated func(service string, domains []string) bool
	// Ready returns the upstreams of a service that may get new requests.
	Ready func(service string) []roster.Upstream
	// Paused returns those that may get no request of this gateway now. It may be nil.
	Paused func(now time.Time, service string) []Pause
	// MayWithhold reports whether a request may be withheld from the upstream that was chosen for
	// it. It may be nil.
	MayWithhold func() bool
	// MinStreamTime returns how long the idle upstream takes from the send of a prompt to
	// the last of its output tokens. If it is nil, all upstreams count as the fastest.
	MinStreamTime func(upstream string, promptTokens, outputTokens int) time.Duration
	// Silent handles a scheduler that has replied to no slot request since a time. It may
	// be nil.
	Silent  func(now time.Time, scheduler string, since time.Time)
	Metrics Metrics
	// PlacedFor counts a placement that a workspace got or that was refused. It may be nil.
	PlacedFor func(workspace string, granted bool)
	Logger    *slog.Logger
	Now       func() time.Time
}

// Metrics records the results of slot requests.
type Metrics interface {
	// Placed counts a slot request by its result, one of a few fixed words, and records
	// how long it took.
	Placed(result string, waited time.Duration)
}

type decision struct {
	// number is the number of the slot request.
	number     uint64
	upstream   string
	retryAfter time.Duration
	reason     string
	// lost is set if the scheduler is gone.
	lost bool
	// replaced is set if another gateway has become the scheduler while this one lives.
	replaced bool
	// timedOut is set if there was no first reply in time.
	timedOut bool
}

// result names the decision for the metrics. Without a decision, the caller left or the
// scheduler did not decide in time.
func (d decision) result(ok bool) string {
	switch {
	case !ok:
		return "none"
	case d.timedOut:
		return "mute"
	case d.lost:
		return "lost"
	case d.replaced:
		return "moved"
	case d.upstream == "":
		return "refused"
	}
	return "granted"
}

// Client implements flow.Picker.
type Client struct {
	Dependencies

	// selectMu is held while the scheduler is selected and recorded. It is locked before mu.
	selectMu sync.Mutex

	mu            sync.Mutex
	pending       map[string]*pendingRequest
	placements    map[*placement]struct{}
	lastScheduler string
	// changedAt is when lastScheduler changed; it is zero until one was replaced.
	changedAt time.Time
	// lastNumber is the last number given to a slot request or to a locally chosen slot. A
	// request may have several in succession.
	lastNumber uint64
	silence    silence
}

// New returns a client with the given dependencies.
func New(deps Dependencies) *Client {
	return &Client{Dependencies: deps, pending: make(map[string]*pendingRequest), placements: make(map[*placement]struct{})}
}

// Pick implements flow.Picker.
func (c *Client) Pick(ctx context.Context, now time.Time, req flow.PlacementRequest) (flow.Placement, error) {
	placement, err := c.pick(ctx, now, req)
	// A caller who left was not refused.
	if c.PlacedFor != nil && (err == nil || ctx.Err() == nil) {
		c.PlacedFor(req.Workspace, err == nil)
	}
	return placement, err
}

func (c *Client) pick(ctx context.Context, now time.Time, req flow.PlacementRequest) (flow.Placement, error) {
	if c.Evacuated != nil && c.Evacuated(req.Service, req.Domains) {
		return nil, flow.RefusePlacement(EvacuatedRetryAfter, EvacuatedReason)
	}
	service := c.Service(req.Service)
	if service == nil || service.Engine == nil {
		return c.pickUnpaused(ctx, now, req)
	}
	var giveUpAt time.Time
	moved, why := false, "no scheduler"
	for attempt := range maxSchedulers {
		if !c.mayEnd(c.Now(), &req, "") {
			return nil, refuseBeforeExit()
		}
		unpaused, err := c.awaitUnpaused(ctx, c.Now(), req)
		if err != nil {
			return nil, err
		}
		scheduler := c.settledScheduler(ctx, req.Deadline)
		if scheduler == "" {
			break
		}
		// The time that a request waited at a replaced scheduler counts.
		if !moved {
			giveUpAt = c.Now().Add(decisionTimeout)
		}
		p := c.newPending(scheduler, unpaused, attempt < maxSchedulers-1)
		d, ok := c.requestSlot(ctx, p, giveUpAt)
		if ctx.Err() != nil {
			// A granted slot is given back.
			if d.upstream != "" {
				c.release(p, board.Canceled)
			}
			return nil, flow.RefusePlacement(0, "the caller left or the deadline passed")
		}
		if d.timedOut {
			why = "no reply"
			break
		}
		if d.replaced || (!ok && moved) {
			if !c.awaitSettled(ctx, earliest(giveUpAt, req.Deadline)) {
				return nil, flow.RefusePlacement(movedRetryAfter, "no slot: none became free in time at a scheduler and its successor")
			}
			moved = true
			continue
		}
		moved = false
		if !ok && req.UntilExit && !c.Now().Before(req.WaitDeadline()) {
			// What is left of the time serves the refusal.
			return nil, refuseBeforeExit()
		}
		if !ok || d.lost {
			why = "lost"
			continue
		}
		if d.upstream == "" {
			return nil, flow.RefusePlacement(d.retryAfter, "no slot: %s", d.reason)
		}
		u, known := c.Upstream(d.upstream)
		switch {
		case !known || !u.AcceptsRequests() || !req.AllowsDomain(u.Domain):
			// The scheduler does not know yet that the upstream is gone or leaving.
			c.release(p, board.Unreachable)
		case !c.mayEnd(c.Now(), &req, d.upstream):
			// The grant was made when more time was left.
			c.release(p, board.Canceled)
		default:
			return c.hold(c.Local.Hold(c.Now(), u, req), req, d.number), nil
		}
		req.ExcludedUpstreams = append(append([]string(nil), req.ExcludedUpstreams...), d.upstream)
	}
	return c.pickLocally(ctx, req, why)
}

// pickLocally chooses an engine without the scheduler. The slot is held like a granted
// one, so that the scheduler learns of it.
func (c *Client) pickLocally(ctx context.Context, req flow.PlacementRequest, why string) (flow.Placement, error) {
	c.Logger.Debug("choosing without the scheduler", "id", req.ID, "why", why)
	chosen, err := c.pickToEnd(ctx, c.Now(), req)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.lastNumber++
	number := c.lastNumber
	c.mu.Unlock()
	return c.hold(chosen, req, number), nil
}

func (c *Client) slotRequestMessage(number uint64, req flow.PlacementRequest) *wire.Envelope {
	now := c.Now()
	return &wire.Envelope{Body: &wire.Envelope_PlaceAsk{PlaceAsk: &wire.PlaceAsk{
		Id: req.ID, Number: number, Service: req.Service, Tier: uint32(req.Tier), Domain: c.Domain,
		DueMs: req.NextEventDue.Sub(now).Milliseconds(), UntilMs: req.Deadline.Sub(now).Milliseconds(),
		Prompt: uint32(req.PromptTokens), Output: uint32(req.OutputTokens), MaxGapMs: uint32(req.Route.EventGapTarget.Milliseconds()),
		Exclude: req.ExcludedUpstreams, Again: req.Resent, Fingerprint: req.Fingerprint,
		Domains: req.Domains, OnlyVersion: req.RequiredVersion, NotVersion: req.ExcludedVersion, End: endConstraintMessage(req.EndConstraint),
		Workspace: req.Workspace, Estimate: uint32(req.EstimatedTokens), Maximum: uint32(req.MaxTokens),
	}}}
}

func (c *Client) sendTo(node string, e *wire.Envelope) bool {
	if node == c.Node {
		c.DeliverLocally(c.Now(), e)
		return true
	}
	return c.Send(node, e)
}

// notify sends a message to the current scheduler.
func (c *Client) notify(e *wire.Envelope) {
	if scheduler := c.Scheduler(c.Now()); scheduler != "" {
		c.sendTo(scheduler, e)
	}
}

// notifyGranter sends the end of a slot request or slot to the scheduler that was asked
// for it, and to the current one, which may have been told of the slot.
func (c *Client) notifyGranter(granter string, e *wire.Envelope) {
	c.sendTo(granter, e)
	if scheduler := c.Scheduler(c.Now()); scheduler != "" && scheduler != granter {
		c.sendTo(scheduler, e)
	}
}

// HandleDecision passes a decision of the scheduler on node to the request that waits for
// it. A slot granted after its slot request was abandoned is released by its number,
// because the request may have another slot by then.
func (c *Client) HandleDecision(node string, v *wire.PlaceVerdict) {
	c.mu.Lock()
	p := c.pending[v.Id]
	late := p == nil || p.number != v.Number || p.decided
	if late && c.usesLocked(v) {
		// The decision was sent on both connections with the scheduler.
		c.mu.Unlock()
		return
	}
	switch {
	case late:
	case v.Waiting:
		select {
		case p.queued <- struct{}{}:
		default:
		}
	default:
		p.decide(decision{upstream: v.Upstream, retryAfter: time.Duration(v.RetryAfterMs) * time.Millisecond, reason: v.Why})
	}
	c.mu.Unlock()
	if late && v.Upstream != "" {
		c.notifyGranter(node, endedMessage(v.Id, v.Number, board.SlotResult{Outcome: board.Canceled}))
	}
}

// usesLocked reports whether the slot of a decision is that which its request has.
func (c *Client) usesLocked(v *wire.PlaceVerdict) bool {
	if p := c.pending[v.Id]; p != nil && p.number == v.Number && p.upstream == v.Upstream {
		return true
	}
	for p := range c.placements {
		if p.number == v.Number && p.request.ID == v.Id && p.upstream.ID == v.Upstream {
			return true
		}
	}
	return false
}

// GatewayDown handles the loss of a gateway. Its pending slot requests go to another
// scheduler.
func (c *Client) GatewayDown(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if p.scheduler == node {
			p.decide(decision{lost: true})
		}
	}
}

// UpdateScheduler checks for a new scheduler, reports the held slots to it, and moves the
// pending slot requests to it.
func (c *Client) UpdateScheduler(now time.Time) { c.updateScheduler(now) }

// updateScheduler is UpdateScheduler. It returns the scheduler and when all gateways should
// have reported their slots to it.
func (c *Client) updateScheduler(now time.Time) (scheduler string, settledAt time.Time) {
	scheduler, previous, settledAt := c.recordScheduler(now)
	if scheduler != previous {
		c.Logger.Info("scheduler", "node", scheduler, "before", previous)
		c.ReportHeld(now)
	}
	return scheduler, settledAt
}

// recordScheduler records the present scheduler and returns it with the one before.
func (c *Client) recordScheduler(now time.Time) (scheduler, previous string, settledAt time.Time) {
	// Of two concurrent calls, the one that selects the scheduler later also records it
	// later.
	c.selectMu.Lock()
	defer c.selectMu.Unlock()
	scheduler = c.Scheduler(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	previous = c.lastScheduler
	c.lastScheduler = scheduler
	// The first scheduler of a process has not replaced another one.
	if scheduler != previous && (previous != "" || !c.changedAt.IsZero()) {
		c.changedAt = now
	}
	return scheduler, previous, c.changedAt.Add(settleTime)
}

// ReportHeld reports all held slots to the scheduler, and moves to it the slot requests that
// are pending at others: those hear of no slot that becomes free. It is repeated
// regularly because a message may be lost, and because a slot granted by a gateway that was
// the scheduler for a moment would otherwise stay in use there permanently.
func (c *Client) ReportHeld(now time.Time) {
	scheduler := c.Scheduler(now)
	if scheduler == "" {
		return
	}
	held := &wire.PlacesHeld{}
	c.mu.Lock()
	for p := range c.placements {
		held.Places = append(held.Places, p.heldMessage())
	}
	for _, p := range c.pending {
		switch {
		case p.upstream != "":
			held.Places = append(held.Places, &wire.PlaceHeld{
				Id: p.request.ID, Number: p.number, Upstream: p.upstream,
				Prompt: uint32(p.request.PromptTokens), Output: uint32(p.request.OutputTokens),
				Workspace: p.request.Workspace, Tier: uint32(p.request.Tier),
			})
		case p.movable && p.scheduler != scheduler:
			// A grant that comes from now on is not in the report, and must not be used.
			p.decide(decision{replaced: true})
		}
	}
	c.mu.Unlock()
	c.sendTo(scheduler, &wire.Envelope{Body: &wire.Envelope_PlacesHeld{PlacesHeld: held}})
}

// ReportInterval is the interval between reports of held slots.
const ReportInterval = time.Second
