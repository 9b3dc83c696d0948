package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	// contactTime is the time in which gateways must learn of a crash, and maxAfterCrashes
	// how many requests that crash engines may still reach one later than that.
	contactTime     = 3 * time.Second
	maxAfterCrashes = 3
	// restartTime is how long a crashed engine takes to start again, and lapseTime how long
	// the registration of its former process stays.
	restartTime = 2 * time.Second
	lapseTime   = 3 * time.Second
	// crashDelay is the time from the arrival of a request to the crash.
	crashDelay = 50 * time.Millisecond
	// crashPath is the path of requests that crash each engine.
	crashPath = "/old/crash"
)

// crashingEngines replace a fleet's engines by some that crash under certain requests.
type crashingEngines struct {
	*fleet
	// crashes reports whether a request crashes the engine.
	crashes func(r *http.Request) bool
	// keepsID makes a crashed engine start again under the ID that it had, and silent makes
	// its connections stay open with nothing on them.
	keepsID, silent bool

	mu      sync.Mutex
	servers [engines]*http.Server
	starts  [engines]int
	down    [engines]bool
	// crashedAt holds the time of each crash, and arrivedAt of each request that causes one.
	crashedAt, arrivedAt []time.Time
}

func newCrashingEngines(f *fleet, crashes func(r *http.Request) bool) *crashingEngines {
	c := &crashingEngines{fleet: f, crashes: crashes}
	for i := range engines {
		server := f.servers[gateways+i]
		require.NoError(f.t, server.Close())
		c.listen(i)
	}
	return c
}

// listen starts an engine's server. It is closed with those of the fleet.
func (c *crashingEngines) listen(engine int) {
	sound := c.engine(engineAddress(engine))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serve(engineAddress(engine), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.crashes(r) {
			sound.ServeHTTP(w, r)
			return
		}
		c.mu.Lock()
		c.arrivedAt = append(c.arrivedAt, time.Now())
		c.mu.Unlock()
		w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
		w.Header().Set(sealHeader, "s")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		bubble.Sleep(crashDelay)
		if c.silent {
			c.network.Vanish(engineAddress(engine))
		}
		c.crash(engine)
		panic(http.ErrAbortHandler)
	}))
	c.servers[engine] = c.fleet.servers[len(c.fleet.servers)-1]
}

// registration returns the key of an engine's present process.
func (c *crashingEngines) registration(engine int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.starts[engine] == 0 || c.keepsID {
		return fmt.Sprint("servers/engine-", engine)
	}
	return fmt.Sprintf("servers/engine-%d-%d", engine, c.starts[engine])
}

// crash ends an engine's process with all of its connections, and starts another one later.
func (c *crashingEngines) crash(engine int) {
	former := c.registration(engine)
	c.mu.Lock()
	server, isDown := c.servers[engine], c.down[engine]
	if !isDown {
		c.down[engine], c.crashedAt = true, append(c.crashedAt, time.Now())
	}
	c.mu.Unlock()
	if isDown {
		return
	}
	require.NoError(c.t, server.Close())
	go func() {
		bubble.Sleep(restartTime)
		c.mu.Lock()
		c.starts[engine]++
		c.down[engine] = false
		born := c.starts[engine]
		c.mu.Unlock()
		c.network.Restore(engineAddress(engine))
		c.listen(engine)
		c.store.Put(c.registration(engine), fmt.Sprintf(
			`{"service":"tutor","address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready","born":%d}`, engineAddress(engine), slots, born))
		if c.keepsID {
			return
		}
		bubble.Sleep(lapseTime - restartTime)
		c.store.Remove(former)
	}()
}

// requireStopped checks that few requests reached engines after that many crashes, or the
// last if there were fewer, later than the gateways had the time to learn of them.
func (c *crashingEngines) requireStopped(t *testing.T, afterCrashes int) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	require.NotEmpty(t, c.crashedAt)
	learned, late := c.crashedAt[min(afterCrashes, len(c.crashedAt))-1].Add(contactTime), 0
	for _, at := range c.arrivedAt {
		if at.After(learned) {
			late++
		}
	}
	require.LessOrEqual(t, late, maxAfterCrashes, "%d engines crashed", len(c.crashedAt))
}

// repeat sends the request that crashes engines to one gateway after the other.
func (c *crashingEngines) repeat(count int, every time.Duration) {
	var wg sync.WaitGroup
	for n := range count {
		wg.Go(func() { c.call(n%gateways, crashPath, fmt.Sprintf("crash-%d-%d", time.Now().UnixNano(), n)) })
		bubble.Sleep(every)
	}
	wg.Wait()
}

// crashConditions prepare a fleet in which a crash is seen by other signs.
var crashConditions = map[string]func(c *crashingEngines){
	"few other requests": func(*crashingEngines) {},
	"many other requests": func(c *crashingEngines) {
		go c.pressSound(30*time.Second, 40*time.Millisecond)
		bubble.Sleep(time.Second)
	},
	"plain service": func(c *crashingEngines) { c.putPlainConfig() },
	"the store is away": func(c *crashingEngines) {
		c.keepsID = true
		c.store.SetFault(standin.NoResponse)
	},
	"the scheduler is lost":  func(c *crashingEngines) { c.network.Vanish(linkAddress(c.scheduler())) },
	"engines keep their IDs": func(c *crashingEngines) { c.keepsID = true },
	"engines fall silent":    func(c *crashingEngines) { c.silent = true },
}

// pressSound makes calls of one sound request at all gateways, some at a time.
func (c *crashingEngines) pressSound(during, every time.Duration) {
	for n, end := 0, time.Now().Add(during); time.Now().Before(end); n++ {
		go c.call(n%gateways, "/old/x?events=1", fmt.Sprintf("sound-%d", time.Now().UnixNano()))
		bubble.Sleep(every)
	}
}

// Guards against a request that goes on crashing upstreams because the gateway that lost
// its answer does not connect to the crashed upstream again, or in vain too late.
func TestRequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	for name, prepare := range crashConditions {
		t.Run(name, func(t *testing.T) {
			var c *crashingEngines
			var again, beside []outcome
			runFleet(t, func(f *fleet) {
				c = newCrashingEngines(f, func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, crashPath) })
				prepare(c)
				c.repeat(16, 1200*time.Millisecond)
				bubble.Sleep(restartTime)
				for i := range gateways {
					again = append(again, f.call(i, crashPath, fmt.Sprint("again-", i)))
					beside = append(beside, f.call(i, "/old/x?events=1", fmt.Sprint("beside-", i)))
				}
				f.store.SetFault(standin.None)
				bubble.Sleep(restartTime + lapseTime)
			})
			require.GreaterOrEqual(t, len(c.crashedAt), 3)
			c.requireStopped(t, 3)
			for i := range gateways {
				require.Equal(t, http.StatusServiceUnavailable, again[i].status)
				require.NotEmpty(t, again[i].retryAfter)
				require.Equal(t, http.StatusOK, beside[i].status, "a request that only ran beside it is served")
			}
		})
	}
}

// Guards against a request that many callers make and that is refused for minutes, because
// it ran on all upstreams when these crashed together for another reason.
func TestRequestThatRanOnAllUpstreamsIsServedAfterTheyCrashTogether(t *testing.T) {
	for name, gap := range map[string]time.Duration{"at once": 0, "one after the other": 200 * time.Millisecond} {
		for kind, prepare := range serviceKinds {
			t.Run(name+", "+kind, func(t *testing.T) {
				var outcomes []outcome
				runFleet(t, func(f *fleet) {
					c := newCrashingEngines(f, func(*http.Request) bool { return false })
					prepare(f)
					go c.pressSound(10*time.Second, 14*time.Millisecond)
					bubble.Sleep(2 * time.Second)
					for i := range engines {
						c.crash(i)
						bubble.Sleep(gap)
					}
					bubble.Sleep(restartTime + 2*time.Second)
					for i := range gateways {
						outcomes = append(outcomes, f.call(i, "/old/x?events=1", fmt.Sprint("after-", i)))
					}
					bubble.Sleep(restartTime + lapseTime)
				})
				for _, o := range outcomes {
					require.Equal(t, http.StatusOK, o.status)
				}
			})
		}
	}
}
