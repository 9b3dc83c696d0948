package local

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/load"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

const (
	// usualWeight is the weight of one response in the usual response time.
	usualWeight = 0.1
	// contradictionShare is the share of the expected time in which a response contradicts
	// the figures that it states. contradictionMemory is how long the figures of a service
	// are no reason for a refusal after that.
	contradictionShare  = 0.25
	contradictionMemory = 2 * time.Second
	// trialCost is the expected time to finish from which an upstream whose sample is too
	// old to be used gets a request only as a trial. All gateways would otherwise return
	// to a full upstream at once, each time its sample expires.
	trialCost = 1.5
	// trialOdds is the number of choices of which one is a trial.
	trialOdds = 8
	// trialMaxAge is the age of a sample from which its counts are not used for trials
	// either.
	trialMaxAge = time.Second
)

// Observer is told of choices, for metrics.
type Observer interface {
	// SampleUsed records the age of the sample by which an upstream was chosen.
	SampleUsed(age time.Duration)
	// Refused counts a refusal by its reason.
	Refused(reason string)
}

type noObserver struct{}

func (noObserver) SampleUsed(time.Duration) {}
func (noObserver) Refused(string)           {}

// SetLoads sets the table of load samples, without which paces are not used, and a function
// that reports whether a service has engines, whose samples are not shared.
func (c *Chooser) SetLoads(t *load.Table, hasEngines func(service string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads, c.hasEngines = t, hasEngines
}

// SetObserver sets the observer.
func (c *Chooser) SetObserver(o Observer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observer = o
}

func process(u roster.Upstream) roster.Process {
	return roster.Process{ID: u.ID, StartedAtMs: u.StartedAtMs}
}

// statesPace reports whether any of the upstreams has stated a pace recently. Those that
// have not are then chosen at their usual pace.
func (c *Chooser) statesPace(now time.Time, upstreams []roster.Upstream) bool {
	if c.loads == nil {
		return false
	}
	for _, u := range upstreams {
		if c.loads.Known(now, process(u)) {
			return true
		}
	}
	return false
}

// pickByPace chooses among upstreams that state their pace.
func (c *Chooser) pickByPace(now time.Time, upstreams []roster.Upstream, req flow.PlacementRequest) (flow.Placement, error) {
	candidates := c.candidates(now, upstreams, req)
	if len(candidates) == 0 {
		return nil, c.refuseWithoutCandidate(now, upstreams, req)
	}
	sharing := c.sharing(now, req.Service)
	usage := sharing.usageOf(now, req)
	choose := c.cheaperOfTwo
	if c.hasEngines(req.Service) {
		choose = c.cheapestWithRoom
	} else {
		c.loads.Used(now)
	}
	best, err := choose(now, upstreams, candidates, req)
	if err == nil {
		best, err = c.leaveQueue(now, sharing, best, upstreams, candidates, req)
	}
	if err == nil && c.mustLeaveFree(now, sharing, upstreams, req, sharing.heldShare(now, upstreams)) {
		err = c.refuseForOthers()
	}
	if err != nil {
		sharing.refuse(now, usage)
		return nil, err
	}
	if best.sampled {
		c.observer.SampleUsed(best.age)
	}
	p := c.place(now, best.upstream, sharing, usage)
	p.cost, p.deadline = best.finish, req.Deadline
	return p, nil
}

// candidates returns the indexes of the upstreams that may get the request. Those that are
// skipped because of failures are included only if there are no others. The result is valid
// until the next call.
func (c *Chooser) candidates(now time.Time, upstreams []roster.Upstream, req flow.PlacementRequest) []int {
	baseline := c.failureBaseline(now, upstreams)
	candidates, skipped := c.candidateBuffer[:0], c.skippedBuffer[:0]
	for i, u := range upstreams {
		switch {
		case !c.mayGet(now, u, req):
		case c.state(u.ID).skipped(now, baseline):
			skipped = append(skipped, i)
		default:
			candidates = append(candidates, i)
		}
	}
	c.candidateBuffer, c.skippedBuffer = candidates, skipped
	if len(candidates) == 0 {
		return skipped
	}
	return candidates
}

// forecast is what is expected of a request at an upstream.
type forecast struct {
	upstream roster.Upstream
	// finish is the expected time to finish, in units of usual work, and cost is finish
	// and the cost of another failure domain.
	finish, cost float64
	// requests is the number of requests that are expected at the upstream.
	requests float64
	// sampled reports whether there is a sample of the upstream, age is its age, and fresh
	// reports whether its counts are used.
	sampled, fresh bool
	age            time.Duration
}

// forecast returns what is expected of a request at the upstream.
func (c *Chooser) forecast(now time.Time, u roster.Upstream) forecast {
	state := c.state(u.ID)
	view, known := c.loads.View(now, process(u))
	f := forecast{upstream: u, sampled: known, age: max(0, now.Sub(view.At))}
	others := state.external(now)
	if known {
		f.fresh = f.age < loadMaxAge
		others = 0
		if f.age < trialMaxAge {
			others = max(0, float64(view.Load.Running+view.Load.Waiting-c.ownAt(state, view.At)))
		}
	}
	if now.Sub(state.declinedAt) < loadMaxAge && !view.At.After(state.declinedAt) {
		others = max(others, float64(u.Slots))
	}
	c.expect(&f, state.running, others, view.Pace)
	if known && !f.fresh {
		c.allowTrial(&f, state, view.Pace)
	}
	return f
}

// allowTrial changes the forecast of an upstream whose sample is too old for its counts to be
// used. If it was busy or slow, it gets one request at a time, and only in some choices, until
// a new sample arrives.
func (c *Chooser) allowTrial(f *forecast, state *upstreamState, pace float64) {
	switch {
	case f.finish < trialCost:
		c.expect(f, state.running, 0, pace)
	case state.running == 0 && c.draw(trialOdds) == 0:
		c.expect(f, 0, 0, min(pace, 1))
	}
}

func (c *Chooser) expect(f *forecast, own int, others, pace float64) {
	slots := float64(max(1, f.upstream.Slots))
	f.requests = float64(own) + others
	f.finish = pace * (1 + f.requests/slots)
	f.cost = f.finish
	if f.upstream.Domain != c.domain {
		f.cost += crossDomainCost / slots
	}
}

// ownAt returns how many requests this process had at the upstream at the time of its newest
// sample. For a sample that another gateway received, it is the number at that time by this
// process's clock; what was on the way then is not known.
func (c *Chooser) ownAt(state *upstreamState, at time.Time) int {
	if at.Equal(state.loadAt) {
		return state.ownRunningAtLoad
	}
	if state.history == nil {
		state.history = &history{}
		state.history.record(at, state.running)
	}
	return state.history.at(at)
}

// cheaperOfTwo returns the cheaper of two candidates that are drawn at random. It refuses the
// request only if none of all candidates is expected to finish in time.
func (c *Chooser) cheaperOfTwo(now time.Time, upstreams []roster.Upstream, candidates []int, req flow.PlacementRequest) (forecast, error) {
	i := c.draw(len(candidates))
	best := c.forecast(now, upstreams[candidates[i]])
	if len(candidates) > 1 {
		j := c.draw(len(candidates) - 1)
		if j >= i {
			j++
		}
		if other := c.forecast(now, upstreams[candidates[j]]); other.cost < best.cost {
			best = other
		}
	}
	if !c.late(now, best, req) {
		return best, nil
	}
	// The draw found only a late one, so any that is not late is better, whatever its cost.
	found := false
	for _, i := range candidates {
		if other := c.forecast(now, upstreams[i]); !c.late(now, other, req) && (!found || other.cost < best.cost) {
			best, found = other, true
		}
	}
	if !found {
		c.observer.Refused("late")
		return forecast{}, flow.RefusePlacement(fullRetryAfter, "no upstream of the service is expected to finish in time")
	}
	return best, nil
}

// late reports whether a recent sample lets expect that the request finishes after its
// deadline. An older sample is no reason for a refusal.
func (c *Chooser) late(now time.Time, f forecast, req flow.PlacementRequest) bool {
	usual := c.usual[req.Service]
	if usual == nil || !f.fresh || req.Deadline.IsZero() || now.Sub(usual.contradictedAt) < contradictionMemory {
		return false
	}
	return f.finish*usual.seconds > req.Deadline.Sub(now).Seconds()
}

// cheapestWithRoom returns the cheapest engine that is not full.
func (c *Chooser) cheapestWithRoom(now time.Time, upstreams []roster.Upstream, candidates []int, req flow.PlacementRequest) (forecast, error) {
	c.rotation++
	lately := c.sharing(now, req.Service).heldShare(now, upstreams)
	var best forecast
	found := false
	for i := range candidates {
		u := upstreams[candidates[(uint64(i)+c.rotation)%uint64(len(candidates))]]
		state := c.state(u.ID)
		if float64(state.running) >= c.limit(now, state, u, req, lately) {
			continue
		}
		if f := c.forecast(now, u); !found || f.cost < best.cost {
			best, found = f, true
		}
	}
	if !found {
		return forecast{}, c.refuseFull()
	}
	return best, nil
}

// recordSample records the load that an upstream stated in a response.
func (c *Chooser) recordSample(now time.Time, p *placement, l exchange.Load) {
	if c.loads != nil {
		p.stated = l
		c.loads.Received(load.Sample{Process: process(p.upstream), Load: l, At: now}, p.plain)
	}
}

// usualResponse is what is known of the responses of a service.
type usualResponse struct {
	// seconds is the time of a usual request on an idle upstream.
	seconds float64
	// contradictedAt is when a response last came in time although, by the load that it
	// states, it should have been late.
	contradictedAt time.Time
}

// recordResponse learns from a response that was delivered: the usual response time of the
// service, and whether the figures that the upstream stated in it can be true.
func (c *Chooser) recordResponse(now time.Time, p *placement) {
	if !p.plain || p.cost == 0 {
		return
	}
	if !p.startedAt.IsZero() {
		now = p.startedAt
	}
	took := now.Sub(p.since).Seconds()
	usual := c.usual[p.upstream.Service]
	if usual == nil {
		usual = &usualResponse{seconds: took / max(1, p.cost)}
		c.usual[p.upstream.Service] = usual
	}
	busy := float64(p.stated.Running+p.stated.Waiting) / float64(max(1, p.upstream.Slots))
	expected := max(1, p.stated.Pace) * (1 + busy) * usual.seconds
	if !p.deadline.IsZero() && expected > p.deadline.Sub(p.since).Seconds() && took < contradictionShare*expected {
		usual.contradictedAt = now
	}
	usual.seconds += usualWeight * (took/max(1, p.cost) - usual.seconds)
}
