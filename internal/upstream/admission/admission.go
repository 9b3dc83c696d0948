// Package admission decides, for one upstream, which request starts, which
// waits and which is declined. It holds state and decides; it does no I/O,
// starts no goroutine and reads no clock.
package admission

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/upstream/queue"
)

const (
	// fairQuantum is how far a workspace may be ahead of the least served one.
	fairQuantum = 2 * time.Second
	// suspectPatience is how long a suspect waits for the upstream to be empty
	// by itself.
	suspectPatience = time.Second
	// remainingFloor is the share of a run's expected work that is assumed to
	// remain when the run has outlasted its forecast.
	remainingFloor = 0.1
)

// Ticket is one offered request.
type Ticket struct {
	id         string
	workspace  string
	tier       int
	deadline   time.Time
	startBy    time.Time
	work       time.Duration
	repeatSafe bool
	suspect    bool
	patience   time.Duration

	arrivedAt time.Time
	startedAt time.Time
	preempted bool
}

// TicketOption sets a property of a ticket that most do not have.
type TicketOption func(*Ticket)

// RepeatSafe marks a request whose run may be canceled for a higher tier.
func RepeatSafe() TicketOption { return func(t *Ticket) { t.repeatSafe = true } }

// Suspect marks a request that ran on an upstream which died.
func Suspect() TicketOption { return func(t *Ticket) { t.suspect = true } }

// Patience hands a request back after it has waited so long; it was not shed,
// and its entry places it anew.
func Patience(d time.Duration) TicketOption { return func(t *Ticket) { t.patience = d } }

// NewTicket returns a ticket. Work is the expected time on the upstream; past
// startBy it is no longer worth starting.
func NewTicket(id, workspace string, tier int, deadline, startBy time.Time, work time.Duration, options ...TicketOption) *Ticket {
	t := &Ticket{id: id, workspace: workspace, tier: tier, deadline: deadline, startBy: startBy, work: work}
	for _, option := range options {
		option(t)
	}
	return t
}

// ID returns the request's id.
func (t *Ticket) ID() string { return t.id }

// Workspace returns the workspace that sent the request.
func (t *Ticket) Workspace() string { return t.workspace }

// Tier returns the request's tier, 0 being the highest.
func (t *Ticket) Tier() int { return t.tier }

// Deadline returns until when the answer is in time.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// Work returns the expected time on the upstream.
func (t *Ticket) Work() time.Duration { return t.work }

// IsSuspect tells whether the request runs alone.
func (t *Ticket) IsSuspect() bool { return t.suspect }

// Verdict is what becomes of a ticket.
type Verdict int

// The verdicts.
const (
	// Started: dispatch it now.
	Started Verdict = iota + 1
	// Declined: it was not dispatched and will not be.
	Declined
	// Preempted: cancel its run; it stays in the running set until Finish.
	Preempted
)

// Effect is one thing to do, in order.
type Effect struct {
	id      string
	verdict Verdict
	reason  wire.Decline_Reason
}

// ID returns the ticket concerned.
func (e Effect) ID() string { return e.id }

// Verdict returns what becomes of it.
func (e Effect) Verdict() Verdict { return e.verdict }

// Reason returns why it was declined.
func (e Effect) Reason() wire.Decline_Reason { return e.reason }

// Controller is the state of one upstream's admission. It is not safe for
// concurrent use.
type Controller struct {
	limit      int
	maxWaiting int
	waiting    *queue.Queue[*Ticket]
	running    map[string]*Ticket
	leaving    bool
	blocked    wire.Decline_Reason
	invariants *invariant.Recorder
}

// New returns a controller for an upstream with a number of tiers, a limit of
// running requests and a bound on waiting ones.
func New(tiers, limit, maxWaiting int, invariants *invariant.Recorder) *Controller {
	return &Controller{
		limit:      limit,
		maxWaiting: maxWaiting,
		waiting:    queue.New[*Ticket](tiers, fairQuantum),
		running:    make(map[string]*Ticket),
		invariants: invariants,
	}
}

// Running returns the number of running requests.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return c.waiting.Len() }

// WaitingTier returns the number waiting in one tier.
func (c *Controller) WaitingTier(tier int) int { return c.waiting.LenTier(tier) }

// Limit returns how many may run.
func (c *Controller) Limit() int { return c.limit }

// Leaving tells whether no offer is taken any more.
func (c *Controller) Leaving() bool { return c.leaving }

// Blocked returns why no offer is taken for now, or REASON_UNSPECIFIED.
func (c *Controller) Blocked() wire.Decline_Reason { return c.blocked }

// Offer decides on a new ticket. When neither started nor declined it waits.
func (c *Controller) Offer(now time.Time, t *Ticket) []Effect {
	switch {
	case c.leaving:
		return decline(t, wire.Decline_REASON_LEAVING)
	case c.blocked != wire.Decline_REASON_UNSPECIFIED:
		return decline(t, c.blocked)
	case now.Add(t.work).After(t.deadline):
		return decline(t, wire.Decline_REASON_TOO_LATE)
	}
	if t.patience > 0 && c.Wait(now, t.tier) > t.patience {
		return decline(t, wire.Decline_REASON_PATIENCE)
	}
	effects, fits := c.makeRoom(now, t)
	if !fits {
		return effects
	}
	t.arrivedAt = now
	c.waiting.Push(t)
	return append(effects, c.start(now)...)
}

// makeRoom sees to it that t can meet its deadline and has a place, at the
// cost of lower tiers only. When it cannot, t is declined, and what waits in
// lower tiers goes with it: it stood behind t's tier anyway, and a higher
// tier must never be shed while a lower one is kept.
func (c *Controller) makeRoom(now time.Time, t *Ticket) ([]Effect, bool) {
	var effects []Effect
	if c.misses(now, t) {
		effects = append(effects, c.preempt(now, t)...)
	}
	if len(effects) == 0 && c.misses(now, t) {
		return c.shed(t, wire.Decline_REASON_TOO_LATE), false
	}
	if c.waiting.Len() < c.maxWaiting {
		return effects, true
	}
	victim, ok := c.waiting.TakeLowest(t.tier)
	if !ok {
		return append(effects, c.shed(t, wire.Decline_REASON_FULL)...), false
	}
	return append(effects, Effect{id: victim.id, verdict: Declined, reason: wire.Decline_REASON_DISPLACED}), true
}

func (c *Controller) misses(now time.Time, t *Ticket) bool {
	start := now.Add(c.Wait(now, t.tier))
	return start.After(t.startBy) || start.Add(t.work).After(t.deadline)
}

// shed declines t and everything that waits in lower tiers.
func (c *Controller) shed(t *Ticket, reason wire.Decline_Reason) []Effect {
	var effects []Effect
	for {
		victim, ok := c.waiting.TakeLowest(t.tier)
		if !ok {
			break
		}
		effects = append(effects, Effect{id: victim.id, verdict: Declined, reason: wire.Decline_REASON_DISPLACED})
	}
	c.invariants.Check(c.waiting.LowestHeld() <= t.tier, invariant.TierOrder, t.id, "a lower tier still waits while this one is shed")
	return append(effects, decline(t, reason)...)
}

// preempt cancels the run of the lowest tier below t that has the most left
// to do, where the rules allow the action to run again.
func (c *Controller) preempt(now time.Time, t *Ticket) []Effect {
	var victim *Ticket
	for _, r := range c.running {
		if r.tier <= t.tier || !r.repeatSafe || r.preempted {
			continue
		}
		if victim == nil || r.tier > victim.tier || r.tier == victim.tier && c.remaining(now, r) > c.remaining(now, victim) {
			victim = r
		}
	}
	if victim == nil {
		return nil
	}
	victim.preempted = true
	return []Effect{{id: victim.id, verdict: Preempted}}
}

// Finish removes a run and starts what comes next.
func (c *Controller) Finish(now time.Time, id string) []Effect {
	delete(c.running, id)
	return c.start(now)
}

// Withdraw takes a waiting ticket out and tells whether it was waiting.
func (c *Controller) Withdraw(id string) bool {
	_, ok := c.waiting.Remove(id)
	return ok
}

// Tick declines what can no longer meet its start-by moment or deadline.
func (c *Controller) Tick(now time.Time) []Effect {
	impatient := c.waiting.RemoveIf(func(t *Ticket) bool {
		return t.patience > 0 && now.Sub(t.arrivedAt) > t.patience
	})
	late := c.waiting.RemoveIf(func(t *Ticket) bool {
		return now.After(t.startBy) || now.Add(t.work).After(t.deadline)
	})
	var effects []Effect
	for _, t := range impatient {
		effects = append(effects, decline(t, wire.Decline_REASON_PATIENCE)...)
	}
	for _, t := range late {
		effects = append(effects, decline(t, wire.Decline_REASON_TOO_LATE)...)
	}
	return append(effects, c.start(now)...)
}

// SetLimit changes how many may run.
func (c *Controller) SetLimit(now time.Time, limit int) []Effect {
	c.limit = limit
	return c.start(now)
}

// Reforecast replaces the expected work of a run, as its tokens arrive.
func (c *Controller) Reforecast(id string, work time.Duration) {
	if t := c.running[id]; t != nil {
		t.work = work
	}
}

// Leave takes no offers from now on and hands back all that waits.
func (c *Controller) Leave() []Effect {
	c.leaving = true
	return c.handBack(wire.Decline_REASON_LEAVING)
}

// Block takes no offers until Unblock and hands back all that waits, so that
// it can go to another upstream. It is for an upstream that is down and for a
// version that its own evidence stopped.
func (c *Controller) Block(reason wire.Decline_Reason) []Effect {
	c.blocked = reason
	return c.handBack(reason)
}

// Unblock takes offers again.
func (c *Controller) Unblock() { c.blocked = wire.Decline_REASON_UNSPECIFIED }

func (c *Controller) handBack(reason wire.Decline_Reason) []Effect {
	var effects []Effect
	for _, t := range c.waiting.RemoveIf(func(*Ticket) bool { return true }) {
		effects = append(effects, decline(t, reason)...)
	}
	return effects
}

// Wait projects how long a request of the tier would wait to be started.
func (c *Controller) Wait(now time.Time, tier int) time.Duration {
	queued := c.waiting.WorkUpTo(tier)
	if len(c.running) < c.limit && queued == 0 {
		return 0
	}
	total := queued
	for _, t := range c.running {
		total += c.remaining(now, t)
	}
	return total / time.Duration(max(c.limit, 1))
}

func (c *Controller) remaining(now time.Time, t *Ticket) time.Duration {
	left := t.work - now.Sub(t.startedAt)
	return max(left, time.Duration(remainingFloor*float64(t.work)))
}

// start dispatches from the head of the queue while there is room. A suspect
// runs alone: when an upstream dies, everything it ran becomes suspect, and
// only a request that ran alone is convicted beyond doubt.
func (c *Controller) start(now time.Time) []Effect {
	var effects []Effect
	for len(c.running) < c.limit && !c.suspectRuns() {
		next, ok := c.next(now)
		if !ok || next.suspect && len(c.running) > 0 {
			break
		}
		c.waiting.Serve(next)
		next.startedAt = now
		c.running[next.id] = next
		c.invariants.Check(!c.leaving, invariant.NoOfferAfterLeave, next.id, "dispatched after leaving")
		effects = append(effects, Effect{id: next.id, verdict: Started})
	}
	return effects
}

// next returns what starts next: a suspect that has been patient long enough,
// for which the upstream is left to empty, or the head of the queue.
func (c *Controller) next(now time.Time) (*Ticket, bool) {
	patient, ok := c.waiting.Find(func(t *Ticket) bool {
		return t.suspect && now.Sub(t.arrivedAt) > suspectPatience
	})
	if ok {
		return patient, true
	}
	return c.waiting.Peek()
}

func (c *Controller) suspectRuns() bool {
	for _, t := range c.running {
		if t.suspect {
			return true
		}
	}
	return false
}

func decline(t *Ticket, reason wire.Decline_Reason) []Effect {
	return []Effect{{id: t.id, verdict: Declined, reason: reason}}
}
