package gateway_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	// coldPerSecond is what the engines tolerate while they warm up, and coldBound what
	// they may get by the fleet's limit.
	coldPerSecond = 4
	coldBound     = 11
)

// putWarmUpConfig puts a configuration whose engines warm up for three seconds.
func (f *fleet) putWarmUpConfig() {
	f.store.Put("op/config", fmt.Sprintf(`{"version":2,
		"routes":[{"name":"r","hostname":"h","prefix":"/old/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":600,
			"service":"tutor","maxAttempts":2,"streamResume":true,"gapAimMs":250}],
		"services":[{"name":"tutor","coldStartS":3,"coldPerS":%d,"engine":{"slots":%d,"stride":6}}],
		"tenants":[{"name":"studio","apiKeys":["key"]}]}`, coldPerSecond, slots))
	bubble.Sleep(2 * time.Second)
}

// press makes calls at all gateways, many at a time, and returns when all have ended.
func (f *fleet) press(during time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(during)
	for n := 0; time.Now().Before(end); n++ {
		for i := range gateways {
			wg.Go(func() { f.call(i, "/old/x?events=1", fmt.Sprintf("p%d-%d-%d", end.UnixNano(), n, i)) })
		}
		bubble.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
}

// requireTolerated checks that the engine got at most what it tolerates in any second.
func (f *fleet) requireTolerated(engine int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	arrivals := slices.Clone(f.arrivals[engineAddress(engine)])
	for i := coldBound; i < len(arrivals); i++ {
		require.GreaterOrEqual(f.t, arrivals[i].Sub(arrivals[i-coldBound]), time.Second, "engine %d got %d requests", engine, len(arrivals))
	}
}

// Guards against more requests from all gateways than a cold engine tolerates, at the
// moment of its return in a burst, whatever happens to the scheduler and the links.
func TestColdEngineGetsNoMoreThanItTolerates(t *testing.T) {
	for name, fault := range map[string]func(f *fleet){
		"burst":             func(*fleet) {},
		"scheduler is lost": func(f *fleet) { f.network.Vanish(linkAddress(0)) },
		"gateways are cut off from each other": func(f *fleet) {
			for i := range gateways {
				f.network.Vanish(linkAddress(i))
			}
		},
		"the store is away": func(f *fleet) { f.store.SetFault(standin.NoResponse) },
		"scheduler stops":   func(f *fleet) { f.cancels[f.scheduler()]() },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				f.putWarmUpConfig()
				// Only one engine is left, and it is cold.
				for i := 1; i < engines; i++ {
					f.store.Remove(fmt.Sprint("servers/engine-", i))
				}
				f.register(0, "a", `,"born":2,"coldRemainingMs":3000`)
				bubble.Sleep(2 * time.Second)
				f.register(0, "a", `,"born":2,"coldRemainingMs":20000`)
				go func() {
					bubble.Sleep(700 * time.Millisecond)
					fault(f)
				}()
				f.press(3 * time.Second)
				f.store.SetFault(standin.None)
				require.NotEmpty(t, f.arrivals[engineAddress(0)], "a cold engine must not be left idle")
				f.requireTolerated(0)
			})
		})
	}
}

// Guards against a burst on upstreams whose domain has just been taken back after an
// evacuation. They may have turned cold meanwhile, and state it only later.
func TestUpstreamsCountAsColdAfterAnEvacuation(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.putWarmUpConfig()
		f.splitDomains()
		f.store.Put("op/evacuate/a", "{}")
		f.store.Put("op/evacuate/b", "{}")
		bubble.Sleep(evacuationLimit)
		f.mu.Lock()
		clear(f.arrivals)
		f.mu.Unlock()
		f.store.Remove("op/evacuate/a")
		f.press(3 * time.Second)
		require.NotEmpty(t, f.arrivals[engineAddress(0)])
		for i := range engines / 2 {
			f.requireTolerated(i)
		}
	})
}
