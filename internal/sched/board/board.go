// Package board decides which engine a generation goes to, which requests wait
// and which are refused. It sees all requests of the gateways that ask it, and
// so never gives an engine more than it has slots for. It does no I/O and asks
// no clock.
package board

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

// Upstream is an engine that may get work.
type Upstream struct {
	ID      string
	Service string
	Domain  string
	Version string
	Slots   int
	Born    int64
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int
}

const (
	// dueMargin is kept to the due moment for the ways between callers,
	// gateways and engines.
	dueMargin = 15 * time.Millisecond
	// gapPart is the part of the longest allowed pause that is planned with;
	// steps are estimates.
	gapPart = 0.8
	// failMargin is by how much an engine's failure share must exceed the best
	// one's for it to be left out.
	failMargin = 0.2
	// lateHold is how long after its arrival a request that can no longer be
	// in time may wait for a place that nobody else needs. Callers leave a
	// silent stream after two seconds.
	lateHold = 1200 * time.Millisecond
	// lateReserve is the part of an engine's slots that late requests leave
	// free for those that can be in time.
	lateReserve = 0.17
	// latePart bounds the late requests that wait, as a part of all slots:
	// what is beyond it could not be served within lateHold.
	latePart = 0.25
	// saturatedAfter is how long requests must have waited without a break for
	// the overload to count as more than a moment.
	saturatedAfter = 250 * time.Millisecond
	// retryLeast and retryMost bound what refused callers are told, before it is
	// spread: no less than a crowded moment lasts, and no more than a caller
	// with a deadline of some ten seconds may wait and still be served.
	retryLeast = 300 * time.Millisecond
	retryMost  = 2500 * time.Millisecond
	// elsewhereRetry is told to callers whom another gateway can serve at once.
	elsewhereRetry = 10 * time.Millisecond
	// Weights of the choice among engines, in parts of all slots taken.
	// weightFirst makes long prompts go to fast engines: it is the weight of
	// the square of the part of the time left that the first event takes.
	weightFirst = 1.5
	// weightDomain is what the way to another failure domain counts.
	weightDomain = 0.12
)

// Board is the state. It is not safe for concurrent use.
type Board struct {
	engines map[string]*engine
	// byService has each service's engines in the order of their ids.
	byService map[string][]*engine
	byRun     map[string]*engine
	waiting   []*Ask
	late      []*Ask
	verdicts  []Verdict
	spread    uint64
	// others is the part of the gateways that asks other schedulers.
	others float64
	// saturatedSince is since when requests that can be in time wait.
	saturatedSince time.Time
	refusals       refusals
	// recalled are speeds that another scheduler learned.
	recalled map[string]Speed
	// paces tell how often waiting requests of a rank got a place.
	paces map[rank]*pace
	// overruns tell how far streams of a service outran their plan.
	overruns map[string]*overrun
	// families are what the engines of a service have in common.
	families map[string]*family
	tidied   time.Time
	// turns counts the places given to requests that waited.
	turns int
}

// New returns an empty board.
func New() *Board {
	return &Board{engines: make(map[string]*engine), byService: make(map[string][]*engine), byRun: make(map[string]*engine), refusals: make(refusals), paces: make(map[rank]*pace), overruns: make(map[string]*overrun), families: make(map[string]*family)}
}

// SetUpstreams takes the engines that may get work. One that started anew
// holds nothing of before, and its speed is unknown.
func (b *Board) SetUpstreams(now time.Time, upstreams []Upstream) {
	next := make(map[string]*engine, len(upstreams))
	b.byService = make(map[string][]*engine)
	for _, u := range upstreams {
		e := b.engines[u.ID]
		if e == nil || e.Born != u.Born {
			e = newEngine(now, u, b.family(u.Service))
			e.setSplit(now, b.others)
			b.remember(e)
		}
		e.Upstream = u
		next[u.ID] = e
		b.byService[u.Service] = append(b.byService[u.Service], e)
	}
	for _, list := range b.byService {
		slices.SortFunc(list, func(x, y *engine) int { return cmp.Compare(x.ID, y.ID) })
	}
	b.engines = next
	b.Tick(now)
}

func (b *Board) family(service string) *family {
	f := b.families[service]
	if f == nil {
		f = newFamily()
		b.families[service] = f
	}
	return f
}

// SetReach tells how many of the known gateways this scheduler hears. The others
// are gone, or cut off from here and not from the engines: then they use the
// same engines by their own choice.
func (b *Board) SetReach(now time.Time, heard, known int) {
	others := 0.0
	if known > 0 {
		others = float64(known-heard) / float64(known)
	}
	if others == b.others {
		return
	}
	b.others = others
	for _, e := range b.engines {
		e.setSplit(now, others)
	}
}

// Ask takes a request for a place.
func (b *Board) Ask(now time.Time, a Ask) {
	ask := &a
	ask.arrived, ask.work = now, b.work(ask)
	// A gateway has one place for a request. One that this board still counts
	// was given back to another scheduler.
	b.Ended(now, a.Owner, a.ID, End{Outcome: Left})
	ask.giveUpAt = earliest(now.Add(lateHold), ask.Until)
	ask.returned = b.refusals.take(now, ask.Fingerprint)
	if b.place(now, ask, false) {
		return
	}
	if !b.canEnd(now, ask) {
		b.verdicts = append(b.verdicts, Verdict{
			Owner: ask.Owner, ID: ask.ID, RetryAfter: elsewhereRetry, Why: "its gateway stops before an engine could end it",
		})
		return
	}
	if b.canBeInTime(now, ask) {
		if b.hopeless(now, ask) {
			b.refuse(now, ask, "more wait before it than get a place in time")
			return
		}
		b.enqueue(ask)
		b.noteSaturation(now)
		b.verdicts = append(b.verdicts, Verdict{Owner: ask.Owner, ID: ask.ID, Waiting: true})
		return
	}
	b.setLate(now, ask)
}

// setLate keeps a request that cannot be in time for a place that nobody else
// needs, or refuses the least urgent one if there are too many. While all
// places go to requests that can be in time, holding one that cannot would only
// keep its caller from coming back at a better moment.
func (b *Board) setLate(now time.Time, ask *Ask) {
	if b.saturatedFor(now) > saturatedAfter {
		b.refuse(now, ask, "no place in time, and others wait that can be")
		return
	}
	at, _ := slices.BinarySearchFunc(b.late, ask, compareAsks)
	b.late = slices.Insert(b.late, at, ask)
	if len(b.late) > b.lateMost(ask.Service) {
		last := b.late[len(b.late)-1]
		b.late = b.late[:len(b.late)-1]
		b.refuse(now, last, "too many wait")
		return
	}
	if b.place(now, ask, true) {
		b.late = slices.DeleteFunc(b.late, func(x *Ask) bool { return x == ask })
		return
	}
	b.verdicts = append(b.verdicts, Verdict{Owner: ask.Owner, ID: ask.ID, Waiting: true})
}

func (b *Board) lateMost(service string) int {
	return int(latePart * float64(b.slots(service)))
}

func (b *Board) slots(service string) int {
	slots := 0
	for _, e := range b.byService[service] {
		slots += e.Slots
	}
	return slots
}

// canBeInTime tells whether some engine could still give the first event in
// time if it were idle.
func (b *Board) canBeInTime(now time.Time, a *Ask) bool {
	return b.quickest(now, a) <= a.Due.Sub(now)-dueMargin
}

// quickest returns how long the first event takes on the fastest engine that is
// in use, if it is idle.
func (b *Board) quickest(now time.Time, a *Ask) time.Duration {
	best := time.Duration(math.MaxInt64)
	for _, e := range b.byService[a.Service] {
		if now.Before(e.avoid) || !a.allows(e) {
			continue
		}
		best = min(best, e.alone(a.Prompt))
	}
	return best
}

// place grants the best engine, if there is one.
func (b *Board) place(now time.Time, a *Ask, late bool) bool {
	var best *engine
	bestCost := 0.0
	least := b.leastFailing(now, a.Service)
	for _, e := range b.byService[a.Service] {
		cost, ok := b.cost(now, e, a, late, least)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return false
	}
	b.grant(now, best, a)
	return true
}

func (b *Board) leastFailing(now time.Time, service string) float64 {
	least := 1.0
	for _, e := range b.byService[service] {
		least = min(least, e.failShare.At(now))
		if least == 0 {
			break
		}
	}
	return least
}

// cost ranks an engine for a request; the lowest is chosen. It tells whether
// the engine may get the request at all.
func (b *Board) cost(now time.Time, e *engine, a *Ask, late bool, leastFailing float64) (float64, bool) {
	running := e.running(now)
	room := e.Slots
	if late {
		room -= int(lateReserve*float64(e.Slots)) + 1
	}
	if running >= room || now.Before(e.avoid) || !a.allows(e) {
		return 0, false
	}
	if e.failShare.At(now) > leastFailing+failMargin {
		return 0, false
	}
	first := e.firstEvent(now, a.Prompt)
	left := a.Due.Sub(now) - dueMargin
	if late {
		left = a.Until.Sub(now) / 2
	}
	if first > left {
		return 0, false
	}
	gap := profile.Gap(max(1, e.EventTokens), running+1, e.backlog+a.Prompt, e.kind.reading) * e.slowness.factor
	if running > 0 && a.MaxGap > 0 && gap > gapPart*ms(a.MaxGap) {
		return 0, false
	}
	if !b.endsInTime(now, e, a, first) || e.stalled(now) {
		return 0, false
	}
	part := ms(first) / max(1, ms(left))
	cost := float64(running)/float64(e.Slots) + weightFirst*part*part
	if e.Domain != a.Domain {
		cost += weightDomain
	}
	return cost, true
}

func (b *Board) grant(now time.Time, e *engine, a *Ask) {
	r := &run{owner: a.Owner, id: a.ID, prompt: a.Prompt, output: a.Output, granted: now}
	e.grant(now, r)
	b.byRun[key(a.Owner, a.ID)] = e
	b.verdicts = append(b.verdicts, Verdict{Owner: a.Owner, ID: a.ID, Upstream: e.ID})
}

// Started notes a run's first event, and how many requests its engine said it
// has, or -1.
func (b *Board) Started(now time.Time, owner, id string, reported int) {
	e := b.byRun[key(owner, id)]
	if e == nil {
		return
	}
	if r := e.runs[key(owner, id)]; r != nil {
		e.start(now, r)
		e.failures = 0
		if reported >= 0 {
			e.report(now, reported)
		}
	}
	b.fill(now, e)
}

// Ended takes a place back, or withdraws an ask.
func (b *Board) Ended(now time.Time, owner, id string, end End) {
	k := key(owner, id)
	b.withdraw(owner, id)
	e := b.byRun[k]
	if e == nil {
		return
	}
	delete(b.byRun, k)
	r := e.runs[k]
	if r == nil {
		return
	}
	if end.Outcome == Answered && r.started {
		b.noteOverrun(e, r, end.Stream)
		e.learnStream(now, r, end.Stream, end.Tokens)
	}
	e.end(now, k, r)
	switch end.Outcome {
	case Answered:
		e.failures = 0
		e.failShare.Succeeded(now)
	case Failed:
		e.failShare.Failed(now)
	case Broken:
		e.failShare.Broke(now)
	case Declined:
		e.report(now, e.Slots)
	case Unreached:
		e.unreached(now)
	case Left:
	}
	b.fill(now, e)
}

func (b *Board) withdraw(owner, id string) {
	match := func(a *Ask) bool { return a.ID == id && a.Owner == owner }
	b.waiting = slices.DeleteFunc(b.waiting, match)
	b.late = slices.DeleteFunc(b.late, match)
}

// DropOwner forgets all of a gateway that is gone: its engines drop what its
// connections carried.
func (b *Board) DropOwner(now time.Time, owner string) {
	b.waiting = slices.DeleteFunc(b.waiting, func(a *Ask) bool { return a.Owner == owner })
	b.late = slices.DeleteFunc(b.late, func(a *Ask) bool { return a.Owner == owner })
	for _, e := range b.engines {
		for k, r := range e.runs {
			if r.owner == owner {
				e.end(now, k, r)
				delete(b.byRun, k)
			}
		}
	}
}

// Tick moves requests that can no longer be in time behind those that can,
// refuses those that waited for long enough, and tries the others again. It is
// called every TickEvery.
func (b *Board) Tick(now time.Time) {
	if now.Sub(b.tidied) > returnWithin {
		b.tidied = now
		b.refusals.expire(now)
	}
	var turned []*Ask
	b.waiting = slices.DeleteFunc(b.waiting, func(a *Ask) bool {
		if b.canBeInTime(now, a) {
			return false
		}
		turned = append(turned, a)
		return true
	})
	b.late = slices.DeleteFunc(b.late, func(a *Ask) bool {
		if now.Before(a.giveUpAt) {
			return false
		}
		b.refuse(now, a, "no place in time")
		return true
	})
	for _, a := range turned {
		b.setLate(now, a)
	}
	b.retryWaiting(now)
	b.noteSaturation(now)
}

// retryWaiting fills all engines that have room: time alone may have made one
// fit for a request that waits.
func (b *Board) retryWaiting(now time.Time) {
	for _, list := range b.byService {
		for _, e := range list {
			if e.running(now) < e.Slots {
				b.fill(now, e)
			}
		}
	}
}

// TickEvery is how often Tick is called while requests wait.
const TickEvery = 10 * time.Millisecond

// Waiting tells whether requests wait.
func (b *Board) Waiting() bool { return len(b.waiting)+len(b.late) > 0 }

// Verdicts returns what was decided since the last call.
func (b *Board) Verdicts() []Verdict {
	verdicts := b.verdicts
	b.verdicts = nil
	return verdicts
}

func key(owner, id string) string { return owner + "/" + id }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
