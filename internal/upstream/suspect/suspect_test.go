package suspect_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
)

var start = time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)

// Each case lists crashes and the resulting status of each fingerprint.
func TestStatusAfterCrashes(t *testing.T) {
	const guilty, innocent, other = 1, 2, 3
	cases := []struct {
		name    string
		crashes [][]uint64
		want    map[uint64]suspect.Status
	}{
		{"after one crash all running requests are suspect", [][]uint64{{guilty, innocent}}, map[uint64]suspect.Status{guilty: suspect.Suspected, innocent: suspect.Suspected}},
		{"the only fingerprint in both crashes is convicted", [][]uint64{{guilty, innocent}, {guilty, other}}, map[uint64]suspect.Status{guilty: suspect.Convicted, innocent: suspect.Suspected, other: suspect.Suspected}},
		{"two common fingerprints are not enough", [][]uint64{{guilty, innocent}, {guilty, innocent}}, map[uint64]suspect.Status{guilty: suspect.Suspected, innocent: suspect.Suspected}},
		{"a third crash of a request that ran alone convicts it", [][]uint64{{guilty, innocent}, {guilty, innocent}, {guilty}}, map[uint64]suspect.Status{guilty: suspect.Convicted, innocent: suspect.Suspected}},
		{"a request that was not running is not suspect", [][]uint64{{guilty}}, map[uint64]suspect.Status{other: suspect.NotSuspected}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := suspect.New()
			for id, running := range c.crashes {
				require.True(t, r.Record(start, suspect.NewCrash(uint64(id+1), start, running)))
			}
			for fingerprint, want := range c.want {
				require.Equal(t, want, r.Status(start, fingerprint))
			}
		})
	}
}

// Guards against convicting all requests that were running at a crash because the
// agent and two entries report it and it counts as three crashes.
func TestRepeatedReportsOfOneCrashCountOnce(t *testing.T) {
	r := suspect.New()
	require.True(t, r.Record(start, suspect.NewCrash(7, start, []uint64{1})))
	require.False(t, r.Record(start, suspect.NewCrash(7, start, []uint64{1})))
	require.True(t, r.Record(start, suspect.NewCrash(7, start, []uint64{1, 2})), "the second fingerprint is new")
	require.Equal(t, suspect.Suspected, r.Status(start, 1))
}

func TestClearAndExpiry(t *testing.T) {
	r := suspect.New()
	r.Record(start, suspect.NewCrash(1, start, []uint64{1, 2}))
	r.Clear(1)
	require.Equal(t, suspect.NotSuspected, r.Status(start, 1))
	require.Equal(t, suspect.NotSuspected, r.Status(start.Add(time.Hour), 2))
}

func TestStateIsBounded(t *testing.T) {
	r := suspect.New()
	for i := range uint64(2000) {
		r.Record(start, suspect.NewCrash(i, start, []uint64{i, i + 1}))
	}
	require.LessOrEqual(t, len(r.Crashes(start)), 256)
	require.LessOrEqual(t, r.Convicted(start), 4096)
}

// Guards against a crash that is remembered for longer because its reports arrive late or
// in another order, and against one that counts again once it was forgotten.
func TestLateReportsDoNotLengthenACrash(t *testing.T) {
	reports := []struct{ at, life time.Duration }{
		{time.Minute, 9 * time.Minute}, {3 * time.Minute, 9 * time.Minute}, {2 * time.Minute, 8 * time.Minute}, {4 * time.Minute, 0},
	}
	for first := range reports {
		r := suspect.New()
		for i := range reports {
			report := reports[(first+i)%len(reports)]
			now := start.Add(report.at)
			added := r.Record(now, suspect.NewReportedCrash(now, 1, report.life, []uint64{1}))
			require.Equal(t, i == 0, added)
		}
		require.Equal(t, suspect.Suspected, r.Status(start.Add(10*time.Minute-time.Second), 1))
		for end := 10 * time.Minute; end < 3*time.Hour; end += 9 * time.Minute {
			now := start.Add(end)
			require.Equal(t, suspect.NotSuspected, r.Status(now, 1))
			require.False(t, r.Record(now, suspect.NewReportedCrash(now, 1, time.Minute, []uint64{1})))
			require.False(t, r.Record(now, suspect.NewReportedCrash(now, 1, 0, []uint64{1})))
		}
	}
}

// Guards against peers that tell each other in turn what each of them drops for want of
// room: a dropped crash must not be news again.
func TestDroppedCrashIsNotRecordedAgain(t *testing.T) {
	r := suspect.New()
	const count = 300
	for id := range uint64(count) {
		r.Record(start, suspect.NewCrash(id, start.Add(time.Duration(id)*time.Millisecond), []uint64{id}))
	}
	now := start.Add(time.Second)
	kept := make(map[uint64]bool)
	for _, c := range r.Crashes(now) {
		kept[c.ID()] = true
	}
	require.Len(t, kept, 256)
	for id := range uint64(count) {
		require.Equal(t, id >= count-256, kept[id], "the oldest make room")
		require.False(t, r.Record(now, suspect.NewReportedCrash(now, id, 0, []uint64{id})))
	}
}
