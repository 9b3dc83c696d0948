package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stopped entry that still owns a partition, which its next
// owner then has to discover: a request opens the partition after the stop has
// closed all owned ones, so it must not be registered.
func TestStoppedEntryKeepsNoPartition(t *testing.T) {
	c := newClaims(&Entry{})
	require.True(t, c.addOwned(0, nil))
	c.owned = nil
	c.close()
	require.False(t, c.addOwned(1, nil))
}
