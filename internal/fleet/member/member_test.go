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

func lookup(t *testing.T, table *member.Table) *member.Upstream {
	u, ok := table.Upstream("tutor-1")
	require.True(t, ok)
	return u
}

func vmList(state vmlist.State, address string) []vmlist.VM {
	return []vmlist.VM{vmlist.NewAgent("tutor-1", "tutor", "v", address, "d", 1).WithState(state)}
}

// Guards against a replaced agent that never gets work: the old process reported
// that it is leaving, and its control stream ended. This must not prevent offers
// to the process that replaces it.
func TestLeavingIsResetWhenProcessEnds(t *testing.T) {
	table := member.New()
	table.Replace(vmList(vmlist.Live, "a:1"))
	u := lookup(t, table)
	u.Report(start, &wire.Load{Incarnation: 1, Leaving: true})
	require.False(t, u.Available(start))
	u.Disconnected()
	require.True(t, u.Available(start))
	u.Report(start, &wire.Load{Incarnation: 2})
	require.True(t, u.Connected())
}

// A late report of an ended process must not replace that of its successor.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	table := member.New()
	table.Replace(vmList(vmlist.Live, "a:1"))
	u := lookup(t, table)
	u.Report(start, &wire.Load{Incarnation: 2})
	u.Report(start.Add(time.Second), &wire.Load{Incarnation: 1, Leaving: true})
	require.Equal(t, uint64(2), u.Incarnation())
	require.True(t, u.Available(start.Add(time.Second)))
}

func TestListedAsLeavingIsUnavailable(t *testing.T) {
	table := member.New()
	table.Replace(vmList(vmlist.Live, "a:1"))
	u := lookup(t, table)
	u.Report(start, &wire.Load{Incarnation: 1})
	require.Empty(t, table.Replace(vmList(vmlist.Leaving, "a:1")))
	require.Same(t, u, lookup(t, table), "state must be retained at the same address")
	require.False(t, u.Available(start))
	require.Len(t, table.Replace(vmList(vmlist.Live, "b:1")), 1, "an upstream whose address changed must be returned as removed")
	require.NotSame(t, u, lookup(t, table))
}

// The clock by which an offer expires must never be ahead of the agent's own.
func TestClockIsLowerBound(t *testing.T) {
	table := member.New()
	table.Replace(vmList(vmlist.Live, "a:1"))
	u := lookup(t, table)
	_, known := u.Clock(start)
	require.False(t, known)
	u.Report(start, &wire.Load{Incarnation: 1, ClockMs: 5000})
	clock, known := u.Clock(start.Add(2 * time.Second))
	require.True(t, known)
	require.Equal(t, uint64(7000), clock)
}

func TestWorkSentCorrectsAnOlderReport(t *testing.T) {
	table := member.New()
	table.Replace(vmList(vmlist.Live, "a:1"))
	u := lookup(t, table)
	u.Report(start, &wire.Load{Incarnation: 1, Limit: 2, Running: 1})
	u.RecordSent(start, time.Second, 42)
	require.Equal(t, 2, u.View(start, 0).Jobs)
	require.True(t, u.HasPrefix(42))
	require.Equal(t, 1, u.View(start.Add(time.Minute), 0).Jobs, "sent work must not be counted after its lifetime")
}

func TestFailureBackoffGrows(t *testing.T) {
	table := member.New()
	table.Replace(vmList(vmlist.Live, "a:1"))
	u := lookup(t, table)
	u.RecordFailure(start)
	require.False(t, u.Available(start.Add(200*time.Millisecond)))
	require.True(t, u.Available(start.Add(300*time.Millisecond)))
	u.RecordFailure(start)
	require.False(t, u.Available(start.Add(300*time.Millisecond)))
}
