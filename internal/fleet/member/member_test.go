package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/member"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/vmlist"
)

var start = time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)

func one(t *testing.T, table *member.Table) *member.Upstream {
	u, ok := table.Upstream("tutor-1")
	require.True(t, ok)
	return u
}

func list(state vmlist.State, address string) []vmlist.VM {
	return []vmlist.VM{vmlist.NewAgent("tutor-1", "tutor", "v", address, "d", 1).WithState(state)}
}

// A VM was replaced as planned and its successor got no work for the rest of
// the day.
// The old process said that it was leaving, and its conversation ended. That
// word is of the old process, so it must not forbid an offer to the next one.
func TestLeavingIsForgottenWithItsProcess(t *testing.T) {
	table := member.New()
	table.Replace(list(vmlist.Live, "a:1"))
	u := one(t, table)
	u.Report(start, &wire.Load{Incarnation: 1, Leaving: true})
	require.False(t, u.Available(start))
	u.Lost()
	require.True(t, u.Available(start))
	u.Report(start, &wire.Load{Incarnation: 2})
	require.True(t, u.Connected())
}

// A late report of a process that is gone must not replace its successor's.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	table := member.New()
	table.Replace(list(vmlist.Live, "a:1"))
	u := one(t, table)
	u.Report(start, &wire.Load{Incarnation: 2})
	u.Report(start.Add(time.Second), &wire.Load{Incarnation: 1, Leaving: true})
	require.Equal(t, uint64(2), u.Incarnation())
	require.True(t, u.Available(start.Add(time.Second)))
}

func TestListedAsLeavingGetsNothing(t *testing.T) {
	table := member.New()
	table.Replace(list(vmlist.Live, "a:1"))
	u := one(t, table)
	u.Report(start, &wire.Load{Incarnation: 1})
	require.Empty(t, table.Replace(list(vmlist.Leaving, "a:1")))
	require.Same(t, u, one(t, table), "what is known is kept")
	require.False(t, u.Available(start))
	require.Len(t, table.Replace(list(vmlist.Live, "b:1")), 1, "another address is another VM")
	require.NotSame(t, u, one(t, table))
}

// The clock that an offer is bound to must never be ahead of the agent's own.
func TestClockErrsTowardsEarly(t *testing.T) {
	table := member.New()
	table.Replace(list(vmlist.Live, "a:1"))
	u := one(t, table)
	_, known := u.Clock(start)
	require.False(t, known)
	u.Report(start, &wire.Load{Incarnation: 1, ClockMs: 5000})
	clock, known := u.Clock(start.Add(2 * time.Second))
	require.True(t, known)
	require.Equal(t, uint64(7000), clock)
}

func TestWorkSentCorrectsAnOlderReport(t *testing.T) {
	table := member.New()
	table.Replace(list(vmlist.Live, "a:1"))
	u := one(t, table)
	u.Report(start, &wire.Load{Incarnation: 1, Limit: 2, Running: 1})
	u.Sent(start, time.Second, 42)
	require.Equal(t, 2, u.View(start, 0).Jobs)
	require.True(t, u.Holds(42))
	require.Equal(t, 1, u.View(start.Add(time.Minute), 0).Jobs, "old corrections fade")
}

func TestUnreachableIsPassedOverForLonger(t *testing.T) {
	table := member.New()
	table.Replace(list(vmlist.Live, "a:1"))
	u := one(t, table)
	u.Failed(start)
	require.False(t, u.Available(start.Add(200*time.Millisecond)))
	require.True(t, u.Available(start.Add(300*time.Millisecond)))
	u.Failed(start)
	require.False(t, u.Available(start.Add(300*time.Millisecond)))
}
