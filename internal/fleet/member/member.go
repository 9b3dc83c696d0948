// Package member holds an entry's view of the upstreams: which ones may exist,
// by the platform's list, which lags, and which are alive and how loaded they
// are, by the last reports of their agents.
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
	// referenceTokenInterval is the time between output tokens at speed 1.
	referenceTokenInterval = 30 * time.Millisecond
	// minFailureBackoff is how long an upstream is not chosen after it was first
	// unreachable; it doubles with each failure, up to maxFailureBackoff.
	minFailureBackoff = 250 * time.Millisecond
	maxFailureBackoff = 5 * time.Second
	// sentWorkLifetime is how long sent work is added to an older load report.
	sentWorkLifetime = 5 * time.Second
	// defaultSlots is the assumed concurrency limit of an upstream that has not
	// reported.
	defaultSlots = 4
)

// Upstream is this entry's view of one upstream. It is safe for concurrent use.
type Upstream struct {
	vm vmlist.VM

	mu            sync.Mutex
	listed        vmlist.State
	load          *wire.Load
	loadAt        time.Time
	lastMessageAt time.Time
	reported      chan struct{}
	disconnected  bool
	sent          []sentWork
	failures      int
	failedUntil   time.Time
}

// sentWork is a request that was sent after the last load report.
type sentWork struct {
	at     time.Time
	work   time.Duration
	prefix uint64
}

func newUpstream(vm vmlist.VM) *Upstream {
	return &Upstream{vm: vm, listed: vm.State(), reported: make(chan struct{})}
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.vm.Upstream() }

// Service returns the service that the upstream serves.
func (u *Upstream) Service() string { return u.vm.Service() }

// Version returns the version that the upstream runs.
func (u *Upstream) Version() string { return u.vm.Version() }

// Address returns the address of the upstream's agent.
func (u *Upstream) Address() string { return u.vm.Address() }

// FailureDomain returns the failure domain of the upstream's VM.
func (u *Upstream) FailureDomain() string { return u.vm.FailureDomain() }

// Report applies a load report of the agent. A report of an older incarnation is
// ignored: incarnation numbers increase.
func (u *Upstream) Report(now time.Time, load *wire.Load) {
	if load == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load != nil && load.GetIncarnation() < u.load.GetIncarnation() {
		return
	}
	if u.load == nil || u.disconnected {
		close(u.reported)
	}
	u.load, u.loadAt, u.lastMessageAt, u.disconnected = load, now, now, false
	u.sent = u.sent[:0]
	u.failures, u.failedUntil = 0, time.Time{}
}

// RecordMessage records that a message of the agent arrived.
func (u *Upstream) RecordMessage(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastMessageAt = now
}

// LastMessageAt returns when a message of the agent last arrived, the zero time if
// none did.
func (u *Upstream) LastMessageAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastMessageAt
}

// ReceivedWithin reports whether a message of the agent arrived within the given
// time before now.
func (u *Upstream) ReceivedWithin(now time.Time, d time.Duration) bool {
	return now.Sub(u.LastMessageAt()) <= d
}

// Restarting reports whether the agent's process has ended, is leaving or is
// unreachable, but sent a message within the given time before now and its VM is
// still listed as live. Another process will then probably replace it.
func (u *Upstream) Restarting(now time.Time, within time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listed == vmlist.Leaving || now.Sub(u.lastMessageAt) > within {
		return false
	}
	return u.disconnected || u.load.GetLeaving() || now.Before(u.failedUntil)
}

// Disconnected records that the control stream ended. The last load report stays in
// use, but no longer prevents offers: the process that was leaving may have been
// replaced.
func (u *Upstream) Disconnected() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load == nil || u.disconnected {
		return
	}
	u.disconnected = true
	u.reported = make(chan struct{})
}

// Reported returns a channel that is closed once the agent has sent a load report
// on its current control stream.
func (u *Upstream) Reported() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reported
}

// Incarnation returns the incarnation of the agent's process, 0 if unknown.
func (u *Upstream) Incarnation() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load.GetIncarnation()
}

// Clock returns a lower bound of the agent's own clock at now: the last reported
// value plus the time since the report arrived. Because it is a lower bound, an
// offer may expire too early but never too late.
func (u *Upstream) Clock(now time.Time) (uint64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load == nil {
		return 0, false
	}
	return u.load.GetClockMs() + uint64(max(now.Sub(u.loadAt), 0).Milliseconds()), true
}

// RecordSent records work that was sent to the upstream, as a correction of the last
// load report.
func (u *Upstream) RecordSent(now time.Time, work time.Duration, prefix uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent = append(u.sent, sentWork{at: now, work: work, prefix: prefix})
}

// RecordFailure records that the agent was unreachable.
func (u *Upstream) RecordFailure(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	backoff := min(minFailureBackoff<<min(u.failures, 8), maxFailureBackoff)
	u.failures++
	u.failedUntil = now.Add(backoff)
}

// Available reports whether offers can be sent: the agent is neither leaving nor
// blocked, and was not recently unreachable.
func (u *Upstream) Available(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listed == vmlist.Leaving || now.Before(u.failedUntil) {
		return false
	}
	forbidden := u.load.GetLeaving() || u.load.GetBlocked() != wire.Decline_REASON_UNSPECIFIED
	return u.disconnected || !forbidden
}

// Leaving reports whether the upstream is known to be leaving.
func (u *Upstream) Leaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listed == vmlist.Leaving || !u.disconnected && u.load.GetLeaving()
}

// Connected reports whether the agent has sent a load report on a control stream
// that is still open.
func (u *Upstream) Connected() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load != nil && !u.disconnected
}

// HasPrefix reports whether the upstream's cache probably contains the prefix: its
// agent reported so, or this entry has sent it there since.
func (u *Upstream) HasPrefix(prefix uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if slices.Contains(u.load.GetPrefixes(), prefixcache.ShortKey(prefix)) {
		return true
	}
	return slices.ContainsFunc(u.sent, func(s sentWork) bool { return s.prefix == prefix })
}

// ListedState returns the state of the upstream's VM in the platform's list.
func (u *Upstream) ListedState() vmlist.State {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listed
}

// Load returns the last load report, or nil.
func (u *Upstream) Load() *wire.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load
}

// View returns the input of the index for a request of the tier. The speed is 0
// until one was measured.
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
		for waitingTier, waiting := range u.load.GetWaiting() {
			if waitingTier <= tier {
				v.Jobs += int(waiting)
			}
		}
		if gap := u.load.GetTokenGapUs(); gap > 0 {
			v.Speed = float64(referenceTokenInterval.Microseconds()) / float64(gap)
		}
	}
	recent := u.sent[:0]
	for _, s := range u.sent {
		if now.Sub(s.at) > sentWorkLifetime {
			continue
		}
		recent = append(recent, s)
		v.Jobs++
		v.Backlog += s.work
	}
	u.sent = recent
	return v
}

// Group holds the upstreams of one service and version, in the order of the
// list.
type Group struct {
	upstreams []*Upstream
	members   []candidate.Member
}

// Len returns the number of upstreams.
func (g *Group) Len() int { return len(g.upstreams) }

// At returns the i-th upstream.
func (g *Group) At(i int) *Upstream { return g.upstreams[i] }

// Members returns the upstreams in the form that candidate selection uses.
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

// Replace applies a new list. The state of an upstream with an unchanged address
// and version is retained. It returns the upstreams that no longer exist or have
// another address, so that their links can be dropped.
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
		u := t.reuseOrCreate(vm)
		byName[vm.Upstream()] = u
		byAddress[vm.Address()] = u
		key := groupKey{vm.Service(), vm.Version()}
		if groups[key] == nil {
			groups[key] = &Group{}
		}
		groups[key].upstreams = append(groups[key].upstreams, u)
		groups[key].members = append(groups[key].members, candidate.NewMember(vm.Upstream(), vm.Weight()))
	}
	var removed []*Upstream
	for name, u := range t.byName {
		if byName[name] == nil || byName[name].Address() != u.Address() {
			removed = append(removed, u)
		}
	}
	t.byName, t.byAddress, t.groups = byName, byAddress, groups
	return removed
}

func (t *Table) reuseOrCreate(vm vmlist.VM) *Upstream {
	known := t.byName[vm.Upstream()]
	if known == nil || known.Address() != vm.Address() || known.Version() != vm.Version() {
		return newUpstream(vm)
	}
	known.mu.Lock()
	known.listed = vm.State()
	known.mu.Unlock()
	return known
}

// Group returns the upstreams of a service and version, nil if there are none.
func (t *Table) Group(service, version string) *Group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.groups[groupKey{service, version}]
}

// Upstream returns an upstream by name.
func (t *Table) Upstream(name string) (*Upstream, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	u, ok := t.byName[name]
	return u, ok
}

// ByAddress returns the upstream whose agent listens at the address.
func (t *Table) ByAddress(address string) (*Upstream, bool) {
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
