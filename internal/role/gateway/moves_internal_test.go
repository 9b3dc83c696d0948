package gateway

import (
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/version/rollout"
)

// Guards against a move that stays at a former state for good: two states came at
// once, from the store and from a peer, and the older one was taken last.
func TestLaterOfTwoStatesThatComeAtOnceStays(t *testing.T) {
	m := newMoves(New(Parts{Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now}))
	raw := func(phase rollout.Phase) []byte {
		value, err := json.Marshal(rollout.State{Order: 1, Target: "v2", Phase: phase})
		require.NoError(t, err)
		return value
	}
	running, reverted := raw(rollout.Running), raw(rollout.Reverted)
	for revision := int64(1); revision < 20_000; revision += 2 {
		var wg sync.WaitGroup
		wg.Go(func() { m.takeState("s", running, revision, "store") })
		wg.Go(func() { m.takeState("s", reverted, revision+1, "peer") })
		wg.Wait()
		state, known := m.rollouts.State("s")
		require.True(t, known)
		require.Equal(t, rollout.Reverted, state.Phase, "revision %d", revision)
	}
}
