package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// Guards against a request that was passed on to an upstream and whose connection is closed without
// an answer as the process exits, since nothing came from the upstream until then.
func TestRequestWithoutAnAnswerGetsOneBeforeTheExit(t *testing.T) {
	for _, sinceStop := range []time.Duration{-time.Second, 500 * time.Millisecond} {
		t.Run(sinceStop.String(), func(t *testing.T) {
			var got outcome
			runFleet(t, func(f *fleet) {
				done := make(chan struct{})
				send := func() {
					defer close(done)
					got = f.call(0, "/old/x?events=3", "r1")
				}
				stop := make(chan struct{})
				if sinceStop > 0 {
					go func() { defer close(stop); f.stop(0) }()
					bubble.Sleep(sinceStop)
				}
				go send()
				bubble.Sleep(50 * time.Millisecond)
				for i := range engines {
					f.network.Silence(engineAddress(i))
				}
				if sinceStop <= 0 {
					bubble.Sleep(-sinceStop)
					go func() { defer close(stop); f.stop(0) }()
				}
				<-done
				<-stop
			})
			require.NoError(t, got.err)
			require.Equal(t, http.StatusBadGateway, got.status)
		})
	}
}
