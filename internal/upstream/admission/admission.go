// Package admission decides for one upstream which requests start, wait or are
// declined. It only keeps state and decides: it does no I/O, starts no goroutines
// and reads no clock.
package admission

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/upstream/queue"
)

const (
	// fairnessQuantum is how much more work than the least served workspace
	// another one may be served.
	fairnessQuantum = 2 * time.Second
	// maxSuspectWait is how long a suspect waits for the upstream to become idle
	// before other requests are held back for it.
	maxSuspectWait = time.Second
	// minRemainingShare is the share of a run's expected work that is assumed to
	// remain when the run has exceeded its forecast.
	minRemainingShare = 0.1
)

// Ticket is an offered request.
type Ticket struct {
	id         string
	workspace  string
	tier       int
	deadline   time.Time
	startBy    time.Time
	work       time.Duration
	repeatSafe bool
	suspect    bool
	maxWait    time.Duration

	enqueuedAt time.Time
	startedAt  time.Time
	preempted  bool
}

// TicketOption sets an optional property of a ticket.
type TicketOption func(*Ticket)

// RepeatSafe marks a request that is safe to run again, so that its run may be
// canceled for a higher tier.
func RepeatSafe() TicketOption { return func(t *Ticket) { t.repeatSafe = true } }

// Suspect marks a request that was running on an upstream when it crashed.
func Suspect() TicketOption { return func(t *Ticket) { t.suspect = true } }

// MaxWait bounds the waiting time: a request that waits longer is declined with
// REASON_PATIENCE, which is not load shedding, and its entry places it again.
func MaxWait(d time.Duration) TicketOption { return func(t *Ticket) { t.maxWait = d } }

// NewTicket returns a ticket. Work is the expected time on the upstream; the
// request is not started after startBy.
func NewTicket(id, workspace string, tier int, deadline, startBy time.Time, work time.Duration, options ...TicketOption) *Ticket {
	t := &Ticket{id: id, workspace: workspace, tier: tier, deadline: deadline, startBy: startBy, work: work}
	for _, option := range options {
		option(t)
	}
	return t
}

// ID returns the request ID.
func (t *Ticket) ID() string { return t.id }

// Workspace returns the workspace that sent the request.
func (t *Ticket) Workspace() string { return t.workspace }

// Tier returns the request's tier, 0 being the highest.
func (t *Ticket) Tier() int { return t.tier }

// Deadline returns when the answer must be finished.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// Work returns the expected time on the upstream.
func (t *Ticket) Work() time.Duration { return t.work }

// IsSuspect reports whether the request is suspect and must run alone.
func (t *Ticket) IsSuspect() bool { return t.suspect }

// Verdict is a decision on a ticket.
type Verdict int

// The verdicts.
const (
	// Started means that the request is to be dispatched now.
	Started Verdict = iota + 1
	// Declined means that the request has not been and will not be dispatched.
	Declined
	// Preempted means that the run is to be canceled; it counts as running until
	// Finish.
	Preempted
)

// Effect is a verdict that the caller must carry out, in the order returned.
type Effect struct {
	id      string
	verdict Verdict
	reason  wire.Decline_Reason
}

// ID returns the ID of the ticket.
func (e Effect) ID() string { return e.id }

// Verdict returns the verdict on the ticket.
func (e Effect) Verdict() Verdict { return e.verdict }

// Reason returns why the ticket was declined.
func (e Effect) Reason() wire.Decline_Reason { return e.reason }

// Controller is the admission controller of one upstream. It is not safe for
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

// New returns a controller with the given number of tiers, limit of running
// requests and limit of waiting requests.
func New(tiers, limit, maxWaiting int, invariants *invariant.Recorder) *Controller {
	return &Controller{
		limit:      limit,
		maxWaiting: maxWaiting,
		waiting:    queue.New[*Ticket](tiers, fairnessQuantum),
		running:    make(map[string]*Ticket),
		invariants: invariants,
	}
}

// Running returns the number of running requests.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return c.waiting.Len() }

// WaitingTier returns the number waiting in one tier.
func (c *Controller) WaitingTier(tier int) int { return c.waiting.TierLen(tier) }

// Limit returns the limit of running requests.
func (c *Controller) Limit() int { return c.limit }

// Leaving reports whether Leave was called.
func (c *Controller) Leaving() bool { return c.leaving }

// Blocked returns the reason passed to Block, or REASON_UNSPECIFIED if the
// controller is not blocked.
func (c *Controller) Blocked() wire.Decline_Reason { return c.blocked }

// Offer decides on a new ticket. A ticket that is neither started nor declined
// waits.
func (c *Controller) Offer(now time.Time, t *Ticket) []Effect {
	switch {
	case c.leaving:
		return decline(t, wire.Decline_REASON_LEAVING)
	case c.blocked != wire.Decline_REASON_UNSPECIFIED:
		return decline(t, c.blocked)
	case now.Add(t.work).After(t.deadline):
		return decline(t, wire.Decline_REASON_TOO_LATE)
	}
	if t.maxWait > 0 && c.ProjectedWait(now, t.tier) > t.maxWait {
		return decline(t, wire.Decline_REASON_PATIENCE)
	}
	effects, fits := c.ensureCapacity(now, t)
	if !fits {
		return effects
	}
	t.enqueuedAt = now
	c.waiting.Push(t)
	return append(effects, c.start(now)...)
}

// ensureCapacity makes sure that t can meet its deadline and fits into the queue,
// at the cost of lower tiers only. If that is not possible, t is declined together
// with everything that waits in lower tiers: those requests are behind t's tier,
// and a higher tier must never be shed while a lower one is kept.
func (c *Controller) ensureCapacity(now time.Time, t *Ticket) ([]Effect, bool) {
	var effects []Effect
	if c.missesDeadline(now, t) {
		effects = append(effects, c.preempt(now, t)...)
	}
	if len(effects) == 0 && c.missesDeadline(now, t) {
		return c.shed(t, wire.Decline_REASON_TOO_LATE), false
	}
	if c.waiting.Len() < c.maxWaiting {
		return effects, true
	}
	victim, ok := c.waiting.RemoveLowest(t.tier)
	if !ok {
		return append(effects, c.shed(t, wire.Decline_REASON_FULL)...), false
	}
	return append(effects, Effect{id: victim.id, verdict: Declined, reason: wire.Decline_REASON_DISPLACED}), true
}

func (c *Controller) missesDeadline(now time.Time, t *Ticket) bool {
	start := now.Add(c.ProjectedWait(now, t.tier))
	return start.After(t.startBy) || start.Add(t.work).After(t.deadline)
}

// shed declines t and all requests that wait in lower tiers.
func (c *Controller) shed(t *Ticket, reason wire.Decline_Reason) []Effect {
	var effects []Effect
	for {
		victim, ok := c.waiting.RemoveLowest(t.tier)
		if !ok {
			break
		}
		effects = append(effects, Effect{id: victim.id, verdict: Declined, reason: wire.Decline_REASON_DISPLACED})
	}
	c.invariants.Check(c.waiting.LowestNonEmpty() <= t.tier, invariant.TierOrder, t.id, "shed while a lower tier is waiting")
	return append(effects, decline(t, reason)...)
}

// preempt cancels one repeat-safe run of a tier below t: of the lowest tier, the
// one with the most remaining work.
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

// Finish removes a run and starts waiting requests.
func (c *Controller) Finish(now time.Time, id string) []Effect {
	delete(c.running, id)
	return c.start(now)
}

// Withdraw removes a ticket from the queue and reports whether it was waiting.
func (c *Controller) Withdraw(id string) bool {
	_, ok := c.waiting.Remove(id)
	return ok
}

// Tick declines requests that have exceeded their maximum wait or can no longer
// meet their start-by time or deadline.
func (c *Controller) Tick(now time.Time) []Effect {
	overdue := c.waiting.RemoveIf(func(t *Ticket) bool {
		return t.maxWait > 0 && now.Sub(t.enqueuedAt) > t.maxWait
	})
	late := c.waiting.RemoveIf(func(t *Ticket) bool {
		return now.After(t.startBy) || now.Add(t.work).After(t.deadline)
	})
	var effects []Effect
	for _, t := range overdue {
		effects = append(effects, decline(t, wire.Decline_REASON_PATIENCE)...)
	}
	for _, t := range late {
		effects = append(effects, decline(t, wire.Decline_REASON_TOO_LATE)...)
	}
	return append(effects, c.start(now)...)
}

// SetLimit changes the limit of running requests.
func (c *Controller) SetLimit(now time.Time, limit int) []Effect {
	c.limit = limit
	return c.start(now)
}

// UpdateWork updates the expected work of a run while its tokens arrive.
func (c *Controller) UpdateWork(id string, work time.Duration) {
	if t := c.running[id]; t != nil {
		t.work = work
	}
}

// Leave declines all waiting requests and all further offers.
func (c *Controller) Leave() []Effect {
	c.leaving = true
	return c.declineWaiting(wire.Decline_REASON_LEAVING)
}

// Block declines all waiting requests, so that they can go to another upstream,
// and all offers until Unblock. It is used when the upstream is down, and when a
// version is stopped because of its own error evidence.
func (c *Controller) Block(reason wire.Decline_Reason) []Effect {
	c.blocked = reason
	return c.declineWaiting(reason)
}

// Unblock accepts offers again.
func (c *Controller) Unblock() { c.blocked = wire.Decline_REASON_UNSPECIFIED }

func (c *Controller) declineWaiting(reason wire.Decline_Reason) []Effect {
	var effects []Effect
	for _, t := range c.waiting.RemoveIf(func(*Ticket) bool { return true }) {
		effects = append(effects, decline(t, reason)...)
	}
	return effects
}

// ProjectedWait returns the projected time until a new request of the tier would be
// started.
func (c *Controller) ProjectedWait(now time.Time, tier int) time.Duration {
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
	return max(left, time.Duration(minRemainingShare*float64(t.work)))
}

// start starts waiting requests up to the limit. A suspect runs alone: when an
// upstream crashes, everything it was running becomes suspect, and only a request
// that ran alone is certain to have caused the crash.
func (c *Controller) start(now time.Time) []Effect {
	var effects []Effect
	for len(c.running) < c.limit && !c.suspectRunning() {
		next, ok := c.next(now)
		if !ok || next.suspect && len(c.running) > 0 {
			break
		}
		c.waiting.Serve(next)
		next.startedAt = now
		c.running[next.id] = next
		c.invariants.Check(!c.leaving, invariant.NoOfferAfterLeave, next.id, "dispatched after Leave")
		effects = append(effects, Effect{id: next.id, verdict: Started})
	}
	return effects
}

// next returns the request to start next: a suspect that has waited longer than
// maxSuspectWait, for which the upstream must become idle, or the head of the
// queue.
func (c *Controller) next(now time.Time) (*Ticket, bool) {
	waited, ok := c.waiting.Find(func(t *Ticket) bool {
		return t.suspect && now.Sub(t.enqueuedAt) > maxSuspectWait
	})
	if ok {
		return waited, true
	}
	return c.waiting.Peek()
}

func (c *Controller) suspectRunning() bool {
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
