package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// The scheduler stops gracefully while callers go on. Its successor must take over
// without a request that is cut or waits for long.
func TestSchedulerStopDisturbsNoRequest(t *testing.T) {
	runFleet(t, func(f *fleet) {
		go f.stop(0)
		for range 20 {
			for _, o := range []outcome{f.call(1, "/old/x", "a"+time.Now().String()), f.call(2, "/old/x", "b"+time.Now().String())} {
				require.NoError(t, o.err)
				require.Equal(t, http.StatusOK, o.status)
				require.Less(t, o.took, time.Second)
			}
		}
		bubble.Sleep(10 * time.Second)
	})
}

// Guards against refused requests while all gateways stop shortly after one another and
// the engines are idle: a stream was expected to take its route's time-out of 15 s
// instead of the half second that it takes, and no gateway was the scheduler once the
// last one had begun to stop.
func TestOverlappingStopsRefuseNoRequest(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.warmUp()
		for i := range gateways {
			go f.stop(i)
			bubble.Sleep(750 * time.Millisecond)
		}
		for i := range gateways {
			o := f.call(i, "/old/x", "after"+strconv.Itoa(i))
			require.NoError(t, o.err)
			require.Equal(t, http.StatusOK, o.status, "gateway %d", i)
		}
		bubble.Sleep(10 * time.Second)
	})
}

// A stopping gateway gets a request that takes longer than the rest of its grace period
// and would be cut. It must refuse the request at once, with a Retry-After of 10 ms,
// as another gateway has the time.
func TestStoppingGatewayLeavesLongStreamsToOthers(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.warmUp()
		go f.stop(0)
		bubble.Sleep(3 * time.Second)
		o := f.callFor(0, "/old/x", "long", "1000,9000", "300")
		require.NoError(t, o.err)
		require.Equal(t, http.StatusServiceUnavailable, o.status)
		require.Less(t, o.took, 50*time.Millisecond)
		require.Equal(t, "0.010", o.retryAfter)
		require.Equal(t, http.StatusOK, f.callFor(1, "/old/x", "again", "1000,9000", "300").status)
		bubble.Sleep(10 * time.Second)
	})
}

// Guards against cutting a stream that is accepted late in a stop and becomes longer
// than its length hint: the caller must get all of it, or an immediate refusal.
func TestStreamLongerThanItsHintIsNotCutByStop(t *testing.T) {
	var o outcome
	runFleet(t, func(f *fleet) {
		f.warmUp()
		go f.stop(0)
		bubble.Sleep(3200 * time.Millisecond)
		o = f.callFor(0, longPath, "outruns", "1000,2940", "12")
		bubble.Sleep(10 * time.Second)
	})
	require.NoError(t, o.err)
	if o.status == http.StatusOK {
		require.Equal(t, longEvents, strings.Count(o.body, "data:"))
		return
	}
	require.Equal(t, http.StatusServiceUnavailable, o.status)
	require.Less(t, o.took, 50*time.Millisecond)
}

// Guards against cutting a stream that is accepted at any other moment after the first
// two seconds of a stop.
func TestStreamLongerThanItsHintIsNotCutLateInStop(t *testing.T) {
	for _, since := range []time.Duration{2050, 2500, 3000, 3500, 4000, 4500, 5000, 5500} {
		requireStreamNotCut(t, since*time.Millisecond, 1)
	}
}

// Guards against cutting a stream that is accepted in the first two seconds of a stop
// and becomes longer than its length hint, though another gateway could serve it.
func TestStreamTakenEarlyInAStopIsNotCut(t *testing.T) {
	for _, since := range []time.Duration{1000, 1500, 1900} {
		requireStreamNotCut(t, since*time.Millisecond, 1)
	}
}

// Guards against cutting a stream that is accepted late in a stop, because no other
// gateway accepts requests, and becomes longer than twice its length hint.
func TestLateStreamIsNotCutWhileAllGatewaysStop(t *testing.T) {
	for _, since := range []time.Duration{2500, 3200, 5000} {
		requireStreamNotCut(t, since*time.Millisecond, gateways)
	}
}

// Guards against a stopping gateway that refuses streams which surely end in time.
func TestStoppingGatewayServesStreamsThatSurelyEnd(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.warmUp()
		go f.callFor(0, longPath, "long", "1000,360", "360")
		bubble.Sleep(50 * time.Millisecond)
		go f.stop(0)
		for i := range 4 {
			o := f.callFor(0, "/old/x", "short"+strconv.Itoa(i), "1000,18", "18")
			require.NoError(t, o.err)
			require.Equal(t, http.StatusOK, o.status, "call %d", i)
			bubble.Sleep(time.Second)
		}
		bubble.Sleep(10 * time.Second)
	})
}

// requireStreamNotCut stops the given number of gateways, the first of which has a
// stream running, and later calls the first for a stream thirty times as long as its
// length hint. The caller must get all of it, or an immediate refusal.
func requireStreamNotCut(t *testing.T, since time.Duration, stopping int) {
	t.Helper()
	var o outcome
	runFleet(t, func(f *fleet) {
		f.warmUp()
		go f.callFor(0, longPath, "long", "1000,360", "360")
		bubble.Sleep(50 * time.Millisecond)
		for i := range stopping {
			go f.stop(i)
		}
		bubble.Sleep(since)
		o = f.callFor(0, longPath, "outruns", "1000,2940", "12")
		bubble.Sleep(10 * time.Second)
	})
	require.NoError(t, o.err, "%s after the stop", since)
	if o.status == http.StatusOK {
		require.Equal(t, longEvents, strings.Count(o.body, "data:"), "%s after the stop", since)
		return
	}
	require.Equal(t, http.StatusServiceUnavailable, o.status, "%s after the stop", since)
	require.Less(t, o.took, 50*time.Millisecond, "%s after the stop", since)
}
