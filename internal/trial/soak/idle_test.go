package soak_test

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// idleGroups is the number of groups with callersPerIdleGroup callers each.
	idleGroups          = 4 * gateways
	callersPerIdleGroup = 4
	// maxIdleTime bounds the idle time where the idle limit is longer.
	maxIdleTime = 4 * time.Second
	// idleSpread is the maximum difference between most idle times and the idle
	// limit.
	idleSpread = 3 * time.Millisecond
)

// idleGroup is a group of callers of one gateway that send requests at the same
// time and then leave their connections idle for about the idle limit, each from
// the end of its own call. The gateway is then busy with timers and requests that
// are due at the same time.
type idleGroup struct {
	testbed *testbed
	callers []*caller
	random  *rand.Rand
}

func newIdleGroup(tb *testbed, number int) *idleGroup {
	g := &idleGroup{testbed: tb, random: rand.New(rand.NewPCG(tb.seed, uint64(number)+2000))}
	for i := range callersPerIdleGroup {
		c := newCaller(tb, 1000+number*callersPerIdleGroup+i)
		c.gateway = number % gateways
		g.callers = append(g.callers, c)
	}
	return g
}

// run sends requests with idle times between them until the testbed stops its
// callers.
func (g *idleGroup) run() {
	for _, c := range g.callers {
		defer c.closeConnection()
	}
	for !g.testbed.stopping() {
		k := kinds[g.random.IntN(len(kinds))]
		idleTime := g.randomIdleTime()
		var calling sync.WaitGroup
		for _, c := range g.callers {
			calling.Go(func() { c.idleAndCall(k, idleTime) })
		}
		calling.Wait()
	}
}

// randomIdleTime returns a time that is a little shorter or longer than the idle
// limit.
func (g *idleGroup) randomIdleTime() time.Duration {
	limit := g.testbed.idleLimit(g.random)
	spread := idleSpread
	if g.random.IntN(4) == 0 {
		spread = limit / 8
	}
	return min(limit+randomDuration(g.random, -spread, spread), maxIdleTime)
}

// idleAndCall leaves the open connection, if there is one, idle and then sends a
// request. If the connection was closed meanwhile, it sends another request on a
// new one.
func (c *caller) idleAndCall(k kind, idleTime time.Duration) {
	if c.conn != nil {
		select {
		case <-c.testbed.stopCallers:
			return
		case <-time.After(time.Until(c.lastUsedAt.Add(idleTime))):
		}
	}
	c.testbed.recordCall(c.call(k, k.path))
	if c.conn == nil && !c.testbed.stopping() {
		<-time.After(time.Duration(5+c.random.IntN(60)) * time.Millisecond)
		c.testbed.recordCall(c.call(k, k.path))
	}
}
