package gateway_test

import (
	"testing"
	"time"
)

// Guards against a bad version that is used on as the gateway that decides on rollouts cannot
// write to the store, while the others can.
func TestBadVersionIsTakenBackWhileTheSchedulerDoesNotReachTheStore(t *testing.T) {
	for name, cut := range map[string]func(p *rolloutPlay, scheduler int){
		"turned away":            func(p *rolloutPlay, scheduler int) { p.turnAway(true, scheduler) },
		"no response, no others": func(p *rolloutPlay, scheduler int) { p.network.Vanish(storeAddress(scheduler)) },
	} {
		t.Run(name, func(t *testing.T) {
			playRollout(t, func(p *rolloutPlay) {
				p.at(15 * time.Second)
				scheduler := p.scheduler()
				cut(p, scheduler)
				p.at(20 * time.Second)
				p.turnBad()
				p.awaitState("reverted", 15*time.Second)
				p.requireNone("v2")
				p.turnAway(false, scheduler)
				p.network.Restore(storeAddress(scheduler))
			})
		})
	}
}
