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
