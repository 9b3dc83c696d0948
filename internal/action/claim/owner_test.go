package claim

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/kv"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// platform starts a stand-in of the store and returns it with a client.
func platform(t *testing.T) (*kv.Service, *store.Client) {
	net := network.New()
	listener, err := net.Listen("127.0.0.1:0")
	require.NoError(t, err)
	stand := kv.New(1, time.Now)
	server := &http.Server{Handler: stand.Handler(), ErrorLog: slog.NewLogLogger(quiet.Handler(), slog.LevelDebug)}
	go func() { _ = server.Serve(listener) }()
	client := store.New([]string{"http://" + listener.Addr().String()}, time.Now, net)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return stand, client
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
		_, client := platform(t)
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
		stand, client := platform(t)
		ctx := context.Background()
		p, err := Open(ctx, 0, client, quiet, time.Now)
		require.NoError(t, err)
		stand.SetFaults(kv.Faults{LoseAnswers: 0.5})
		var mu sync.Mutex
		grants := make(map[string]int)
		var asking sync.WaitGroup
		for i := range 200 {
			for _, try := range []string{"x", "y"} {
				asking.Go(func() {
					key := fmt.Sprint(i)
					reply := p.Ask(ctx, claimAsk(key, key+try))
					mu.Lock()
					defer mu.Unlock()
					if reply.GetState() == wire.ClaimReply_STATE_GRANTED {
						grants[key]++
					}
				})
			}
			time.Sleep(5 * time.Millisecond)
		}
		asking.Wait()
		require.Len(t, grants, 200)
		for key, times := range grants {
			require.Equal(t, 1, times, key)
		}
		stand.SetFaults(kv.Faults{})
		later, err := Open(ctx, 0, client, quiet, time.Now)
		require.NoError(t, err)
		for key := range grants {
			require.Equal(t, wire.ClaimReply_STATE_HELD, later.Ask(ctx, claimAsk(key, "late")).GetState())
		}
		require.NoError(t, p.Close())
		require.NoError(t, later.Close())
	})
}

// Writes must grow with commits, not with actions: what arrives while a commit
// is under way shares the next one.
func TestClaimsShareCommits(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		stand, client := platform(t)
		ctx := context.Background()
		p, err := Open(ctx, 0, client, quiet, time.Now)
		require.NoError(t, err)
		stand.SetFaults(kv.Faults{SlowMS: 5})
		var asking sync.WaitGroup
		for i := range 1000 {
			asking.Go(func() { p.Ask(ctx, claimAsk(fmt.Sprint(i), fmt.Sprint("r", i))) })
			time.Sleep(time.Millisecond)
		}
		asking.Wait()
		commits, records := p.Commits()
		require.Equal(t, uint64(1000), records)
		require.Less(t, commits, uint64(15), "a thousand actions in a second")
		require.NoError(t, p.Close())
	})
}
