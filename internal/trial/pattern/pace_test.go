package pattern_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/trial/pattern"
)

// Engines share their VMs with other programs: at any moment 15% of them take 2.5 times as
// long, for 600 ms each. A board that knows only their usual speed sends long prompts to
// engines in a spell, which answer late and delay the events of what they run already. The
// pace must reduce the critiques that are late or not answered at least by the factor by
// which docs/HARD-LOAD.md asks for less lost worth on this deployment (0.559 to 0.61), and
// not at the cost of the other tiers.
func TestUnevenPace(t *testing.T) {
	const wantFactor = (1 - 0.61) / (1 - 0.559)
	for _, p := range pattern.Patterns {
		if p.Name != "uneven-pace" {
			continue
		}
		paceSeeds := []uint64{1, 2, 3, 4, 5, 6}
		got, without := pattern.Mean(p, paceSeeds, pattern.Board), pattern.Mean(p, paceSeeds, pattern.BoardWithoutPace)
		missed := func(r pattern.Result) float64 { return float64(r.Tiers[0].Requests - r.Tiers[0].InTime) }
		t.Logf("value %.3f and %.3f without the pace, critiques missed %.0f and %.0f", got.ValueShare, without.ValueShare, missed(got), missed(without))
		require.LessOrEqual(t, missed(got), wantFactor*missed(without))
		require.GreaterOrEqual(t, got.ValueShare, without.ValueShare)
		requireTierOrder(t, got)
		return
	}
	require.Fail(t, "unknown pattern")
}
