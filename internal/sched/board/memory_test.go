package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// The scheduler dies. The next one had scheduled minutes before and believed the
// speeds of then: it sent a stream that had to be over in time to an engine that
// was fast then and was replaced by a slow one under its id.
func TestStandbyBelievesTheSchedulerMoreThanItself(t *testing.T) {
	standby := board.New()
	standby.SetUpstreams(start, engines(2, 12))
	learn(standby, "e0", 0.3)
	learn(standby, "e1", 2)

	scheduler := board.New()
	scheduler.SetUpstreams(start, engines(2, 12))
	learn(scheduler, "e0", 2)
	learn(scheduler, "e1", 0.3)
	standby.Take(scheduler.Memory())

	now := start.Add(time.Second)
	a := ask(now, "gateway", "sure")
	a.Until, a.Ending, a.Output = now.Add(3*time.Second), board.EndSure, 200
	standby.Ask(now, a)
	require.Equal(t, "e1", standby.Verdicts()[0].Upstream)
}

// A peer of another version, or one that is broken, tells figures that no engine
// can have. They are bounded or left aside.
func TestStandbyTakesNoImpossibleFigures(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 12))
	b.Take(board.Memory{
		Speeds:   []board.Speed{{ID: "e0", Slowness: -3}, {ID: "unknown", Slowness: 1}},
		Services: []board.ServiceMemory{{Name: "tutor", Overrun: 1e9, Reading: -1, Fixed: -time.Second}},
	})
	require.Empty(t, b.Speeds())
	m := b.Memory()
	require.Len(t, m.Services, 1)
	require.GreaterOrEqual(t, m.Services[0].Fixed, time.Duration(0))
	require.GreaterOrEqual(t, m.Services[0].Reading, 1.0)
	require.LessOrEqual(t, m.Services[0].Overrun, 100.0)
}
