// Package board decides which engine a generation goes to, which requests wait
// and which are refused. It sees all requests of the gateways that ask it, and
// so never gives an engine more than it has slots for. It does no I/O and asks
// no clock.
package board

import (
	"cmp"
	"slices"
	"time"
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

// Board is the state. It is not safe for concurrent use.
type Board struct {
	engines map[string]*engine
	// byService has each service's engines in the order of their ids.
	byService map[string][]*engine
	byRun     map[string]*engine
	// byOwner has the keys of each gateway's runs.
	byOwner map[string]map[string]struct{}
	// scanned is the engine with which the next search begins.
	scanned  int
	waiting  []*Ask
	late     []*Ask
	verdicts []Verdict
	spread   uint64
	// others is the part of the gateways that asks other schedulers.
	others float64
	// saturatedSince is since when requests that can be in time wait.
	saturatedSince time.Time
	refusals       refusals
	// recalled are speeds that another scheduler learned.
	recalled map[string]Speed
	// paces tell how often waiting requests of a rank got a place.
	paces map[rank]*pace
	// families are what the engines of a service have in common.
	families map[string]*family
	// usual are the failure shares by which engines are measured.
	usual  map[string]usualShare
	tidied time.Time
}

// New returns an empty board.
func New() *Board {
	return &Board{
		engines: make(map[string]*engine), byService: make(map[string][]*engine), byRun: make(map[string]*engine),
		byOwner:  make(map[string]map[string]struct{}),
		refusals: make(refusals), recalled: make(map[string]Speed), paces: make(map[rank]*pace), families: make(map[string]*family),
		usual: make(map[string]usualShare),
	}
}

// SetUpstreams takes the engines that may get work. One that started anew
// holds nothing of before, and its speed is unknown. One that was not listed for
// a while runs on, and its places count when it is back.
func (b *Board) SetUpstreams(now time.Time, upstreams []Upstream) {
	next := make(map[string]*engine, len(upstreams))
	b.byService = make(map[string][]*engine)
	var unlisted map[string]*engine
	for _, u := range upstreams {
		e := b.engines[u.ID]
		if e == nil {
			if unlisted == nil {
				unlisted = b.unlisted()
			}
			if e = unlisted[u.ID]; e != nil {
				e.setSplit(now, b.others)
			}
		}
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

// unlisted returns the engines that may get no work and still have runs.
func (b *Board) unlisted() map[string]*engine {
	unlisted := make(map[string]*engine)
	for _, e := range b.byRun {
		// Of two processes under one id the later one counts.
		if other := unlisted[e.ID]; b.engines[e.ID] == nil && (other == nil || other.Born < e.Born) {
			unlisted[e.ID] = e
		}
	}
	return unlisted
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
	if b.outdated(ask) {
		return
	}
	ask.arrived = now
	// A gateway has one place for a request. One that this board still counts
	// was given back to another scheduler.
	b.Ended(now, a.Owner, a.ID, End{Outcome: Left})
	ask.giveUpAt = earliest(now.Add(lateHold), ask.Until)
	ask.returned = b.refusals.take(now, ask.Fingerprint)
	if b.place(now, ask, false) {
		return
	}
	if !b.canEnd(now, ask) {
		b.answer(ask, Verdict{Why: "its gateway stops before an engine could end it"})
		return
	}
	if spare := b.spare(now, ask); spare >= 0 {
		if b.hopeless(now, ask, spare) {
			b.refuse(now, ask, "more wait before it than get a place in time")
			return
		}
		b.enqueue(ask)
		b.noteSaturation(now)
		b.answer(ask, Verdict{Waiting: true})
		return
	}
	b.setLate(now, ask)
}

// outdated tells whether the gateway holds a place for the request that it got
// after it had given the ask up: the ask came late, by a link that was replaced.
func (b *Board) outdated(a *Ask) bool {
	k := key(a.Owner, a.ID)
	e := b.byRun[k]
	if e == nil {
		return false
	}
	r := e.runs[k]
	return r != nil && r.number > a.Number
}

// answer adds a verdict for who asked.
func (b *Board) answer(ask *Ask, v Verdict) {
	v.Owner, v.ID, v.Number = ask.Owner, ask.ID, ask.Number
	b.verdicts = append(b.verdicts, v)
}

func (b *Board) slots(service string) int {
	slots := 0
	for _, e := range b.byService[service] {
		slots += e.Slots
	}
	return slots
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
	b.withdraw(owner, id, end.Number)
	e := b.byRun[k]
	if e == nil {
		return
	}
	r := e.runs[k]
	if r != nil && end.Number != 0 && end.Number != r.number {
		return
	}
	b.dropRun(owner, k)
	if r == nil {
		return
	}
	if end.Outcome == Answered && r.started {
		e.learnOverrun(r, end.Stream)
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

func (b *Board) withdraw(owner, id string, number uint64) {
	match := func(a *Ask) bool {
		return a.ID == id && a.Owner == owner && (number == 0 || number == a.Number)
	}
	b.waiting = slices.DeleteFunc(b.waiting, match)
	b.late = slices.DeleteFunc(b.late, match)
}

// DropOwner forgets all of a gateway that is gone: its engines drop what its
// connections carried.
func (b *Board) DropOwner(now time.Time, owner string) {
	b.waiting = slices.DeleteFunc(b.waiting, func(a *Ask) bool { return a.Owner == owner })
	b.late = slices.DeleteFunc(b.late, func(a *Ask) bool { return a.Owner == owner })
	for k := range b.byOwner[owner] {
		e := b.byRun[k]
		if r := e.runs[k]; r != nil {
			e.end(now, k, r)
		}
		b.dropRun(owner, k)
	}
}

func (b *Board) addRun(owner, k string, e *engine) {
	b.byRun[k] = e
	if b.byOwner[owner] == nil {
		b.byOwner[owner] = make(map[string]struct{})
	}
	b.byOwner[owner][k] = struct{}{}
}

func (b *Board) dropRun(owner, k string) {
	delete(b.byRun, k)
	delete(b.byOwner[owner], k)
	if len(b.byOwner[owner]) == 0 {
		delete(b.byOwner, owner)
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
	fastest := make(map[string]*engine, len(b.byService))
	for service := range b.byService {
		fastest[service] = b.fastest(now, service)
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(a *Ask) bool {
		if b.spareBy(now, a, fastest[a.Service]) >= 0 {
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
