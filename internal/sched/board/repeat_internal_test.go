package board

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against memory that grows with requests: ends and refusals are kept only for as long
// as a copy of their slot request may come, with and without ticks.
func TestEndsAndRefusalsAreForgotten(t *testing.T) {
	s := New()
	s.SetUpstreams(time.Unix(1_000_000, 0), []Upstream{{ID: "e0", Service: "tutor", Slots: 1, TokensPerEvent: 6}})
	now := time.Unix(1_000_001, 0)
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		s.Release(now, "gateway", strconv.Itoa(i), SlotResult{Outcome: Answered, Number: uint64(i + 1)})
		s.refuse(now, &SlotRequest{Owner: "gateway", ID: strconv.Itoa(i), Number: uint64(i + 1)}, "test")
		s.Decisions()
		s.Tick(now)
		perTTL := int(repeatTTL/(10*time.Millisecond)) + 1
		require.LessOrEqual(t, len(s.ended.recent)+len(s.ended.older), 2*perTTL)
		require.LessOrEqual(t, len(s.refused), 2*perTTL)
	}
	require.True(t, s.ended.contains(now.Add(repeatTTL-time.Millisecond), "gateway/999", 1000))
	require.False(t, s.ended.contains(now.Add(2*repeatTTL), "gateway/999", 1000))
}
