package ingress_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers who lose a request, or may not send it again elsewhere, because a busy
// process has read it before it closes their new connection.
func TestConnectionThatIsNotTakenIsClosedUnread(t *testing.T) {
	runServer(t, 0, func(f *fixture) {
		kept := f.dial()
		_, err := kept.call()
		require.NoError(t, err)
		f.busy.Store(true)
		rejected := f.dial()
		path, err := rejected.call()
		require.Error(t, err)
		require.False(t, f.wasRead(path))
		require.EqualValues(t, 1, f.closedConns.busy.Load())
		_, err = kept.call()
		require.NoError(t, err, "open connections are served")
		f.busy.Store(false)
		_, err = f.dial().call()
		require.NoError(t, err)
		require.Zero(t, f.closedConns.inFlight.Load())
	})
}

// Guards against a shutdown that waits for connections that were not taken.
func TestBusyServerShutsDown(t *testing.T) {
	runServer(t, 0, func(f *fixture) {
		f.busy.Store(true)
		for range 10 {
			_, err := f.dial().call()
			require.Error(t, err)
		}
		began := time.Now()
		f.stop()
		require.Less(t, time.Since(began), 5*time.Second)
	})
}
