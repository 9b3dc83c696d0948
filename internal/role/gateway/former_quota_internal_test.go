package gateway

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// Guards against a workspace that gets what a gateway assumes at its start once for each start of a
// series: only a former process that ran for a window, or none, allows it.
func TestStartLevelOfQuotasFollowsFromTheFormerProcess(t *testing.T) {
	const window = 8 * time.Second
	w := &catalog.Workspace{Name: "studio", QuotaPerSecond: 100, QuotaBurst: 100}
	for name, c := range map[string]struct {
		former *member
		// own is set if the process finds what it has written itself.
		own bool
		// level is what is left of a start that has 50 for the pause and 30 of the excess.
		level int
	}{
		"not known yet":            {nil, false, 50},
		"started a moment ago":     {&member{Run: uint64(time.Unix(999_998, 0).UnixNano())}, false, 50},
		"started by a clock ahead": {&member{Run: uint64(time.Unix(1_000_007, 0).UnixNano())}, false, 50},
		"ran for longer":           {&member{Run: uint64(time.Unix(999_990, 0).UnixNano())}, false, 80},
		"none":                     {&member{}, false, 80},
		"its own registration":     {nil, true, 80},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			g := New(Dependencies{
				Settings: Settings{Name: "edge-1", Quota: quota.Options{ExcessFraction: 0.1, Window: window}},
				Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)), Now: func() time.Time { return now },
			})
			g.quota.AddWorkspaces(now, []catalog.Workspace{*w})
			if c.own {
				c.former = &member{Run: g.runID}
			}
			if c.former != nil {
				g.peers.succeed(*c.former)
			}
			taken := 0
			for ok := true; ok; taken++ {
				ok, _ = g.quota.Take(now, w, 1)
			}
			require.InDelta(t, c.level, taken, 2)
		})
	}
}
