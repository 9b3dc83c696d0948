package gateway_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	rolloutTime = 40 * time.Second
	// rollbackLimit is within how long of its fiftieth bad answer a version gets no more requests.
	rollbackLimit = 5 * time.Second
	statusKey     = "status/rollout/desk"
	desksPerSide  = 2
)

// rolloutPlay is a fleet with a service of quick answers, which moves to another version.
type rolloutPlay struct {
	*fleet
	ordered time.Time
	// beforeOrder is a copy of the store without the order.
	beforeOrder *standin.Copy
	stopped     chan struct{}
	callers     sync.WaitGroup

	// bad makes the new version fail half of its requests.
	bad bool
	// runs holds when requests arrived, by version, and failures when the new version failed.
	runs     map[string][]time.Time
	failures []time.Time
}

// desk returns a handler of the service in the version.
func (p *rolloutPlay) desk(version string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		now := time.Now()
		p.runs[version] = append(p.runs[version], now)
		fails := version == "v2" && p.bad && len(p.runs[version])%2 == 0
		if fails {
			p.failures = append(p.failures, now)
		}
		p.mu.Unlock()
		bubble.Sleep(20 * time.Millisecond)
		w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
		w.Header().Set(sealHeader, "s")
		if fails {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
}

func (p *rolloutPlay) registerDesks(version string, first int) {
	for i := first; i < first+desksPerSide; i++ {
		p.store.Put("servers/desk-"+strconv.Itoa(i), fmt.Sprintf(
			`{"service":"desk","address":%q,"zone":"a","version":%q,"slots":8,"state":"ready"}`, engineAddress(20+i), version))
	}
}

func (p *rolloutPlay) order() {
	p.store.Put("op/rollout/desk", fmt.Sprintf(`{"service":"desk","target":"v2","durationS":%g}`, rolloutTime.Seconds()))
}

// playRollout orders a rollout under load and runs the script. It stops the callers in the end.
func playRollout(t *testing.T, script func(p *rolloutPlay)) {
	playRolloutOf(t, &fleet{size: gateways, slots: slots, logger: slog.New(slog.DiscardHandler)}, script)
}

// playRolloutOf is playRollout with a fleet.
func playRolloutOf(t *testing.T, played *fleet, script func(p *rolloutPlay)) {
	playFleet(t, played, func(f *fleet) {
		p := &rolloutPlay{fleet: f, stopped: make(chan struct{}), runs: make(map[string][]time.Time)}
		f.store.Put("op/config", `{"version":2,
			"routes":[{"name":"r","hostname":"h","prefix":"/desk/","kind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":100,
				"service":"desk","maxAttempts":1}],
			"services":[{"name":"desk"}],"limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},
			"tenants":[{"name":"studio","apiKeys":["key"]}]}`)
		for i := range 2 * desksPerSide {
			version := "v" + strconv.Itoa(1+i/desksPerSide)
			f.serve(engineAddress(20+i), p.desk(version))
		}
		p.registerDesks("v1", 0)
		bubble.Sleep(3 * time.Second)
		for i := range 12 {
			p.callers.Go(func() { p.callUntilStopped(i) })
		}
		p.ordered, p.beforeOrder = time.Now(), f.store.Copy()
		p.order()
		p.registerDesks("v2", desksPerSide)
		script(p)
		close(p.stopped)
		p.callers.Wait()
	})
}

func (p *rolloutPlay) callUntilStopped(caller int) {
	for i := 0; ; i++ {
		select {
		case <-p.stopped:
			return
		case <-time.After(100 * time.Millisecond):
		}
		p.call(caller%gateways, "/desk/x", fmt.Sprintf("c%d-%d", caller, i))
	}
}

// at waits until the time since the order.
func (p *rolloutPlay) at(sinceOrder time.Duration) {
	bubble.Sleep(time.Until(p.ordered.Add(sinceOrder)))
}

func (p *rolloutPlay) turnBad() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bad = true
}

// awaitState waits until operators are told of the state.
func (p *rolloutPlay) awaitState(state string, atMost time.Duration) {
	p.t.Helper()
	for end := time.Now().Add(atMost); time.Now().Before(end); bubble.Sleep(100 * time.Millisecond) {
		if p.store.Value(statusKey) == status(state) {
			return
		}
	}
	require.Equal(p.t, status(state), p.store.Value(statusKey))
}

func status(state string) string { return fmt.Sprintf(`{"state":%q,"target":"v2"}`, state) }

// requireNone checks that the version gets no request for some seconds.
func (p *rolloutPlay) requireNone(version string) {
	p.t.Helper()
	before := p.count(version)
	bubble.Sleep(5 * time.Second)
	require.Equal(p.t, before, p.count(version), "requests to %s", version)
}

// count returns the requests that the version got.
func (p *rolloutPlay) count(version string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs[version])
}

// requireTakenBack checks that the bad version was taken back on all gateways, in time.
func (p *rolloutPlay) requireTakenBack() {
	p.t.Helper()
	p.awaitState("reverted", 15*time.Second)
	p.requireNone("v2")
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.failures) < 50 {
		return
	}
	last := p.runs["v2"][len(p.runs["v2"])-1]
	require.LessOrEqual(p.t, last.Sub(p.failures[49]), rollbackLimit)
}

// Guards against a bad version that is used on, as the write that takes it back is refused for
// a revision that the store lost.
func TestBadVersionIsTakenBackAfterTheStoreLostARolloutState(t *testing.T) {
	playRollout(t, func(p *rolloutPlay) {
		p.at(7 * time.Second)
		olderCopy := p.store.Copy()
		// The next share is written.
		p.at(10 * time.Second)
		p.comeBack(olderCopy)
		p.at(16 * time.Second)
		p.turnBad()
		p.requireTakenBack()
	})
}

// Guards against a version that is used again, or whose order is never answered, as the store
// lost the state that took it back.
func TestVersionThatWasTakenBackStaysSoAfterTheStoreLostIt(t *testing.T) {
	playRollout(t, func(p *rolloutPlay) {
		p.turnBad()
		p.at(500 * time.Millisecond)
		olderCopy := p.store.Copy()
		p.awaitState("reverted", 20*time.Second)
		for range 2 {
			p.comeBack(olderCopy)
			p.requireTakenBack()
		}
	})
}

// Guards against requests to the old version, whose upstreams have been stopped, as the store
// lost the state that completed the rollout.
func TestCompletedRolloutStaysSoAfterTheStoreLostIt(t *testing.T) {
	playRollout(t, func(p *rolloutPlay) {
		p.at(32 * time.Second)
		olderCopy := p.store.Copy()
		p.awaitState("complete", 8*time.Second)
		bubble.Sleep(time.Second)
		p.comeBack(olderCopy)
		p.requireNone("v1")
		p.awaitState("complete", time.Second)
	})
}

// Guards against a rollout that begins again with a bad version, as the operator writes the
// order again that the store lost.
func TestOrderThatIsWrittenAgainDoesNotBeginAgain(t *testing.T) {
	playRollout(t, func(p *rolloutPlay) {
		p.turnBad()
		p.awaitState("reverted", 20*time.Second)
		bubble.Sleep(time.Second)
		before := p.count("v2")
		p.comeBack(p.beforeOrder)
		// The order gets a later revision than it had.
		p.lose(5)
		p.registerDesks("v2", desksPerSide)
		bubble.Sleep(rewriteTime)
		p.order()
		p.requireTakenBack()
		require.Equal(p.t, before, p.count("v2"))
	})
}

// Guards against an order of the former era that hides a later one, whose revision is lower.
func TestOrderOfTheNewEraReplacesTheLostOne(t *testing.T) {
	playRollout(t, func(p *rolloutPlay) {
		p.turnBad()
		p.awaitState("reverted", 20*time.Second)
		olderCopy := p.store.Copy()
		p.lose(100)
		p.store.Put("op/rollout/desk", `{"service":"desk","target":"v3","durationS":40}`)
		bubble.Sleep(2 * time.Second)
		p.comeBack(olderCopy)
		p.mu.Lock()
		p.bad = false
		p.mu.Unlock()
		bubble.Sleep(time.Second)
		p.ordered = time.Now()
		p.order()
		p.awaitState("complete", rolloutTime)
		p.requireNone("v1")
	})
}

// Guards against a version that was taken back while the store was away, and of which nobody
// else ever hears.
func TestBadVersionIsTakenBackEverywhereOnceTheStoreAnswers(t *testing.T) {
	playRollout(t, func(p *rolloutPlay) {
		p.at(9 * time.Second)
		p.store.SetFault(standin.Busy)
		p.turnBad()
		p.at(25 * time.Second)
		p.store.SetFault(standin.None)
		p.awaitState("reverted", rollbackLimit)
		p.requireNone("v2")
	})
}

// Guards against a version that is used again by gateways that did not know that it was taken
// back: the scheduler that knew it is gone with the state.
func TestLostRolloutStateIsWrittenAgainWithoutItsScheduler(t *testing.T) {
	playRollout(t, func(p *rolloutPlay) {
		p.turnBad()
		p.at(500 * time.Millisecond)
		olderCopy := p.store.Copy()
		p.awaitState("reverted", 20*time.Second)
		bubble.Sleep(time.Second)
		scheduler := p.scheduler()
		p.stop(scheduler)
		p.comeBack(olderCopy)
		p.requireTakenBack()
	})
}

// Guards against gateways that disagree on a version: one sees the new era later than the
// others, by its own connection to the store or by its peers.
func TestGatewaysAgreeOnARolloutThatTheySeeRestoredAtDifferentTimes(t *testing.T) {
	for late := range gateways {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			playRollout(t, func(p *rolloutPlay) {
				p.at(7 * time.Second)
				olderCopy := p.store.Copy()
				p.at(10 * time.Second)
				p.turnAway(true, late)
				p.comeBack(olderCopy)
				p.at(16 * time.Second)
				p.turnBad()
				p.at(24 * time.Second)
				p.turnAway(false, late)
				p.requireTakenBack()
			})
		})
	}
}
