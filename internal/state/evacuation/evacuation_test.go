package evacuation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/evacuation"
)

func TestLaterRevisionsReplaceEarlierOnes(t *testing.T) {
	var s evacuation.Set
	require.Equal(t, evacuation.Change{Begun: []string{"a", "b"}}, s.Replace(5, []string{"b", "a", "a"}))
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
	s.Replace(5, []string{"a"})
	s.Advance(9)
	require.True(t, s.Replace(8, nil).Empty())
	require.True(t, s.Apply(9, "a", false).Empty())
	require.True(t, s.Contains("a"))
	require.False(t, s.Apply(10, "a", false).Empty())
}
