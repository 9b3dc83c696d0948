package claim

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/kv"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/standin/platform"
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// newPlatform starts the simulated platform and returns it with a store client.
func newPlatform(t *testing.T) (*platform.Platform, *store.Client) {
	net := network.New()
	p, err := platform.New(net, 1)
	require.NoError(t, err)
	client := store.New([]string{p.StoreURL()}, time.Now, net)
	t.Cleanup(func() {
		_ = client.Close()
		_ = p.Close()
	})
	return p, client
}

func claimAsk(key, request string) *wire.ClaimAsk {
	return &wire.ClaimAsk{Step: wire.ClaimAsk_STEP_CLAIM, Key: key, RequestId: request, Upstream: "booking-00", Incarnation: 1}
}

// Guards against one action running twice because two entries both consider
// themselves the owner of a partition: the first owner is paused while the
// second takes over, then resumes. Its next write must fail, and it must grant
// nothing.
func TestPausedOwnerGrantsNothing(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		_, client := newPlatform(t)
		ctx := context.Background()
		first, err := Open(ctx, 0, client, discardLogger, time.Now)
		require.NoError(t, err)
		require.Equal(t, wire.ClaimReply_STATE_GRANTED, first.Handle(ctx, claimAsk("a", "r1")).GetState())
		second, err := Open(ctx, 0, client, discardLogger, time.Now)
		require.NoError(t, err)
		require.Equal(t, wire.ClaimReply_STATE_GRANTED, second.Handle(ctx, claimAsk("b", "r2")).GetState())
		require.Equal(t, wire.ClaimReply_STATE_NOT_OWNER, first.Handle(ctx, claimAsk("b", "r3")).GetState())
		require.Equal(t, wire.ClaimReply_STATE_HELD, second.Handle(ctx, claimAsk("a", "r4")).GetState(), "the second owner must know the claims granted by the first")
		require.NoError(t, first.Close())
		require.NoError(t, second.Close())
	})
}

// Guards against double grants when the store applies a write but its response
// is lost, here for half of all writes. Every claim must be granted to exactly
// one of two attempts, and a later owner must know all claims.
func TestLostAnswersGrantOnce(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		p, client := newPlatform(t)
		ctx := context.Background()
		owner, err := Open(ctx, 0, client, discardLogger, time.Now)
		require.NoError(t, err)
		p.Store().SetFaults(kv.Faults{LoseAnswers: 0.5})
		var mu sync.Mutex
		grants := make(map[string]int)
		var pending sync.WaitGroup
		for i := range 200 {
			for _, attempt := range []string{"x", "y"} {
				pending.Go(func() {
					key := fmt.Sprint(i)
					reply := owner.Handle(ctx, claimAsk(key, key+attempt))
					mu.Lock()
					defer mu.Unlock()
					if reply.GetState() == wire.ClaimReply_STATE_GRANTED {
						grants[key]++
					}
				})
			}
			bubble.Sleep(5 * time.Millisecond)
		}
		pending.Wait()
		require.Len(t, grants, 200)
		for key, count := range grants {
			require.Equal(t, 1, count, key)
		}
		p.Store().SetFaults(kv.Faults{})
		later, err := Open(ctx, 0, client, discardLogger, time.Now)
		require.NoError(t, err)
		for key := range grants {
			require.Equal(t, wire.ClaimReply_STATE_HELD, later.Handle(ctx, claimAsk(key, "late")).GetState())
		}
		require.NoError(t, owner.Close())
		require.NoError(t, later.Close())
	})
}

// Guards against a write to the store per action: claims that arrive during a
// commit must share the next one.
func TestClaimsShareCommits(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		p, client := newPlatform(t)
		ctx := context.Background()
		owner, err := Open(ctx, 0, client, discardLogger, time.Now)
		require.NoError(t, err)
		p.Store().SetFaults(kv.Faults{SlowMS: 5})
		var pending sync.WaitGroup
		for i := range 1000 {
			pending.Go(func() { owner.Handle(ctx, claimAsk(fmt.Sprint(i), fmt.Sprint("r", i))) })
			bubble.Sleep(time.Millisecond)
		}
		pending.Wait()
		commits, records := owner.Commits()
		require.Equal(t, uint64(1000), records)
		require.Less(t, commits, uint64(15), "commits for 1000 actions within one second")
		require.NoError(t, owner.Close())
	})
}
