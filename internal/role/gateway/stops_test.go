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

// The gateway that schedules stops, in order, while callers go on. The next one
// takes over, and no request is cut or waits for long.
func TestStopOfTheSchedulerIsNotNoticed(t *testing.T) {
	play(t, func(f *fleet) {
		go f.stop(0)
		for range 20 {
			for _, o := range []outcome{f.call(1, "/old/x", "a"+time.Now().String()), f.call(2, "/old/x", "b"+time.Now().String())} {
				require.NoError(t, o.err)
				require.Equal(t, http.StatusOK, o.status)
				require.Less(t, o.took, time.Second)
			}
		}
		bubble.Pass(10 * time.Second)
	})
}

// All gateways are told to stop, one shortly after each other, beside idle
// engines. Callers of the ones that were told first were refused for seconds,
// since a stream was measured by its route's 15 seconds and not by the half
// second that it takes; and nobody scheduled once the last one was told.
func TestStopsThatOverlapRefuseNobody(t *testing.T) {
	play(t, func(f *fleet) {
		f.warmUp()
		for i := range gateways {
			go f.stop(i)
			bubble.Pass(750 * time.Millisecond)
		}
		for i := range gateways {
			o := f.call(i, "/old/x", "after"+strconv.Itoa(i))
			require.NoError(t, o.err)
			require.Equal(t, http.StatusOK, o.status, "gateway %d", i)
		}
		bubble.Pass(10 * time.Second)
	})
}

// A gateway that stops gets a request whose length outruns what is left of its
// time. The caller is told at once, and to come back at once: another gateway
// has the time. Begun here, it would be cut in the middle.
func TestStoppingGatewayLeavesLongStreamsToOthers(t *testing.T) {
	play(t, func(f *fleet) {
		f.warmUp()
		go f.stop(0)
		bubble.Pass(3 * time.Second)
		o := f.callFor(0, "/old/x", "long", "1000,9000", "300")
		require.NoError(t, o.err)
		require.Equal(t, http.StatusServiceUnavailable, o.status)
		require.Less(t, o.took, 50*time.Millisecond)
		require.Equal(t, "0.010", o.retryAfter)
		require.Equal(t, http.StatusOK, f.callFor(1, "/old/x", "again", "1000,9000", "300").status)
		bubble.Pass(10 * time.Second)
	})
}

// Guards against a stream that is taken late in a stop, outruns the guess of its
// length and is cut: the caller gets all of it, or is told at once that it has
// not run.
func TestStreamThatOutrunsItsGuessIsNotCutByAStop(t *testing.T) {
	var o outcome
	play(t, func(f *fleet) {
		f.warmUp()
		go f.stop(0)
		bubble.Pass(3200 * time.Millisecond)
		o = f.callFor(0, longPath, "outruns", "1000,2940", "12")
		bubble.Pass(10 * time.Second)
	})
	require.NoError(t, o.err)
	if o.status == http.StatusOK {
		require.Equal(t, longEvents, strings.Count(o.body, "data:"))
		return
	}
	require.Equal(t, http.StatusServiceUnavailable, o.status)
	require.Less(t, o.took, 50*time.Millisecond)
}

// Guards against a stream that a stop cuts because it came at another moment of it
// than the one that was mended.
func TestStreamThatOutrunsItsGuessIsNotCutAtAnyLateMoment(t *testing.T) {
	for _, since := range []time.Duration{2050, 2500, 3000, 3500, 4000, 4500, 5000, 5500} {
		requireNotCut(t, since*time.Millisecond, 1)
	}
}

// Guards against a stream that is taken in the first two seconds of a stop, outruns
// the guess of its length and is cut, though another gateway would serve it whole.
func TestStreamTakenEarlyInAStopIsNotCut(t *testing.T) {
	for _, since := range []time.Duration{1000, 1500, 1900} {
		requireNotCut(t, since*time.Millisecond, 1)
	}
}

// Guards against a stream that is taken late in a stop, outruns two guesses of its
// length and is cut, because no other gateway takes requests.
func TestLateStreamIsNotCutWhileAllGatewaysStop(t *testing.T) {
	for _, since := range []time.Duration{2500, 3200, 5000} {
		requireNotCut(t, since*time.Millisecond, gateways)
	}
}

// requireNotCut has the first gateways stop, the first with a stream that keeps it at
// work, and calls that one later for a stream thirty times as long as its guess: its
// caller gets all of it, or is told at once that it has not run.
func requireNotCut(t *testing.T, since time.Duration, stopping int) {
	t.Helper()
	var o outcome
	play(t, func(f *fleet) {
		f.warmUp()
		go f.callFor(0, longPath, "long", "1000,360", "360")
		bubble.Pass(50 * time.Millisecond)
		for i := range stopping {
			go f.stop(i)
		}
		bubble.Pass(since)
		o = f.callFor(0, longPath, "outruns", "1000,2940", "12")
		bubble.Pass(10 * time.Second)
	})
	require.NoError(t, o.err, "%s after the stop", since)
	if o.status == http.StatusOK {
		require.Equal(t, longEvents, strings.Count(o.body, "data:"), "%s after the stop", since)
		return
	}
	require.Equal(t, http.StatusServiceUnavailable, o.status, "%s after the stop", since)
	require.Less(t, o.took, 50*time.Millisecond, "%s after the stop", since)
}
