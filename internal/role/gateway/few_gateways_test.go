package gateway_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	// manyGateways and manySlots are the size of a fleet with a small part for each gateway.
	manyGateways, manySlots = 21, 12
	// busyGateway is the one to which the balancer sends most new connections.
	busyGateway = manyGateways - 1
)

// attempts counts callers by what became of the first attempt that a gateway has read.
type attempts struct {
	mu             sync.Mutex
	served, failed int
	why            map[string]int
}

func (a *attempts) record(o outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.err == nil && o.status == http.StatusOK {
		a.served++
		return
	}
	a.failed++
	a.why[fmt.Sprint(o.status, o.err)]++
}

// share returns the share of callers who were served at that attempt.
func (a *attempts) share() float64 { return float64(a.served) / float64(max(1, a.served+a.failed)) }

// askLoad is what callers ask.
type askLoad struct {
	perSecond float64
	bodyBytes int
	// concentrated is set if eleven of twelve callers come to the busy gateway, and the others
	// to any.
	concentrated bool
	// breaks is set if one stream in eight breaks off at its first upstream.
	breaks bool
	// plain is set if the requests are not for an engine.
	plain bool
}

// headers returns those of each request.
func (l askLoad) headers() map[string]string {
	headers := map[string]string{"X-Persimmonridge-Deadline-Ms": "4000"}
	if !l.plain {
		headers["X-Persimmonridge-Token-Counts"], headers["X-Persimmonridge-Length-Hint"] = "1000,30", "30"
	}
	return headers
}

// ask makes calls for a time. A caller whose connection ends without an answer tries another
// gateway once.
func (f *fleet) ask(during time.Duration, load askLoad) *attempts {
	a := &attempts{why: make(map[string]int)}
	random := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	end := time.Now().Add(during)
	for n := 0; time.Now().Before(end); n++ {
		first, other := random.IntN(f.size), random.IntN(f.size-1)
		if load.concentrated && n%12 != 0 {
			first = busyGateway
		}
		if other >= first {
			other++
		}
		id, body := fmt.Sprintf("c%d-%d", end.UnixNano(), n), strings.Repeat("b", load.bodyBytes)
		path := "/old/x?events=5"
		if load.breaks && n%8 == 0 {
			path += "&break=2"
		}
		wg.Go(func() {
			o := f.callWithHeaders(first, path, id, strings.NewReader(body), load.headers())
			if o.err != nil && o.status == 0 {
				o = f.callWithHeaders(other, path, id+"b", strings.NewReader(body), load.headers())
			}
			a.record(o)
		})
		bubble.Sleep(time.Duration(float64(time.Second) / load.perSecond))
	}
	wg.Wait()
	return a
}

const (
	// regionPerSecond are the requests of the region, of regionBodyBytes each. They take
	// three quarters of the engines' slots.
	regionPerSecond, regionBodyBytes = 72, 3100
	// slowLinkBytesPerSecond is the link of a small gateway, a third of what the region's
	// requests need.
	slowLinkBytesPerSecond = 95_000
)

// fewGateways is a play of callers who are spread, and then mostly at the busy gateway.
type fewGateways struct {
	links map[int]*network.Link
	// prepare is called at the start, and disturb once the busy gateway has had most callers for
	// two seconds. Both may be nil.
	prepare, disturb func(f *fleet)
	// breaks is set if some streams break off at their upstream and are resumed at another, and
	// plain if upstreams have no engines.
	breaks, plain bool
	// long is set if the phases last twice as long.
	long bool
}

// play returns what became of the callers before and after most of them came to the busy gateway.
func (g fewGateways) play(t *testing.T) (before, during *attempts) {
	f := &fleet{size: manyGateways, slots: manySlots, logger: slog.New(slog.DiscardHandler), links: g.links}
	playFleet(t, f, func(f *fleet) {
		if g.prepare != nil {
			g.prepare(f)
		}
		load := askLoad{perSecond: regionPerSecond, bodyBytes: regionBodyBytes, breaks: g.breaks, plain: g.plain}
		unit := time.Second
		if g.long {
			unit = 2 * time.Second
		}
		f.ask(2*unit, load)
		before = f.ask(2*unit, load)
		load.concentrated = true
		f.ask(2*unit, load)
		if g.disturb != nil {
			g.disturb(f)
		}
		during = f.ask(3*unit, load)
		f.store.SetFault(standin.None)
	})
	return before, during
}

// requireServed checks that callers at the busy gateway are served three quarters as often as
// those who are spread.
func (g fewGateways) requireServed(t *testing.T) {
	t.Helper()
	before, during := g.play(t)
	t.Logf("served at the first attempt that was read: %.2f before, %.2f during, not: %v", before.share(), during.share(), during.why)
	spread := 0.99
	if g.breaks {
		// A stream that breaks off may lack a retry.
		spread *= 7.0 / 8
	}
	require.GreaterOrEqual(t, before.share(), spread, "%v", before.why)
	require.GreaterOrEqual(t, during.share(), 0.75*before.share(), "%v", during.why)
}

// Guards against callers who are refused while the balancer sends most new connections to one
// gateway whose link cannot carry them: its slot requests are late behind bodies, and bodies
// arrive too late.
func TestCallersAtOneGatewayWithASlowLinkAreServed(t *testing.T) {
	fewGateways{links: map[int]*network.Link{busyGateway: network.NewLink(slowLinkBytesPerSecond)}, long: true}.requireServed(t)
}

// putFewConfig puts a configuration with fields of the route, the service and the workspace.
func (f *fleet) putFewConfig(route, service, workspace string) {
	f.store.Put("op/config", fmt.Sprintf(`{"version":2,
		"routes":[{"name":"r","hostname":"h","prefix":"/old/","timeoutMs":15000,"targetLatencyMs":600,"service":"tutor","maxAttempts":2,%s}],
		"services":[{"name":"tutor",%s}],"tenants":[{"name":"studio","apiKeys":["key"]%s}]}`, route, service, workspace))
	bubble.Sleep(2 * time.Second)
}

const (
	streamingRoute  = `"kind":"streaming","streamResume":true,"gapAimMs":250`
	engineOfService = `"engine":{"slots":12,"stride":6}`
)

// Guards against callers who are refused while most of them connect to one of 21 gateways, because
// what all gateways have together is divided among them in parts that do not follow the callers.
func TestCallersAtOneOfManyGatewaysGetWhatTheOthersLeave(t *testing.T) {
	for name, g := range map[string]fewGateways{
		"plain service": {plain: true, prepare: func(f *fleet) {
			f.putFewConfig(`"kind":"idempotent"`, `"slots":12`, "")
		}},
		"engines, a quota of a third more than is asked, some streams break off, then the store is away and the scheduler lost": {
			breaks: true,
			prepare: func(f *fleet) {
				f.putFewConfig(streamingRoute, engineOfService, `,"ratePerS":100000,"burst":100000`)
			},
			disturb: func(f *fleet) {
				f.store.SetFault(standin.NoResponse)
				f.network.Vanish(linkAddress(f.scheduler()))
			},
		},
		"the gateway is cut off from the others": {disturb: func(f *fleet) {
			f.dialer(busyGateway).severedPeers.Store(true)
			f.network.Vanish(linkAddress(busyGateway))
		}},
	} {
		t.Run(name, func(t *testing.T) { g.requireServed(t) })
	}
}

// Guards against callers who are refused while most of them connect to one of 21 gateways, because
// the others own the rest of what upstreams that warm up tolerate.
func TestCallersAtOneOfManyGatewaysGetWhatWarmingUpstreamsTake(t *testing.T) {
	fewGateways{
		// Four upstreams tolerate 1.5 times 16 and 5 requests a second each.
		prepare: func(f *fleet) { f.putFewConfig(streamingRoute, `"coldStartS":3,"coldPerS":16,`+engineOfService, "") },
		disturb: func(f *fleet) {
			for i := range engines {
				f.register(i, "a", `,"born":2,"coldRemainingMs":20000`)
			}
			bubble.Sleep(time.Second)
		},
	}.requireServed(t)
}
