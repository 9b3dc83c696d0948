package crash

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against memory that grows with what peers report, and against new crashes that
// do not count because the memory is full.
func TestReportsOfPeersTakeBoundedMemory(t *testing.T) {
	tracker, now := New(nil), time.Unix(1_000_000, 0)
	require.False(t, tracker.RecordRemote(now, Report{Fingerprint: 1, Upstream: strings.Repeat("x", 1<<20), Event: 1}, true))
	for i := range uint64(3 * maxRecords) {
		now = now.Add(time.Millisecond)
		tracker.RecordRemote(now, Report{Fingerprint: i % 1000, Upstream: strconv.FormatUint(i, 10), Event: i % 3 * i, Life: time.Duration(i) * time.Hour}, true)
		require.LessOrEqual(t, tracker.recordCount, maxRecords)
		require.LessOrEqual(t, len(tracker.reported), maxReports)
	}
	for _, upstream := range []string{"a", "b", "c"} {
		tracker.Broke(now, upstream, 5000)
		tracker.Down(now, upstream)
	}
	require.True(t, tracker.Blocked(now, 5000))
	require.Len(t, tracker.Reports(now), maxReports)
	now = now.Add(retention + recognition + time.Second)
	require.False(t, tracker.Blocked(now, 5000))
	require.Empty(t, tracker.crashes)
	require.Empty(t, tracker.Reports(now))
	require.Empty(t, tracker.reported)
}

// Guards against a life that depends on the order of the reports of a crash, so that
// processes that hear them in different orders extend it for each other.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	for seed := range uint64(50) {
		random, now := rand.New(rand.NewPCG(seed, 0)), time.Unix(1_000_000, 0)
		var reports []Report
		for range 12 {
			reports = append(reports, Report{
				Fingerprint: 1, Upstream: strconv.Itoa(random.IntN(3)), Event: uint64(random.IntN(3)),
				Life: time.Duration(random.IntN(130)) * time.Second, Hops: uint32(random.IntN(130)),
			})
		}
		var first []time.Time
		for range 10 {
			tracker := New(nil)
			random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
			for _, r := range reports {
				tracker.RecordRemote(now, r, true)
			}
			var ends []time.Time
			for upstream := range 3 {
				end := now
				for _, r := range tracker.crashes[1] {
					if r.upstream == strconv.Itoa(upstream) && r.end().After(end) {
						end = r.end()
					}
				}
				ends = append(ends, end)
			}
			if first == nil {
				first = ends
			}
			require.Equal(t, first, ends, "seed %d", seed)
		}
	}
}

// Guards against gossip that names everything that ran on a lost upstream: a request that
// had run for a while is told from its second crash on.
func TestRequestThatHadRunForAWhileIsReportedFromItsSecondCrashOn(t *testing.T) {
	urgent := 0
	tracker, now := New(func() { urgent++ }), time.Unix(1_000_000, 0)
	for i, upstream := range []string{"a", "b", "c"} {
		tracker.BrokeLate(now, upstream, 1)
		tracker.BrokeLate(now, upstream, uint64(10+i))
		tracker.Broke(now, upstream, uint64(20+i), 5)
		tracker.Down(now, upstream)
		reports := tracker.Reports(now)
		late := 0
		for _, r := range reports {
			require.NotContains(t, []uint64{10, 11, 12}, r.Fingerprint)
			if r.Fingerprint == 1 {
				late++
			}
		}
		require.Equal(t, []int{0, 2, 3}[i], late)
		require.Len(t, reports, late+i+1)
		require.Equal(t, i, urgent)
	}
	require.True(t, tracker.Blocked(now, 1))
}
