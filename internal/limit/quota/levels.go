package quota

import (
	"cmp"
	"slices"
	"time"
)

// Level is the level of a workspace's bucket at this gateway.
type Level struct {
	Workspace string
	Tokens    float64
	// Fraction is the level as a fraction of the burst.
	Fraction float64
}

// Lowest returns the levels of at most count workspaces, the lowest fractions first.
func (l *Limiter) Lowest(now time.Time, count int) []Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	levels := make([]Level, 0, len(l.buckets))
	for name, b := range l.buckets {
		l.bucketAt(now, b.workspace)
		levels = append(levels, Level{Workspace: name, Tokens: b.level, Fraction: b.level / max(1, b.workspace.QuotaBurst)})
	}
	slices.SortFunc(levels, func(a, b Level) int {
		return cmp.Or(cmp.Compare(a.Fraction, b.Fraction), cmp.Compare(a.Workspace, b.Workspace))
	})
	return levels[:min(count, len(levels))]
}
