package kv_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// Guards against a revision of a former era that counts as later because its number is
// higher.
func TestEraCountsBeforeNumber(t *testing.T) {
	former, later := kv.At(1, 500), kv.At(2, 3)
	require.Less(t, former, later)
	require.Less(t, kv.At(2, 2), later)
	require.Equal(t, int64(2), later.Era())
	require.Equal(t, int64(3), later.Number())
	require.Equal(t, int64(3), later.NumberIn(2))
	require.Zero(t, later.NumberIn(1))
	require.Equal(t, kv.Revision(500), kv.At(0, 500), "a store without eras")
}

func TestValuesOutOfRangeDoNotReachTheOtherPart(t *testing.T) {
	require.Equal(t, int64(1), kv.At(1, 1<<62).Era())
	require.Equal(t, int64(1), kv.At(1, -1).Era())
	require.Equal(t, int64(7), kv.At(1<<62, 7).Number())
	require.Positive(t, kv.At(1<<62, 7))
	require.Zero(t, kv.At(-1, 0))
}
