package permit_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/sched/granter"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

const (
	randomGateways   = 2
	randomSchedulers = 3
	randomEngines    = 3
	randomSlots      = 2
	// maxDelay is the longest time of a message, and of a change until a gateway sees it.
	maxDelay = 12 * time.Millisecond
)

// slotUse is the use of one slot by a request.
type slotUse struct {
	engine string
	// current is set if the slot was granted by the gateway that was the scheduler then.
	current bool
}

// changes is a fleet whose scheduler changes and whose messages are delayed. Messages
// between two gateways keep their order.
type changes struct {
	t          *testing.T
	schedulers []*granter.Granter
	clients    []*permit.Client

	mu     sync.Mutex
	random *rand.Rand
	// arrivals holds the last arrival on each link, and seen the scheduler that each
	// gateway sees. current is the actual one.
	arrivals map[string]time.Time
	seen     []int
	current  int
	// grants holds the last grant to a request that its gateway received.
	grants map[string]slotUse
	used   map[string]slotUse
	// asks counts the slot requests for each request, and ended its results.
	asks, ended map[string]int
	overfilled  string
	// servedBy counts how requests ended.
	servedBy map[string]int
}

// deliver calls f after a random delay, in the order of the link.
func (c *changes) deliver(link string, f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	arrives := now.Add(time.Duration(c.random.Int64N(int64(maxDelay))))
	if last := c.arrivals[link]; !arrives.After(last) {
		arrives = last.Add(time.Microsecond)
	}
	c.arrivals[link] = arrives
	time.AfterFunc(arrives.Sub(now), f)
}

func (c *changes) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func newChanges(ctx context.Context, t *testing.T, seed uint64) *changes {
	c := &changes{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), arrivals: map[string]time.Time{}, seen: make([]int, randomGateways),
		grants: map[string]slotUse{}, used: map[string]slotUse{}, asks: map[string]int{}, ended: map[string]int{}, servedBy: map[string]int{},
	}
	var upstreams []board.Upstream
	for e := range randomEngines {
		upstreams = append(upstreams, board.Upstream{ID: fmt.Sprint("engine-", e), Service: "tutor", Domain: "a", Slots: randomSlots, TokensPerEvent: 6})
	}
	for s := range randomSchedulers {
		g := granter.New(time.Now, func(d board.Decision) { c.decided(s, d) }, slog.New(slog.DiscardHandler))
		g.SetUpstreams(upstreams)
		c.schedulers = append(c.schedulers, g)
		go func() { _ = g.Run(ctx) }()
	}
	for i := range randomGateways {
		c.clients = append(c.clients, permit.New(permit.Dependencies{
			Node: gatewayName(i), Domain: "a", Send: func(node string, e *wire.Envelope) bool { return c.send(i, node, e) },
			Scheduler: func(time.Time) string { return c.schedulerSeenBy(i) }, Local: localPicker{c},
			Upstream: func(id string) (roster.Upstream, bool) { return listedEngine(id), true },
			Service: func(string) *catalog.Service {
				return &catalog.Service{Name: "tutor", Engine: &catalog.Engine{Slots: randomSlots}}
			},
			Metrics: noMetrics{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
		}))
	}
	return c
}

func grantKey(id string, number uint64) string { return fmt.Sprintf("%s/%d", id, number) }

func gatewayName(i int) string   { return fmt.Sprint("gateway-", i) }
func schedulerName(s int) string { return fmt.Sprint("scheduler-", s) }
func listedEngine(id string) roster.Upstream {
	return roster.Upstream{ID: id, Service: "tutor", Domain: "a", Slots: randomSlots, State: roster.Ready}
}

func (c *changes) schedulerSeenBy(i int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return schedulerName(c.seen[i])
}

// decided delivers a decision to its gateway.
func (c *changes) decided(s int, d board.Decision) {
	c.mu.Lock()
	use := slotUse{engine: d.Upstream, current: s == c.current}
	c.mu.Unlock()
	for i := range randomGateways {
		if d.Owner != gatewayName(i) {
			continue
		}
		c.deliver(schedulerName(s)+d.Owner, func() {
			if d.Upstream != "" {
				c.mu.Lock()
				c.grants[grantKey(d.ID, d.Number)] = use
				c.mu.Unlock()
			}
			c.clients[i].HandleDecision(schedulerName(s), permit.DecisionMessage(d).GetPlaceVerdict())
		})
	}
}

func (c *changes) send(i int, node string, e *wire.Envelope) bool {
	if ask := e.GetPlaceAsk(); ask != nil {
		c.mu.Lock()
		c.asks[ask.Id]++
		c.mu.Unlock()
	}
	for s, g := range c.schedulers {
		if node == schedulerName(s) {
			c.deliver(gatewayName(i)+node, func() { permit.HandleMessage(time.Now(), g, gatewayName(i), e) })
		}
	}
	return true
}

// replace changes the scheduler. Each gateway sees it at another moment.
func (c *changes) replace(s int) {
	c.mu.Lock()
	c.current = s
	c.mu.Unlock()
	for i, client := range c.clients {
		c.deliver("change"+gatewayName(i), func() {
			c.mu.Lock()
			c.seen[i] = s
			c.mu.Unlock()
			client.UpdateScheduler(time.Now())
		})
	}
}

// run places a request and uses its slot.
func (c *changes) run(i int, id string, length time.Duration) {
	now := time.Now()
	placement, err := c.clients[i].Pick(c.t.Context(), now, flow.PlacementRequest{
		ID: id, Service: "tutor", Route: &catalog.Route{}, NextEventDue: now.Add(700 * time.Millisecond),
		Deadline: now.Add(15 * time.Second), PromptTokens: 1000, OutputTokens: 100,
	})
	c.mu.Lock()
	c.ended[id]++
	if err != nil {
		c.servedBy["refused"]++
		c.mu.Unlock()
		return
	}
	use := slotUse{engine: placement.Upstream().ID}
	if number := permit.Number(placement); c.grants[grantKey(id, number)].engine == use.engine {
		use = c.grants[grantKey(id, number)]
		c.servedBy["granted"]++
	} else {
		c.servedBy["local"]++
	}
	c.used[id] = use
	granted := 0
	for _, other := range c.used {
		if other.current && other.engine == use.engine {
			granted++
		}
	}
	if granted > randomSlots && c.overfilled == "" {
		c.overfilled = fmt.Sprintf("%s runs %d requests that the scheduler granted when %s begins", use.engine, granted, id)
	}
	c.mu.Unlock()
	bubble.Sleep(length)
	c.mu.Lock()
	delete(c.used, id)
	c.mu.Unlock()
	placement.Release(time.Now(), flow.Answered, 20)
}

// localPicker chooses a random engine.
type localPicker struct{ c *changes }

func (p localPicker) Pick(context.Context, time.Time, flow.PlacementRequest) (flow.Placement, error) {
	return randomPlacement{upstream: listedEngine(fmt.Sprint("engine-", p.c.intN(randomEngines)))}, nil
}
func (localPicker) Hold(_ time.Time, u roster.Upstream, _ flow.PlacementRequest) flow.Placement {
	return randomPlacement{upstream: u}
}

type randomPlacement struct {
	fixedPlacement
	upstream roster.Upstream
}

func (p randomPlacement) Upstream() roster.Upstream { return p.upstream }

// Guards against engines that get more requests from their scheduler than they have slots,
// and against requests that end twice or never, while the scheduler changes several times
// and messages are delayed. Slots that were chosen locally or granted by a gateway that is no
// longer the scheduler come on top, as nobody can know of them in time.
func TestChangesOfSchedulerOverfillNoEngine(t *testing.T) {
	total := map[string]int{}
	moved := 0
	for seed := range uint64(100) {
		bubble.Run(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c := newChanges(ctx, t, seed)
			c.replace(0)
			bubble.Sleep(2 * maxDelay)
			requests := 0
			var running sync.WaitGroup
			for range 4 {
				for range 5 + c.intN(8) {
					id := fmt.Sprint("request-", requests)
					requests++
					i, length := c.intN(randomGateways), time.Duration(150+c.intN(250))*time.Millisecond
					running.Go(func() { c.run(i, id, length) })
				}
				bubble.Sleep(60 * time.Millisecond)
				for range 1 + c.intN(4) {
					c.replace(c.intN(randomSchedulers))
					bubble.Sleep(time.Duration(c.intN(150)) * time.Millisecond)
				}
				for range 4 {
					bubble.Sleep(500 * time.Millisecond)
					for _, client := range c.clients {
						client.ReportHeld(time.Now())
					}
				}
			}
			bubble.Sleep(5 * time.Second)
			running.Wait()
			require.Empty(t, c.overfilled, "seed %d", seed)
			require.Len(t, c.ended, requests, "seed %d", seed)
			for id, count := range c.ended {
				require.Equal(t, 1, count, "seed %d, %s", seed, id)
				require.LessOrEqual(t, c.asks[id], 3, "seed %d, %s", seed, id)
				if c.asks[id] > 1 {
					moved++
				}
			}
			for how, count := range c.servedBy {
				total[how] += count
			}
			requireNothingLeft(t, c, seed)
		})
	}
	t.Logf("requests %v, asked for more than once %d", total, moved)
	require.Positive(t, moved)
}

// requireNothingLeft checks that all slots of the present scheduler are free.
func requireNothingLeft(t *testing.T, c *changes, seed uint64) {
	for _, client := range c.clients {
		client.ReportHeld(time.Now())
	}
	bubble.Sleep(time.Second)
	now := time.Now()
	for n := range randomEngines * randomSlots {
		c.schedulers[c.current].Submit(board.SlotRequest{
			Owner: gatewayName(0), ID: fmt.Sprint("last-", n), Number: 1 << 32, Service: "tutor", Domain: "a",
			NextEventDue: now.Add(700 * time.Millisecond), Deadline: now.Add(15 * time.Second), PromptTokens: 10, OutputTokens: 100,
		})
	}
	bubble.Sleep(2 * maxDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range randomEngines * randomSlots {
		require.Contains(t, c.grants, grantKey(fmt.Sprint("last-", n), 1<<32), "seed %d: slots stay in use", seed)
	}
}
