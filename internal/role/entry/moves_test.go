package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/member"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/vmlist"
)

// A good version was taken back on the word of a VM that had been replaced days
// before, and an entry's memory grew with every VM that came and went.
// An upstream brakes itself, its VM is replaced by one of another name; what the
// old one said must go with it.
func TestReportsGoWithTheirUpstreams(t *testing.T) {
	m := newMoves(&Entry{})
	table := member.New()
	table.Replace([]vmlist.VM{vmlist.NewAgent("tutor-1", "tutor", "easel-2", "a:1", "d", 1)})
	old, ok := table.Upstream("tutor-1")
	require.True(t, ok)
	m.learn(old, &wire.Notice{Load: &wire.Load{Incarnation: 1, Blocked: wire.Decline_REASON_BRAKED}})
	require.Len(t, m.reports, 1)
	for _, gone := range table.Replace([]vmlist.VM{vmlist.NewAgent("tutor-2", "tutor", "easel-2", "b:1", "d", 1)}) {
		m.forget(gone)
	}
	require.Empty(t, m.reports)
}
