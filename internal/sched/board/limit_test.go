package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// limits implements board.Limiter: each gateway may send one request to an engine that may
// be warming up, and an engine tolerates three.
type limits struct {
	cold   bool
	failed []string
}

func (l *limits) Allowance(time.Time, string, string) (int, bool) { return 1, l.cold }
func (l *limits) Tolerance(string) (int, bool)                    { return 3, true }
func (l *limits) Failed(_ time.Time, upstream string)             { l.failed = append(l.failed, upstream) }

// Guards against more grants on an engine within a second than it tolerates while it warms
// up: it may have turned cold since its last report. One that is known to be cold gets the
// part of each gateway at most.
func TestGrantsStayWithinWhatAnEngineTolerates(t *testing.T) {
	for name, c := range map[string]struct {
		cold bool
		want int
	}{"cold": {cold: true, want: 1}, "warm": {want: 3}} {
		t.Run(name, func(t *testing.T) {
			b := board.New()
			b.SetLimiter(&limits{cold: c.cold})
			engines := newEngines(1, 12)
			engines[0].WarmsUp = true
			b.SetUpstreams(startTime, engines)
			for i := range 6 {
				b.Submit(startTime, newSlotRequest(startTime, "gateway", strconv.Itoa(i)))
			}
			require.Equal(t, c.want, countGranted(b.Decisions()))
			later := startTime.Add(500 * time.Millisecond)
			b.Tick(later)
			require.Zero(t, countGranted(b.Decisions()))
		})
	}
}

// Guards against an engine that is taken for warm although its connections failed, as on a
// restart.
func TestFailedConnectionsAreReportedToTheLimiter(t *testing.T) {
	for outcome, reported := range map[board.Outcome]bool{board.Interrupted: true, board.Unreachable: true, board.Failed: false, board.Answered: false} {
		b, l := board.New(), &limits{}
		b.SetLimiter(l)
		b.SetUpstreams(startTime, newEngines(1, 12))
		b.Submit(startTime, newSlotRequest(startTime, "gateway", "a"))
		b.Release(startTime, "gateway", "a", board.SlotResult{Outcome: outcome})
		require.Equal(t, reported, len(l.failed) > 0)
	}
}
