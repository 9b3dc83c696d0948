package gateway

import (
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/version/rollout"
)

// Guards against a rollout that stays at an outdated state: two states arrived at once,
// from the store and from a peer, and the older one was applied last.
func TestLaterOfConcurrentRolloutStatesWins(t *testing.T) {
	controller := newRolloutController(New(Dependencies{Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now}))
	encode := func(phase rollout.Phase) []byte {
		value, err := json.Marshal(rollout.State{Order: 1, Target: "v2", Phase: phase})
		require.NoError(t, err)
		return value
	}
	running, reverted := encode(rollout.Running), encode(rollout.Reverted)
	for revision := kv.Revision(1); revision < 20_000; revision += 2 {
		var wg sync.WaitGroup
		wg.Go(func() { controller.applyState("s", running, revision, "store") })
		wg.Go(func() { controller.applyState("s", reverted, revision+1, "peer") })
		wg.Wait()
		state, known := controller.versionPicker.State("s")
		require.True(t, known)
		require.Equal(t, rollout.Reverted, state.Phase, "revision %d", revision.Number())
	}
}
