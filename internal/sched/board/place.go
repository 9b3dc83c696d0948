package board

import (
	"math"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/failure"
	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

const (
	// networkMargin is subtracted from the time to the first-event deadline for the
	// network between callers, gateways and engines.
	networkMargin = 15 * time.Millisecond
	// maxGapShare is the share of the longest allowed gap between events that may be
	// planned for, because step times are estimates.
	maxGapShare = 0.8
	// failureMargin is by how much an engine's failure rate must exceed the baseline of
	// its service for it to be skipped.
	failureMargin = 0.2
	// Weights in the cost of an engine, in units of the share of its slots in use.
	//
	// firstEventWeight sends long prompts to fast engines. It is the weight of the square
	// of the share of the remaining time that the first event takes.
	firstEventWeight = 1.5
	// maxCompared is the maximum number of engines that are compared for one request.
	maxCompared = 128
	// crossDomainCost is the cost of sending a request to another failure domain.
	crossDomainCost = 0.12
)

// noEngineLatency is the first-event latency if no engine is available. It is half of the
// largest duration so that adding to it does not overflow.
const noEngineLatency = time.Duration(math.MaxInt64 / 2)

// slack returns how much longer the request may wait and still get its first event in time
// from the engine that is the fastest available one at present, if that is idle. It is
// negative if no engine can meet the deadline any more.
func (s *Scheduler) slack(now time.Time, req *SlotRequest) time.Duration {
	return s.slackOn(now, req, s.fastest(now, req.Service))
}

// slackOn is slack with the fastest engine of the service already known. Another engine is
// searched for if the request may not go to that one.
func (s *Scheduler) slackOn(now time.Time, req *SlotRequest, fastest *engine) time.Duration {
	if fastest != nil && !req.allows(fastest) {
		fastest = nil
		for _, e := range s.byService[req.Service] {
			if !now.Before(e.backoffUntil) && req.allows(e) && e.faster(now, fastest) {
				fastest = e
			}
		}
	}
	firstEvent := noEngineLatency
	if fastest != nil {
		firstEvent = fastest.idleFirstEvent(now, req.PromptTokens)
	}
	return req.NextEventDue.Sub(now) - networkMargin - firstEvent
}

// fastest returns the fastest available engine of the service, or nil.
func (s *Scheduler) fastest(now time.Time, service string) *engine {
	var fastest *engine
	for _, e := range s.byService[service] {
		if !now.Before(e.backoffUntil) && e.faster(now, fastest) {
			fastest = e
		}
	}
	return fastest
}

// faster reports whether the engine is faster than the other one at the paces expected now.
func (e *engine) faster(now time.Time, other *engine) bool {
	return other == nil || e.slownessAt(now) < other.slownessAt(now)
}

// tryGrant assigns the request to the cheapest suitable engine, if there is one.
func (s *Scheduler) tryGrant(now time.Time, req *SlotRequest, late bool) bool {
	var best *engine
	bestCost := 0.0
	baseline := s.baselineFailureRate(now, req.Service)
	engines := s.byService[req.Service]
	offset := 0
	if len(engines) > maxCompared {
		offset = s.scanOffset
	}
	for i := range engines {
		// In a large fleet only some engines are compared, others each time. The rest are
		// checked only if none of these is suitable.
		if i >= maxCompared && best != nil {
			break
		}
		s.scanOffset = (offset + i + 1) % len(engines)
		e := engines[(offset+i)%len(engines)]
		cost, ok := s.cost(now, e, req, late, baseline)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return false
	}
	s.grant(now, best, req)
	return true
}

// baselineFailureRate returns the failure rate with which the engines of a service are
// compared.
func (s *Scheduler) baselineFailureRate(now time.Time, service string) float64 {
	baseline := s.baselines[service]
	if age := now.Sub(baseline.at); !baseline.at.IsZero() && age >= 0 && age < baselineMaxAge {
		return baseline.rate
	}
	engines := s.byService[service]
	rates := make([]float64, 0, len(engines))
	for _, e := range engines {
		rates = append(rates, e.failureRate.At(now))
	}
	baseline = failureBaseline{rate: failure.Baseline(rates), at: now}
	s.baselines[service] = baseline
	return baseline.rate
}

// failureBaseline is a cached baseline failure rate.
type failureBaseline struct {
	rate float64
	at   time.Time
}

// baselineMaxAge is how long a cached baseline is used. Failure rates change by a few
// hundredths in that time.
const baselineMaxAge = 20 * time.Millisecond

// cost returns the cost of assigning the request to the engine, and whether the engine is
// suitable at all. The engine with the lowest cost is chosen.
func (s *Scheduler) cost(now time.Time, e *engine, req *SlotRequest, late bool, baseline float64) (float64, bool) {
	running := e.running(now)
	slots := e.Slots
	if late {
		slots -= int(lateSlotReserve*float64(e.Slots)) + 1
	}
	if running >= slots || now.Before(e.backoffUntil) || !req.allows(e) {
		return 0, false
	}
	if e.failureRate.At(now) > baseline+failureMargin {
		return 0, false
	}
	firstEvent := e.firstEvent(now, req.PromptTokens)
	available := req.NextEventDue.Sub(now) - networkMargin
	if late {
		available = req.Deadline.Sub(now) / 2
	}
	if firstEvent > available {
		return 0, false
	}
	gap := profile.EventGapMs(max(1, e.TokensPerEvent), running+1, e.prefillBacklog+req.PromptTokens, e.timing.prefillFactor) * max(e.slownessAt(now), e.meanSlowness())
	if running > 0 && req.EventGapTarget > 0 && gap > maxGapShare*ms(req.EventGapTarget) {
		return 0, false
	}
	if !e.endsInTime(now, req, firstEvent) || e.stalled(now) || !s.withinLimit(now, e, req.Owner) {
		return 0, false
	}
	fraction := ms(firstEvent) / max(1, ms(available))
	cost := float64(running)/float64(e.Slots) + firstEventWeight*fraction*fraction
	if e.Domain != req.Domain {
		cost += crossDomainCost
	}
	return cost, true
}

func (s *Scheduler) grant(now time.Time, e *engine, req *SlotRequest) {
	s.dropReported(now, req)
	r := &run{owner: req.Owner, id: req.ID, number: req.Number, prompt: req.PromptTokens, grantedAt: now, account: req.account}
	e.assign(now, r)
	r.account.Take(now)
	if e.WarmsUp {
		e.grants.add(now, req.Owner)
	}
	s.recordTierGrant(now, e, req)
	s.addRun(req.Owner, runKey(req.Owner, req.ID), e)
	s.decide(req, Decision{Upstream: e.ID})
}

// dropReported removes an earlier slot of the request that its gateway reported while the
// request waited. The gateway abandoned it, and holds at most one slot per request.
func (s *Scheduler) dropReported(now time.Time, req *SlotRequest) {
	k := runKey(req.Owner, req.ID)
	e := s.byRun[k]
	if e == nil {
		return
	}
	if r := e.runs[k]; r != nil {
		e.remove(now, k, r)
	}
	s.dropRun(req.Owner, k)
}
