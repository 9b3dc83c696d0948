package retry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonridge/persimmonridge/internal/fleet/membership"
	"github.com/persimmonridge/persimmonridge/internal/limit/retry"
	"github.com/persimmonridge/persimmonridge/internal/proof/repeats"
	_ "github.com/persimmonridge/persimmonridge/internal/proof/seed"
)

const (
	leaseTTL = 10 * time.Second
	// listDelay is how late a gateway that reaches the store learns of a registration.
	listDelay = 2 * time.Second
	// step is the time between two looks of the model at its processes.
	step = 250 * time.Millisecond
)

// vm is a VM whose gateway's process is killed and started, and may lose the store.
type vm struct {
	key        string
	running    bool
	cutOff     bool
	membership *membership.Membership
	budget     *retry.Budget
	listedAt   time.Time
	// reserved are the retries that wait for a slot, by the request.
	reserved []string
	// heldSince is when the first retry was held back that the process sent in this hold.
	heldSince time.Time
}

// modelFleet is a fleet with a store that holds the registrations.
type modelFleet struct {
	random   *rand.Rand
	settings retry.Settings
	vms      []*vm
	// leases holds until when the store keeps each registration.
	leases map[string]time.Time
	log    *repeats.Log
	sent   int
	// full is set while upstreams have no slot for retries, and holding while the retries that are
	// sent are held back on their way.
	full, holding bool
	held          []heldRetry
}

// heldRetry is a retry that was sent by a VM and has not arrived.
type heldRetry struct {
	by      *vm
	id      string
	settled func()
}

// Part implements retry.Ownership.
func (v *vm) Part(now time.Time) (float64, time.Time) {
	since, owns := v.membership.Owns(now)
	if !owns {
		return 0, since
	}
	others := 0
	for _, address := range v.membership.Addresses() {
		if address != v.key {
			others++
		}
	}
	return 1 / float64(others+1), since
}

// kill ends the process of a VM. Its connections are reset, and what was held back on them never
// arrives: plays of whole gateways have proxies and paused processes, which deliver it.
func (f *modelFleet) kill(v *vm) {
	v.running, v.heldSince = false, time.Time{}
	f.held = slices.DeleteFunc(f.held, func(r heldRetry) bool { return r.by == v })
}

// start replaces the process of a VM.
func (f *modelFleet) start(now time.Time, v *vm) {
	f.kill(v)
	v.running, v.reserved, v.listedAt = true, nil, time.Time{}
	v.membership = membership.New(leaseTTL + listDelay)
	v.budget = retry.New(f.settings, v)
	f.contact(now, v)
}

// contact renews a registration, or writes it, and reads the list.
func (f *modelFleet) contact(now time.Time, v *vm) {
	if v.cutOff || !v.running {
		return
	}
	registered := now.Before(f.leases[v.key])
	if first := v.listedAt.IsZero(); first || now.Sub(v.listedAt) >= listDelay {
		addresses := make(map[string]string)
		for key, until := range f.leases {
			if now.Before(until) {
				addresses[key] = key
			}
		}
		v.membership.Replace(addresses)
		if first && registered {
			v.membership.Succeeds()
		}
		if first || !registered {
			v.membership.Registered(now, now.Add(leaseTTL))
			registered = true
		}
		v.listedAt = now
	}
	if registered {
		f.leases[v.key] = now.Add(leaseTTL)
		v.membership.Renewed(now.Add(leaseTTL))
	}
}

// request plays requests at a VM that all fail: each is sent again as often as the budget
// allows, some of them after a wait.
func (f *modelFleet) request(now time.Time, v *vm, count, attempts int) {
	for range count {
		f.sent++
		id := fmt.Sprint(f.sent)
		f.log.Sent(now)
		if !v.running {
			continue
		}
		v.budget.Sent(now, "s")
		f.log.Arrived(now, id)
		for range attempts {
			if v.budget.Reserve(now, "s") {
				v.reserved = append(v.reserved, id)
			}
		}
	}
}

// send sends the retries that wait at a VM.
func (f *modelFleet) send(now time.Time, v *vm) {
	for _, id := range v.reserved {
		if !v.budget.Spend(now, "s") {
			continue
		}
		retry := heldRetry{by: v, id: id, settled: v.budget.Await("s")}
		if f.holding && v.heldSince.IsZero() {
			v.heldSince = now
		}
		// Upstreams that are silent for a while get no retries; others do.
		if f.holding && now.Sub(v.heldSince) <= time.Second {
			f.held = append(f.held, retry)
			continue
		}
		f.arrive(now, retry)
	}
	v.reserved = nil
}

// arrive records that a retry reaches its upstream, which answers.
func (f *modelFleet) arrive(now time.Time, r heldRetry) {
	f.log.Arrived(now, r.id)
	r.settled()
}

// hold begins to hold retries back, or lets all arrive.
func (f *modelFleet) hold(now time.Time, holding bool) {
	f.holding = holding
	for _, v := range f.vms {
		v.heldSince = time.Time{}
	}
	for _, r := range f.held {
		if !holding {
			f.arrive(now, r)
		}
	}
	if !holding {
		f.held = nil
	}
}

// disturb plays an event that may happen at any moment.
func (f *modelFleet) disturb(now time.Time) {
	v := f.vms[f.random.IntN(len(f.vms))]
	switch f.random.IntN(10) {
	case 0, 1:
		f.start(now, v)
	case 2:
		f.kill(v)
	case 3:
		for _, v := range f.vms {
			f.start(now, v)
		}
	case 4:
		v.cutOff = !v.cutOff
	case 5:
		for _, other := range f.vms {
			other.cutOff = !v.cutOff
		}
	case 6, 7:
		f.full = !f.full
	case 8, 9:
		f.hold(now, !f.holding)
	}
}

// play plays a time in which all VMs get requests, each of which fails a number of times, and
// an event in one of some steps; 0 for none. Retries wait while the upstreams are full.
func (f *modelFleet) play(now time.Time, during time.Duration, requests, attempts, stepsPerEvent int) time.Time {
	for end := now.Add(during); now.Before(end); now = now.Add(step) {
		if stepsPerEvent > 0 && f.random.IntN(stepsPerEvent) == 0 {
			f.disturb(now)
		}
		for _, v := range f.vms {
			f.contact(now, v)
			f.request(now, v, requests, attempts)
			if !f.full {
				f.send(now, v)
			}
		}
	}
	return now
}

// Guards against a sum of repeats over the fleet that exceeds its limit in any window, for any
// order of kills, starts, new VMs, losses of the store, loads, waits for a slot and delays on the way.
func TestRepeatsOfRandomFleetsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &modelFleet{
			settings: retry.Settings{Ratio: 0.2, Slack: rapid.SampledFrom([]float64{0, 20, 300}).Draw(t, "slack"), Window: 10 * time.Second},
			leases:   make(map[string]time.Time), log: repeats.NewLog(), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		}
		now := time.Unix(1_000_000, 0)
		later := rapid.IntRange(0, 5).Draw(t, "VMs that start later")
		for i := range 6 {
			f.vms = append(f.vms, &vm{key: fmt.Sprint("vm-", i), membership: membership.New(0)})
			if i >= later {
				f.start(now, f.vms[i])
			}
		}
		requests := rapid.IntRange(1, 8).Draw(t, "requests")
		calm := rapid.SampledFrom([]time.Duration{0, 15 * time.Second, 40 * time.Second}).Draw(t, "calm")
		now = f.play(now, calm, requests, 0, rapid.SampledFrom([]int{0, 40}).Draw(t, "calm events"))
		f.hold(now, rapid.Bool().Draw(t, "held back at first"))
		now = f.play(now, 25*time.Second, requests, 6, rapid.SampledFrom([]int{0, 4, 40}).Draw(t, "events"))
		f.hold(now, false)
		f.play(now, 10*time.Second, requests, 6, 0)
		worst := f.log.Worst(repeats.Limit{Ratio: f.settings.Ratio, Slack: f.settings.Slack, Window: f.settings.Window})
		require.False(t, worst.Exceeds(), "%d repeats of %d requests, %.1f are allowed", worst.Repeats, worst.Requests, worst.Allowed)
	})
}
