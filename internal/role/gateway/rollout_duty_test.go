package gateway_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
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

// requireTakenBackInTime checks that the bad version gets no request later than the time in which
// a rollout is taken back after its 50th bad answer.
func (p *rolloutPlay) requireTakenBackInTime(bad time.Time) {
	p.t.Helper()
	const badAnswers, rollback = 50, 5 * time.Second
	p.mu.Lock()
	defer p.mu.Unlock()
	var answers []time.Time
	for _, at := range p.runs["v2"] {
		if !at.Before(bad) {
			answers = append(answers, at)
		}
	}
	require.NotEmpty(p.t, answers)
	if len(answers) <= badAnswers {
		return
	}
	late := 0
	for _, at := range answers {
		if at.Sub(answers[badAnswers-1]) > rollback {
			late++
		}
	}
	require.Zero(p.t, late, "requests of %d to the bad version more than %s after its %dth bad answer", len(answers), rollback, badAnswers)
}

// Guards against a rollout that is kept by a gateway whose reads the store answers and whose
// writes fail.
func TestBadVersionIsTakenBackWhileTheWritesOfTheSchedulerFail(t *testing.T) {
	for name, fault := range map[string]writeFault{"refused": writesRefused, "unanswered": writesUnanswered, "cut": writesCut} {
		t.Run(name, func(t *testing.T) {
			playRollout(t, func(p *rolloutPlay) {
				p.at(29 * time.Second)
				p.failWrites(p.scheduler(), fault)
				bad := time.Now()
				p.turnBad()
				p.awaitState("reverted", 15*time.Second)
				p.requireNone("v2")
				p.requireTakenBackInTime(bad)
				p.failWrites(p.scheduler(), writesWork)
			})
		})
	}
}

// Guards against a rollout that is kept by a gateway for as long as its watch waits for a store
// that has fallen silent.
func TestBadVersionIsTakenBackAsTheStoreFallsSilentForTheScheduler(t *testing.T) {
	for _, c := range []struct{ configApply, early time.Duration }{
		{2 * time.Second, 0}, {2 * time.Second, time.Second}, {5 * time.Second, 0}, {5 * time.Second, time.Second},
	} {
		t.Run(fmt.Sprintf("watches of %s, %s before", c.configApply, c.early), func(t *testing.T) {
			played := &fleet{size: gateways, slots: slots, logger: slog.New(slog.DiscardHandler), configApply: c.configApply}
			playRolloutOf(t, played, func(p *rolloutPlay) {
				p.at(29*time.Second - c.early)
				scheduler := p.scheduler()
				p.network.Vanish(storeAddress(scheduler))
				p.at(29 * time.Second)
				bad := time.Now()
				p.turnBad()
				p.awaitState("reverted", 15*time.Second)
				p.requireNone("v2")
				p.requireTakenBackInTime(bad)
				p.network.Restore(storeAddress(scheduler))
			})
		})
	}
}

// killAll kills all gateways, which start again after a pause.
func (p *rolloutPlay) killAll(pause time.Duration) {
	for i := range p.size {
		p.dialer(i).severed.Store(true)
	}
	bubble.Sleep(pause)
	for i := range p.size {
		p.kill(i)
	}
}

// Guards against a bad version that is completed as all gateways start again late in its rollout
// and nothing is known against it any more.
func TestBadVersionIsNotCompletedAfterAllGatewaysStartAgain(t *testing.T) {
	for name, c := range map[string]struct{ bad, killed time.Duration }{
		"they are back at the end": {32900 * time.Millisecond, 33300 * time.Millisecond},
		"they are back after it":   {33500 * time.Millisecond, 33800 * time.Millisecond},
		"they are back before it":  {29 * time.Second, 29300 * time.Millisecond},
		"early":                    {20 * time.Second, 20300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			playRollout(t, func(p *rolloutPlay) {
				p.at(c.bad)
				p.turnBad()
				p.at(c.killed)
				p.killAll(1500 * time.Millisecond)
				p.awaitState("reverted", 15*time.Second)
				p.requireNone("v2")
			})
		})
	}
}

// Guards against a sound version that is taken back for want of evidence, as all gateways start
// again in its rollout.
func TestSoundVersionIsCompletedAfterAllGatewaysStartAgain(t *testing.T) {
	for _, killed := range []time.Duration{10 * time.Second, 24 * time.Second, 31 * time.Second} {
		t.Run(killed.String(), func(t *testing.T) {
			playRollout(t, func(p *rolloutPlay) {
				p.at(killed)
				p.killAll(1500 * time.Millisecond)
				p.awaitState("complete", rolloutTime)
				p.requireNone("v1")
			})
		})
	}
}

// Guards against a bad version that is completed, or kept, as gateways that do not hear each other
// all decide, each on the evidence of its own callers.
func TestBadVersionIsTakenBackWhileGatewaysDoNotHearEachOther(t *testing.T) {
	for name, apart := range map[string][]int{"all apart": {0, 1, 2}, "one apart": {0}} {
		for _, bad := range []time.Duration{20 * time.Second, 29 * time.Second, 32 * time.Second} {
			t.Run(fmt.Sprintf("%s, bad after %s", name, bad), func(t *testing.T) {
				playRollout(t, func(p *rolloutPlay) {
					p.at(15 * time.Second)
					p.partHearing(true, apart)
					p.at(bad)
					began := time.Now()
					p.turnBad()
					p.awaitState("reverted", 20*time.Second)
					p.requireNone("v2")
					p.requireTakenBackInTime(began)
					p.partHearing(false, apart)
				})
			})
		}
	}
}

// partHearing cuts gateways off from all others, or lets them hear each other again.
func (p *rolloutPlay) partHearing(cut bool, apart []int) {
	for _, i := range apart {
		p.dialer(i).severedPeers.Store(cut)
		if cut {
			p.network.Vanish(linkAddress(i))
		} else {
			p.network.Restore(linkAddress(i))
		}
	}
}
