package local_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/load"
	"github.com/persimmonridge/persimmonridge/internal/sched/local"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

var startTime = time.Unix(1_000_000, 0)

// offeredLoad is the load of one workspace: requests a second of a tier.
type offeredLoad struct {
	workspace string
	tier      int
	perSecond float64
}

type servedShare struct {
	asked, served int
	// work is the time that the served requests take.
	work time.Duration
}

func (s servedShare) share() float64 { return float64(s.served) / float64(s.asked) }

// emulation plays random arrivals of several workspaces against gateways that have no
// scheduler. The upstreams decline what they have neither a slot nor room in their queue for,
// and a declined request is sent once more.
type emulation struct {
	load             []offeredLoad
	upstreams        int
	slots, queue     int
	mean             time.Duration
	generation       bool
	gateways, called int
	seconds          int
	seed             uint64
	anonymous        bool
	// statesPace is set if the upstreams state their pace, which is the usual one.
	statesPace bool
}

// upstream is an emulated upstream.
type upstream struct {
	running int
	// ends holds when its slots become free, one of each request that runs or waits.
	ends []time.Time
}

type sent struct {
	placement flow.Placement
	upstream  *upstream
	end       time.Time
}

func (m emulation) run(t *testing.T) map[string]servedShare {
	rng := rand.New(rand.NewPCG(m.seed, 11))
	ups := make(map[string]*upstream)
	var ready []roster.Upstream
	for i := range m.upstreams {
		id := strconv.Itoa(i)
		ups[id] = &upstream{}
		ready = append(ready, roster.Upstream{ID: id, Slots: m.slots})
	}
	var choosers []*local.Chooser
	for range m.gateways {
		choosers = append(choosers, local.New("a", func(string) []roster.Upstream { return ready }, func() int { return m.gateways }))
		if m.statesPace {
			draws := rand.New(rand.NewPCG(m.seed, uint64(len(choosers))))
			choosers[len(choosers)-1].SetLoads(load.New("gateway"), local.NoEngines)
			choosers[len(choosers)-1].SetDraw(draws.IntN)
		}
	}
	results := make(map[string]servedShare)
	next := make([]time.Time, len(m.load))
	gap := func(i int) time.Duration {
		return time.Duration(rng.ExpFloat64() / m.load[i].perSecond * float64(time.Second))
	}
	for i := range next {
		next[i] = startTime.Add(gap(i))
	}
	var running []sent
	n := uint64(0)
	for now := startTime; now.Before(startTime.Add(time.Duration(m.seconds) * time.Second)); now = now.Add(time.Millisecond) {
		running = slices.DeleteFunc(running, func(s sent) bool {
			if s.end.After(now) {
				return false
			}
			s.upstream.running--
			s.placement.ReportLoad(now, m.stated(s.upstream.running))
			s.placement.Release(now, flow.Answered, 0)
			return true
		})
		for i, l := range m.load {
			for ; !next[i].After(now); next[i] = next[i].Add(gap(i)) {
				n++
				req := flow.PlacementRequest{ID: strconv.FormatUint(n, 10), Service: "s", Workspace: l.workspace, Tier: l.tier}
				if m.anonymous {
					req.Workspace = ""
				}
				if m.generation {
					req.PromptTokens, req.OutputTokens = 1000, 60
				}
				length := time.Duration((0.5 + rand.New(rand.NewPCG(m.seed, n)).Float64()) * float64(m.mean))
				r := results[l.workspace]
				r.asked++
				if s, ok := m.send(t, now, choosers[int(n)%m.called], ups, req, length); ok {
					r.served++
					r.work += length
					running = append(running, s)
				}
				results[l.workspace] = r
			}
		}
	}
	return results
}

// stated returns the load that an upstream with the number of requests states.
func (m emulation) stated(requests int) exchange.Load {
	l := exchange.Load{Running: min(requests, m.slots), Waiting: max(0, requests-m.slots), Slots: m.slots}
	if m.statesPace {
		l.Pace = 1
	}
	return l
}

// send sends the request, and once more if an upstream declines it.
func (m emulation) send(t *testing.T, now time.Time, c *local.Chooser, ups map[string]*upstream, req flow.PlacementRequest, length time.Duration) (sent, bool) {
	for range 2 {
		p, err := c.Pick(t.Context(), now, req)
		if err != nil {
			return sent{}, false
		}
		id := p.Upstream().ID
		u := ups[id]
		if u.running >= m.slots+m.queue {
			p.ReportLoad(now, m.stated(u.running))
			p.Release(now, flow.Declined, 0)
			req.ExcludedUpstreams, req.Resent = append(req.ExcludedUpstreams, id), true
			continue
		}
		u.running++
		u.ends = slices.DeleteFunc(u.ends, func(at time.Time) bool { return !at.After(now) })
		slices.SortFunc(u.ends, time.Time.Compare)
		begin := now
		if len(u.ends) >= m.slots {
			begin = u.ends[len(u.ends)-m.slots]
		}
		u.ends = append(u.ends, begin.Add(length))
		return sent{p, u, begin.Add(length)}, true
	}
	return sent{}, false
}

// plainService is a load of a plain service, and engines one of engines without a scheduler: the
// requests are three times what the upstreams serve.
func plainService(load []offeredLoad) emulation {
	m := emulation{upstreams: 3, slots: 6, queue: 24, mean: 15 * time.Millisecond, gateways: 3, seconds: 5}
	for _, l := range load {
		l.perSecond *= 60
		m.load = append(m.load, l)
	}
	return m
}

// pacedService is a load of a plain service whose upstreams state their pace.
func pacedService(load []offeredLoad) emulation {
	m := plainService(load)
	// Two seconds, some 2,400 served requests, keep the tests short under the race detector.
	m.statesPace, m.seconds = true, 2
	return m
}

func engines(load []offeredLoad) emulation {
	return emulation{load: load, upstreams: 6, slots: 4, mean: 1200 * time.Millisecond, generation: true, gateways: 3, seconds: 30}
}

var (
	// oneOverloads is the load of the page: one of four workspaces asks twelve times as much as
	// each of the others. In twoOverload, two of them ask that together.
	oneOverloads = []offeredLoad{{"a", 0, 48}, {"b", 0, 4}, {"c", 0, 4}, {"d", 0, 4}}
	twoOverload  = []offeredLoad{{"a", 0, 30}, {"b", 0, 20}, {"c", 0, 4}, {"d", 0, 4}}
)

// requireDivided checks, with callers at the given number of gateways, that workspaces that ask
// for less than their share have 0.85 of their requests served, and that as many are served in
// all as without workspaces.
func requireDivided(t *testing.T, m emulation, below ...string) {
	for _, m.called = range []int{m.gateways, 1} {
		divided := m.run(t)
		byDue := m
		byDue.anonymous = true
		alone := byDue.run(t)
		for _, name := range below {
			assert.GreaterOrEqual(t, divided[name].share(), 0.85, "%s of %v, callers at %d gateways", name, divided, m.called)
		}
		// Those that the upstreams hold at the end may be of unlike age.
		held := m.upstreams * (m.slots + m.queue)
		assert.GreaterOrEqual(t, totalServed(divided)+held, totalServed(alone), "%v, without workspaces %v, callers at %d gateways", divided, alone, m.called)
	}
}

func totalServed(results map[string]servedShare) int {
	total := 0
	for _, r := range results {
		total += r.served
	}
	return total
}

// Guards against a workspace that takes nearly all of a plain service because it asks for most.
func TestPlainServiceIsDividedAmongWorkspaces(t *testing.T) {
	t.Run("one overloads", func(t *testing.T) { requireDivided(t, plainService(oneOverloads), "b", "c", "d") })
	t.Run("two overload", func(t *testing.T) { requireDivided(t, plainService(twoOverload), "c", "d") })
}

// Guards against a workspace that takes nearly all of a plain service whose upstreams state their
// pace, for which gateways have no limit of their own, also if its queue is short.
func TestPlainServiceThatStatesItsPaceIsDividedAmongWorkspaces(t *testing.T) {
	for _, queue := range []int{24, 6} {
		one, two := pacedService(oneOverloads), pacedService(twoOverload)
		one.queue, two.queue = queue, queue
		t.Run("one overloads", func(t *testing.T) { requireWorkDivided(t, one, "b", "c", "d") })
		t.Run("two overload", func(t *testing.T) { requireWorkDivided(t, two, "c", "d") })
	}
}

// requireWorkDivided checks the same as requireDivided, but by the work of the requests that are
// served: their number differs by chance, because the requests are of unlike length.
func requireWorkDivided(t *testing.T, m emulation, below ...string) {
	for _, m.called = range []int{m.gateways, 1} {
		divided := m.run(t)
		byDue := m
		byDue.anonymous = true
		alone := byDue.run(t)
		for _, name := range below {
			assert.GreaterOrEqual(t, divided[name].share(), 0.85, "%s of %v, callers at %d gateways", name, divided, m.called)
		}
		held := time.Duration(m.upstreams*(m.slots+m.queue)) * m.mean
		assert.GreaterOrEqual(t, totalWork(divided)+held, totalWork(alone), "%v, without workspaces %v, callers at %d gateways", divided, alone, m.called)
	}
}

func totalWork(results map[string]servedShare) time.Duration {
	total := time.Duration(0)
	for _, r := range results {
		total += r.work
	}
	return total
}

// Guards against workspaces of a lower tier that get the room which workspaces of a higher tier
// leave each other in the queues of upstreams that state their pace.
func TestDivisionInAHigherTierLeavesNoRoomToALowerOne(t *testing.T) {
	for _, load := range [][]offeredLoad{
		{{"a", 0, 48}, {"b", 0, 4}, {"c", 2, 4}, {"d", 2, 4}},
		{{"a", 0, 30}, {"b", 0, 20}, {"c", 2, 8}},
		{{"a", 0, 40}, {"c", 2, 10}, {"d", 2, 10}},
	} {
		m := pacedService(load)
		for _, m.called = range []int{m.gateways, 1} {
			results := m.run(t)
			byDue := m
			byDue.anonymous = true
			alone := byDue.run(t)
			for _, l := range load {
				if l.tier == 2 {
					// Choices differ by chance.
					const chance = 0.05
					require.LessOrEqual(t, results[l.workspace].share(), alone[l.workspace].share()+chance, "%v, without workspaces %v", results, alone)
				}
			}
		}
	}
}

// Guards against a workspace that is alone at a plain service that states its pace and is kept
// from a part of it.
func TestSingleWorkspaceAtAServiceThatStatesItsPaceIsServedAsWithoutAny(t *testing.T) {
	m := pacedService([]offeredLoad{{"a", 0, 60}})
	m.called = m.gateways
	byDue := m
	byDue.anonymous = true
	require.Equal(t, byDue.run(t), m.run(t))
}

// Guards against a workspace that takes nearly all engines while no scheduler can be asked.
func TestEnginesAreDividedAmongWorkspacesWithoutAScheduler(t *testing.T) {
	t.Run("one overloads", func(t *testing.T) { requireDivided(t, engines(oneOverloads), "b", "c", "d") })
	t.Run("two overload", func(t *testing.T) { requireDivided(t, engines(twoOverload), "c", "d") })
}

// Guards against workspaces of a lower tier that are served in place of one of a higher tier that
// presses.
func TestHigherTierThatPressesIsNotShedBeforeALowerOne(t *testing.T) {
	load := []offeredLoad{{"a", 0, 48}, {"b", 0, 4}, {"c", 2, 4}, {"d", 2, 4}}
	for name, m := range map[string]emulation{"plain service": plainService(load), "engines": engines(load)} {
		for _, m.called = range []int{m.gateways, 1} {
			byDue := m
			byDue.anonymous = true
			divided, alone := m.run(t), byDue.run(t)
			// Choices differ by chance.
			const chance = 0.05
			for _, lower := range []string{"c", "d"} {
				require.LessOrEqual(t, divided[lower].share(), alone[lower].share()+chance, "%s: %v, without workspaces %v", name, divided, alone)
			}
		}
	}
}

// Guards against choices that change for a single workspace: they are those without any.
func TestChoicesWithASingleWorkspaceAreAsWithoutAny(t *testing.T) {
	for _, m := range []emulation{plainService([]offeredLoad{{"a", 0, 60}}), engines([]offeredLoad{{"a", 0, 60}})} {
		m.called = m.gateways
		byDue := m
		byDue.anonymous = true
		require.Equal(t, byDue.run(t), m.run(t))
	}
}

// Guards against an engine slot that is taken by a workspace with more than its share while
// another needs it, and against one that stays free once the other sends nothing any more.
func TestSlotIsKeptForAWorkspaceBelowItsShareWhileItSendsRequests(t *testing.T) {
	ready := []roster.Upstream{{ID: "one", Slots: 8}}
	chooser := local.New("a", func(string) []roster.Upstream { return ready }, func() int { return 4 })
	pick := func(at time.Duration, workspace string) (flow.Placement, error) {
		return chooser.Pick(t.Context(), startTime.Add(at), flow.PlacementRequest{Service: "s", Workspace: workspace, PromptTokens: 1})
	}
	fill := func(at time.Duration, workspace string) (placements []flow.Placement) {
		for p, err := pick(at, workspace); err == nil; p, err = pick(at, workspace) {
			placements = append(placements, p)
		}
		return placements
	}
	small := fill(0, "small")
	for _, p := range small {
		p.Release(startTime.Add(2*time.Second), flow.Answered, 0)
	}
	large := fill(2*time.Second, "large")
	require.Len(t, large, len(small), "what small does not use is lent")
	_, err := pick(2*time.Second, "small")
	require.Error(t, err)

	large[0].Release(startTime.Add(2100*time.Millisecond), flow.Answered, 0)
	_, err = pick(2200*time.Millisecond, "large")
	require.Error(t, err, "the slot is kept")
	_, err = pick(2200*time.Millisecond, "small")
	require.NoError(t, err)

	large[1].Release(startTime.Add(2300*time.Millisecond), flow.Answered, 0)
	_, err = pick(3400*time.Millisecond, "large")
	require.NoError(t, err, "small has sent nothing for a second")
}

// Guards against a refusal for the sake of other workspaces while an upstream that was not drawn
// has free slots.
func TestRoomAtAnUpstreamThatWasNotDrawnIsUsed(t *testing.T) {
	ready := make([]roster.Upstream, 3)
	for i := range ready {
		ready[i] = roster.Upstream{ID: strconv.Itoa(i), Service: "s", Slots: 6, StartedAtMs: 1}
	}
	chooser := local.New("a", func(string) []roster.Upstream { return ready }, func() int { return 3 })
	chooser.SetLoads(load.New("gateway"), local.NoEngines)
	excludedBut := func(i int) []string { return slices.Delete([]string{"0", "1", "2"}, i, i+1) }
	pick := func(workspace string, excluded []string, draws ...int) (flow.Placement, error) {
		chooser.SetDraw(func(int) int {
			drawn := draws[0]
			draws = draws[1:]
			return drawn
		})
		return chooser.Pick(t.Context(), startTime, flow.PlacementRequest{Service: "s", Workspace: workspace, ExcludedUpstreams: excluded})
	}
	for i, stated := range []exchange.Load{{Running: 6, Waiting: 24, Pace: 1}, {Running: 6, Waiting: 24, Pace: 1}, {Running: 1, Pace: 1}} {
		p, err := pick("large", excludedBut(i), 0)
		require.NoError(t, err)
		p.ReportLoad(startTime, stated)
		if i == 0 {
			p.Release(startTime, flow.Declined, 0)
		}
	}
	_, err := pick("small", nil, 0, 0)
	require.NoError(t, err)
	p, err := pick("large", nil, 0, 0)
	require.NoError(t, err)
	require.Equal(t, "2", p.Upstream().ID)
}

// Guards against upstreams that cannot be reached and count as free: while a quarter of the
// engines is down, nothing would be kept for workspaces below their share.
func TestUnreachableUpstreamIsNoCapacityToDivide(t *testing.T) {
	ready := []roster.Upstream{{ID: "one", Slots: 8}, {ID: "down", Slots: 8}}
	chooser := local.New("a", func(string) []roster.Upstream { return ready }, func() int { return 4 })
	pick := func(at time.Duration, workspace string, excluded ...string) (flow.Placement, error) {
		req := flow.PlacementRequest{Service: "s", Workspace: workspace, PromptTokens: 1, ExcludedUpstreams: excluded}
		return chooser.Pick(t.Context(), startTime.Add(at), req)
	}
	var small, large []flow.Placement
	for p, err := pick(0, "small", "down"); err == nil; p, err = pick(0, "small", "down") {
		small = append(small, p)
	}
	for range 5 {
		p, err := pick(2*time.Second, "small", "one")
		require.NoError(t, err)
		p.Release(startTime.Add(2*time.Second), flow.Unreachable, 0)
	}
	for _, p := range small {
		p.Release(startTime.Add(2*time.Second), flow.Answered, 0)
	}
	for p, err := pick(3100*time.Millisecond, "large"); err == nil; p, err = pick(3100*time.Millisecond, "large") {
		large = append(large, p)
	}
	require.Len(t, large, len(small), "what small does not use is lent")
	_, err := pick(3100*time.Millisecond, "small")
	require.Error(t, err)

	large[0].Release(startTime.Add(3200*time.Millisecond), flow.Answered, 0)
	_, err = pick(3300*time.Millisecond, "large")
	require.Error(t, err, "the slot is kept")
	_, err = pick(3300*time.Millisecond, "small")
	require.NoError(t, err)
}
