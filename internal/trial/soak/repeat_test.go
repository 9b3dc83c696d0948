package soak_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/proof/repeats"
)

const (
	// badAnswersFromSeed is the first seed in which most answers of all upstreams are bad for
	// seconds while gateways start in series.
	badAnswersFromSeed = 80000
	// badShare is how many of ten answers are bad then, and badShareHeld how many are at least
	// beside held links: gateways send fewer requests to upstreams that answer worse.
	badShare     = 9
	badShareHeld = 5
	// retryRatio and retryWindow are the limit on repeats in the settings. Its slack changes.
	// With bad answers the ratio is lower, so that most of the limit is slack, and with held
	// links the window is shorter than most holds.
	retryRatio       = 0.2
	retryRatioBad    = 0.05
	retryWindow      = 10 * time.Second
	retryWindowHeld  = 3 * time.Second
	initialSlack     = 50
	slackChangeBase  = 40
	slackChangeRange = 20
	// reconnectPause is the pause of a caller whose connection was refused.
	reconnectPause = 300 * time.Millisecond
)

func (tb *testbed) retryRatio() float64 {
	if tb.plays(badAnswersFromSeed) {
		return retryRatioBad
	}
	return retryRatio
}

func (tb *testbed) retryWindow() time.Duration {
	if tb.plays(heldFromSeed) {
		return retryWindowHeld
	}
	return retryWindow
}

func (tb *testbed) badShare() uint64 {
	if tb.plays(heldFromSeed) {
		return badShareHeld + tb.seed/2%3
	}
	return badShare
}

// repeatLogs records the requests to each service.
type repeatLogs map[string]*repeats.Log

func newRepeatLogs() repeatLogs {
	return repeatLogs{"tutor": repeats.NewLog(), "desk": repeats.NewLog()}
}

// serviceOf returns the service to which the configuration routes a path.
func serviceOf(path string) string {
	for _, prefix := range []string{"/stream/", "/once/", "/slow/"} {
		if strings.HasPrefix(path, prefix) {
			return "tutor"
		}
	}
	return "desk"
}

// answersBadly reports whether an upstream in the mode answers the attempt badly.
func (m failureMode) answersBadly(attempt, upstream string, share uint64) bool {
	return (m == erring || m == resetting) && xxhash.Sum64String(attempt+upstream)%10 < share
}

// answerBadly makes most answers of all upstreams bad now and then, for seconds in which
// gateways are killed or stopped in series: all at once, one by one, or one again and again.
func (tb *testbed) answerBadly() {
	random := rand.New(rand.NewPCG(tb.seed, 0x626164))
	longestPause, longest := 2*time.Second, 9*time.Second
	if tb.plays(heldFromSeed) {
		longestPause, longest = 6*time.Second, maxHold
	}
	for time.Now().Before(tb.faultsEndAt) {
		<-time.After(randomDuration(random, 0, longestPause))
		endFault := tb.beginFault("bad-answers", allGateways, false, true)
		mode := []failureMode{erring, resetting}[random.IntN(2)]
		var ends []func()
		for _, u := range tb.upstreams {
			ends = append(ends, u.disruptions.begin())
			u.bad.Store(int32(mode))
		}
		tb.startInSeries(random, randomDuration(random, 2*time.Second, longest))
		for i, u := range tb.upstreams {
			u.bad.Store(int32(healthy))
			ends[i]()
		}
		endFault()
	}
}

// startInSeries makes gateways start again for a time.
func (tb *testbed) startInSeries(random *rand.Rand, during time.Duration) {
	how, one := random.IntN(4), random.IntN(gateways)
	signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGKILL, syscall.SIGTERM}[random.IntN(3)]
	gap := randomDuration(random, 300*time.Millisecond, 3*time.Second)
	if tb.plays(heldFromSeed) {
		signal = syscall.SIGTERM
	}
	if !tb.ends(signal) {
		<-time.After(during)
		return
	}
	for n, end := 0, time.Now().Add(during); time.Now().Before(end); n++ {
		<-time.After(gap)
		switch how {
		case 0:
			tb.startAgain(allGateways, signal)
		case 1:
			tb.startAgain(n%gateways, signal)
		case 2:
			tb.startAgain(one, signal)
		}
	}
}

// startAgain signals a gateway, or all of them, and returns when they start again if they were
// killed.
func (tb *testbed) startAgain(gateway int, signal syscall.Signal) {
	name := map[syscall.Signal]string{syscall.SIGKILL: "kill", syscall.SIGTERM: "stop"}[signal]
	defer tb.beginFault(name, gateway, false, false)()
	for i, g := range tb.processes {
		if gateway == allGateways || gateway == i {
			g.signal(signal)
		}
	}
	<-time.After(restartDelay)
}

// checkRepeats checks that no service got more repeats in any window than the limit allows, by
// the largest slack that any gateway has had.
func (tb *testbed) checkRepeats() {
	for _, calls := range [][]call{tb.calls, tb.probes} {
		for _, c := range calls {
			tb.requestLog.repeats[serviceOf(c.path)].Sent(c.sent)
		}
	}
	slack := initialSlack
	for _, g := range tb.processes {
		slack = max(slack, g.largestSlack)
	}
	for service, log := range tb.requestLog.repeats {
		worst := log.Worst(repeats.Limit{Ratio: tb.retryRatio(), Slack: float64(slack), Window: tb.retryWindow()})
		tb.mostRepeats = append(tb.mostRepeats, fmt.Sprintf("%s %d of %.1f", service, worst.Repeats, worst.Allowed))
		if worst.Exceeds() {
			tb.report(fmt.Sprintf("%s got %d repeats in the %s from %.3f s, %.1f were allowed for %d requests",
				service, worst.Repeats, tb.retryWindow(), worst.From.Sub(tb.startedAt).Seconds(), worst.Allowed, worst.Requests))
		}
	}
}
