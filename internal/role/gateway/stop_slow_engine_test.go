package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// shortStream is a stream of three events, 0.3 s at the engine's usual pace, whose maximum is
// its length. Its engine stalls after the given number of events.
func (f *fleet) shortStream(i, stallAfter int, timeout string) outcome {
	return f.callWithHeaders(i, fmt.Sprintf("/old/x?stall=%d", stallAfter), "stalls", strings.NewReader("body"), map[string]string{
		"X-Persimmonridge-Token-Counts": "1000,18", "X-Persimmonridge-Length-Hint": "18", "X-Persimmonridge-Deadline-Ms": timeout,
	})
}

// stopSome stops the first gateways, each kept up until its exit by a stream of its own.
func (f *fleet) stopSome(count int) {
	for i := range count {
		go f.callFor(i, longPath+"?events=100", fmt.Sprintf("long%d", i), "1000,600", "600")
	}
	bubble.Sleep(untilHeld)
	for i := range count {
		go f.stop(i)
	}
}

// Guards against a stream that a stopping gateway takes later than two seconds after the start
// of its stop, since the learned pace of the engines says that it ends in time, and cuts because
// its engine turns slow.
func TestStreamOfAnEngineThatTurnsSlowInAStopIsNotCut(t *testing.T) {
	for _, stopping := range []int{1, gateways} {
		for _, stallAfter := range []int{0, 1, 2} {
			for _, since := range []time.Duration{2100, 3100, 4400, 5000, 5700, 6200, 6700} {
				t.Run(fmt.Sprintf("%d stop, taken after %d ms, %d events", stopping, since, stallAfter), func(t *testing.T) {
					var o outcome
					runFleet(t, func(f *fleet) {
						f.warmUp()
						f.stopSome(stopping)
						bubble.Sleep(since * time.Millisecond)
						o = f.shortStream(0, stallAfter, "15000")
						bubble.Sleep(2 * stallTime)
					})
					require.NoError(t, o.err, "cut after %d events", strings.Count(o.body, "data:"))
					require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, o.status)
				})
			}
		}
	}
}

// Guards against a stopping gateway that answers before the exit what it could deliver: a stream
// whose engine is at its usual pace is served until shortly before the exit, and one whose
// deadline lies before the exit is passed on as it comes.
func TestStreamsThatEndInAStopAreServedUntilItsEnd(t *testing.T) {
	for _, stopping := range []int{1, gateways} {
		for _, since := range []time.Duration{2100, 3100, 4400, 5000, 5700} {
			t.Run(fmt.Sprintf("%d stop, taken after %d ms", stopping, since), func(t *testing.T) {
				var whole, early outcome
				runFleet(t, func(f *fleet) {
					f.warmUp()
					f.stopSome(stopping)
					bubble.Sleep(since * time.Millisecond)
					whole = f.shortStream(0, -1, "15000")
					early = f.shortStream(0, -1, "1000")
					bubble.Sleep(2 * stallTime)
				})
				for _, o := range []outcome{whole, early} {
					require.NoError(t, o.err)
					require.Equal(t, http.StatusOK, o.status)
					require.Equal(t, 3, strings.Count(o.body, "data:"))
				}
			})
		}
	}
}

// Guards against a stream that was passed on with a pause before the exit though its deadline
// lies before the exit: nothing is held back that no exit can cut.
func TestStreamWhoseDeadlineIsBeforeTheExitIsPassedOnAsItComes(t *testing.T) {
	var firstEvent time.Duration
	runFleet(t, func(f *fleet) {
		f.warmUp()
		f.stopSome(1)
		bubble.Sleep(3 * time.Second)
		client := f.client(true)
		r, err := http.NewRequest(http.MethodPost, "http://"+callerAddress(0)+"/old/x", strings.NewReader("body"))
		require.NoError(t, err)
		r.Host = "h"
		for name, value := range map[string]string{
			attemptIDHeader: "early", "Api-Key": "key", "X-Persimmonridge-Deadline-Ms": "3000",
			"X-Persimmonridge-Token-Counts": "1000,18", "X-Persimmonridge-Length-Hint": "18",
		} {
			r.Header.Set(name, value)
		}
		start := time.Now()
		response, err := client.Do(r)
		require.NoError(t, err)
		_, err = io.ReadFull(response.Body, make([]byte, 1))
		require.NoError(t, err)
		firstEvent = time.Since(start)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		bubble.Sleep(2 * stallTime)
	})
	require.Less(t, firstEvent, 200*time.Millisecond)
}
