package move_test

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/config/rules"
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
	"github.com/persimmonridge/persimmonridge/internal/version/move"

	"github.com/persimmonridge/persimmonridge/examples"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newMove(t *testing.T, ifLate string) rules.Move {
	inv, findings := inventory.Parse(examples.CairoInventory)
	require.Empty(t, findings)
	if ifLate == "" {
		ifLate = "take-back"
	}
	raw := fmt.Sprintf(`{"tiers":["t"],"actions":{},"moves":{"m":{"service":"tutor","from":"easel-1","to":"easel-2","start":%q,"by":%q,"if-late":%q}}}`,
		start.Format(time.RFC3339), start.Add(time.Hour).Format(time.RFC3339), ifLate)
	parsed, findings := rules.Parse([]byte(raw), inv)
	require.Empty(t, findings)
	return parsed.Moves()[0]
}

type stepCase struct {
	Name   string  `json:"name"`
	At     string  `json:"at"`
	Ready  bool    `json:"ready"`
	Stage  *int    `json:"stage"`
	Since  string  `json:"since"`
	IfLate string  `json:"if-late"`
	Old    [2]int  `json:"old"`
	New    [2]int  `json:"new"`
	Braked int     `json:"braked"`
	Want   string  `json:"want"`
	Share  float64 `json:"share"`
}

// observeRuns adds runs and failures of one version to a board.
func observeRuns(board *evidence.Board, version string, counts [2]int) {
	for i := range counts[0] {
		board.Observe(version, "w/a", i < counts[1], time.Duration(50+i%50)*time.Millisecond)
	}
}

func TestSteps(t *testing.T) {
	raw, err := os.ReadFile("testdata/steps.json")
	require.NoError(t, err)
	var cases []stepCase
	require.NoError(t, json.Unmarshal(raw, &cases))
	shares := []float64{0.02, 0.10, 0.50, 1}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			at, err := time.ParseDuration(c.At)
			require.NoError(t, err)
			var state document.MoveState
			if c.Stage != nil {
				since, err := time.ParseDuration(c.Since)
				require.NoError(t, err)
				state = document.NewMoveState(*c.Stage, shares[*c.Stage], document.Moving, start.Add(since), "")
			}
			board := evidence.NewBoard()
			observeRuns(board, "easel-1", c.Old)
			observeRuns(board, "easel-2", c.New)
			next, _ := move.Step(start.Add(at), newMove(t, c.IfLate), state, c.Stage != nil, move.Observed{All: board, Stage: board, StoppedUpstreams: c.Braked, Ready: c.Ready})
			require.Equal(t, c.Want, string(next.Verdict()), next.Why())
			require.InDelta(t, c.Share, next.Share(), 1e-9)
		})
	}
}

// Guards against entries that together give the new version more than its share,
// as they do if each one counts on its own. Only the request's id decides, at every
// entry.
func TestShareHoldsWithoutSharedCounter(t *testing.T) {
	m := newMove(t, "")
	for _, share := range []float64{0, 0.02, 0.1, 0.5, 1} {
		chosen := 0
		const requests = 20000
		for i := range requests {
			if move.InShare(m, fmt.Sprint("request-", i), share) {
				chosen++
			}
		}
		require.InDelta(t, share, float64(chosen)/requests, 0.01)
	}
}

func TestFits(t *testing.T) {
	m := newMove(t, "")
	state := document.NewMoveState(0, 0.02, document.Moving, start, "")
	require.True(t, move.CanMeetDeadline(start, m, state))
	require.False(t, move.CanMeetDeadline(start.Add(55*time.Minute), m, state))
}
