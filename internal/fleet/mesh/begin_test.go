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

// Guards against peers that become known while the mesh begins or ends: the
// goroutine that links with them was counted from none while the end of all was
// waited for, which the race detector finds.
func TestPeersBecomeKnownWhileTheMeshBeginsAndEnds(t *testing.T) {
	for range 500 {
		m := mesh.New("a:1", "a:1", 1, network.New(), &watcher{}, slog.New(slog.DiscardHandler), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { require.NoError(t, m.Run(ctx)) })
		wg.Go(func() {
			for i := range 50 {
				m.Know(time.Now(), fmt.Sprintf("b%d:1", i))
			}
			cancel()
			for i := range 50 {
				m.Know(time.Now(), fmt.Sprintf("c%d:1", i))
			}
		})
		wg.Wait()
	}
}
