package soak_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/platform"
)

const (
	// needsFromSeed is the first seed in which upstreams state needs in their answers.
	// Seeds below it keep the faults that they were recorded with.
	needsFromSeed = 30000
	// limitGrace is the time after an upstream first states a limit in which it is not
	// checked, limitWindow the time in which it is, and tellGrace the time after which a
	// gateway that was told counts.
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	tellGrace   = 500 * time.Millisecond
	// maxInRest is how many requests a gateway may send to an upstream that rests.
	maxInRest = 2
)

// need is something that an upstream states in its answers for a time: a limit of requests
// per second, a rest that it asks for when it turns requests away, or that it leaves.
type need struct {
	upstream    string
	perSecond   float64
	rest        time.Duration
	leaving     bool
	from, until time.Time
}

// arrival is a request that reached an upstream while it stated a need.
type arrival struct {
	attempt string
	at      time.Time
	need    *need
}

func (l *requestLog) recordArrival(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// stateNeeds has the upstreams of each service state needs, one after the other, until the
// faults end.
func (tb *testbed) stateNeeds() {
	var running sync.WaitGroup
	for i, service := range []string{"tutor", "desk"} {
		running.Go(func() {
			random := rand.New(rand.NewPCG(tb.seed, 0x6e656564+uint64(i)))
			for time.Now().Before(tb.faultsEndAt) {
				<-time.After(randomDuration(random, 100*time.Millisecond, time.Second))
				tb.stateNeed(random, service)
			}
		})
	}
	running.Wait()
}

func (tb *testbed) stateNeed(random *rand.Rand, service string) {
	candidates := slices.DeleteFunc(slices.Clone(tb.upstreams), func(u *upstream) bool {
		_, up := u.identity()
		return u.service != service || !up
	})
	if len(candidates) < 2 {
		return
	}
	u := candidates[random.IntN(len(candidates))]
	id, _ := u.identity()
	n := &need{upstream: id, from: time.Now()}
	switch random.IntN(4) {
	case 0, 1:
		n.perSecond = 0.5 + 5*random.Float64()
	case 2:
		n.rest = randomDuration(random, time.Second, 3*time.Second)
	case 3:
		n.leaving = true
	}
	tb.mu.Lock()
	tb.needs = append(tb.needs, n)
	tb.mu.Unlock()
	u.need.Store(n)
	<-time.After(randomDuration(random, 5*time.Second, 8*time.Second))
	u.need.CompareAndSwap(n, nil)
	tb.mu.Lock()
	n.until = time.Now()
	tb.mu.Unlock()
	if now, up := u.identity(); n.leaving && up && now == id {
		defer u.disruptions.begin()()
		u.crash()
		tb.restart(u)
	}
}

// endedWithUpstream reports whether the call ran at an upstream that had said only in answers
// that it leaves, at the moment at which that ended. A gateway that was not told yet cannot
// know.
func (tb *testbed) endedWithUpstream(c call) bool {
	for _, r := range tb.requestLog.executionsOf(c.id) {
		for _, n := range tb.needs {
			if n.leaving && n.upstream == r.upstream && !c.sent.After(n.until) && c.ended.After(n.until) {
				return true
			}
		}
	}
	return false
}

// state adds the need to the answer to a request, and reports whether it turns that away.
func (n *need) state(w http.ResponseWriter) (refused bool) {
	names := platform.AnswerHeaders()
	switch {
	case n.perSecond > 0:
		w.Header().Set(names.RateLimit, strconv.FormatFloat(n.perSecond, 'f', 3, 64))
	case n.leaving:
		w.Header().Set(names.Leaving, "1")
	case n.rest > 0:
		w.Header().Set(names.NotExecuted, "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(n.rest.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

// gatewayArrival is an arrival with the call that it belongs to.
type gatewayArrival struct {
	arrival
	call call
}

// checkNeeds checks that upstreams got what they stated that they needed from the gateways
// that they had told.
func (tb *testbed) checkNeeds() {
	calls := make(map[string]call)
	for _, c := range slices.Concat(tb.calls, tb.probes) {
		calls[c.id] = c
	}
	byNeed := make(map[*need][]gatewayArrival)
	for _, a := range tb.requestLog.arrivals {
		if c, ok := calls[a.attempt]; ok {
			byNeed[a.need] = append(byNeed[a.need], gatewayArrival{a, c})
		}
	}
	for n, arrivals := range byNeed {
		slices.SortFunc(arrivals, func(x, y gatewayArrival) int { return x.at.Compare(y.at) })
		switch {
		case n.perSecond > 0:
			tb.checkLimited(n, arrivals)
		case n.leaving:
			tb.checkLeft(n, arrivals)
		case n.rest > 0:
			tb.checkRested(n, arrivals)
		}
	}
}

// told returns when each gateway first passed on an answer of the upstream with the need.
func (tb *testbed) told(n *need, arrivals []gatewayArrival) map[int]time.Time {
	told := make(map[int]time.Time)
	for _, a := range arrivals {
		executions := tb.requestLog.executionsOf(a.call.id)
		if a.call.status != http.StatusOK || a.call.err != nil || len(executions) == 0 || executions[len(executions)-1].upstream != n.upstream {
			continue
		}
		if at, ok := told[a.call.gateway]; !ok || a.call.ended.Before(at) {
			told[a.call.gateway] = a.call.ended
		}
	}
	return told
}

// restarted reports whether the gateway was killed, stopped or paused in the time span.
func (tb *testbed) restarted(gateway int, from, until time.Time) bool {
	for _, f := range tb.faults {
		if !f.store && !f.upstream && f.affects(gateway, from, until) {
			return true
		}
	}
	return false
}

func (tb *testbed) checkLimited(n *need, arrivals []gatewayArrival) {
	told := tb.told(n, arrivals)
	var times []time.Time
	for _, a := range arrivals {
		at, ok := told[a.call.gateway]
		if ok && a.at.After(at.Add(tellGrace)) && a.at.After(n.from.Add(limitGrace)) && !tb.restarted(a.call.gateway, at, a.at) {
			times = append(times, a.at)
		}
	}
	bound := int(math.Ceil(1.5*n.perSecond*limitWindow.Seconds() + 5))
	for i := bound; i < len(times); i++ {
		if within := times[i].Sub(times[i-bound]); within < limitWindow {
			tb.report(fmt.Sprintf("%s stated a limit of %.2f a second and got %d requests within %s", n.upstream, n.perSecond, bound+1, within))
			return
		}
	}
}

func (tb *testbed) checkLeft(n *need, arrivals []gatewayArrival) {
	told := tb.told(n, arrivals)
	for _, a := range arrivals {
		at, ok := told[a.call.gateway]
		if ok && a.call.sent.After(at.Add(applyTimeout)) && !tb.restarted(a.call.gateway, at, a.at) {
			tb.reportCall(a.call, "reached %s %s after an answer had told the gateway that it leaves", n.upstream, a.at.Sub(at))
		}
	}
}

func (tb *testbed) checkRested(n *need, arrivals []gatewayArrival) {
	for i, refused := range arrivals {
		early := 0
		for _, a := range arrivals[i+1:] {
			if a.call.gateway == refused.call.gateway && a.at.After(refused.at.Add(tellGrace)) && a.at.Before(refused.at.Add(n.rest)) {
				early++
			}
		}
		if early > maxInRest && !tb.disturbed(refused.call, false) && !tb.restarted(refused.call.gateway, refused.at, refused.at.Add(n.rest)) {
			tb.reportCall(refused.call, "was turned away by %s, which asked for %s and got %d requests in that time", n.upstream, n.rest, early)
		}
	}
}
