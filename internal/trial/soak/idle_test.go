package soak_test

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// restingGroups of restingCallers each rest on their connections.
	restingGroups  = 4 * gateways
	restingCallers = 4
	// longestRest bounds a rest where the idle limit is longer.
	longestRest = 4 * time.Second
	// restSpread is how far most rests are from the idle limit at most.
	restSpread = 3 * time.Millisecond
)

// restingGroup is callers of one gateway that call at the same time and then rest
// on their open connections for about the idle limit, each from its own answer.
// Timers and requests that are due together meet a busy gateway.
type restingGroup struct {
	world   *world
	callers []*caller
	random  *rand.Rand
}

func newRestingGroup(w *world, number int) *restingGroup {
	g := &restingGroup{world: w, random: rand.New(rand.NewPCG(w.seed, uint64(number)+2000))}
	for i := range restingCallers {
		c := newCaller(w, 1000+number*restingCallers+i)
		c.gateway = number % gateways
		g.callers = append(g.callers, c)
	}
	return g
}

// run calls and rests until the world's callers are to end.
func (g *restingGroup) run() {
	for _, c := range g.callers {
		defer c.drop()
	}
	for !g.world.over() {
		k := kinds[g.random.IntN(len(kinds))]
		rest := g.drawRest()
		var calling sync.WaitGroup
		for _, c := range g.callers {
			calling.Go(func() { c.restAndCall(k, rest) })
		}
		calling.Wait()
	}
}

// drawRest returns a time that is a little shorter or longer than the idle limit.
func (g *restingGroup) drawRest() time.Duration {
	limit := g.world.idleLimit(g.random)
	spread := restSpread
	if g.random.IntN(4) == 0 {
		spread = limit / 8
	}
	return min(limit+between(g.random, -spread, spread), longestRest)
}

// restAndCall rests on the open connection, if there is one, and calls. If the
// connection ended meanwhile, it calls again on another one.
func (c *caller) restAndCall(k kind, rest time.Duration) {
	if c.conn != nil {
		select {
		case <-c.world.closing:
			return
		case <-time.After(time.Until(c.usedUntil.Add(rest))):
		}
	}
	c.world.note(c.call(k, k.path))
	if c.conn == nil && !c.world.over() {
		<-time.After(time.Duration(5+c.random.IntN(60)) * time.Millisecond)
		c.world.note(c.call(k, k.path))
	}
}
