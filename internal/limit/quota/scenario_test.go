package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	scenarioTick   = 10 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	// noLedger is what ledgerOf returns for a gateway that reaches no scheduler.
	noLedger = -1
)

// scenario is a load on a fleet whose gateways report at different times to one of
// several ledgers.
type scenario struct {
	size      int
	workspace *catalog.Workspace
	length    time.Duration
	options   quota.Options
	// load is the cost that is offered per second as a multiple of the rate, and weight the
	// part of it at a gateway. The weights of all gateways add up to 1.
	load   func(at time.Duration) float64
	weight func(at time.Duration, gateway int) float64
	costs  []float64
	// ledgerOf returns the ledger to which a gateway reports.
	ledgerOf func(at time.Duration, gateway int) int
	// delay is how long reports and totals are on their way.
	delay func(at time.Duration, gateway int) time.Duration
	// waits is how long requests wait, and placed the fraction that gets a slot.
	waits  time.Duration
	placed float64
	// restarts are the times at which gateways are replaced by new processes.
	restarts map[int]time.Duration
}

// result is what a scenario came to.
type result struct {
	// taken is the cost that was charged in each tick.
	taken []float64
	// arrivals is the number of requests; refused counts those that were refused at their
	// arrival, and refusedWithSlot those that were refused later.
	arrivals, refused, refusedWithSlot int
	refusedAt                          []time.Duration
}

// most returns the most that was taken in any period of the length.
func (r *result) most(length time.Duration) float64 {
	ticks := int(length / scenarioTick)
	sum, most := 0.0, 0.0
	for i, taken := range r.taken {
		sum += taken
		if i >= ticks {
			sum -= r.taken[i-ticks]
		}
		most = max(most, sum)
	}
	return most
}

func (r *result) total() float64 {
	sum := 0.0
	for _, taken := range r.taken {
		sum += taken
	}
	return sum
}

// bound is the most that may run in eight seconds.
func bound(w *catalog.Workspace) float64 {
	return (w.QuotaPerSecond*window.Seconds()+w.QuotaBurst)*(1+excessFraction) + slack
}

// timed is something that happens at a time.
type timed struct {
	at time.Duration
	do func(now time.Time)
}

// scenarioRun is the state of a running scenario.
type scenarioRun struct {
	scenario
	rng       *rand.Rand
	limiters  []*quota.Limiter
	startedAt []time.Duration
	runs      []uint64
	ledgers   []*quota.Ledger
	queue     []timed
	backlog   []float64
	result    result
}

func newScenario(size int, w *catalog.Workspace) scenario {
	return scenario{
		size: size, workspace: w, length: 10 * time.Second, costs: []float64{2000}, placed: 1,
		options:  quota.Options{StartFull: true, Slack: slack, ExcessFraction: excessFraction, Window: window},
		load:     func(time.Duration) float64 { return 0.8 },
		weight:   func(time.Duration, int) float64 { return 1 / float64(size) },
		ledgerOf: func(time.Duration, int) int { return 0 },
		delay:    func(time.Duration, int) time.Duration { return 5 * time.Millisecond },
	}
}

// atOneGateway is the weight of a load whose callers all use the first gateway.
func atOneGateway(_ time.Duration, gateway int) float64 {
	if gateway == 0 {
		return 1
	}
	return 0
}

func (s scenario) run(seed uint64) *result {
	r := &scenarioRun{
		scenario: s, rng: rand.New(rand.NewPCG(seed, 1)), backlog: make([]float64, s.size), startedAt: make([]time.Duration, s.size),
		ledgers: []*quota.Ledger{quota.NewLedger(), quota.NewLedger(), quota.NewLedger()},
	}
	for i := range s.size {
		r.limiters = append(r.limiters, r.newLimiter(start, s.options))
		r.runs = append(r.runs, uint64(i+1))
		r.schedule(reportInterval*time.Duration(i)/time.Duration(s.size), func(now time.Time) { r.report(now, i) })
	}
	for i, at := range s.restarts {
		r.schedule(at, func(now time.Time) { r.restart(now, i) })
	}
	for at := time.Duration(0); at < s.length; at += scenarioTick {
		r.result.taken = append(r.result.taken, 0)
		r.runDue(at)
		for i := range s.size {
			r.arrive(at, i)
		}
	}
	return &r.result
}

func (r *scenarioRun) newLimiter(now time.Time, options quota.Options) *quota.Limiter {
	l := quota.New(options, func() int { return r.size })
	l.AddWorkspaces(now, []catalog.Workspace{*r.workspace})
	return l
}

func (r *scenarioRun) restart(now time.Time, i int) {
	options := r.options
	options.StartFull = false
	r.limiters[i], r.startedAt[i] = r.newLimiter(now, options), now.Sub(start)
	r.runs[i] += uint64(r.size)
}

func (r *scenarioRun) schedule(at time.Duration, do func(now time.Time)) {
	r.queue = append(r.queue, timed{at: at, do: do})
}

func (r *scenarioRun) runDue(at time.Duration) {
	due := make([]timed, 0, len(r.queue))
	r.queue = slices.DeleteFunc(r.queue, func(e timed) bool {
		if e.at <= at {
			due = append(due, e)
		}
		return e.at <= at
	})
	slices.SortStableFunc(due, func(a, b timed) int { return int(a.at - b.at) })
	for _, e := range due {
		e.do(start.Add(at))
	}
}

// report sends a gateway's report to its ledger, which answers with the totals.
func (r *scenarioRun) report(now time.Time, i int) {
	at := now.Sub(start)
	r.schedule(at+reportInterval, func(now time.Time) { r.report(now, i) })
	ledger := r.ledgerOf(at, i)
	if ledger == noLedger {
		return
	}
	limiter, node, delay := r.limiters[i], fmt.Sprint(i), r.delay(at, i)
	report := quota.Report{Run: r.runs[i], Age: at - r.startedAt[i], Used: limiter.Used()}
	r.schedule(at+delay, func(now time.Time) {
		r.ledgers[ledger].Report(now, node, report)
		totals := r.ledgers[ledger].Totals(now, node, uint64(ledger+1), r.size)
		r.schedule(now.Sub(start)+delay, func(now time.Time) { limiter.ApplyTotals(now, totals) })
	})
}

// arrive sends a gateway the requests of one tick.
func (r *scenarioRun) arrive(at time.Duration, i int) {
	r.backlog[i] += r.load(at) * r.weight(at, i) * r.workspace.QuotaPerSecond * scenarioTick.Seconds()
	for r.backlog[i] > 0 {
		cost := r.costs[r.rng.IntN(len(r.costs))]
		r.backlog[i] -= cost
		r.result.arrivals++
		r.request(start.Add(at), i, cost)
	}
}

// request sends one request: it is checked, waits, and is charged if it gets a slot.
func (r *scenarioRun) request(now time.Time, i int, cost float64) {
	limiter := r.limiters[i]
	if ok, _ := limiter.Enqueue(now, r.workspace, cost); !ok {
		if limiter.Settles(now, r.workspace) {
			r.schedule(now.Sub(start)+2*scenarioTick, func(now time.Time) { r.request(now, i, cost) })
			return
		}
		r.result.refused++
		r.result.refusedAt = append(r.result.refusedAt, now.Sub(start))
		return
	}
	placed := r.rng.Float64() < r.placed
	end := func(now time.Time) {
		limiter.Dequeue(now, r.workspace, cost, placed)
		if !placed {
			return
		}
		if ok, _ := limiter.Take(now, r.workspace, cost); !ok {
			r.result.refusedWithSlot++
			r.result.refusedAt = append(r.result.refusedAt, now.Sub(start))
			return
		}
		r.result.taken[len(r.result.taken)-1] += cost
	}
	if r.waits == 0 {
		end(now)
		return
	}
	r.schedule(now.Sub(start)+time.Duration(float64(r.waits)*(0.5+r.rng.Float64())), end)
}
