package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An entry that was stopped went on holding claims, and their next owner had
// to find out by itself.
// A caller's request opens a partition while the process stops: the stop has
// already closed what it found, so what is opened later must not be kept.
func TestStoppedEntryKeepsNoPartition(t *testing.T) {
	c := newClaims(&Entry{})
	require.True(t, c.keep(0, nil))
	c.owned = nil
	c.close()
	require.False(t, c.keep(1, nil))
}
