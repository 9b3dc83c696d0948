// Package member is what one entry knows of the upstreams: who may exist, by
// the platform's lagging list, and who is alive and how busy, by what the
// agents themselves said last.
package member

import (
	"slices"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/dispatch/candidate"
	"github.com/persimmonridge/persimmonridge/internal/dispatch/index"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/vmlist"
	"github.com/persimmonridge/persimmonridge/internal/upstream/prefixcache"
)

const (
	// referenceGap is the gap between tokens at speed 1.
	referenceGap = 30 * time.Millisecond
	// failedFor is how long an upstream that could not be reached is passed
	// over at first; it doubles up to failedMost.
	failedFor  = 250 * time.Millisecond
	failedMost = 5 * time.Second
	// correctionFor is how long work sent is added to an older report.
	correctionFor = 5 * time.Second
	// defaultSlots is assumed of an upstream that has not reported.
	defaultSlots = 4
)

// Upstream is one upstream as this entry knows it. It is safe for concurrent
// use.
type Upstream struct {
	vm vmlist.VM

	mu          sync.Mutex
	listed      vmlist.State
	load        *wire.Load
	loadAt      time.Time
	heardAt     time.Time
	known       chan struct{}
	lost        bool
	sent        []sentWork
	failures    int
	failedUntil time.Time
}

// sentWork is a request sent after the last report.
type sentWork struct {
	at     time.Time
	work   time.Duration
	prefix uint64
}

func newUpstream(vm vmlist.VM) *Upstream {
	return &Upstream{vm: vm, listed: vm.State(), known: make(chan struct{})}
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.vm.Upstream() }

// Service returns what it serves.
func (u *Upstream) Service() string { return u.vm.Service() }

// Version returns the version it runs.
func (u *Upstream) Version() string { return u.vm.Version() }

// Address returns where its agent listens.
func (u *Upstream) Address() string { return u.vm.Address() }

// FailureDomain returns where it runs.
func (u *Upstream) FailureDomain() string { return u.vm.FailureDomain() }

// Report takes what the agent said of itself. An older incarnation's report
// never replaces a newer one's: incarnations rise.
func (u *Upstream) Report(now time.Time, load *wire.Load) {
	if load == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load != nil && load.GetIncarnation() < u.load.GetIncarnation() {
		return
	}
	if u.load == nil || u.lost {
		close(u.known)
	}
	u.load, u.loadAt, u.heardAt, u.lost = load, now, now, false
	u.sent = u.sent[:0]
	u.failures, u.failedUntil = 0, time.Time{}
}

// Heard notes that a message of the agent arrived.
func (u *Upstream) Heard(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heardAt = now
}

// HeardAt returns when a message of the agent last arrived, the zero time if
// none did.
func (u *Upstream) HeardAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.heardAt
}

// HeardWithin tells whether a message of the agent arrived within the time
// before now.
func (u *Upstream) HeardWithin(now time.Time, d time.Duration) bool {
	return now.Sub(u.HeardAt()) <= d
}

// Returning tells whether the agent's process ended, ends or cannot be reached, and
// was heard within the time before now, while the platform's list keeps its VM:
// another process probably takes its place.
func (u *Upstream) Returning(now time.Time, within time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listed == vmlist.Leaving || now.Sub(u.heardAt) > within {
		return false
	}
	return u.lost || u.load.GetLeaving() || now.Before(u.failedUntil)
}

// Lost notes that the control conversation ended. What the agent said last
// still counts as its load, but no longer forbids an offer: the process that
// was leaving may have been replaced.
func (u *Upstream) Lost() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load == nil || u.lost {
		return
	}
	u.lost = true
	u.known = make(chan struct{})
}

// Known returns a channel that is closed once the agent has said anything on
// its present control conversation.
func (u *Upstream) Known() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.known
}

// Incarnation returns the number of the agent's process, 0 if unknown.
func (u *Upstream) Incarnation() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load.GetIncarnation()
}

// Clock returns the least that the agent's own clock can show at now: what it
// last said and the time since that was heard. It errs towards early, which
// makes an offer void sooner and never later.
func (u *Upstream) Clock(now time.Time) (uint64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load == nil {
		return 0, false
	}
	return u.load.GetClockMs() + uint64(max(now.Sub(u.loadAt), 0).Milliseconds()), true
}

// Sent notes work sent there, to correct the last report.
func (u *Upstream) Sent(now time.Time, work time.Duration, prefix uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent = append(u.sent, sentWork{at: now, work: work, prefix: prefix})
}

// Failed notes that the agent could not be reached.
func (u *Upstream) Failed(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	pause := min(failedFor<<min(u.failures, 8), failedMost)
	u.failures++
	u.failedUntil = now.Add(pause)
}

// Available tells whether an offer is worth making: the agent is not leaving,
// not blocked, and was not found unreachable a moment ago.
func (u *Upstream) Available(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listed == vmlist.Leaving || now.Before(u.failedUntil) {
		return false
	}
	forbidden := u.load.GetLeaving() || u.load.GetBlocked() != wire.Decline_REASON_UNSPECIFIED
	return u.lost || !forbidden
}

// Leaving tells whether the upstream is known to be leaving.
func (u *Upstream) Leaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listed == vmlist.Leaving || !u.lost && u.load.GetLeaving()
}

// Connected tells whether the agent has spoken on a conversation that goes on.
func (u *Upstream) Connected() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load != nil && !u.lost
}

// Holds tells whether the upstream's cache probably holds the prefix: its
// agent said so, or this entry sent it there since.
func (u *Upstream) Holds(prefix uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if slices.Contains(u.load.GetPrefixes(), prefixcache.Mark(prefix)) {
		return true
	}
	return slices.ContainsFunc(u.sent, func(s sentWork) bool { return s.prefix == prefix })
}

// Listed returns what the platform's list says of the upstream.
func (u *Upstream) Listed() vmlist.State {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listed
}

// Load returns the last report, or nil.
func (u *Upstream) Load() *wire.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load
}

// View returns what the index needs, for a request of the tier. The speed is 0
// while none was measured.
func (u *Upstream) View(now time.Time, tier int) index.View {
	u.mu.Lock()
	defer u.mu.Unlock()
	v := index.View{Slots: defaultSlots}
	if u.load != nil {
		v.Slots = max(int(u.load.GetLimit()), 1)
		v.Jobs = int(u.load.GetRunning())
		if waits := u.load.GetWaitMs(); len(waits) > 0 {
			wait := time.Duration(waits[min(tier, len(waits)-1)]) * time.Millisecond
			v.Backlog = max(0, wait-now.Sub(u.loadAt)) * time.Duration(v.Slots)
		}
		for above, waiting := range u.load.GetWaiting() {
			if above <= tier {
				v.Jobs += int(waiting)
			}
		}
		if gap := u.load.GetTokenGapUs(); gap > 0 {
			v.Speed = float64(referenceGap.Microseconds()) / float64(gap)
		}
	}
	kept := u.sent[:0]
	for _, s := range u.sent {
		if now.Sub(s.at) > correctionFor {
			continue
		}
		kept = append(kept, s)
		v.Jobs++
		v.Backlog += s.work
	}
	u.sent = kept
	return v
}

// Group is the upstreams of one service and version, in the order of the list.
type Group struct {
	upstreams []*Upstream
	members   []candidate.Member
}

// Len returns the number of upstreams.
func (g *Group) Len() int { return len(g.upstreams) }

// At returns one upstream.
func (g *Group) At(i int) *Upstream { return g.upstreams[i] }

// Members returns the upstreams as hashing sees them.
func (g *Group) Members() []candidate.Member { return g.members }

type groupKey struct{ service, version string }

// Table holds all upstreams. It is safe for concurrent use.
type Table struct {
	mu        sync.RWMutex
	byName    map[string]*Upstream
	byAddress map[string]*Upstream
	groups    map[groupKey]*Group
	entries   []vmlist.VM
}

// New returns an empty table.
func New() *Table {
	return &Table{byName: make(map[string]*Upstream), groups: make(map[groupKey]*Group)}
}

// Replace takes a new list. An upstream that stands at the same address keeps
// what is known of it. Those gone are returned, so that links can be dropped.
func (t *Table) Replace(vms []vmlist.VM) []*Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	byName, byAddress := make(map[string]*Upstream), make(map[string]*Upstream)
	groups := make(map[groupKey]*Group)
	t.entries = t.entries[:0:0]
	for _, vm := range vms {
		if vm.Role() == vmlist.Entry {
			t.entries = append(t.entries, vm)
			continue
		}
		u := t.keep(vm)
		byName[vm.Upstream()] = u
		byAddress[vm.Address()] = u
		key := groupKey{vm.Service(), vm.Version()}
		if groups[key] == nil {
			groups[key] = &Group{}
		}
		groups[key].upstreams = append(groups[key].upstreams, u)
		groups[key].members = append(groups[key].members, candidate.NewMember(vm.Upstream(), vm.Weight()))
	}
	var gone []*Upstream
	for name, u := range t.byName {
		if byName[name] == nil || byName[name].Address() != u.Address() {
			gone = append(gone, u)
		}
	}
	t.byName, t.byAddress, t.groups = byName, byAddress, groups
	return gone
}

func (t *Table) keep(vm vmlist.VM) *Upstream {
	known := t.byName[vm.Upstream()]
	if known == nil || known.Address() != vm.Address() || known.Version() != vm.Version() {
		return newUpstream(vm)
	}
	known.mu.Lock()
	known.listed = vm.State()
	known.mu.Unlock()
	return known
}

// Group returns the upstreams of a service and version; it may be nil.
func (t *Table) Group(service, version string) *Group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.groups[groupKey{service, version}]
}

// Upstream returns one upstream by name.
func (t *Table) Upstream(name string) (*Upstream, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	u, ok := t.byName[name]
	return u, ok
}

// AtAddress returns the upstream whose agent listens there.
func (t *Table) AtAddress(address string) (*Upstream, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	u, ok := t.byAddress[address]
	return u, ok
}

// Service returns all upstreams of a service, of any version.
func (t *Table) Service(service string) []*Upstream {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var found []*Upstream
	for key, g := range t.groups {
		if key.service == service {
			found = append(found, g.upstreams...)
		}
	}
	return found
}

// All returns every upstream.
func (t *Table) All() []*Upstream {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]*Upstream, 0, len(t.byName))
	for _, u := range t.byName {
		all = append(all, u)
	}
	return all
}

// Versions returns the versions of a service that have upstreams.
func (t *Table) Versions(service string) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var versions []string
	for key := range t.groups {
		if key.service == service {
			versions = append(versions, key.version)
		}
	}
	return versions
}

// Entries returns the listed entry VMs.
func (t *Table) Entries() []vmlist.VM {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.entries
}
