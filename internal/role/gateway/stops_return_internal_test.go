package gateway

import (
	"strconv"
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

// Guards against memory that grows with each gateway that stops and does not come back.
func TestStopsOfGatewaysThatAreGoneAreForgotten(t *testing.T) {
	const lasts = 7300 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	s := newPeerStops()
	for i := range 100 {
		node := strconv.Itoa(i)
		s.heard(now, node, true, lasts)
		s.down(now.Add(time.Second), node)
		now = now.Add(time.Minute)
	}
	require.LessOrEqual(t, len(s.stops), 1)
}
