package soak_test

import (
	"math/rand/v2"
	"time"
)

const (
	// convergeFromSeed is the first seed in which most callers come to one gateway for some
	// seconds, then to another.
	convergeFromSeed = 60000
	// strayShare is one in how many callers stays with its gateway.
	strayShare = 12
)

// convergeCallers sends most callers to one gateway after the other, with pauses, until the
// faults end.
func (tb *testbed) convergeCallers() {
	random := rand.New(rand.NewPCG(tb.seed, 0x636f6e76))
	for time.Now().Before(tb.faultsEndAt) {
		<-time.After(randomDuration(random, 0, 2*time.Second))
		tb.busiest.Store(1 + random.Int64N(gateways))
		<-time.After(randomDuration(random, 500*time.Millisecond, 5*time.Second))
		if random.IntN(2) == 0 {
			tb.busiest.Store(0)
		}
	}
	tb.busiest.Store(0)
}

// converge moves the caller to the gateway that most callers come to. It opens a new connection
// there.
func (c *caller) converge() {
	target := c.number % gateways
	if busiest := c.testbed.busiest.Load(); busiest > 0 && c.number%strayShare != 0 {
		target = int(busiest) - 1
	}
	if target != c.gateway {
		c.closeConnection()
		c.gateway = target
	}
}
