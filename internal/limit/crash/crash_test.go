package crash_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/crash"
)

var start = time.Unix(1_000_000, 0)

// A request crashes each upstream that executes it, and its caller keeps retrying.
// After the third crash no gateway sends it any more, not even one that was only told
// of the crashes. Requests that were executed alongside it once are not refused.
func TestRequestIsRefusedAfterItsThirdCrash(t *testing.T) {
	const guilty, innocent = 1, 2
	other := crash.New(nil)
	var r *crash.Tracker
	r = crash.New(func() {
		for _, report := range r.Reports(start) {
			other.RecordRemote(start, report, false)
		}
	})
	for i, upstream := range []string{"a", "b", "c"} {
		now := start.Add(time.Duration(i) * 5 * time.Second)
		require.False(t, r.Blocked(now, guilty))
		r.Broke(now, upstream, guilty)
		r.Broke(now, upstream, innocent+uint64(i))
		r.Down(now.Add(10*time.Millisecond), upstream)
	}
	now := start.Add(15 * time.Second)
	require.True(t, r.Blocked(now, guilty))
	require.True(t, other.Blocked(now, guilty))
	require.False(t, r.Blocked(now, innocent))
	require.False(t, r.Blocked(now.Add(time.Hour), guilty))
}

// Guards against refusing a read that many callers make: a lost answer of an upstream
// that is still running is not a crash.
func TestLostAnswersAreNotCrashes(t *testing.T) {
	r := crash.New(nil)
	for i := range 10 {
		now := start.Add(time.Duration(i) * 3 * time.Second)
		r.Broke(now, "a", 1)
		r.Down(now.Add(2*time.Second), "a")
	}
	require.False(t, r.Blocked(start.Add(30*time.Second), 1))
}
