package soak_test

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/persimmonridge/persimmonridge/platform/standin"
)

// contact is how long after the end of a fault a gateway is not judged by what
// must be so within a time.
const contact = 4 * time.Second

// fault is one trouble and whom it befalls. Faults overlap and come in series.
type fault struct {
	name string
	// gateway is whom it befalls, or all of them.
	gateway int
	// store and upstream faults befall all that use them.
	store, upstream bool
	from, until     time.Time
}

const all = -1

// befalls tells whether a fault touched what the gateway needs in the span.
func (f fault) befalls(gateway int, from, until time.Time) bool {
	if !f.store && f.gateway != all && f.gateway != gateway {
		return false
	}
	return f.from.Before(until) && (f.until.IsZero() || f.until.Add(contact).After(from))
}

// maker makes one fault of a theme and returns after its end.
type maker struct {
	name string
	make func(w *world, r *rand.Rand)
}

// themes are groups of makers; a seed draws some of them, and always those of
// configurations, which change all day.
var themes = [][]maker{
	{{"kill", kill}, {"stop", stop}, {"stop-series", stopSeries}, {"freeze", freeze}, {"settings", settings}, {"herd", herd}},
	{{"store", storeFault}, {"store-link", storeLink}},
	{{"crash", crash}, {"leave", leave}, {"sick", sick}, {"upstream-link", upstreamLink}},
}

var configurations = []maker{{"config", configure}, {"config-series", configureSeries}, {"config-amid", configureAmid}}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func kill(w *world, r *rand.Rand) {
	i := r.IntN(gateways)
	defer w.fault("kill", i, false, false)()
	w.processes[i].signal(syscall.SIGKILL)
	<-time.After(restartAfter)
}

// stop is planned: the gateway is told, and its callers go on.
func stop(w *world, r *rand.Rand) {
	i := r.IntN(gateways)
	defer w.fault("stop", i, false, false)()
	w.processes[i].signal(syscall.SIGTERM)
	<-time.After(between(r, 100*time.Millisecond, grace))
}

// stopSeries tells all gateways to stop, one shortly after the other, so that for
// some seconds none is ready.
func stopSeries(w *world, r *rand.Rand) {
	defer w.fault("stop", all, false, false)()
	gap := between(r, 10*time.Millisecond, 1500*time.Millisecond)
	for _, i := range r.Perm(gateways) {
		w.processes[i].signal(syscall.SIGTERM)
		<-time.After(gap)
	}
	<-time.After(grace)
}

func freeze(w *world, r *rand.Rand) {
	i := r.IntN(gateways)
	defer w.fault("freeze", i, false, false)()
	w.processes[i].signal(syscall.SIGSTOP)
	<-time.After(between(r, 100*time.Millisecond, 3*time.Second))
	w.processes[i].signal(syscall.SIGCONT)
}

func settings(w *world, r *rand.Rand) {
	w.processes[r.IntN(gateways)].resettle(40+r.IntN(20), r.IntN(2) == 0)
}

func herd(w *world, r *rand.Rand) {
	defer w.fault("herd", all, false, false)()
	for _, g := range w.processes {
		if r.IntN(4) > 0 {
			g.signal(syscall.SIGKILL)
		}
	}
	<-time.After(restartAfter)
}

func storeFault(w *world, r *rand.Rand) {
	defer w.fault("store", all, true, false)()
	if r.IntN(5) == 0 {
		w.store.Compact()
		return
	}
	faults := []standin.Fault{standin.Busy, standin.Throttled, standin.Silent, standin.Reset, standin.Lost}
	w.store.SetFault(faults[r.IntN(len(faults))])
	<-time.After(between(r, 200*time.Millisecond, 4*time.Second))
	w.store.SetFault(standin.None)
}

func storeLink(w *world, r *rand.Rand) {
	i := r.IntN(gateways)
	defer w.fault("store-link", i, false, false)()
	harm(r, w.storeLinks[i], new(harms))
}

func upstreamLink(w *world, r *rand.Rand) {
	defer w.fault("upstream-link", all, false, true)()
	u := w.upstreams[r.IntN(len(w.upstreams))]
	harm(r, u.relay, &u.harms)
}

// harmed is a link that can be harmed.
type harmed interface {
	Silence() int
	Reset()
	SetDelay(d time.Duration)
	SetMute(mute bool)
}

// harm harms the link and notes it if answers are lost by it.
func harm(r *rand.Rand, link harmed, h *harms) {
	span := between(r, 200*time.Millisecond, 2*time.Second)
	switch r.IntN(4) {
	case 0:
		defer h.begin()()
		link.Silence()
	case 1:
		defer h.begin()()
		link.Reset()
	case 2:
		link.SetDelay(between(r, time.Millisecond, 80*time.Millisecond))
		<-time.After(span)
		link.SetDelay(0)
	case 3:
		defer h.begin()()
		link.SetMute(true)
		<-time.After(span)
		link.SetMute(false)
	}
}

func crash(w *world, r *rand.Rand) {
	defer w.fault("crash", all, false, true)()
	u := w.upstreams[r.IntN(len(w.upstreams))]
	if _, up := u.identity(); !up {
		return
	}
	defer u.harms.begin()()
	u.crash()
	<-time.After(between(r, 100*time.Millisecond, 2*time.Second))
	u.restart(w.nextUpstream(u.service))
}

// leave is planned: the upstream says so, serves on, and is replaced.
func leave(w *world, r *rand.Rand) {
	u := w.upstreams[r.IntN(len(w.upstreams))]
	if !w.mayLeave(u) {
		return
	}
	u.leave()
	<-time.After(leaveAfter)
	defer u.harms.begin()()
	u.crash()
	u.restart(w.nextUpstream(u.service))
}

func sick(w *world, r *rand.Rand) {
	defer w.fault("sick", all, false, true)()
	u := w.upstreams[r.IntN(len(w.upstreams))]
	s := 1 + r.Int32N(int32(dark))
	if sickness(s) != failing {
		defer u.harms.begin()()
	}
	u.sick.Store(s)
	<-time.After(between(r, 200*time.Millisecond, 3*time.Second))
	u.sick.Store(int32(well))
}
