package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a Retry-After at which no gateway has started again yet, and against one
// that waits for a gateway although another one is back before.
func TestNextAcceptingFollowsTheStopsOfOthers(t *testing.T) {
	const lasts = 7300 * time.Millisecond
	start := time.Unix(1_000_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	ownExit := at(9 * time.Second)
	s := newPeerStops()
	require.Equal(t, ownExit.Add(restartTime), s.nextAccepting(at(2*time.Second), ownExit), "no other gateway stops")

	s.heard(at(0), "first", true, lasts)
	s.heard(at(time.Second), "first", true, lasts)
	s.heard(at(time.Second), "second", true, lasts)
	require.Equal(t, at(lasts+restartTime), s.nextAccepting(at(2*time.Second), ownExit), "the first one to stop")

	s.down(at(4*time.Second), "first")
	require.Equal(t, at(4*time.Second+restartTime), s.nextAccepting(at(4*time.Second), ownExit), "one that exits early")
	require.Equal(t, at(time.Second+lasts+restartTime), s.nextAccepting(at(6*time.Second), ownExit), "one that has not come back in time")

	s.heard(at(6*time.Second), "second", false, lasts)
	require.Equal(t, ownExit.Add(restartTime), s.nextAccepting(at(6*time.Second), ownExit), "one that has started again")
	s.down(at(6*time.Second), "third")
	require.Equal(t, ownExit.Add(restartTime), s.nextAccepting(at(6*time.Second), ownExit), "one that failed and did not stop")
}
