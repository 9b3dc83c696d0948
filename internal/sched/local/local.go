// Package local chooses an upstream by what this process alone knows: its own
// requests, and what upstreams said of themselves in their answers. It serves
// plain services, and engines while no scheduler can be asked.
package local

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/failure"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// loadFor is how long what an upstream said of its load is reckoned with;
	// a plain request takes some 30 ms, so older counts say nothing.
	loadFor = 300 * time.Millisecond
	// avoidFirst and avoidMost bound how long an upstream is left out after a
	// connection failed; it doubles with each failure in a row.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 3 * time.Second
	// failWeight is the weight of one outcome in an upstream's failure share.
	failWeight = 0.1
	// failMargin is by how much an upstream's failure share must exceed the
	// usual one for it to be left: services fail some of their requests by
	// themselves.
	failMargin = 0.2
	// failHalf is the time in which a failure share halves without new outcomes.
	failHalf = 2 * time.Second
	// otherDomain is what the way to another failure domain counts, in parts
	// of a request that runs: it costs bytes and a millisecond.
	otherDomain = 0.35
	// queuePart is how many requests an engine may hold for this process
	// beyond its slots before another is refused.
	queuePart = 0.25
	// fullRetry is told to callers when all upstreams are full.
	fullRetry = 250 * time.Millisecond
	// noneRetry is told to callers when a service has no upstream.
	noneRetry = 500 * time.Millisecond
	// absentMost is how long after a service had its last upstream a request waits
	// for another one: all may be replaced at once, and what a process does not know
	// yet is no reason to turn callers away.
	absentMost = time.Second
	// absentPause is between two looks for one.
	absentPause = 10 * time.Millisecond
)

type record struct {
	running   int
	load      exchange.Load
	loadAt    time.Time
	ownAtLoad int
	failures  int
	avoid     time.Time
	failShare failure.Share
}

// Chooser implements flow.Picker.
type Chooser struct {
	domain    string
	ready     func(service string) []roster.Upstream
	processes func() int

	mu      sync.Mutex
	records map[string]*record
	turn    uint64
	// present is when a service last had an upstream.
	present map[string]time.Time
}

// New returns a chooser for a process in the domain.
func New(domain string, ready func(service string) []roster.Upstream, processes func() int) *Chooser {
	return &Chooser{domain: domain, ready: ready, processes: processes, records: make(map[string]*record), present: make(map[string]time.Time)}
}

func (c *Chooser) record(id string) *record {
	r := c.records[id]
	if r == nil {
		r = &record{failShare: failure.New(failWeight, failHalf)}
		c.records[id] = r
	}
	return r
}

// Pick implements flow.Picker. It waits only for a service whose upstreams have all
// just gone.
func (c *Chooser) Pick(ctx context.Context, now time.Time, a flow.Ask) (flow.Place, error) {
	ups := c.ready(a.Service)
	for ; len(ups) == 0 && ctx.Err() == nil && now.Before(c.awaitedUntil(a)); now = now.Add(absentPause) {
		wait.For(ctx, absentPause)
		ups = c.ready(a.Service)
	}
	if len(ups) > 0 {
		c.notePresent(now, a.Service)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	best, found := c.best(now, ups, a, false)
	if !found {
		best, found = c.best(now, ups, a, true)
	}
	if !found {
		return nil, flow.RefusePlace(noneRetry, "no upstream of the service is left to try")
	}
	r := c.record(best.ID)
	if c.full(r, best) {
		return nil, flow.RefusePlace(fullRetry, "all upstreams of the service are full")
	}
	r.running++
	return &place{chooser: c, upstream: best}, nil
}

// awaitedUntil returns until when a request waits for an upstream of a service that
// has none.
func (c *Chooser) awaitedUntil(a flow.Ask) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.present[a.Service].Add(absentMost)
	if a.Until.Before(until) {
		return a.Until
	}
	return until
}

func (c *Chooser) notePresent(now time.Time, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.present[service]) {
		c.present[service] = now
	}
}

// Hold counts a place at an upstream that somebody else chose.
func (c *Chooser) Hold(u roster.Upstream) flow.Place {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(u.ID).running++
	return &place{chooser: c, upstream: u}
}

// full bounds what this process alone has at one upstream: its even part of
// the slots and some more, for processes get uneven parts of the callers.
func (c *Chooser) full(r *record, u roster.Upstream) bool {
	part := float64(u.Slots) / float64(max(1, c.processes()))
	return float64(r.running) >= max(2, 2*part+queuePart*float64(u.Slots))
}

func (c *Chooser) best(now time.Time, ups []roster.Upstream, a flow.Ask, avoided bool) (roster.Upstream, bool) {
	c.turn++
	shares := make([]float64, 0, len(ups))
	for _, u := range ups {
		shares = append(shares, c.record(u.ID).failShare.At(now))
	}
	usual := failure.Usual(shares)
	var best roster.Upstream
	var bestCost float64
	found := false
	for i := range ups {
		u := ups[(uint64(i)+c.turn)%uint64(len(ups))]
		r := c.record(u.ID)
		if !a.Allows(u.Version) || slices.Contains(a.Exclude, u.ID) || (!avoided && (now.Before(r.avoid) || r.failShare.At(now) > usual+failMargin)) {
			continue
		}
		cost := c.cost(now, r, u)
		if !found || cost < bestCost {
			best, bestCost, found = u, cost, true
		}
	}
	return best, found
}

// cost is the part of the upstream's slots that is taken.
func (c *Chooser) cost(now time.Time, r *record, u roster.Upstream) float64 {
	running := float64(r.running)
	if now.Sub(r.loadAt) < loadFor {
		others := float64(r.load.Running + r.load.Waiting - r.ownAtLoad)
		running += max(0, others)
	}
	if u.Domain != c.domain {
		running += otherDomain
	}
	return running / float64(u.Slots)
}

// place is one request's place at an upstream.
type place struct {
	chooser  *Chooser
	upstream roster.Upstream
}

// Upstream implements flow.Place.
func (p *place) Upstream() roster.Upstream { return p.upstream }

// Load implements flow.Place.
func (p *place) Load(now time.Time, load exchange.Load) {
	p.chooser.mu.Lock()
	defer p.chooser.mu.Unlock()
	r := p.chooser.record(p.upstream.ID)
	r.load, r.loadAt, r.ownAtLoad = load, now, r.running
}

// Started implements flow.Place.
func (p *place) Started(time.Time) {}

// Done implements flow.Place.
func (p *place) Done(now time.Time, o flow.Outcome, _ int) {
	p.chooser.mu.Lock()
	defer p.chooser.mu.Unlock()
	r := p.chooser.record(p.upstream.ID)
	r.running--
	switch o {
	case flow.Answered:
		r.failures = 0
		r.failShare.Succeeded(now)
	case flow.Failed:
		r.failures = 0
		r.failShare.Failed(now)
	case flow.Broken:
		r.failShare.Broke(now)
	case flow.Declined:
		r.failShare.Failed(now)
	case flow.Unreached:
		r.failures++
		r.avoid = now.Add(min(avoidMost, avoidFirst<<min(r.failures-1, 4)))
	case flow.Left:
	}
}
