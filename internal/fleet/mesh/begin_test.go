package mesh_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// Guards against a race between adding peers and the start or end of Run: the goroutine
// of a new peer was added to a wait group whose counter was zero while Run waited for
// it. The race detector finds this.
func TestPeersAddedDuringStartAndStop(t *testing.T) {
	for range 500 {
		m := mesh.New("a:1", "a:1", 1, network.New(), &downCounter{}, slog.New(slog.DiscardHandler), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { require.NoError(t, m.Run(ctx)) })
		wg.Go(func() {
			for i := range 50 {
				m.AddPeer(time.Now(), fmt.Sprintf("b%d:1", i))
			}
			cancel()
			for i := range 50 {
				m.AddPeer(time.Now(), fmt.Sprintf("c%d:1", i))
			}
		})
		wg.Wait()
	}
}
