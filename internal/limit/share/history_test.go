package share_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/share"
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// Guards against requests that no longer count although they have not arrived, and arrive at once.
func TestRequestThatMayStillArriveCountsUntilItIsSettled(t *testing.T) {
	const within = 4 * time.Second
	var h share.History
	h.Add(at(0))
	request := h.Await(at(0))
	require.Equal(t, 1, h.Count(at(1), within))
	require.Equal(t, 1, h.Count(at(60), within))
	require.Equal(t, within, h.Free(at(60), within, 1))
	require.Zero(t, h.Free(at(60), within, 2))
	h.Settle(at(61), request)
	require.Equal(t, 1, h.Count(at(64.9), within), "it may have arrived when it was settled")
	require.Equal(t, 100*time.Millisecond, h.Free(at(64.9), within, 1))
	require.Zero(t, h.Count(at(65), within))
}

// Guards against a limit that is used less because answers take time.
func TestRequestThatIsAnsweredSoonCountsFromItsSending(t *testing.T) {
	const within = 4 * time.Second
	var h share.History
	h.Add(at(0))
	h.Settle(at(0.5), h.Await(at(0)))
	require.Equal(t, 1, h.Count(at(3.9), within))
	require.Zero(t, h.Count(at(4), within))
}

// Guards against a request that counts twice after it was settled late.
func TestRequestThatIsSettledLateCountsOnce(t *testing.T) {
	const within = 10 * time.Second
	var h share.History
	h.Add(at(0))
	h.Add(at(1))
	request := h.Await(at(1))
	h.Add(at(2))
	require.Equal(t, 3, h.Count(at(5), within))
	h.Settle(at(6), request)
	require.Equal(t, 3, h.Count(at(9.9), within))
	require.Equal(t, 2, h.Count(at(11), within))
	require.Equal(t, 1, h.Count(at(12), within))
}
