package memory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
)

// Guards against connections that exceed the memory or the descriptors of a process: at most a
// quarter of its memory, and half of the descriptors that files leave.
func TestConnectionsAreBoundedByMemoryAndDescriptors(t *testing.T) {
	const perConnection = 32 << 10
	for _, vm := range []struct {
		memoryMB    int64
		descriptors int
	}{{134, 4100}, {160, 4100}, {184, 4200}, {284, 4200}, {536, 8192}, {134, 600}, {96, 600}} {
		limit := memory.ConnectionLimit(vm.memoryMB<<20, vm.descriptors)
		require.LessOrEqual(t, int64(limit)*perConnection, vm.memoryMB<<20/4, "%v", vm)
		require.LessOrEqual(t, 2*limit, vm.descriptors-200, "%v", vm)
		require.Greater(t, limit+1, min(int(vm.memoryMB<<20/4/perConnection), (vm.descriptors-200)/2), "%v", vm)
	}
	require.Equal(t, 1024, memory.ConnectionLimit(0, 0), "unknown limits are those of a small VM")
	require.Positive(t, memory.ConnectionLimit(1, 1))
}

// Guards against connections beyond the bound, and against a bound that is reached for good.
func TestConnectionsAreTakenUpToTheBound(t *testing.T) {
	a := memory.New(1000, nil)
	a.SetConnectionLimit(8)
	for i := range 8 {
		taken, crowded := a.TakeConnection()
		require.True(t, taken)
		require.Equal(t, i == 7, crowded)
	}
	taken, crowded := a.TakeConnection()
	require.False(t, taken)
	require.True(t, crowded)
	a.ReturnConnection()
	taken, _ = a.TakeConnection()
	require.True(t, taken)
	require.EqualValues(t, 1, a.Stats().ConnectionsRefused)
	require.Equal(t, 8, a.Stats().Connections)
	a.SetConnectionLimit(0)
	taken, crowded = a.TakeConnection()
	require.True(t, taken)
	require.False(t, crowded)
	var none *memory.Account
	taken, _ = none.TakeConnection()
	require.True(t, taken)
	none.ReturnConnection()
}
