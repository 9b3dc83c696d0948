package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// crashesFromSeed is the first seed in which requests come that crash upstreams. Seeds
	// below it keep the faults that they were recorded with.
	crashesFromSeed = 40000
	promptHeader    = "X-Persimmonridge-Prompt-Prefix"
	// sharedParts are the parts of the prompts of all streams, and crashingPart one that
	// crashes each upstream that begins a stream on it.
	sharedParts  = "f1:100,5a:40"
	crashingPart = "bad0"
	// contactTime is the time in which gateways must learn of a crash, countedCrashes the
	// crashes after which they refuse the part, and maxAfterCrashes how many requests with it
	// may come later.
	contactTime     = 3 * time.Second
	countedCrashes  = 5
	maxAfterCrashes = 3
)

var crashingStream = kind{name: "crashing", method: http.MethodPost, path: "/stream/x", stream: true}

// promptOf returns the prompt of a stream, whose last part is its own.
func (c *call) promptOf() string {
	if c.kind.name == crashingStream.name {
		return fmt.Sprintf("%s,%s:60,%s:10", sharedParts, crashingPart, c.id)
	}
	return fmt.Sprintf("%s,%s:10", sharedParts, c.id)
}

// crashesUpstream reports whether the request crashes the upstream that executes it.
func crashesUpstream(r *http.Request) bool {
	return strings.Contains(r.Header.Get(promptHeader), crashingPart)
}

// sendCrashing sends requests that crash upstreams to gateways at random until the faults
// end, no two alike.
func (tb *testbed) sendCrashing() {
	random := rand.New(rand.NewPCG(tb.seed, 0x6372617368))
	c := newCaller(tb, 200)
	defer c.closeConnection()
	for time.Now().Before(tb.faultsEndAt) {
		<-time.After(randomDuration(random, 50*time.Millisecond, 400*time.Millisecond))
		c.gateway = random.IntN(gateways)
		tb.recordCall(c.call(crashingStream, crashingStream.path))
		c.closeConnection()
	}
}

// crashUnder crashes an upstream under a request, and starts it again later.
func (tb *testbed) crashUnder(u *upstream) {
	endDisruption := u.disruptions.begin()
	endFault := tb.beginFault("crash-under", allGateways, false, true)
	u.crash()
	tb.restarts.Go(func() {
		defer endFault()
		defer endDisruption()
		<-time.After(800 * time.Millisecond)
		tb.restart(u)
	})
}

// checkCrashing checks that few requests with the crashing part reached upstreams once the
// gateways had the time to learn of it from crashes that gateways without a fault have seen.
func (tb *testbed) checkCrashing() {
	type arrival struct {
		call call
		at   time.Time
	}
	var arrivals []arrival
	for _, c := range tb.calls {
		if c.kind.name != crashingStream.name {
			continue
		}
		for _, e := range tb.requestLog.executionsOf(c.id) {
			arrivals = append(arrivals, arrival{c, e.at})
		}
	}
	slices.SortFunc(arrivals, func(x, y arrival) int { return x.at.Compare(y.at) })
	seen, late := 0, 0
	var learnedAt time.Time
	for _, a := range arrivals {
		switch {
		case seen < countedCrashes:
			if !tb.restarted(a.call.gateway, a.at, a.at.Add(contactTime)) {
				seen++
				learnedAt = a.at.Add(contactTime)
			}
		case a.at.After(learnedAt) && !tb.restarted(a.call.gateway, a.at.Add(-contactTime), a.at):
			late++
		}
	}
	if late > maxAfterCrashes {
		tb.report(fmt.Sprintf("%d requests with a part under which %d upstreams had crashed reached upstreams later than %s, %d in all", late, countedCrashes, contactTime, len(arrivals)))
	}
}
