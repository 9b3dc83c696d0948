package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against a standby scheduler that takes over with the speeds of the last time it
// was active, and assigns a stream that must end in time to an engine that has since been
// replaced by a slow one under the same ID.
func TestStandbyPrefersStateOfTheActiveScheduler(t *testing.T) {
	standby := board.New()
	standby.SetUpstreams(startTime, newEngines(2, 12))
	learnSlowness(standby, "e0", 0.3)
	learnSlowness(standby, "e1", 2)

	scheduler := board.New()
	scheduler.SetUpstreams(startTime, newEngines(2, 12))
	learnSlowness(scheduler, "e0", 2)
	learnSlowness(scheduler, "e1", 0.3)
	standby.ApplyLearned(scheduler.LearnedState())

	now := startTime.Add(time.Second)
	a := newSlotRequest(now, "gateway", "sure")
	a.Deadline, a.EndConstraint, a.OutputTokens = now.Add(3*time.Second), board.EndRequired, 200
	standby.Submit(now, a)
	require.Equal(t, "e1", standby.Decisions()[0].Upstream)
}

// A peer that is faulty or of another version may send values that no engine can have.
// They are clamped or ignored.
func TestStandbyRejectsImpossibleValues(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	b.ApplyLearned(board.LearnedState{
		Speeds:   []board.Speed{{ID: "e0", Slowness: -3}, {ID: "unknown", Slowness: 1}},
		Services: []board.LearnedService{{Name: "tutor", Overrun: 1e9, PrefillFactor: -1, FixedLatency: -time.Second}},
	})
	require.Empty(t, b.Speeds())
	m := b.LearnedState()
	require.Len(t, m.Services, 1)
	require.GreaterOrEqual(t, m.Services[0].FixedLatency, time.Duration(0))
	require.GreaterOrEqual(t, m.Services[0].PrefillFactor, 1.0)
	require.LessOrEqual(t, m.Services[0].Overrun, 100.0)
}
