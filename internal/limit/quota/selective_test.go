package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// selectiveFleet is a fleet whose workspaces are too many to follow all of them at each
// gateway. Gateways report every 100 ms at different times, and when a level is needed.
type selectiveFleet struct {
	size       int
	workspaces []catalog.Workspace
	options    quota.Options
	delay      time.Duration
	// loses reports whether a report or its answer is lost.
	loses func(at time.Duration, gateway int) bool
	// ledgerOf returns the ledger to which a gateway reports, or noLedger.
	ledgerOf func(at time.Duration, gateway int) int

	rng       *rand.Rand
	limiters  []*quota.Limiter
	reporters []*quota.Reporter
	runs      []uint64
	startedAt []time.Time
	ledgers   []*quota.Ledger
	// ledgerRuns are the runs of the ledgers' processes.
	ledgerRuns []uint64
	events     map[time.Duration][]func(now time.Time)
	now        time.Duration
	// entries counts the workspaces in all reports and totals, and messages these.
	entries, messages int
	// taken is the cost that was charged in each tick, by workspace.
	taken    map[string][]float64
	requests int
	refused  map[string]int
}

const selectiveWorkspaces = 333

func newSelectiveFleet(size int) *selectiveFleet {
	f := &selectiveFleet{
		size: size, delay: 5 * time.Millisecond, rng: rand.New(rand.NewPCG(1, uint64(size))),
		options:  quota.Options{StartFull: true, Slack: slack, ExcessFraction: excessFraction, Window: window},
		loses:    func(time.Duration, int) bool { return false },
		ledgerOf: func(time.Duration, int) int { return 0 },
		events:   make(map[time.Duration][]func(time.Time)), taken: make(map[string][]float64), refused: make(map[string]int),
	}
	for i := range selectiveWorkspaces {
		f.workspaces = append(f.workspaces, catalog.Workspace{Name: fmt.Sprintf("w-%d", i), QuotaPerSecond: 36_000, QuotaBurst: 72_000, QuotaCountsTokens: true})
	}
	f.ledgers, f.ledgerRuns = make([]*quota.Ledger, 2), make([]uint64, 2)
	for i := range f.ledgers {
		f.startLedger(i)
	}
	for i := range size {
		f.runs, f.startedAt = append(f.runs, uint64(i+1)), append(f.startedAt, start)
		f.limiters, f.reporters = append(f.limiters, nil), append(f.reporters, nil)
		f.startProcess(start, i, f.options)
		f.at(reportInterval*time.Duration(i)/time.Duration(size)/scenarioTick*scenarioTick, func(now time.Time) { f.tick(now, i) })
	}
	return f
}

// startLedger starts a new process with a ledger.
func (f *selectiveFleet) startLedger(i int) {
	l := quota.NewLedger()
	l.SetOptions(f.options)
	l.SetWorkspaces(f.workspaces)
	f.ledgers[i] = l
	f.ledgerRuns[i] += uint64(10 + i)
}

func (f *selectiveFleet) startProcess(now time.Time, i int, options quota.Options) {
	f.limiters[i] = quota.New(options, func() int { return f.size })
	f.limiters[i].AddWorkspaces(now, f.workspaces)
	f.runs[i] += uint64(f.size)
	f.startedAt[i] = now
	f.reporters[i] = quota.NewReporter(f.limiters[i], f.runs[i], now)
}

// at calls do at a time, rounded up to the tick in which it falls.
func (f *selectiveFleet) at(at time.Duration, do func(now time.Time)) {
	at = (at + scenarioTick - 1) / scenarioTick * scenarioTick
	f.events[at] = append(f.events[at], do)
}

func (f *selectiveFleet) tick(now time.Time, i int) {
	f.at(f.now+reportInterval, func(now time.Time) { f.tick(now, i) })
	if f.reporters[i].Due(now) {
		f.report(now, i)
	}
}

func (f *selectiveFleet) report(now time.Time, i int) {
	ledger := f.ledgerOf(f.now, i)
	if ledger == noLedger {
		return
	}
	scheduler := fmt.Sprint("scheduler-", ledger)
	r := f.reporters[i].Report(now, scheduler)
	f.messages++
	f.entries += len(r.Used) + len(r.Follows) + len(r.Needs) + len(r.Levels)
	if f.loses(f.now, i) {
		return
	}
	reporter := f.reporters[i]
	f.at(f.now+f.delay, func(now time.Time) {
		l := f.ledgers[ledger]
		l.Report(now, fmt.Sprint(i), r)
		t, ok := l.Answer(now, fmt.Sprint(i), r, f.ledgerRuns[ledger], f.size)
		if !ok || f.loses(f.now, i) {
			return
		}
		f.messages++
		f.entries += len(t.OthersUsed) + len(t.Levels) + len(t.OwnUsed)
		f.at(f.now+f.delay, func(now time.Time) { reporter.Apply(now, scheduler, t) })
	})
}

// request asks for the cost of a workspace at a gateway, and holds it while the level is
// unknown.
func (f *selectiveFleet) request(now time.Time, i, workspace int, cost float64) {
	w := &f.workspaces[workspace]
	ok, _ := f.limiters[i].Take(now, w, cost)
	select {
	case <-f.limiters[i].Wake():
		f.report(now, i)
	default:
	}
	switch {
	case ok:
		ticks := f.taken[w.Name]
		for len(ticks) <= int(f.now/scenarioTick) {
			ticks = append(ticks, 0)
		}
		ticks[f.now/scenarioTick] += cost
		f.taken[w.Name] = ticks
	case f.limiters[i].Settles(now, w):
		f.at(f.now+2*scenarioTick, func(now time.Time) { f.request(now, i, workspace, cost) })
	default:
		f.refused[w.Name]++
	}
}

// play runs the events, and in each tick the requests that offer returns.
func (f *selectiveFleet) play(length time.Duration, offer func(now time.Time)) {
	for end := f.now + length; f.now < end; f.now += scenarioTick {
		now := start.Add(f.now)
		for len(f.events[f.now]) > 0 {
			due := f.events[f.now]
			f.events[f.now] = nil
			for _, do := range due {
				do(now)
			}
		}
		delete(f.events, f.now)
		offer(now)
	}
}

// spread offers requests of 2,000 at random gateways and of random workspaces, a number for
// each gateway and second.
func (f *selectiveFleet) spread(perGateway float64) func(now time.Time) {
	backlog := 0.0
	return func(now time.Time) {
		for backlog += perGateway * float64(f.size) * scenarioTick.Seconds(); backlog >= 1; backlog-- {
			f.requests++
			f.request(now, f.rng.IntN(f.size), f.rng.IntN(selectiveWorkspaces), 2000)
		}
	}
}

// most returns the most that a workspace was charged in any window.
func (f *selectiveFleet) most(name string) float64 {
	return (&result{taken: f.taken[name]}).most(window)
}

func (f *selectiveFleet) refusals() int {
	sum := 0
	for _, n := range f.refused {
		sum += n
	}
	return sum
}

// Guards against totals that grow with the product of gateways and workspaces: what each
// gateway exchanges is bounded by the requests that it serves. It follows the workspaces of
// the last five seconds, of which each report and each totals state one figure at most, and
// what it follows is stated and told anew for each request.
func TestReportsAndTotalsAreBoundedByTheRequestsOfAGateway(t *testing.T) {
	const perSecond, followedFor, reportsPerSecond = 3.0, 5.0, 10.0
	for _, size := range []int{100, 350, 700} {
		f := newSelectiveFleet(size)
		f.play(6*time.Second, f.spread(perSecond))
		require.Zero(t, f.refusals(), "%d gateways", size)
		gatewaySeconds := float64(size) * f.now.Seconds()
		messages, entries := float64(f.messages)/gatewaySeconds, float64(f.entries)/gatewaySeconds
		t.Logf("%d gateways: %.1f messages and %.1f entries a second and gateway", size, messages, entries)
		require.LessOrEqual(t, messages, 2*(reportsPerSecond+perSecond), "%d gateways", size)
		require.LessOrEqual(t, entries, perSecond*followedFor*reportsPerSecond, "%d gateways", size)
	}
}

// Guards against gateways that refuse by their even part of a quota because the level of a
// workspace is not known there.
func TestFirstRequestsOfAWorkspaceAtAGatewayAreNotRefused(t *testing.T) {
	f := newSelectiveFleet(350)
	f.play(time.Second, func(time.Time) {})
	requests, backlog := 0, 0.0
	f.play(10*time.Second, func(now time.Time) {
		for backlog += 0.8 * f.workspaces[0].QuotaPerSecond * scenarioTick.Seconds(); backlog > 0; backlog -= 2000 {
			f.request(now, requests%f.size, 0, 2000)
			requests++
		}
	})
	require.Positive(t, requests)
	require.Zero(t, f.refusals())
}

// Guards against a workspace that exceeds its quota because the gateways do not follow it
// before its first request: it presses on all of them at once.
func TestWorkspaceThatPressesOnAllGatewaysStaysWithinTheBound(t *testing.T) {
	for _, size := range []int{50, 350} {
		f := newSelectiveFleet(size)
		press := f.press(12)
		f.play(time.Second, func(time.Time) {})
		f.play(16*time.Second, press)
		w := &f.workspaces[0]
		require.LessOrEqual(t, f.most(w.Name), bound(w), "%d gateways", size)
		require.Greater(t, f.most(w.Name), 0.9*(w.QuotaPerSecond*window.Seconds()), "%d gateways", size)
	}
}

// press offers requests of 2,000 of the first workspace at all gateways, at a multiple of its
// rate.
func (f *selectiveFleet) press(times float64) func(now time.Time) {
	backlog := 0.0
	return func(now time.Time) {
		for backlog += times * f.workspaces[0].QuotaPerSecond * scenarioTick.Seconds(); backlog > 0; backlog -= 2000 {
			f.request(now, f.rng.IntN(f.size), 0, 2000)
		}
	}
}

// Guards against usage that is lost with a message, and against a new scheduler whose ledger
// takes all buckets as full.
func TestBoundHoldsWhileMessagesAreLostAndSchedulersChange(t *testing.T) {
	for seed := range uint64(6) {
		f := newSelectiveFleet(100)
		f.rng = rand.New(rand.NewPCG(seed, 7))
		f.loses = func(time.Duration, int) bool { return f.rng.IntN(4) == 0 }
		f.ledgerOf = func(at time.Duration, _ int) int {
			switch phase := at % (5 * time.Second); {
			case phase < 300*time.Millisecond && at > time.Second:
				return noLedger
			default:
				return int(at/(5*time.Second)) % 2
			}
		}
		f.play(time.Second, func(time.Time) {})
		f.play(20*time.Second, f.press(6))
		w := &f.workspaces[0]
		require.LessOrEqual(t, f.most(w.Name), bound(w), "seed %d", seed)
	}
}

// Guards against gateways that stop serving a workspace because the ledger's process was
// replaced and no longer tells them of it.
func TestWorkspacesAreServedAfterTheLedgerWasReplaced(t *testing.T) {
	f := newSelectiveFleet(100)
	offer := f.spread(3)
	f.play(3*time.Second, offer)
	f.startLedger(0)
	f.play(3*time.Second, offer)
	require.Zero(t, f.refusals())
}

// Guards against a restart of all gateways after which each has its even part of a quota only,
// less than one request.
func TestRestartOfAllGatewaysServesWithinTheQuota(t *testing.T) {
	f := newSelectiveFleet(350)
	offer := f.spread(3)
	f.play(3*time.Second, offer)
	options := f.options
	options.StartFull = false
	f.options = options
	f.startLedger(0)
	for i := range f.size {
		f.startProcess(start.Add(f.now), i, options)
	}
	f.play(300*time.Millisecond, func(time.Time) {})
	served := f.requests
	f.play(3*time.Second, offer)
	require.LessOrEqual(t, float64(f.refusals()), 0.01*float64(f.requests-served))
}

// Guards against a gateway without requests whose reports are so rare that it counts as gone:
// looks for what is due come late by some milliseconds.
func TestIdleGatewayReportsInTime(t *testing.T) {
	f := newSelectiveFleet(50)
	reporter, last := f.reporters[0], start
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(reportInterval + time.Duration(f.rng.IntN(5)-2)*time.Millisecond) {
		if reporter.Due(now) {
			require.LessOrEqual(t, now.Sub(last), 210*time.Millisecond)
			reporter.Report(now, "scheduler")
			last = now
		}
	}
	require.WithinDuration(t, start.Add(10*time.Second), last, 300*time.Millisecond)
}

// Guards against a sequence of splits, lost messages and restarts that lets a workspace which
// is followed at its first request only exceed the bound.
func TestNoSequenceExceedsTheBoundOfAFollowedWorkspace(t *testing.T) {
	for seed := range uint64(10) {
		f := newSelectiveFleet(40)
		f.rng = rand.New(rand.NewPCG(seed, 11))
		half := func(at time.Duration) int { return int(at / (500 * time.Millisecond)) }
		var most, others, lossy, load [64]int
		for i := range most {
			most[i] = []int{0, 0, 0, 0, 1, noLedger}[f.rng.IntN(6)]
			others[i] = []int{0, 0, 0, 1, 1, noLedger}[f.rng.IntN(6)]
			lossy[i] = []int{0, 0, 3}[f.rng.IntN(3)]
			load[i] = []int{0, 1, 1, 3, 12}[f.rng.IntN(5)]
		}
		group := f.rng.IntN(f.size)
		f.ledgerOf = func(at time.Duration, i int) int {
			if i < group {
				return others[half(at)]
			}
			return most[half(at)]
		}
		f.loses = func(at time.Duration, _ int) bool { return lossy[half(at)] > 0 && f.rng.IntN(lossy[half(at)]) == 0 }
		backlog := 0.0
		offer := func(now time.Time) {
			for backlog += float64(load[half(f.now)]) * f.workspaces[0].QuotaPerSecond * scenarioTick.Seconds(); backlog > 0; backlog -= 2000 {
				f.request(now, f.rng.IntN(f.size), 0, 2000)
			}
		}
		f.play(6*time.Second, offer)
		options := f.options
		options.StartFull = false
		for range f.size / 4 {
			f.startProcess(start.Add(f.now), f.rng.IntN(f.size), options)
		}
		f.play(6*time.Second, offer)
		w := &f.workspaces[0]
		require.LessOrEqual(t, f.most(w.Name), bound(w), "seed %d", seed)
	}
}

// Guards against a gateway that refuses by its even part while the scheduler runs an earlier
// build, which tells no levels and reads reports with what has changed.
func TestGatewayServesBesideASchedulerOfAnEarlierBuild(t *testing.T) {
	f := newSelectiveFleet(100)
	former, run := quota.NewLedger(), uint64(99)
	exchange := func(now time.Time, i int) {
		r := f.reporters[i].Report(now, "scheduler")
		former.Report(now, fmt.Sprint(i), quota.Report{Run: r.Run, Age: r.Age, Used: r.Used})
		f.reporters[i].Apply(now, "scheduler", former.Totals(now, fmt.Sprint(i), run, f.size))
	}
	for i := range f.size {
		exchange(start, i)
	}
	w := &f.workspaces[0]
	taken := 0.0
	for n := range 40 {
		now := start.Add(time.Duration(n) * reportInterval)
		ok, _ := f.limiters[1].Take(now, w, 2000)
		if !ok {
			require.True(t, f.limiters[1].Settles(now, w))
			exchange(now, 1)
			ok, _ = f.limiters[1].Take(now, w, 2000)
		}
		require.True(t, ok)
		taken += 2000
		for i := range f.size {
			exchange(now, i)
		}
	}
	require.InDelta(t, taken, former.Totals(start.Add(4*time.Second), "0", run, f.size).OthersUsed[w.Name], 0)
}

// Guards against a scheduler that was silent for seconds, takes all buckets as full and tells
// that to gateways to which callers have moved meanwhile.
func TestBoundHoldsWhenCallersMoveAfterASilenceOfTheScheduler(t *testing.T) {
	for _, silence := range []time.Duration{1200 * time.Millisecond, 2 * time.Second} {
		f := newSelectiveFleet(100)
		// The bucket takes ten seconds to fill, so that the pause does not explain a full one.
		f.workspaces[0].QuotaBurst = 10 * f.workspaces[0].QuotaPerSecond
		for i := range f.ledgers {
			f.startLedger(i)
		}
		const busy = 2 * time.Second
		f.ledgerOf = func(at time.Duration, _ int) int {
			if at >= busy && at < busy+silence {
				return noLedger
			}
			return 0
		}
		backlog := 0.0
		f.play(busy+silence+6*time.Second, func(now time.Time) {
			for backlog += 30 * f.workspaces[0].QuotaPerSecond * scenarioTick.Seconds(); backlog > 0; backlog -= 2000 {
				gateway := f.rng.IntN(f.size / 2)
				if f.now >= busy+silence+300*time.Millisecond {
					gateway += f.size / 2
				}
				f.request(now, gateway, 0, 2000)
			}
		})
		w := &f.workspaces[0]
		t.Logf("silence of %s: %.0f of %.0f", silence, f.most(w.Name), bound(w))
		require.LessOrEqual(t, f.most(w.Name), bound(w), "silence of %s", silence)
	}
}
