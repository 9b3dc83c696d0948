package evacuation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/evacuation"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

var start = time.Unix(1_000_000, 0)

func TestLaterRevisionsReplaceEarlierOnes(t *testing.T) {
	var s evacuation.Set
	require.Equal(t, evacuation.Change{Begun: []string{"a", "b"}}, s.Replace(start, 5, []string{"b", "a", "a"}))
	require.True(t, s.Contains("a"))
	require.Equal(t, evacuation.Change{Ended: []string{"a"}}, s.Apply(6, "a", false))
	require.Equal(t, evacuation.Change{Begun: []string{"c"}}, s.Apply(7, "c", true))
	require.True(t, s.Apply(8, "c", true).Empty(), "an order that is repeated changes nothing")
	revision, domains := s.State()
	require.EqualValues(t, 8, revision)
	require.Equal(t, []string{"b", "c"}, domains)
}

// Guards against an evacuation that ends because a store or a peer is behind and does not
// know it yet.
func TestEvacuationIsNotEndedByWhatIsBehind(t *testing.T) {
	var s evacuation.Set
	s.Replace(start, 5, []string{"a"})
	s.Advance(9)
	require.True(t, s.Replace(start, 8, nil).Empty())
	require.True(t, s.Apply(9, "a", false).Empty())
	require.True(t, s.Contains("a"))
	require.False(t, s.Apply(10, "a", false).Empty())
}

// Guards against requests to an evacuated domain: the store came back from a copy that is
// older than the order, and the operators had not given it again yet.
func TestEvacuationMissingFromTheCopyHolds(t *testing.T) {
	var s evacuation.Set
	s.Replace(start, kv.At(1, 500), []string{"a", "b", "c"})
	require.True(t, s.Replace(start, kv.At(2, 400), nil).Empty())
	now := start.Add(time.Second)
	require.True(t, s.Replace(now, kv.At(3, 390), nil).Empty(), "the store comes back twice")
	require.True(t, s.Replace(now, kv.At(1, 600), nil).Empty(), "a late response of the first era")
	require.True(t, s.Apply(kv.At(3, 391), "a", true).Empty(), "ordered again")
	require.Equal(t, evacuation.Change{Ended: []string{"c"}}, s.Apply(kv.At(3, 392), "c", false))
	require.True(t, s.Expire(now.Add(2*time.Second)).Empty())
	require.Equal(t, []string{"a", "b"}, s.Domains())
	require.True(t, s.Contains("b"))
	_, told := s.State()
	require.Equal(t, []string{"a"}, told, "peers are told what the store says")
	require.Equal(t, evacuation.Change{Ended: []string{"b"}}, s.Expire(now.Add(3*time.Second)))
	require.Equal(t, []string{"a"}, s.Domains())
}
