package soak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// slowedFromSeed is the first seed in which upstreams turn slow or pause while gateways stop,
	// one at a time, in overlapping series and all at once. Streams and timeouts differ in length.
	// Even seeds play nothing else but configurations.
	slowedFromSeed = 110000
	// stopGraceSlowed leaves time for streams that come late in a stop and end in it.
	stopGraceSlowed = 8 * time.Second
	slowedCallers   = 10 * gateways
	// learnTime is how long gateways learn the pace of upstreams before the first stop.
	learnTime = 1500 * time.Millisecond
	// longestStopGap is the longest gap between the stops of a series.
	longestStopGap = 3500 * time.Millisecond
	// minSlowness and maxSlowness bound how many times as long work takes at a slow upstream.
	minSlowness, maxSlowness = 5, 40
	minSlowTime, maxSlowTime = 300 * time.Millisecond, 3 * time.Second
	// firstSlowAt and lastSlowAt bound when in a stop upstreams turn slow.
	firstSlowAt, lastSlowAt = time.Second, 7 * time.Second
)

// grace returns the graceful stop time in the settings.
func (tb *testbed) grace() time.Duration {
	if tb.plays(slowedFromSeed) {
		return stopGraceSlowed
	}
	return stopGrace
}

// slowness is how much longer work takes at an upstream than usual.
type slowness struct {
	mu     sync.Mutex
	factor float64
	// factorEndsAt is when the factor no longer applies, resumesAt the end of a pause.
	factorEndsAt, resumesAt time.Time
}

// slowDown makes work take factor times as long for a time.
func (s *slowness) slowDown(factor float64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor, s.factorEndsAt = factor, until
}

// hold makes work pause until a time.
func (s *slowness) hold(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumesAt = until
}

func (s *slowness) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factorEndsAt, s.resumesAt = time.Time{}, time.Time{}
}

// remaining returns how long work that begins now takes, if it usually takes d, and until when it
// pauses before.
func (s *slowness) remaining(now time.Time, d time.Duration) (work, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.factorEndsAt) {
		d = time.Duration(s.factor * float64(d))
	}
	return d, s.resumesAt.Sub(now)
}

// work waits as long as work takes that usually takes d.
func (u *upstream) work(ctx context.Context, d time.Duration) {
	for {
		work, wait := u.slowness.remaining(time.Now(), d)
		if wait <= 0 {
			factor, _ := u.pace()
			pause(ctx, time.Duration(factor*float64(work)))
			return
		}
		pause(ctx, wait)
		if ctx.Err() != nil {
			return
		}
	}
}

// stopAmidSlowness stops gateways until the faults end: one, all in a series or all at once. Some
// stops begin while others last. Each has upstreams turn slow or pause at random times.
func (tb *testbed) stopAmidSlowness() {
	random := rand.New(rand.NewPCG(tb.seed, 0x736c6f77))
	var running sync.WaitGroup
	defer running.Wait()
	<-time.After(learnTime)
	for time.Now().Before(tb.faultsEndAt) {
		stopped := random.Perm(gateways)
		var gap time.Duration
		switch random.IntN(3) {
		case 0:
			stopped = stopped[:1]
		case 1:
			gap = randomDuration(random, 200*time.Millisecond, longestStopGap)
		}
		for _, i := range stopped {
			slowRandom := rand.New(rand.NewPCG(random.Uint64(), tb.seed))
			running.Go(func() { tb.stopGateway(i) })
			running.Go(func() { tb.slowUpstreams(slowRandom) })
			<-time.After(gap)
		}
		<-time.After(randomDuration(random, 500*time.Millisecond, 4*time.Second))
	}
}

func (tb *testbed) stopGateway(i int) {
	defer tb.beginFault("stop", i, false, false)()
	tb.processes[i].signal(syscall.SIGTERM)
	<-time.After(tb.grace())
}

// slowUpstreams has upstreams turn slow or pause up to twice in a stop that begins now.
func (tb *testbed) slowUpstreams(random *rand.Rand) {
	stopAt := time.Now()
	first := randomDuration(random, firstSlowAt, lastSlowAt)
	for _, at := range []time.Duration{first, first + randomDuration(random, maxSlowTime/2, 2*maxSlowTime)} {
		if at > lastSlowAt {
			return
		}
		<-time.After(time.Until(stopAt.Add(at)))
		until := time.Now().Add(randomDuration(random, minSlowTime, maxSlowTime))
		factor := minSlowness + random.Float64()*(maxSlowness-minSlowness)
		pauses, spared := random.IntN(3) == 0, random.IntN(2*len(tb.upstreams))
		for j, u := range tb.upstreams {
			switch {
			case j == spared:
			case pauses:
				u.slowness.hold(until)
			default:
				u.slowness.slowDown(factor, until)
			}
		}
	}
}
