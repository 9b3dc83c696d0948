package roster_test

import (
	"testing"

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
