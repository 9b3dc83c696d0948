package granter_test

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/sched/granter"
)

// Guards against an engine whose slowness an operator can't explain, and against a changed
// log line where engines state no pace.
func TestLogShowsPacesOfSlowEnginesOnly(t *testing.T) {
	for _, test := range []struct {
		pace float64
		want string
	}{{0, ""}, {1, ""}, {2.5, " paced=1 paces=engine:2.50\n"}} {
		bubble.Run(t, func(t *testing.T) {
			var log bytes.Buffer
			g := granter.New(time.Now, func(board.Decision) {}, slog.New(slog.NewTextHandler(&log, nil)))
			g.SetUpstreams([]board.Upstream{{ID: "engine", Service: "tutor", Domain: "a", Slots: 1, TokensPerEvent: 6}})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error)
			go func() { done <- g.Run(ctx) }()
			now := time.Now()
			for _, id := range []string{"runs", "waits"} {
				g.Submit(board.SlotRequest{
					Owner: "gateway", ID: id, Service: "tutor", Domain: "a", NextEventDue: now.Add(600 * time.Millisecond),
					Deadline: now.Add(15 * time.Second), PromptTokens: 1000, OutputTokens: 100,
				})
			}
			g.Started("gateway", "runs", granter.Load{Requests: 1, Pace: test.pace})
			bubble.Sleep(5 * time.Millisecond)
			cancel()
			require.NoError(t, <-done)
			require.Contains(t, log.String(), `msg="requests wait"`)
			if test.want == "" {
				require.NotRegexp(t, ` paced?s?=`, log.String())
			} else {
				require.Contains(t, log.String(), test.want)
			}
		})
	}
}
