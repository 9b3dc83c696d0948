package local_test

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/load"
	"github.com/persimmonridge/persimmonridge/internal/sched/local"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

const (
	plainUpstreams = 3
	plainSlots     = 6
	plainQueue     = 24
	plainWork      = 15 * time.Millisecond
	plainDue       = 120 * time.Millisecond
	// linkDelay is the time of a message between a gateway and an upstream or the scheduler.
	linkDelay = 2 * time.Millisecond
)

// event is something that happens in a simulation at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs gateways' choosers against plain upstreams in virtual time.
type simulation struct {
	start, now time.Time
	random     *rand.Rand
	queue      events
	order      int
	upstreams  []*plainUpstream
	choosers   []*local.Chooser
	tables     []*load.Table
	scheduler  int
	// cutOff holds the gateways without a link to the scheduler.
	cutOff map[int]bool
	// requests, late, refused and sent count since the last reset.
	requests, late, refused int
	sent                    []int
	refusals                map[string]int
}

// plainUpstream emulates an upstream with slots and a queue.
type plainUpstream struct {
	s       *simulation
	name    roster.Upstream
	running int
	waiting []func()
	// pace is the actual pace at a time, and header the load that the upstream states.
	pace   func(at time.Duration) float64
	header func(l exchange.Load, at time.Duration) *exchange.Load
}

func newSimulation(gateways int, seed uint64) *simulation {
	s := &simulation{
		start: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), cutOff: map[int]bool{},
		sent: make([]int, plainUpstreams), refusals: map[string]int{},
	}
	s.now = s.start
	var ready []roster.Upstream
	for i := range plainUpstreams {
		u := &plainUpstream{
			s: s, name: roster.Upstream{ID: fmt.Sprint("u", i), Service: "s", Domain: "a", Slots: plainSlots, StartedAtMs: 1},
			pace:   func(time.Duration) float64 { return 1 },
			header: func(l exchange.Load, _ time.Duration) *exchange.Load { return &l },
		}
		s.upstreams = append(s.upstreams, u)
		ready = append(ready, u.name)
	}
	for i := range gateways {
		table := load.New(fmt.Sprint("g", i))
		chooser := local.New("a", func(string) []roster.Upstream { return ready }, func() int { return gateways })
		chooser.SetLoads(table, local.NoEngines)
		chooser.SetObserver(observer{s})
		chooser.SetDraw(s.random.IntN)
		s.choosers, s.tables = append(s.choosers, chooser), append(s.tables, table)
		s.report(i)
	}
	return s
}

// observer implements local.Observer.
type observer struct{ s *simulation }

func (observer) SampleUsed(time.Duration) {}
func (o observer) Refused(reason string)  { o.s.refusals[reason]++ }

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, event{s.now.Add(d), s.order, run})
}

// run lets time pass.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// report exchanges a gateway's samples with the scheduler's.
func (s *simulation) report(i int) {
	s.after(load.ReportInterval, func() {
		s.report(i)
		samples, due := s.tables[i].Report(s.now)
		scheduler := s.scheduler
		if !due || scheduler < 0 || scheduler == i || s.cutOff[i] || s.cutOff[scheduler] {
			return
		}
		s.after(linkDelay, func() {
			s.tables[scheduler].Reported(s.now, fmt.Sprint("g", i), samples)
			answer := s.tables[scheduler].Answer(s.now, fmt.Sprint("g", i))
			s.after(linkDelay, func() { s.tables[i].Answered(s.now, answer) })
		})
	})
}

// offer sends requests at random times, spread over the gateways.
func (s *simulation) offer(perSecond float64) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.offer(perSecond)
		s.requests++
		s.send(s.random.IntN(len(s.choosers)), s.now, nil)
	})
}

func (s *simulation) send(gateway int, arrivedAt time.Time, excluded []string) {
	chosen, err := s.choosers[gateway].Pick(context.Background(), s.now, flow.PlacementRequest{
		Service: "s", Deadline: arrivedAt.Add(plainDue), ExcludedUpstreams: excluded,
	})
	if err != nil {
		s.refused++
		return
	}
	i := slices.IndexFunc(s.upstreams, func(u *plainUpstream) bool { return u.name.ID == chosen.Upstream().ID })
	s.sent[i]++
	answered := func(l *exchange.Load, o flow.Outcome) {
		s.after(linkDelay, func() {
			if l != nil {
				chosen.ReportLoad(s.now, *l)
			}
			if o == flow.Answered {
				chosen.AnswerStarted(s.now)
			}
			chosen.Release(s.now, o, 0)
			if o == flow.Declined {
				s.send(gateway, arrivedAt, append(excluded, chosen.Upstream().ID))
			} else if s.now.Sub(arrivedAt) > plainDue {
				s.late++
			}
		})
	}
	s.after(linkDelay, func() { s.upstreams[i].arrive(answered) })
}

func (s *simulation) reset() {
	s.requests, s.late, s.refused = 0, 0, 0
	clear(s.sent)
	clear(s.refusals)
}

// share returns the share of the requests that the upstream got.
func (s *simulation) share(upstream int) float64 {
	return float64(s.sent[upstream]) / float64(s.requests)
}

// missed returns the share of the requests that were late or refused.
func (s *simulation) missed() float64 { return float64(s.late+s.refused) / float64(s.requests) }

func (u *plainUpstream) stated() *exchange.Load {
	at := u.s.now.Sub(u.s.start)
	return u.header(exchange.Load{Running: u.running, Waiting: len(u.waiting), Slots: plainSlots, Pace: u.pace(at)}, at)
}

func (u *plainUpstream) arrive(answered func(*exchange.Load, flow.Outcome)) {
	switch {
	case u.running < plainSlots:
		u.execute(answered)
	case len(u.waiting) < plainQueue:
		u.waiting = append(u.waiting, func() { u.execute(answered) })
	default:
		answered(u.stated(), flow.Declined)
	}
}

func (u *plainUpstream) execute(answered func(*exchange.Load, flow.Outcome)) {
	u.running++
	took := float64(plainWork) * u.pace(u.s.now.Sub(u.s.start)) * (0.5 + u.s.random.Float64())
	u.s.after(time.Duration(took), func() {
		load := u.stated()
		u.running--
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next()
		}
		answered(load, flow.Answered)
	})
}

// fill keeps the upstream at a number of requests of others.
func (u *plainUpstream) fill(count int) {
	for range count {
		u.occupy()
	}
}

// occupy has one request of others after another at the upstream.
func (u *plainUpstream) occupy() {
	u.arrive(func(_ *exchange.Load, o flow.Outcome) {
		pause := time.Duration(0)
		if o == flow.Declined {
			pause = time.Millisecond
		}
		u.s.after(pause, u.occupy)
	})
}

// slowInTurn has one upstream after the other take three times as long for a second.
func (s *simulation) slowInTurn() {
	for i, u := range s.upstreams {
		u.pace = func(at time.Duration) float64 {
			if int(at/time.Second)%plainUpstreams == i {
				return 3
			}
			return 1
		}
	}
}

// withoutPace has all upstreams state three values.
func (s *simulation) withoutPace() {
	for _, u := range s.upstreams {
		u.header = func(l exchange.Load, _ time.Duration) *exchange.Load {
			l.Pace = 0
			return &l
		}
	}
}

// slowShare counts, while the upstreams are slow in turn, the share of the requests that went
// to the slow one.
func (s *simulation) slowShare(t *testing.T, perSecond float64, turns int) float64 {
	t.Helper()
	require.Equal(t, s.start, s.now)
	s.offer(perSecond)
	toSlow, total := 0, 0
	for i := range turns {
		before, requests := slices.Clone(s.sent), s.requests
		s.run(time.Second)
		toSlow += s.sent[i%plainUpstreams] - before[i%plainUpstreams]
		total += s.requests - requests
	}
	return float64(toSlow) / float64(total)
}
