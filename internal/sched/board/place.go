package board

import (
	"math"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/failure"
	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

const (
	// dueMargin is kept to the due moment for the ways between callers,
	// gateways and engines.
	dueMargin = 15 * time.Millisecond
	// gapPart is the part of the longest allowed pause that is planned with;
	// steps are estimates.
	gapPart = 0.8
	// failMargin is by how much an engine's failure share must exceed the usual
	// one for it to be left out.
	failMargin = 0.2
	// Weights of the choice among engines, in parts of all slots taken.
	// weightFirst makes long prompts go to fast engines: it is the weight of
	// the square of the part of the time left that the first event takes.
	weightFirst = 1.5
	// compareMost is how many engines a request's are chosen among.
	compareMost = 128
	// weightDomain is what the way to another failure domain counts.
	weightDomain = 0.12
)

// never is how long a first event takes where no engine is in use; half of what
// fits, so that sums with it do.
const never = time.Duration(math.MaxInt64 / 2)

// spare returns how much longer the request may wait and still have its first
// event in time on the fastest engine that is in use, if that is idle. It is
// negative if no engine can be in time any more.
func (b *Board) spare(now time.Time, a *Ask) time.Duration {
	return b.spareBy(now, a, b.fastest(now, a.Service))
}

// spareBy is spare for those who know the fastest engine of the service. It is
// that of the request too unless the request may not go there.
func (b *Board) spareBy(now time.Time, a *Ask, fastest *engine) time.Duration {
	if fastest != nil && !a.allows(fastest) {
		fastest = nil
		for _, e := range b.byService[a.Service] {
			if !now.Before(e.avoid) && a.allows(e) && e.faster(fastest) {
				fastest = e
			}
		}
	}
	quickest := never
	if fastest != nil {
		quickest = fastest.alone(a.Prompt)
	}
	return a.Due.Sub(now) - dueMargin - quickest
}

// fastest returns the fastest engine of the service that is in use, or nil.
func (b *Board) fastest(now time.Time, service string) *engine {
	var fastest *engine
	for _, e := range b.byService[service] {
		if !now.Before(e.avoid) && e.faster(fastest) {
			fastest = e
		}
	}
	return fastest
}

func (e *engine) faster(other *engine) bool {
	return other == nil || e.slowness.factor < other.slowness.factor
}

// place grants the best engine, if there is one.
func (b *Board) place(now time.Time, a *Ask, late bool) bool {
	var best *engine
	bestCost := 0.0
	usual := b.usualFailing(now, a.Service)
	engines := b.byService[a.Service]
	first := 0
	if len(engines) > compareMost {
		first = b.scanned
	}
	for i := range engines {
		// Of a large fleet a part is compared, another one each time; the rest is
		// looked at only if none of these suits.
		if i >= compareMost && best != nil {
			break
		}
		b.scanned = (first + i + 1) % len(engines)
		e := engines[(first+i)%len(engines)]
		cost, ok := b.cost(now, e, a, late, usual)
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

// usualFailing returns the failure share by which a service's engines are measured.
func (b *Board) usualFailing(now time.Time, service string) float64 {
	usual := b.usual[service]
	if age := now.Sub(usual.at); !usual.at.IsZero() && age >= 0 && age < usualFor {
		return usual.share
	}
	engines := b.byService[service]
	shares := make([]float64, 0, len(engines))
	for _, e := range engines {
		shares = append(shares, e.failShare.At(now))
	}
	usual = usualShare{share: failure.Usual(shares), at: now}
	b.usual[service] = usual
	return usual.share
}

// usualShare is a failure share and when it was taken.
type usualShare struct {
	share float64
	at    time.Time
}

// usualFor is how long it is used: shares move by a few hundredths in it.
const usualFor = 20 * time.Millisecond

// cost ranks an engine for a request; the lowest is chosen. It tells whether
// the engine may get the request at all.
func (b *Board) cost(now time.Time, e *engine, a *Ask, late bool, usualFailing float64) (float64, bool) {
	running := e.running(now)
	room := e.Slots
	if late {
		room -= int(lateReserve*float64(e.Slots)) + 1
	}
	if running >= room || now.Before(e.avoid) || !a.allows(e) {
		return 0, false
	}
	if e.failShare.At(now) > usualFailing+failMargin {
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
	gap := profile.Gap(max(1, e.EventTokens), running+1, e.backlog+a.Prompt, e.family.reading) * e.slowness.factor
	if running > 0 && a.MaxGap > 0 && gap > gapPart*ms(a.MaxGap) {
		return 0, false
	}
	if !e.endsInTime(now, a, first) || e.stalled(now) {
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
	r := &run{owner: a.Owner, id: a.ID, number: a.Number, prompt: a.Prompt, output: a.Output, granted: now}
	e.grant(now, r)
	b.addRun(a.Owner, key(a.Owner, a.ID), e)
	b.answer(a, Verdict{Upstream: e.ID})
}
