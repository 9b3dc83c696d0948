package board_test

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// offeredLoad is the load of one workspace: requests a second of a tier.
type offeredLoad struct {
	workspace string
	tier      int
	perSecond float64
}

// servedShare is what came of the requests of one workspace.
type servedShare struct{ asked, served int }

func (s servedShare) share() float64 { return float64(s.served) / float64(s.asked) }

// ending is the moment at which a stream ends or starts.
type ending struct {
	at      time.Time
	id      string
	started bool
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// emulation plays random arrivals of several workspaces against a scheduler. Streams start
// after 100 ms and last the given time in the mean.
type emulation struct {
	load      []offeredLoad
	engines   int
	slots     int
	mean      time.Duration
	seconds   int
	seed      uint64
	anonymous bool
	// replaceAt is when another scheduler takes over; the gateways report what they hold.
	replaceAt time.Duration
	// inspect is called after each step with the waiting requests and the number of held
	// slots.
	inspect func(now time.Time, waiting map[string]board.SlotRequest, held int)
}

func (m emulation) run() map[string]servedShare {
	rng := rand.New(rand.NewPCG(m.seed, 7))
	b := board.New()
	b.SetUpstreams(startTime, newEngines(m.engines, m.slots))
	results := make(map[string]servedShare)
	names := make(map[string]string)
	waiting, held := make(map[string]board.SlotRequest), make(map[string]board.HeldSlot)
	started := make(map[string]bool)
	var ends endings
	next := make([]time.Time, len(m.load))
	gap := func(i int) time.Duration {
		return time.Duration(rng.ExpFloat64() / m.load[i].perSecond * float64(time.Second))
	}
	for i := range next {
		next[i] = startTime.Add(gap(i))
	}
	const step = time.Millisecond
	n := 0
	replaced := m.replaceAt == 0
	requests := make(map[string]board.SlotRequest)
	for now := startTime; now.Before(startTime.Add(time.Duration(m.seconds) * time.Second)); now = now.Add(step) {
		if !replaced && now.Sub(startTime) >= m.replaceAt {
			replaced = true
			b = board.New()
			b.SetUpstreams(now, newEngines(m.engines, m.slots))
			var slots []board.HeldSlot
			for _, id := range slices.Sorted(maps.Keys(held)) {
				h := held[id]
				h.Started = started[id]
				slots = append(slots, h)
			}
			b.Reconcile(now, "gateway", slots)
			for _, id := range slices.Sorted(maps.Keys(waiting)) {
				b.Submit(now, waiting[id])
			}
		}
		for len(ends) > 0 && !ends[0].at.After(now) {
			end := heap.Pop(&ends).(ending)
			if end.started {
				started[end.id] = true
				b.Started(now, "gateway", end.id, -1)
				continue
			}
			delete(held, end.id)
			b.Release(now, "gateway", end.id, board.SlotResult{Outcome: board.Answered})
		}
		for i, l := range m.load {
			for ; !next[i].After(now); next[i] = next[i].Add(gap(i)) {
				id := strconv.Itoa(n)
				n++
				names[id] = l.workspace
				req := newSlotRequest(now, "gateway", id)
				req.Workspace, req.Tier, req.EventGapTarget = l.workspace, l.tier, 0
				if m.anonymous {
					req.Workspace = ""
				}
				r := results[l.workspace]
				r.asked++
				results[l.workspace] = r
				requests[id] = req
				b.Submit(now, req)
			}
		}
		if now.Sub(startTime)%board.TickInterval == 0 {
			b.Tick(now)
		}
		for _, d := range b.Decisions() {
			delete(waiting, d.ID)
			switch {
			case d.Waiting:
				waiting[d.ID] = requests[d.ID]
			case d.Upstream != "":
				r := results[names[d.ID]]
				r.served++
				results[names[d.ID]] = r
				held[d.ID] = board.HeldSlot{ID: d.ID, Upstream: d.Upstream, Workspace: requests[d.ID].Workspace, Tier: requests[d.ID].Tier, PromptTokens: 1000, OutputTokens: 100}
				heap.Push(&ends, ending{at: now.Add(100 * time.Millisecond), id: d.ID, started: true})
				heap.Push(&ends, ending{at: now.Add(100*time.Millisecond + m.length(d.ID)), id: d.ID})
			}
		}
		if m.inspect != nil {
			m.inspect(now, waiting, len(held))
		}
	}
	return results
}

// length returns the time from the first event of a request to the last: half to one and a half
// times the mean, whatever the order of the requests.
func (m emulation) length(id string) time.Duration {
	n, _ := strconv.ParseUint(id, 10, 64)
	return time.Duration((0.5 + rand.New(rand.NewPCG(m.seed, n)).Float64()) * float64(m.mean))
}

func totalServed(results map[string]servedShare) int {
	total := 0
	for _, r := range results {
		total += r.served
	}
	return total
}

// fourWorkspaces is the load of the page: of four workspaces of one tier, the first asks
// twelve times as much as each of the others. Together they ask three times what six engines
// of four slots serve in streams of 1.2 s.
func fourWorkspaces() emulation {
	return emulation{
		load:    []offeredLoad{{"a", 0, 48}, {"b", 0, 4}, {"c", 0, 4}, {"d", 0, 4}},
		engines: 6, slots: 4, mean: 1100 * time.Millisecond, seconds: 60,
	}
}

// requireDivided checks that the workspaces that ask for less than their share have 0.85 of their
// requests served, and that as many are served in all as by due moment alone.
func requireDivided(t *testing.T, m emulation, below ...string) {
	divided, alone := 0, 0
	for m.seed = range uint64(3) {
		results := m.run()
		for _, name := range below {
			require.GreaterOrEqual(t, results[name].share(), 0.85, "%s of %v, seed %d", name, results, m.seed)
		}
		divided += totalServed(results)
		byDue := m
		byDue.anonymous = true
		alone += totalServed(byDue.run())
	}
	// The streams that the slots hold at the end are of unlike age.
	require.GreaterOrEqual(t, divided+m.engines*m.slots, alone)
}

// Guards against a workspace that takes nearly all slots because it asks for most.
func TestWorkspacesBelowTheirShareAreServedBesideOneThatPresses(t *testing.T) {
	requireDivided(t, fourWorkspaces(), "b", "c", "d")
}

// Guards against workspaces that overload the service together and take the share of those that do not.
func TestWorkspacesBelowTheirShareAreServedBesideSeveralThatPress(t *testing.T) {
	m := fourWorkspaces()
	m.load = []offeredLoad{{"a", 0, 30}, {"b", 0, 20}, {"c", 0, 4}, {"d", 0, 4}}
	requireDivided(t, m, "c", "d")
}

// Guards against a new scheduler under which the division ends or takes long to return.
func TestDivisionGoesOnAfterAChangeOfScheduler(t *testing.T) {
	m := fourWorkspaces()
	m.seconds, m.replaceAt = 20, 10*time.Second
	requireDivided(t, m, "b", "c", "d")
}

// Guards against capacity that is kept for workspaces that do not ask for it: one that is alone
// gets all of it, as without a workspace.
func TestLoneWorkspaceUsesAllCapacity(t *testing.T) {
	m := fourWorkspaces()
	m.load = []offeredLoad{{"a", 0, 48}}
	requireDivided(t, m)
}

// Guards against capacity that is divided equally among unequal demand: what a workspace leaves
// goes to those that ask for more, in equal parts (max-min).
func TestDemandIsMetUpToAnEqualLevel(t *testing.T) {
	m := fourWorkspaces()
	m.load = []offeredLoad{{"a", 0, 40}, {"b", 0, 20}, {"c", 0, 3}, {"d", 0, 1.5}}
	results := m.run()
	for _, name := range []string{"c", "d"} {
		require.GreaterOrEqual(t, results[name].share(), 0.85, "%v", results)
	}
	require.InEpsilon(t, results["a"].served, results["b"].served, 0.15, "%v", results)
}

// Guards against slots that stay free while requests wait, and against a tier that is served worse
// than a lower one, or worse than by due moment alone, with random loads. All requests suit all
// engines here.
func TestRandomLoadsKeepSlotsBusyAndTiersInOrder(t *testing.T) {
	divided, byDue := make(map[int]servedShare), make(map[int]servedShare)
	edge := 0
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 3))
		m := emulation{engines: 1 + rng.IntN(6), slots: 1 + rng.IntN(6), mean: 400 * time.Millisecond, seconds: 10, seed: seed}
		for i := range 2 + rng.IntN(6) {
			m.load = append(m.load, offeredLoad{workspace: strconv.Itoa(i), tier: rng.IntN(2) * 2, perSecond: 1 + 40*rng.Float64()*rng.Float64()})
		}
		edge += m.engines * m.slots
		m.inspect = func(now time.Time, waiting map[string]board.SlotRequest, held int) {
			for _, req := range waiting {
				// A late request waits for a spare slot, and one whose time is nearly over
				// may not start in time beside others.
				if req.NextEventDue.Sub(now) > 400*time.Millisecond {
					require.Equal(t, m.engines*m.slots, held, "seed %d: a slot is free while %s waits", seed, req.ID)
				}
			}
		}
		addByTier(divided, m)
		m.anonymous = true
		addByTier(byDue, m)
	}
	require.GreaterOrEqual(t, divided[0].share(), divided[2].share())
	require.GreaterOrEqual(t, divided[0].served+edge, byDue[0].served)
	require.GreaterOrEqual(t, divided[2].served+edge, byDue[2].served)
}

// addByTier plays the load and adds what came of the requests of each tier.
func addByTier(sums map[int]servedShare, m emulation) {
	results := m.run()
	for _, l := range m.load {
		sum := sums[l.tier]
		sum.asked, sum.served = sum.asked+results[l.workspace].asked, sum.served+results[l.workspace].served
		sums[l.tier] = sum
	}
}

// Guards against a large workspace of a higher tier that goes after small ones of a lower one
// because it used more.
func TestHigherTierThatPressesGoesBeforeALowerOne(t *testing.T) {
	m := fourWorkspaces()
	m.load = []offeredLoad{{"a", 0, 18}, {"b", 2, 4}, {"c", 2, 4}, {"d", 2, 4}}
	results := m.run()
	m.anonymous = true
	byDue := m.run()
	require.Greater(t, results["a"].share(), results["b"].share())
	require.GreaterOrEqual(t, results["a"].served+m.engines*m.slots, byDue["a"].served)
}
