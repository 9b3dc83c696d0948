package division_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/division"
)

var startTime = time.Unix(1_000_000, 0)

func newAccount(workspace string) *division.Account {
	return division.NewLedger().Account(startTime, division.Key{Service: "tutor", Workspace: workspace})
}

// Guards against usage that does not halve every two seconds.
func TestUsageHalvesEveryTwoSeconds(t *testing.T) {
	a := newAccount("w")
	a.Take(startTime)
	end := startTime.Add(100 * time.Millisecond)
	a.Free(end)
	used := a.Usage(end)
	require.InDelta(t, 0.1, used, 0.005)
	require.InDelta(t, used/2, a.Usage(end.Add(2*time.Second)), 1e-9)
	require.InDelta(t, used/8, a.Usage(end.Add(6*time.Second)), 1e-9)
}

// Guards against long streams that count when they begin or end only.
func TestLongStreamCountsForAsLongAsItHoldsItsSlot(t *testing.T) {
	long, short := newAccount("long"), newAccount("short")
	long.Take(startTime)
	now := startTime
	for range 150 {
		short.Take(now)
		now = now.Add(100 * time.Millisecond)
		short.Free(now)
		require.InDelta(t, short.Usage(now)+division.Advance.Seconds(), long.Usage(now), 1e-6, "one stream or many, one after another")
	}
	require.InDelta(t, 1, long.MeanHeld(now), 0.01)
	require.Equal(t, 1, long.Held())
}

// Guards against usage that depends on how often it is read, or that goes back with the time.
func TestUsageDoesNotDependOnReads(t *testing.T) {
	read, unread := newAccount("read"), newAccount("unread")
	for _, a := range []*division.Account{read, unread} {
		a.Take(startTime)
		a.Take(startTime.Add(time.Second))
	}
	for i := range 1000 {
		read.Usage(startTime.Add(time.Second + time.Duration(i)*time.Millisecond))
	}
	end := startTime.Add(2 * time.Second)
	require.InDelta(t, unread.Usage(end), read.Usage(end), 1e-9)
	require.InDelta(t, unread.Usage(end), unread.Usage(startTime), 1e-9)
}

// Guards against a queue that is counted as longer or shorter than it is for a workspace.
func TestGoBeforeCountsTheSlotsThatOthersGetFirst(t *testing.T) {
	mine, other := newAccount("mine"), newAccount("other")
	require.Equal(t, 3, mine.GoBefore(startTime, 3, other, 10), "equal usage alternates")
	require.Equal(t, 2, mine.GoBefore(startTime, 3, other, 2), "no more than wait")
	other.Take(startTime)
	require.Equal(t, 2, mine.GoBefore(startTime, 3, other, 10))
	now := startTime.Add(10 * time.Second)
	require.Zero(t, mine.GoBefore(now, 3, other, 10), "a workspace with more usage goes later")
	require.Equal(t, 10, other.GoBefore(now, 0, mine, 10), "one with less goes first")
}

// Guards against a ledger that grows with every workspace that was ever seen, and against the
// loss of one that holds a slot.
func TestAccountsWithoutSlotsAreForgotten(t *testing.T) {
	l := division.NewLedger()
	l.Account(startTime, division.Key{Workspace: "holds"}).Take(startTime)
	for i := range 100 {
		l.Account(startTime, division.Key{Workspace: strconv.Itoa(i)})
	}
	now := startTime.Add(2 * time.Minute)
	require.Equal(t, 1, l.Account(now, division.Key{Workspace: "holds"}).Held())
	require.Equal(t, 1, l.Size())
}
