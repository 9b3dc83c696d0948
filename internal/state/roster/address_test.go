package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// at returns an upstream at an address that was registered at a revision.
func at(id, address string, startedAtMs, revision int64, state roster.State) roster.Upstream {
	return roster.Upstream{
		ID: id, Service: "s", Address: address, Slots: 4, State: state, StartedAtMs: startedAtMs,
		Revision: kv.At(1, revision), CreatedRevision: revision,
	}
}

// Guards against requests to an upstream that ends, by an entry that names its address, and
// against a proper upstream that is left out because of another entry at its address.
func TestAddressBelongsToOneUpstream(t *testing.T) {
	const address = "10.0.0.1:80"
	for name, c := range map[string]struct {
		entries []roster.Upstream
		ready   []string
	}{
		"entry beside a ready upstream":              {[]roster.Upstream{at("u", address, 5, 1, roster.Ready), at("odd", address, 5, 2, roster.Ready)}, []string{"odd", "u"}},
		"entry beside a draining upstream":           {[]roster.Upstream{at("u", address, 5, 1, roster.Draining), at("odd", address, 5, 2, roster.Ready)}, nil},
		"entry without a start beside a draining":    {[]roster.Upstream{at("u", address, 5, 1, roster.Draining), at("odd", address, 0, 2, roster.Ready)}, nil},
		"entry at another address":                   {[]roster.Upstream{at("u", address, 5, 1, roster.Draining), at("v", "10.0.0.1:81", 5, 2, roster.Ready)}, []string{"v"}},
		"successor beside a stale ready entry":       {[]roster.Upstream{at("old", address, 5, 1, roster.Ready), at("u", address, 6, 2, roster.Ready)}, []string{"old", "u"}},
		"successor beside a stale draining entry":    {[]roster.Upstream{at("old", address, 5, 1, roster.Draining), at("u", address, 6, 2, roster.Ready)}, []string{"u"}},
		"upstream beside a later entry that drains":  {[]roster.Upstream{at("u", address, 5, 1, roster.Ready), at("odd", address, 9, 2, roster.Draining)}, []string{"u"}},
		"starts are unknown":                         {[]roster.Upstream{at("old", address, 0, 1, roster.Draining), at("u", address, 0, 2, roster.Ready)}, []string{"u"}},
		"upstream started again under the same ID":   {[]roster.Upstream{at("u", address, 5, 1, roster.Draining), at("u", address, 5, 2, roster.Ready)}, []string{"u"}},
		"registered in the same revision, one of 32": {[]roster.Upstream{at("old", address, 5, 1, roster.Draining), at("u", address, 5, 1, roster.Ready)}, []string{"u"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			for _, u := range c.entries {
				r.Put(u)
			}
			require.Equal(t, c.ready, readyIDs(r))
		})
	}
}

// Guards against an entry that draws requests to an address once the upstream there has left,
// however long ago.
func TestEntryIsNotUsedAfterTheUpstreamAtItsAddressLeft(t *testing.T) {
	const address = "10.0.0.1:80"
	r := roster.New()
	r.Put(at("u", address, 5, 1, roster.Ready))
	r.Put(at("odd", address, 5, 2, roster.Ready))
	r.Remove(start, "u", kv.At(1, 3))
	require.Empty(t, readyIDs(r))
	r.Expire(start.Add(time.Hour))
	r.Put(at("v", "10.0.0.2:80", 5, 4, roster.Ready))
	require.Equal(t, []string{"v"}, readyIDs(r))
	r.Put(at("successor", address, 6, 5, roster.Ready))
	require.Equal(t, []string{"successor", "v"}, readyIDs(r))
	r.Remove(start.Add(time.Hour), "odd", kv.At(1, 6))
	r.Expire(start.Add(3 * time.Hour))
	r.Put(at("u", address, 5, 7, roster.Ready))
	require.Equal(t, []string{"successor", "u", "v"}, readyIDs(r), "the upstream was cut off from the store")
}

// Guards against an upstream that is kept out after the system's process at its address ended.
func TestReservedAddressIsNoUpstreams(t *testing.T) {
	r := roster.New()
	r.Put(at("u", "10.0.0.1:80", 5, 1, roster.Ready))
	require.True(t, r.SetReserved(map[string]bool{"10.0.0.1:80": true}))
	require.False(t, r.SetReserved(map[string]bool{"10.0.0.1:80": true}))
	require.Empty(t, readyIDs(r))
	require.True(t, r.SetReserved(nil))
	require.Equal(t, []string{"u"}, readyIDs(r))
}
