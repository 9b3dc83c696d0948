package board_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a log record without the workspaces that wait, or with all of many.
func TestStatsNameTheWorkspacesThatWait(t *testing.T) {
	b := newHeldScheduler(startTime, "large")
	require.Empty(t, b.Stats(startTime).Workspaces)
	for i := range 3 {
		b.Submit(startTime, newWorkspaceRequest(startTime, "l"+strconv.Itoa(i), "large", i))
	}
	b.Submit(startTime, newWorkspaceRequest(startTime, "n", "", 9))
	require.Equal(t, "large:3/1 (none):1/0", b.Stats(startTime).Workspaces)
	for i := range 30 {
		b.Submit(startTime, newWorkspaceRequest(startTime, "m"+strconv.Itoa(i), "w"+strconv.Itoa(i), 10+i))
	}
	names := strings.Fields(b.Stats(startTime.Add(time.Millisecond)).Workspaces)
	require.Len(t, names, 21)
	require.Equal(t, "(others):12/0", names[20])
}
