package roster_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

var start = time.Unix(1_000_000, 0)

func upstream(id string, revision int64, state roster.State) roster.Upstream {
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

// All registrations lapsed while the store was down, and all upstreams live.
// They register again within two seconds; dropping them at once would leave a
// whole service without an upstream for that time.
func TestLapsedRegistrationsAreRetainedAfterStoreOutage(t *testing.T) {
	r := roster.New()
	r.Replace(start, 5, []roster.Upstream{upstream("a", 1, roster.Ready), upstream("b", 2, roster.Ready), upstream("c", 3, roster.Draining)})
	back := start.Add(10 * time.Second)
	r.StoreRegained(back)
	r.Replace(back, 9, nil)
	require.Equal(t, []string{"a", "b"}, readyIDs(r))
	_, known := r.Get("c")
	require.False(t, known, "one that said it leaves is gone at once")

	r.Put(upstream("a", 10, roster.Ready))
	require.False(t, r.Expire(back.Add(2*time.Second)))
	require.True(t, r.Expire(back.Add(3*time.Second)))
	require.Equal(t, []string{"a"}, readyIDs(r))
}

// Without an outage a registration that goes is that of an upstream that is
// gone: its address may soon be another service's.
func TestRemovedUpstreamIsDroppedAtOnce(t *testing.T) {
	r := roster.New()
	r.Put(upstream("a", 1, roster.Ready))
	r.Remove(start, "a", 2)
	require.Empty(t, readyIDs(r))
}

// A watch tells again what a peer told already, and a peer may be behind. What
// is older than what is known changes nothing.
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

// Guards against upstreams that leave and get work, that are gone and come back
// for good, or that are new and forgotten: a peer's list, read before, was taken
// between changes that the store told.
func TestOlderListDoesNotUndoChanges(t *testing.T) {
	r := roster.New()
	r.Replace(start, 99, []roster.Upstream{upstream("leaving", 90, roster.Ready), upstream("gone", 91, roster.Ready)})
	// The store tells of changes up to 106, one by one.
	r.Put(upstream("leaving", 103, roster.Draining))
	r.Remove(start, "gone", 104)
	r.Put(upstream("new", 105, roster.Ready))
	r.Replace(start, 102, []roster.Upstream{upstream("leaving", 90, roster.Ready), upstream("gone", 91, roster.Ready)})
	r.AdvanceRevision(106)

	require.Equal(t, []string{"new"}, readyIDs(r))
}

// Guards against a process that does nothing but rebuild its lists, because the
// heartbeats of some thousand upstreams come in each second.
func TestHeartbeatDoesNotRebuildLists(t *testing.T) {
	r := roster.New()
	r.Put(upstream("a", 1, roster.Ready))
	before := r.Ready("s")
	r.Put(upstream("a", 2, roster.Ready))
	require.Same(t, &before[0], &r.Ready("s")[0])
	require.Equal(t, int64(2), r.Revision())
	r.Remove(start, "a", 1)
	require.Equal(t, []string{"a"}, readyIDs(r), "the removal is older than the heartbeat")
	r.Put(upstream("a", 3, roster.Draining))
	require.Empty(t, readyIDs(r))
}

// BenchmarkHeartbeat takes one heartbeat of 3,000 upstreams.
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
		u.Revision = int64(i + 2)
		r.Put(u)
	}
}
