package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against cutting an outrunning stream that is accepted late while two of three gateways stop.
func TestLateStreamIsNotCutWhileTwoOfThreeGatewaysStop(t *testing.T) {
	for _, since := range []time.Duration{2500, 3200, 4000, 5000} {
		requireStreamNotCut(t, since*time.Millisecond, gateways-1)
	}
}

// Guards against cutting a late stream of nine times its hint, as short streams lowered the margin.
func TestLateStreamIsNotCutAfterManyShortStreams(t *testing.T) {
	const rounds = 260
	var o outcome
	runFleet(t, func(f *fleet) {
		for range rounds {
			require.Equal(f.t, engines*slots, countServed(f.callAll(engines*slots, "/old/x")))
		}
		go f.callFor(0, longPath, "long", "1000,360", "360")
		bubble.Sleep(50 * time.Millisecond)
		for i := range gateways {
			go f.stop(i)
		}
		bubble.Sleep(2500 * time.Millisecond)
		o = f.callFor(0, longPath, "outruns", "1000,2940", "40")
		bubble.Sleep(10 * time.Second)
	})
	require.NoError(t, o.err)
	if o.status == http.StatusOK {
		require.Equal(t, longEvents, strings.Count(o.body, "data:"))
		return
	}
	require.Equal(t, http.StatusServiceUnavailable, o.status)
}

// Guards against breaking off an interrupted stream that could end in time but has too high a hint.
func TestStreamOfAStopIsResumedThoughItsHintIsTooHigh(t *testing.T) {
	s := &lateStream{at: -200 * time.Millisecond, maximum: 432, hint: 432, events: 20, breakAfter: 10}
	sendInStop(t, nil, s)
	require.Equal(t, "whole", s.outcome)
}
