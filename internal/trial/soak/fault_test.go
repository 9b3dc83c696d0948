package soak_test

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/persimmonridge/persimmonridge/platform/standin"
)

// reconnectTime is how long after the end of a fault time limits are not checked
// at an affected gateway.
const reconnectTime = 4 * time.Second

// fault is an injected fault and what it affects. Faults may overlap and come in
// series.
type fault struct {
	name string
	// gateway is the index of the affected gateway, or allGateways.
	gateway int
	// store and upstream are true for faults of the store and of upstreams, which
	// affect all gateways.
	store, upstream bool
	from, until     time.Time
}

// allGateways is the gateway index of faults that affect all gateways.
const allGateways = -1

// affects reports whether the fault, or the reconnectTime after it, overlaps the
// time span at the gateway.
func (f fault) affects(gateway int, from, until time.Time) bool {
	if !f.store && f.gateway != allGateways && f.gateway != gateway {
		return false
	}
	return f.from.Before(until) && (f.until.IsZero() || f.until.Add(reconnectTime).After(from))
}

// faultKind is a kind of fault. inject injects one and returns after its end.
type faultKind struct {
	name   string
	inject func(tb *testbed, r *rand.Rand)
}

// faultGroups are the groups of fault kinds that a seed selects from. The
// configChanges are always included, because configurations change all the time.
var faultGroups = [][]faultKind{
	{{"kill", kill}, {"stop", stop}, {"stop-series", stopSeries}, {"freeze", freeze}, {"settings", changeSettings}, {"herd", killMost}},
	{{"store", failStore}, {"store-link", disruptStoreLink}},
	{{"crash", crashUpstream}, {"leave", drainUpstream}, {"sick", misbehave}, {"upstream-link", disruptUpstreamLink}},
}

// faultGroups returns the groups that the seed selects from.
func (tb *testbed) faultGroups() [][]faultKind {
	if tb.plays(slowedFromSeed) && tb.seed%2 == 0 {
		return nil
	}
	return faultGroups
}

var configChanges = []faultKind{{"config", changeConfig}, {"config-series", changeConfigRepeatedly}, {"config-amid", changeConfigAmidFaults}}

func randomDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
}

func kill(tb *testbed, r *rand.Rand) {
	if !tb.ends(syscall.SIGKILL) {
		return
	}
	i := r.IntN(gateways)
	defer tb.beginFault("kill", i, false, false)()
	tb.processes[i].signal(syscall.SIGKILL)
	<-time.After(restartDelay)
}

// stop stops a gateway gracefully, which must not affect its callers.
func stop(tb *testbed, r *rand.Rand) {
	if !tb.ends(syscall.SIGTERM) {
		return
	}
	i := r.IntN(gateways)
	defer tb.beginFault("stop", i, false, false)()
	tb.processes[i].signal(syscall.SIGTERM)
	<-time.After(randomDuration(r, 100*time.Millisecond, stopGrace))
}

// stopSeries stops all gateways in short succession, so that for some seconds none
// of them is ready.
func stopSeries(tb *testbed, r *rand.Rand) {
	if !tb.ends(syscall.SIGTERM) {
		return
	}
	defer tb.beginFault("stop", allGateways, false, false)()
	gap := randomDuration(r, 10*time.Millisecond, 1500*time.Millisecond)
	for _, i := range r.Perm(gateways) {
		tb.processes[i].signal(syscall.SIGTERM)
		<-time.After(gap)
	}
	<-time.After(stopGrace)
}

func freeze(tb *testbed, r *rand.Rand) {
	i := r.IntN(gateways)
	defer tb.beginFault("freeze", i, false, false)()
	tb.processes[i].signal(syscall.SIGSTOP)
	<-time.After(randomDuration(r, 100*time.Millisecond, 3*time.Second))
	tb.processes[i].signal(syscall.SIGCONT)
}

func changeSettings(tb *testbed, r *rand.Rand) {
	tb.processes[r.IntN(gateways)].updateSettings(slackChangeBase+r.IntN(slackChangeRange), r.IntN(2) == 0)
}

func killMost(tb *testbed, r *rand.Rand) {
	if !tb.ends(syscall.SIGKILL) {
		return
	}
	defer tb.beginFault("herd", allGateways, false, false)()
	for _, g := range tb.processes {
		if r.IntN(4) > 0 {
			g.signal(syscall.SIGKILL)
		}
	}
	<-time.After(restartDelay)
}

func failStore(tb *testbed, r *rand.Rand) {
	defer tb.beginFault("store", allGateways, true, false)()
	if r.IntN(5) == 0 {
		tb.store.Compact()
		return
	}
	faults := []standin.Fault{standin.Busy, standin.Throttled, standin.NoResponse, standin.Reset, standin.ResponseLost}
	tb.store.SetFault(faults[r.IntN(len(faults))])
	<-time.After(randomDuration(r, 200*time.Millisecond, 4*time.Second))
	tb.store.SetFault(standin.None)
}

func disruptStoreLink(tb *testbed, r *rand.Rand) {
	i := r.IntN(gateways)
	defer tb.beginFault("store-link", i, false, false)()
	disruptLink(r, tb.storeLinks[i], new(disruptions))
}

func disruptUpstreamLink(tb *testbed, r *rand.Rand) {
	defer tb.beginFault("upstream-link", allGateways, false, true)()
	u := tb.upstreams[r.IntN(len(tb.upstreams))]
	disruptLink(r, u.relay, &u.disruptions)
}

// disruptable is a link that can be disturbed.
type disruptable interface {
	Silence() int
	Reset()
	SetDelay(d time.Duration)
	SetMute(mute bool)
}

// disruptLink disturbs the link and records a disruption if answers can be lost by
// it.
func disruptLink(r *rand.Rand, link disruptable, log *disruptions) {
	duration := randomDuration(r, 200*time.Millisecond, 2*time.Second)
	switch r.IntN(4) {
	case 0:
		defer log.begin()()
		link.Silence()
	case 1:
		defer log.begin()()
		link.Reset()
	case 2:
		link.SetDelay(randomDuration(r, time.Millisecond, 80*time.Millisecond))
		<-time.After(duration)
		link.SetDelay(0)
	case 3:
		defer log.begin()()
		link.SetMute(true)
		<-time.After(duration)
		link.SetMute(false)
	}
}

func crashUpstream(tb *testbed, r *rand.Rand) {
	defer tb.beginFault("crash", allGateways, false, true)()
	u := tb.upstreams[r.IntN(len(tb.upstreams))]
	if _, up := u.identity(); !up {
		return
	}
	defer u.disruptions.begin()()
	u.crash()
	<-time.After(randomDuration(r, 100*time.Millisecond, 2*time.Second))
	tb.restart(u)
}

// drainUpstream announces the drain of an upstream, which keeps serving for
// drainTime and is then replaced.
func drainUpstream(tb *testbed, r *rand.Rand) {
	u := tb.upstreams[r.IntN(len(tb.upstreams))]
	if !tb.reserveDrain(u) {
		return
	}
	u.drain()
	<-time.After(drainTime)
	defer u.disruptions.begin()()
	u.crash()
	tb.restart(u)
}

func misbehave(tb *testbed, r *rand.Rand) {
	defer tb.beginFault("sick", allGateways, false, true)()
	u := tb.upstreams[r.IntN(len(tb.upstreams))]
	mode := 1 + r.Int32N(int32(unresponsive))
	if failureMode(mode) != failing {
		defer u.disruptions.begin()()
	}
	u.failureMode.Store(mode)
	<-time.After(randomDuration(r, 200*time.Millisecond, 3*time.Second))
	u.failureMode.Store(int32(healthy))
}
