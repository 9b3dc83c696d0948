package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against a late request that displaces another one and gets no reply: its gateway
// would take the scheduler for silent and choose an engine itself.
func TestLateRequestThatDisplacesAnotherGetsAReply(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := board.New()
	b.SetUpstreams(now, newEngines(1, 8))
	for i := range 8 {
		b.Submit(now, newNumberedRequest(now, strconv.Itoa(i), uint64(i+1)))
	}
	require.Equal(t, 8, b.Stats(now).Running)
	b.Decisions()
	refused := ""
	for number := uint64(10); refused == "" && number < 20; number++ {
		req := newNumberedRequest(now, strconv.FormatUint(number, 10), number)
		req.Tier = 20 - int(number) // each goes before those that wait
		req.NextEventDue = now.Add(time.Millisecond)
		b.Submit(now, req)
		replied := false
		for _, d := range b.Decisions() {
			if d.ID == req.ID {
				replied = true
				require.True(t, d.Waiting)
				continue
			}
			refused = d.ID
		}
		require.True(t, replied, "request %d got no reply", number)
	}
	require.Equal(t, "10", refused)
}
