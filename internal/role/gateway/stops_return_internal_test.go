package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a Retry-After that follows a gap in the gossip of a gateway that still stops.
func TestStopOfAGatewayThatIsHeardAgainLastsAsBefore(t *testing.T) {
	const lasts = 7300 * time.Millisecond
	start := time.Unix(1_000_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	ownExit := at(9 * time.Second)
	s := newPeerStops()
	s.heard(at(0), "first", true, lasts)
	s.down(at(3*time.Second), "first")
	require.Equal(t, at(3*time.Second+restartTime), s.nextAccepting(at(3*time.Second), ownExit), "not heard")
	s.heard(at(3200*time.Millisecond), "first", true, lasts)
	require.Equal(t, at(lasts+restartTime), s.nextAccepting(at(3300*time.Millisecond), ownExit), "heard again")
}
