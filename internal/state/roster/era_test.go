package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// created returns an upstream whose registration was created at a revision of its own.
func created(id string, at int64, revision kv.Revision, state roster.State) roster.Upstream {
	u := upstream(id, revision, state)
	u.CreatedRevision = at
	return u
}

// Guards against a roster that ignores all changes after the store came back from an
// older copy, whose revisions are lower.
func TestListOfALaterEraReplacesUpstreams(t *testing.T) {
	r := roster.New()
	r.Replace(start, kv.At(1, 500), []roster.Upstream{created("a", 1, kv.At(1, 499), roster.Ready), created("b", 2, kv.At(1, 500), roster.Ready)})
	require.True(t, r.Replace(start, kv.At(2, 400), []roster.Upstream{created("a", 1, kv.At(2, 395), roster.Ready), created("new", 398, kv.At(2, 398), roster.Ready)}))
	r.Put(created("newer", 401, kv.At(2, 401), roster.Ready))
	require.Subset(t, readyIDs(r), []string{"a", "new", "newer"})
	require.Equal(t, kv.At(2, 401), r.Revision())
}

// Guards against upstreams that are dropped because a copy of the store is older than
// their registration: they take up to two seconds to register again.
func TestUpstreamsMissingFromTheCopyAreRetained(t *testing.T) {
	r := roster.New()
	r.Replace(start, kv.At(1, 500), []roster.Upstream{created("old", 10, kv.At(1, 490), roster.Ready), created("new", 450, kv.At(1, 495), roster.Ready)})
	now := start
	// The store comes back twice within the time that upstreams have.
	for era := int64(2); era <= 3; era++ {
		r.Replace(now, kv.At(era, 400), []roster.Upstream{created("old", 10, kv.At(era, 400), roster.Ready)})
		now = now.Add(1900 * time.Millisecond)
		require.False(t, r.Expire(now))
		require.Equal(t, []string{"new", "old"}, readyIDs(r))
	}
	require.True(t, r.Expire(now.Add(time.Second)))
	require.Equal(t, []string{"old"}, readyIDs(r))
}

// Guards against requests to an upstream that left after the store came back: its
// registration was in the copy, so it needs no time to register again.
func TestUpstreamRemovedSinceTheCopyIsDroppedAtOnce(t *testing.T) {
	r := roster.New()
	r.Replace(start, kv.At(1, 500), []roster.Upstream{created("left", 10, kv.At(1, 490), roster.Ready), created("other", 11, kv.At(1, 495), roster.Ready)})
	r.Replace(start, kv.At(2, 400), []roster.Upstream{created("other", 11, kv.At(2, 399), roster.Ready)})
	require.Equal(t, []string{"other"}, readyIDs(r))
}

// Guards against a service without upstreams: all of its registrations lapsed while the
// store was away, and it came back from an older copy.
func TestServiceWhoseRegistrationsAllLapsedIsRetained(t *testing.T) {
	r := roster.New()
	other := created("other", 20, kv.At(1, 495), roster.Ready)
	other.Service = "other"
	r.Replace(start, kv.At(1, 500), []roster.Upstream{created("a", 10, kv.At(1, 490), roster.Ready), created("b", 11, kv.At(1, 490), roster.Ready), other})
	other.Revision = kv.At(2, 399)
	r.Replace(start, kv.At(2, 400), []roster.Upstream{other, created("b", 400, kv.At(2, 400), roster.Ready)})
	require.Equal(t, []string{"a", "b"}, readyIDs(r))
}

// Guards against requests to an upstream that had left or was draining: the copy to which
// the store came back still lists it as ready.
func TestCopyBringsBackNoUpstreamThatWasLeaving(t *testing.T) {
	r := roster.New()
	before := []roster.Upstream{upstream("draining", kv.At(1, 390), roster.Ready), upstream("left", kv.At(1, 390), roster.Ready), upstream("restarted", kv.At(1, 390), roster.Ready)}
	r.Replace(start, kv.At(1, 400), before)
	r.Put(upstream("draining", kv.At(1, 410), roster.Draining))
	r.Remove(start, "left", kv.At(1, 411))
	r.Remove(start, "restarted", kv.At(1, 412))

	copied := []roster.Upstream{upstream("draining", kv.At(2, 390), roster.Ready), upstream("left", kv.At(2, 390), roster.Ready), upstream("restarted", kv.At(2, 401), roster.Ready)}
	copied[2].StartedAtMs = 1
	r.Replace(start, kv.At(2, 402), copied)
	require.Equal(t, []string{"restarted"}, readyIDs(r))
	r.Replace(start, kv.At(2, 405), copied)
	require.Equal(t, []string{"restarted"}, readyIDs(r), "the same list again")
	for i := range copied {
		copied[i].Revision = kv.At(3, copied[i].Revision.Number())
	}
	r.Replace(start, kv.At(3, 402), copied)
	require.Equal(t, []string{"restarted"}, readyIDs(r), "the same copy again")

	r.Put(upstream("left", kv.At(3, 406), roster.Ready))
	r.Put(upstream("draining", kv.At(3, 407), roster.Ready))
	require.Equal(t, []string{"draining", "left", "restarted"}, readyIDs(r), "registrations that were written again")
}

// Guards against a late response or a peer of the former era that undoes what is known of
// the present one.
func TestFormerEraChangesNothing(t *testing.T) {
	r := roster.New()
	r.Replace(start, kv.At(1, 500), []roster.Upstream{upstream("a", kv.At(1, 490), roster.Ready)})
	r.Replace(start, kv.At(2, 400), []roster.Upstream{upstream("a", kv.At(2, 390), roster.Ready)})
	r.Put(upstream("b", kv.At(1, 501), roster.Ready))
	r.Put(upstream("a", kv.At(1, 502), roster.Draining))
	r.Remove(start, "a", kv.At(1, 503))
	r.AdvanceRevision(kv.At(1, 504))
	require.False(t, r.Replace(start, kv.At(1, 505), nil))
	require.Equal(t, []string{"a"}, readyIDs(r))
	require.Equal(t, kv.At(2, 400), r.Revision())
}
