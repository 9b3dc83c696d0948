package roster_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

var start = time.Unix(1_000_000, 0)

func upstream(id string, revision kv.Revision, state roster.State) roster.Upstream {
	return roster.Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 4, State: state, Revision: revision}
}

func readyIDs(r *roster.Roster) []string {
	var all []string
	for _, u := range r.Ready("s") {
		all = append(all, u.ID)
	}
	return all
}

func TestDrainingUpstreamIsNotReady(t *testing.T) {
	r := roster.New()
	r.Put(upstream("a", 1, roster.Ready))
	r.Put(upstream("b", 2, roster.Ready))
	r.Put(upstream("a", 3, roster.Draining))
	require.Equal(t, []string{"b"}, readyIDs(r))
	_, known := r.Get("a")
	require.True(t, known)
}

// Guards against a service without upstreams after a store outage: all registrations
// lapse during the outage, and live upstreams take up to two seconds to register again.
func TestLapsedRegistrationsAreRetainedAfterStoreOutage(t *testing.T) {
	r := roster.New()
	r.Replace(start, 5, []roster.Upstream{upstream("a", 1, roster.Ready), upstream("b", 2, roster.Ready), upstream("c", 3, roster.Draining)})
	regained := start.Add(10 * time.Second)
	r.StoreRegained(regained)
	r.Replace(regained, 9, nil)
	require.Equal(t, []string{"a", "b"}, readyIDs(r))
	_, known := r.Get("c")
	require.False(t, known, "a draining upstream must be dropped at once")

	r.Put(upstream("a", 10, roster.Ready))
	require.False(t, r.Expire(regained.Add(2*time.Second)))
	require.True(t, r.Expire(regained.Add(3*time.Second)))
	require.Equal(t, []string{"a"}, readyIDs(r))
}

// Without a store outage, a registration is removed only when its upstream has ended,
// and its address may soon belong to another service.
func TestRemovedUpstreamIsDroppedAtOnce(t *testing.T) {
	r := roster.New()
	r.Put(upstream("a", 1, roster.Ready))
	r.Remove(start, "a", 2)
	require.Empty(t, readyIDs(r))
}

// A watch delivers changes that a peer has already passed on, and a peer may be behind.
// Changes that are older than the known state must change nothing.
func TestOlderRevisionsChangeNothing(t *testing.T) {
	r := roster.New()
	r.Replace(start, 10, []roster.Upstream{upstream("a", 9, roster.Draining)})
	r.Put(upstream("a", 4, roster.Ready))
	require.Empty(t, readyIDs(r))
	r.Put(upstream("a", 12, roster.Ready))
	r.Remove(start, "a", 11)
	require.Equal(t, []string{"a"}, readyIDs(r))
	r.Replace(start, 8, nil)
	require.Equal(t, []string{"a"}, readyIDs(r))
}

// Guards against draining upstreams that get requests, removed ones that return and new
// ones that are lost: a peer's list, read earlier, was applied between later changes
// from the store.
func TestOlderListDoesNotUndoChanges(t *testing.T) {
	r := roster.New()
	r.Replace(start, 99, []roster.Upstream{upstream("draining", 90, roster.Ready), upstream("removed", 91, roster.Ready)})
	// The store delivers the changes up to revision 106 one by one.
	r.Put(upstream("draining", 103, roster.Draining))
	r.Remove(start, "removed", 104)
	r.Put(upstream("new", 105, roster.Ready))
	r.Replace(start, 102, []roster.Upstream{upstream("draining", 90, roster.Ready), upstream("removed", 91, roster.Ready)})
	r.AdvanceRevision(106)

	require.Equal(t, []string{"new"}, readyIDs(r))
}

// Guards against a process that is kept busy with rebuilding its lists by the
// heartbeats of some thousand upstreams a second.
func TestHeartbeatDoesNotRebuildLists(t *testing.T) {
	r := roster.New()
	r.Put(upstream("a", 1, roster.Ready))
	before := r.Ready("s")
	r.Put(upstream("a", 2, roster.Ready))
	require.Same(t, &before[0], &r.Ready("s")[0])
	require.Equal(t, kv.Revision(2), r.Revision())
	r.Remove(start, "a", 1)
	require.Equal(t, []string{"a"}, readyIDs(r), "a removal older than the heartbeat must be ignored")
	r.Put(upstream("a", 3, roster.Draining))
	require.Empty(t, readyIDs(r))
}

// BenchmarkHeartbeat applies heartbeats to a roster of 3,000 upstreams.
func BenchmarkHeartbeat(b *testing.B) {
	const count = 3000
	r := roster.New()
	list := make([]roster.Upstream, count)
	for i := range list {
		list[i] = upstream(strconv.Itoa(i), 1, roster.Ready)
	}
	r.Replace(start, 1, list)
	for i := 0; b.Loop(); i++ {
		u := list[i%count]
		u.Revision = kv.Revision(i + 2)
		r.Put(u)
	}
}
