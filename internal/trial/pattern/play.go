package pattern

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// start is the moment at which every pattern begins.
var start = time.Unix(1_000_000, 0)

const (
	// engineCount and slotCount are the Atelier's.
	engineCount = 18
	slotCount   = 12
	// seedStream tells the random numbers of patterns from others'.
	seedStream = 0x70617474
	// failStream is that of which requests fail.
	failStream = 0x6661696c
)

// slownesses are the Atelier's engines: a third each.
var slownesses = []float64{0.55, 1, 2.8}

// Policy places requests.
type Policy interface {
	// Arrive takes a request.
	arrive(now time.Time, r *request)
	// started and ended tell what engines do.
	started(now time.Time, e *engine, r *request)
	ended(now time.Time, e *engine, r *request)
	lost(now time.Time, e *engine, r *request)
	failed(now time.Time, e *engine, r *request)
	tick(now time.Time)
}

type occasion struct {
	at    time.Time
	order int
	do    func(now time.Time)
}

type agenda []occasion

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(occasion)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// play is one pattern under way.
type play struct {
	pattern Pattern
	agenda  agenda
	order   int
	engines []*engine
	policy  Policy
	now     time.Time
	random  *rand.Rand
}

// NewPolicy returns a policy for the engines of a play.
type NewPolicy func(p *play) Policy

// Play plays the pattern and returns what became of its requests.
func Play(p Pattern, seed uint64, policy NewPolicy) Result {
	random := rand.New(rand.NewPCG(seed, seedStream))
	world := &play{pattern: p, random: rand.New(rand.NewPCG(seed, failStream))}
	kind := p.engineMake()
	for i := range kind.Engines {
		world.engines = append(world.engines, &engine{
			id: "engine-" + strconv.Itoa(i), slots: kind.Slots, slowness: slownesses[i%len(slownesses)],
			reading: kind.Reading, fixed: kind.Fixed,
		})
	}
	world.policy = policy(world)
	requests := p.draw(start, random)
	for _, r := range requests {
		world.at(r.arrived, func(now time.Time) { world.policy.arrive(now, r) })
	}
	for _, c := range p.Crashes {
		world.crash(c, random)
	}
	world.at(start, world.tick)
	world.run()
	return summarize(p, requests)
}

func (p *play) at(moment time.Time, do func(now time.Time)) {
	p.order++
	heap.Push(&p.agenda, occasion{at: moment, order: p.order, do: do})
}

func (p *play) run() {
	for len(p.agenda) > 0 {
		next := heap.Pop(&p.agenda).(occasion)
		p.now = next.at
		next.do(next.at)
	}
}

func (p *play) tick(now time.Time) {
	p.policy.tick(now)
	if now.Before(start.Add(p.pattern.Length + 5*time.Second)) {
		p.at(now.Add(board.TickEvery), p.tick)
	}
}

func (p *play) crash(c Crash, random *rand.Rand) {
	count := int(c.Share * float64(len(p.engines)))
	for _, i := range random.Perm(len(p.engines))[:count] {
		e := p.engines[i]
		p.at(start.Add(c.At), func(now time.Time) {
			for _, j := range e.crash() {
				j.request.lost = true
				p.policy.lost(now, e, j.request)
			}
		})
		p.at(start.Add(c.At+c.For), func(time.Time) { e.down = false })
	}
}

// send gives a request to an engine. It tells whether the engine took it.
func (p *play) send(now time.Time, e *engine, r *request) bool {
	if e.down {
		return false
	}
	if share := p.pattern.failing(now.Sub(start)); share > 0 && p.random.Float64() < share {
		p.at(now.Add(failAfter), func(now time.Time) {
			r.lost = true
			p.policy.failed(now, e, r)
		})
		return true
	}
	e.add(r)
	if !e.busy {
		e.busy = true
		p.at(now, func(now time.Time) { p.step(now, e) })
	}
	return true
}

func (p *play) step(now time.Time, e *engine) {
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	before := make([]*job, 0, len(e.running))
	for _, j := range e.running {
		if j.events == 0 {
			before = append(before, j)
		}
	}
	took, ended := e.step(now)
	p.at(now.Add(took), func(now time.Time) {
		for _, j := range before {
			if j.events > 0 {
				p.at(j.request.first, func(now time.Time) { p.policy.started(now, e, j.request) })
			}
		}
		for _, j := range ended {
			p.at(later(now, j.request.first), func(now time.Time) { p.policy.ended(now, e, j.request) })
		}
		p.step(now, e)
	})
}

// later keeps a stream's end behind its first event, which is on its way to the
// gateway for longer than a short stream takes.
func later(x, y time.Time) time.Time {
	if x.Before(y) {
		return y
	}
	return x
}
