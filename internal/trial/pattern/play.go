package pattern

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// startTime is the virtual time at which every simulation starts.
var startTime = time.Unix(1_000_000, 0)

const (
	// defaultEngineCount and defaultSlotCount are those of the Atelier.
	defaultEngineCount = 18
	defaultSlotCount   = 12
	// workloadStream selects the random stream that generates requests and
	// crashes, failureStream the one that decides which requests fail.
	workloadStream = 0x70617474
	failureStream  = 0x6661696c
	// paceStream selects the random stream that draws the times between slow spells.
	paceStream = 0x70616365
)

// engineSlowness are the step time factors of the Atelier's engines; each factor
// applies to a third of them.
var engineSlowness = []float64{0.55, 1, 2.8}

// Policy places requests on engines.
type Policy interface {
	// arrive submits a request.
	arrive(now time.Time, r *request)
	// started, ended, lost and failed report the progress of a request: its first
	// event, its end, the crash of its engine and a failure response.
	started(now time.Time, e *engine, r *request)
	ended(now time.Time, e *engine, r *request)
	lost(now time.Time, e *engine, r *request)
	failed(now time.Time, e *engine, r *request)
	tick(now time.Time)
}

// event is a callback scheduled in virtual time. Events of the same time run in
// the order in which they were scheduled.
type event struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is the state of one run of a pattern.
type simulation struct {
	pattern      Pattern
	events       eventQueue
	lastSequence int
	engines      []*engine
	policy       Policy
	now          time.Time
	random       *rand.Rand
}

// PolicyFactory creates the policy of a simulation.
type PolicyFactory func(p *simulation) Policy

// Simulate runs the pattern and returns a summary of its requests.
func Simulate(p Pattern, seed uint64, policy PolicyFactory) Result {
	random := rand.New(rand.NewPCG(seed, workloadStream))
	s := &simulation{pattern: p, random: rand.New(rand.NewPCG(seed, failureStream))}
	model := p.engineModel()
	for i := range model.Count {
		s.engines = append(s.engines, &engine{
			id: "engine-" + strconv.Itoa(i), domain: domainName(i % max(1, p.Domains)), slots: model.Slots, slowness: engineSlowness[i%len(engineSlowness)], pace: 1,
			prefillFactor: model.PrefillFactor, firstEventDelay: model.FirstEventDelay,
		})
	}
	s.policy = policy(s)
	requests := p.generateRequests(startTime, random)
	for _, r := range requests {
		s.schedule(r.arrivedAt, func(now time.Time) { s.policy.arrive(now, r) })
	}
	for _, c := range p.Crashes {
		s.scheduleCrash(c, random)
	}
	if p.SlowSpells.Share > 0 {
		spells := rand.New(rand.NewPCG(seed, paceStream))
		for _, e := range s.engines {
			s.scheduleSpells(e, spells)
		}
	}
	s.schedule(startTime, s.tick)
	s.run()
	return summarize(p, requests)
}

func (s *simulation) schedule(at time.Time, run func(now time.Time)) {
	s.lastSequence++
	heap.Push(&s.events, event{at: at, sequence: s.lastSequence, run: run})
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run(next.at)
	}
}

func (s *simulation) tick(now time.Time) {
	s.policy.tick(now)
	if now.Before(startTime.Add(s.pattern.Duration + 5*time.Second)) {
		s.schedule(now.Add(board.TickInterval), s.tick)
	}
}

func (s *simulation) scheduleCrash(c Crash, random *rand.Rand) {
	count := int(c.Share * float64(len(s.engines)))
	for _, i := range random.Perm(len(s.engines))[:count] {
		e := s.engines[i]
		s.schedule(startTime.Add(c.At), func(now time.Time) {
			for _, j := range e.crash() {
				j.request.lost = true
				s.policy.lost(now, e, j.request)
			}
		})
		s.schedule(startTime.Add(c.At+c.Duration), func(time.Time) { e.down = false })
	}
}

// scheduleSpells schedules the slow spells of an engine, which begin at random times.
func (s *simulation) scheduleSpells(e *engine, random *rand.Rand) {
	spells := s.pattern.SlowSpells
	meanPause := spells.Length.Seconds() * (1 - spells.Share) / spells.Share
	setPace := func(pace float64) func(time.Time) { return func(time.Time) { e.pace = pace } }
	for at := startTime; at.Before(startTime.Add(s.pattern.Duration)); at = at.Add(spells.Length) {
		at = at.Add(time.Duration(random.ExpFloat64() * meanPause * float64(time.Second)))
		s.schedule(at, setPace(spells.Factor))
		s.schedule(at.Add(spells.Length), setPace(1))
	}
}

// dispatch sends a request to an engine and reports whether the engine accepted
// it.
func (s *simulation) dispatch(now time.Time, e *engine, r *request) bool {
	if e.down {
		return false
	}
	if failureShare := s.pattern.failureShare(now.Sub(startTime)); failureShare > 0 && s.random.Float64() < failureShare {
		s.schedule(now.Add(failureLatency), func(now time.Time) {
			r.lost = true
			s.policy.failed(now, e, r)
		})
		return true
	}
	e.add(r)
	r.remote = r.domain != e.domain
	if !e.stepping {
		e.stepping = true
		s.schedule(now, func(now time.Time) { s.step(now, e) })
	}
	return true
}

func (s *simulation) step(now time.Time, e *engine) {
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	awaitingFirst := make([]*job, 0, len(e.running))
	for _, j := range e.running {
		if j.events == 0 {
			awaitingFirst = append(awaitingFirst, j)
		}
	}
	duration, ended := e.step(now)
	s.schedule(now.Add(duration), func(now time.Time) {
		for _, j := range awaitingFirst {
			if j.events > 0 {
				s.schedule(j.request.firstEventAt, func(now time.Time) { s.policy.started(now, e, j.request) })
			}
		}
		for _, j := range ended {
			s.schedule(laterOf(now, j.request.firstEventAt), func(now time.Time) { s.policy.ended(now, e, j.request) })
		}
		s.step(now, e)
	})
}

// laterOf returns the later of two times. It keeps the end of a stream after its
// first event, whose delay can exceed the duration of a short stream.
func laterOf(x, y time.Time) time.Time {
	if x.Before(y) {
		return y
	}
	return x
}
