package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/member"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/vmlist"
)

// Guards against a rollback of a good version because of a report from a VM
// that no longer exists, and against unbounded growth of reports as VMs are
// replaced: when the VM of a stopped upstream is replaced by one of another
// name, its report must be removed.
func TestReportsAreRemovedWithUpstreams(t *testing.T) {
	m := newRollouts(&Entry{})
	table := member.New()
	table.Replace([]vmlist.VM{vmlist.NewAgent("tutor-1", "tutor", "easel-2", "a:1", "d", 1)})
	old, ok := table.Upstream("tutor-1")
	require.True(t, ok)
	m.recordReport(old, &wire.Notice{Load: &wire.Load{Incarnation: 1, Blocked: wire.Decline_REASON_BRAKED}})
	require.Len(t, m.reports, 1)
	for _, removed := range table.Replace([]vmlist.VM{vmlist.NewAgent("tutor-2", "tutor", "easel-2", "b:1", "d", 1)}) {
		m.removeReport(removed)
	}
	require.Empty(t, m.reports)
}
