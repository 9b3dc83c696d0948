package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

func process(startedAtMs int64) roster.Process {
	return roster.Process{ID: "u", StartedAtMs: startedAtMs}
}

func registration(startedAtMs, revision int64) roster.Upstream {
	return roster.Upstream{ID: "u", Service: "s", StartedAtMs: startedAtMs, Revision: kv.At(1, revision)}
}

// Guards against an upstream that said that it leaves and is used again: after a heartbeat,
// a registration that lapsed and came back, or a list of an older copy of the store.
func TestLeavingUpstreamStaysUnused(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := roster.New()
	r.Put(registration(5, 1))
	require.True(t, r.SetLeaving(now, process(5)))
	require.False(t, r.SetLeaving(now, process(5)), "no change")
	r.Put(registration(5, 2))
	require.Empty(t, r.Ready("s"))
	now = now.Add(10 * time.Minute)
	r.Expire(now)
	r.StoreRegained(now)
	r.Remove(now, "u", kv.At(1, 3))
	_, registered := r.Get("u")
	require.False(t, registered, "one that leaves is not retained")
	now = now.Add(30 * time.Second)
	r.Expire(now)
	r.Put(registration(5, 4))
	require.Empty(t, r.Ready("s"))
	r.Replace(now, kv.At(2, 1), []roster.Upstream{{ID: "u", Service: "s", StartedAtMs: 5, Revision: kv.At(2, 1)}})
	require.Empty(t, r.Ready("s"))
	require.True(t, r.IsLeaving(process(5)))
}

// Guards against a new process that is left out because its predecessor under the same ID
// left, and against one that is marked by late news of it.
func TestNewProcessOfALeavingUpstreamIsUsed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := roster.New()
	r.Put(registration(5, 1))
	r.SetLeaving(now, process(5))
	r.Put(registration(7, 2))
	require.Len(t, r.Ready("s"), 1)
	require.Empty(t, r.Leaving())
	require.False(t, r.SetLeaving(now, process(5)))
	r.Expire(now)
	require.False(t, r.SetLeaving(now, process(5)))
	require.Len(t, r.Ready("s"), 1)
	require.False(t, r.IsLeaving(process(7)))
}

// Guards against marks that are kept for upstreams that are gone for good.
func TestLeavingUpstreamsAreForgotten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := roster.New()
	r.SetLeaving(now, process(5))
	require.Empty(t, r.Leaving(), "not registered")
	require.True(t, r.IsLeaving(process(5)))
	r.Expire(now.Add(2 * time.Minute))
	require.False(t, r.IsLeaving(process(5)))
}
