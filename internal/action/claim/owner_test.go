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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// world starts the platform's stand-ins and returns them with a client.
func world(t *testing.T) (*platform.Platform, *store.Client) {
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

// Two seats are taken for one learner, because two entries both believed they
// kept the claims.
// The first owner is paused, the second takes the partition over, the first
// wakes and goes on as if nothing had happened. Its next write fails, and it
// grants nothing.
func TestPausedOwnerGrantsNothing(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		_, client := world(t)
		ctx := context.Background()
		first, err := Open(ctx, 0, client, quiet, time.Now)
		require.NoError(t, err)
		require.Equal(t, wire.ClaimReply_STATE_GRANTED, first.Ask(ctx, claimAsk("a", "r1")).GetState())
		second, err := Open(ctx, 0, client, quiet, time.Now)
		require.NoError(t, err)
		require.Equal(t, wire.ClaimReply_STATE_GRANTED, second.Ask(ctx, claimAsk("b", "r2")).GetState())
		require.Equal(t, wire.ClaimReply_STATE_NOT_OWNER, first.Ask(ctx, claimAsk("b", "r3")).GetState())
		require.Equal(t, wire.ClaimReply_STATE_HELD, second.Ask(ctx, claimAsk("a", "r4")).GetState(), "what the first one granted is known")
		require.NoError(t, first.Close())
		require.NoError(t, second.Close())
	})
}

// A payment is claimed, the store takes the write and loses its answer, half
// the time. Every claim must be granted to exactly one of two tries, and a
// later owner must know all of them.
func TestLostAnswersGrantOnce(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		p, client := world(t)
		ctx := context.Background()
		owner, err := Open(ctx, 0, client, quiet, time.Now)
		require.NoError(t, err)
		p.Store().SetFaults(kv.Faults{LoseAnswers: 0.5})
		var mu sync.Mutex
		grants := make(map[string]int)
		var asking sync.WaitGroup
		for i := range 200 {
			for _, try := range []string{"x", "y"} {
				asking.Go(func() {
					key := fmt.Sprint(i)
					reply := owner.Ask(ctx, claimAsk(key, key+try))
					mu.Lock()
					defer mu.Unlock()
					if reply.GetState() == wire.ClaimReply_STATE_GRANTED {
						grants[key]++
					}
				})
			}
			bubble.Pass(5 * time.Millisecond)
		}
		asking.Wait()
		require.Len(t, grants, 200)
		for key, times := range grants {
			require.Equal(t, 1, times, key)
		}
		p.Store().SetFaults(kv.Faults{})
		later, err := Open(ctx, 0, client, quiet, time.Now)
		require.NoError(t, err)
		for key := range grants {
			require.Equal(t, wire.ClaimReply_STATE_HELD, later.Ask(ctx, claimAsk(key, "late")).GetState())
		}
		require.NoError(t, owner.Close())
		require.NoError(t, later.Close())
	})
}

// Writes must grow with commits, not with actions: what arrives while a commit
// is under way shares the next one.
func TestClaimsShareCommits(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		p, client := world(t)
		ctx := context.Background()
		owner, err := Open(ctx, 0, client, quiet, time.Now)
		require.NoError(t, err)
		p.Store().SetFaults(kv.Faults{SlowMS: 5})
		var asking sync.WaitGroup
		for i := range 1000 {
			asking.Go(func() { owner.Ask(ctx, claimAsk(fmt.Sprint(i), fmt.Sprint("r", i))) })
			bubble.Pass(time.Millisecond)
		}
		asking.Wait()
		commits, records := owner.Commits()
		require.Equal(t, uint64(1000), records)
		require.Less(t, commits, uint64(15), "a thousand actions in a second")
		require.NoError(t, owner.Close())
	})
}
