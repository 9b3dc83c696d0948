package soak_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/platform"
)

const (
	// warmUpsFromSeed is the first seed that plays warm-ups and evacuations. Seeds below it
	// keep the faults that they were recorded with.
	warmUpsFromSeed = 20000
	// warmUpTime is how long an upstream warms up after its start, and warmUpPerSecond the
	// rate that its service states. By the settings of the gateways it may get
	// warmUpBound requests in any second.
	warmUpTime      = 2 * time.Second
	warmUpPerSecond = 6
	warmUpFactor    = 1.5
	warmUpSlack     = 5
	warmUpBound     = int(warmUpFactor*warmUpPerSecond) + warmUpSlack
	// evacuationTimeout is the time within which an evacuated domain must receive no new
	// requests.
	evacuationTimeout = 5 * time.Second
	// undisturbedTime is how long nothing must have disturbed a gateway or the store for
	// the gateway to be bound by an evacuation.
	undisturbedTime = 3 * time.Second
	evacuatedDomain = "b"
)

// evacuation is a time in which the domain was evacuated.
type evacuation struct{ from, until time.Time }

// warmUp is a time in which an upstream was cold.
type warmUp struct {
	upstream    string
	from, until time.Time
}

func (tb *testbed) playsWarmUps() bool { return tb.plays(warmUpsFromSeed) }

// startsCold records that an upstream was started and is cold, and returns until when.
func (tb *testbed) startsCold(upstream string) time.Time {
	now := time.Now()
	until := now.Add(warmUpTime)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.warmUps = append(tb.warmUps, warmUp{upstream, now, until})
	return until
}

// evacuate evacuates the domain again and again until the faults end.
func (tb *testbed) evacuate() {
	random := rand.New(rand.NewPCG(tb.seed, 0x65766163))
	for time.Now().Before(tb.faultsEndAt) {
		<-time.After(randomDuration(random, 200*time.Millisecond, 3*time.Second))
		e := evacuation{from: time.Now()}
		tb.store.Put(platform.EvacuationPrefix+evacuatedDomain, "{}")
		<-time.After(randomDuration(random, evacuationTimeout+3*time.Second, evacuationTimeout+6*time.Second))
		e.until = time.Now()
		tb.store.Remove(platform.EvacuationPrefix + evacuatedDomain)
		tb.mu.Lock()
		tb.evacuations = append(tb.evacuations, e)
		tb.mu.Unlock()
	}
}

// checkEvacuated checks that the upstreams of an evacuated domain receive no new requests.
func (tb *testbed) checkEvacuated(c call) {
	for _, e := range tb.evacuations {
		deadline := e.from.Add(evacuationTimeout + checkSlack)
		for _, r := range tb.requestLog.executionsOf(c.id) {
			if !tb.evacuated[r.upstream] || !r.at.After(deadline) || !r.at.Before(e.until) || !c.sent.After(deadline) {
				continue
			}
			window := c
			window.sent = c.sent.Add(-undisturbedTime)
			if !tb.disturbed(window, false) {
				tb.reportCall(c, "was executed at %s %s after its domain was evacuated", r.upstream, r.at.Sub(e.from))
			}
		}
	}
}

// checkWarmUps checks that no upstream got more requests than it tolerates in any second of
// its warm-up, whatever happened to the gateways.
func (tb *testbed) checkWarmUps() {
	arrivals := tb.requestLog.executionTimes()
	for _, w := range tb.warmUps {
		times := slices.DeleteFunc(arrivals[w.upstream], func(at time.Time) bool { return at.Before(w.from) || at.After(w.until) })
		slices.SortFunc(times, time.Time.Compare)
		for i := warmUpBound; i < len(times); i++ {
			if within := times[i].Sub(times[i-warmUpBound]); within < time.Second {
				tb.report(w.upstream + " got more requests than it tolerates within " + within.String() + " while it was cold")
				break
			}
		}
	}
}
