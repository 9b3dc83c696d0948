package crash_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/crash"
)

var start = time.Unix(1_000_000, 0)

// One request crashes each upstream that begins to run it, and its caller sends
// it again and again. After the third crash no gateway sends it any more, also
// one that saw only some of the crashes itself. Requests that ran beside it
// once are not held for it.
func TestRequestIsRefusedAfterItsThirdCrash(t *testing.T) {
	const guilty, innocent = 1, 2
	other := crash.New(nil)
	r := crash.New(func(fingerprint uint64, upstream string) { other.Learn(start, fingerprint, upstream) })
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

// Answers get lost while their upstreams live: that is no crash, or a read that
// many callers make would be refused.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	r := crash.New(nil)
	for i := range 10 {
		now := start.Add(time.Duration(i) * 3 * time.Second)
		r.Broke(now, "a", 1)
		r.Down(now.Add(2*time.Second), "a")
	}
	require.False(t, r.Blocked(start.Add(30*time.Second), 1))
}
