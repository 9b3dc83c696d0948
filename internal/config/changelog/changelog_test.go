package changelog_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/config/changelog"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/standin/kv"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/standin/platform"
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// testEnv holds stand-ins of the platform and the network to reach them.
type testEnv struct {
	platform *platform.Platform
	network  *network.Network
}

func newTestEnv(t *testing.T) *testEnv {
	net := network.New()
	standIns, err := platform.New(net, 1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = standIns.Close() })
	return &testEnv{platform: standIns, network: net}
}

func (e *testEnv) client(t *testing.T) *store.Client {
	client := store.New([]string{e.platform.StoreURL()}, time.Now, e.network, store.ForOperator())
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func submitFirst(t *testing.T, s *changelog.Submitter) changelog.Record {
	patch, err := json.Marshal(map[string]json.RawMessage{"inventory": examples.CairoInventory, "rules": examples.CairoRules})
	require.NoError(t, err)
	record, err := s.Submit(context.Background(), time.Now(), changelog.NewChange(0, "mariam", "first", patch))
	require.NoError(t, err)
	return record
}

func workspacePatch(name string) []byte {
	return []byte(fmt.Sprintf(`{"inventory":{"workspaces":{%q:{}}}}`, name))
}

// Guards against lost updates when two operators edit at the same time. Both
// changes are based on revision 1: one is accepted, and the error of the other
// names the winner, its revision and the command to continue with.
func TestConflictNamesWinningChange(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		env := newTestEnv(t)
		s := changelog.NewSubmitter(env.client(t))
		submitFirst(t, s)
		_, err := s.Submit(context.Background(), time.Now(), changelog.NewChange(1, "mariam", "spring term", workspacePatch("spring")))
		require.NoError(t, err)
		_, err = s.Submit(context.Background(), time.Now(), changelog.NewChange(1, "omar", "autumn term", workspacePatch("autumn")))
		require.True(t, errorx.IsOfType(err, changelog.Conflict), "%v", err)
		require.ErrorContains(t, err, "mariam")
		require.ErrorContains(t, err, "revision 2")
		require.ErrorContains(t, err, "persimmonridge audit --above 1")
	})
}

// Guards against changes that are applied twice or lost when the store executes
// a write but its answer is lost. Half of all answers are lost while ten operators
// compete to submit forty changes; each accepted change is in the audit trail
// once, in an unbroken chain.
func TestLostAnswersAndRacesKeepOneChain(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		env := newTestEnv(t)
		submitFirst(t, changelog.NewSubmitter(env.client(t)))
		env.platform.Store().SetFaults(kv.Faults{LoseAnswers: 0.5})
		var mu sync.Mutex
		accepted := make(map[string]bool)
		var operators sync.WaitGroup
		for operator := range 10 {
			s := changelog.NewSubmitter(env.client(t))
			operators.Go(func() {
				for i := range 4 {
					record := submitUntilAccepted(t, s, operator, i)
					mu.Lock()
					accepted[record.Mark()] = true
					mu.Unlock()
				}
			})
		}
		operators.Wait()
		env.platform.Store().SetFaults(kv.Faults{})
		trail, err := changelog.NewSubmitter(env.client(t)).Audit(context.Background(), 1)
		require.NoError(t, err)
		require.Len(t, trail, 40)
		for i, record := range trail {
			require.Equal(t, uint64(i+2), record.Revision())
			require.True(t, accepted[record.Mark()])
		}
	})
}

// submitUntilAccepted submits a change until it is accepted, like an operator who runs the
// command again after each conflict.
func submitUntilAccepted(t *testing.T, s *changelog.Submitter, operator, number int) changelog.Record {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		_, revision, err := s.Read(ctx)
		if err == nil {
			change := changelog.NewChange(revision, fmt.Sprint("operator-", operator), "a change", workspacePatch(fmt.Sprintf("w-%d-%d", operator, number)))
			var record changelog.Record
			record, err = s.Submit(ctx, time.Now(), change)
			if err == nil {
				cancel()
				return record
			}
		}
		cancel()
		require.False(t, errorx.IsOfType(err, store.Indeterminate), "%v", err)
		bubble.Sleep(50 * time.Millisecond)
	}
}

// Guards against nodes that stay behind or return to an older revision. Thirty
// nodes follow the head through forty changes and an outage of the store: no
// revision ever decreases, and all nodes have the last one within 8 s.
func TestFollowersConvergeWithin8s(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		env := newTestEnv(t)
		s := changelog.NewSubmitter(env.client(t))
		submitFirst(t, s)
		invariants := invariant.New(discardLogger)
		var logs []*changelog.Log
		for range 30 {
			log := changelog.New(invariants)
			follower := changelog.Follow(log, env.client(t), discardLogger)
			t.Cleanup(func() { _ = follower.Close() })
			logs = append(logs, log)
		}
		for i := range 40 {
			submitUntilAccepted(t, s, 0, i)
			if i == 20 {
				env.platform.Store().SetFaults(kv.Faults{Outage: true})
				bubble.Sleep(30 * time.Second)
				env.platform.Store().SetFaults(kv.Faults{})
			}
		}
		bubble.Sleep(8 * time.Second)
		for _, log := range logs {
			require.Equal(t, uint64(41), log.Revision())
		}
		require.Zero(t, invariants.Total())
	})
}

// A node that starts while the store is down gets the log from a peer. A peer
// that is behind must not make it return to an older revision.
func TestLogFromPeer(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		env := newTestEnv(t)
		s := changelog.NewSubmitter(env.client(t))
		ahead, behind := changelog.New(invariant.New(discardLogger)), changelog.New(invariant.New(discardLogger))
		require.NoError(t, ahead.Apply(nil, []changelog.Record{submitFirst(t, s)}))
		for i := range 20 {
			require.NoError(t, ahead.Apply(nil, []changelog.Record{submitUntilAccepted(t, s, 0, i)}))
		}
		snapshot, records := ahead.Since(0)
		require.NotNil(t, snapshot, "21 changes exceed the number of records kept")
		require.NoError(t, behind.Apply(snapshot, records))
		require.Equal(t, uint64(21), behind.Revision())
		doc, _ := behind.Current()
		_, exists := doc.Inventory().WorkspaceSize("w-0-19")
		require.True(t, exists)
		initial, initialRecords := changelog.New(invariant.New(discardLogger)).Since(0)
		require.NoError(t, behind.Apply(initial, initialRecords))
		require.Equal(t, uint64(21), behind.Revision())
	})
}

func TestRejectedChangeNamesFieldAndRemedyAndChangesNothing(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		env := newTestEnv(t)
		s := changelog.NewSubmitter(env.client(t))
		submitFirst(t, s)
		_, err := s.Submit(context.Background(), time.Now(), changelog.NewChange(1, "omar", "typo", []byte(`{"rules":{"actions":{"booking/refund":{"repeat":"never"}}}}`)))
		require.True(t, errorx.IsOfType(err, changelog.Rejected))
		require.ErrorContains(t, err, "/rules/actions/booking/refund: service booking has no action refund")
		_, revision, err := s.Read(context.Background())
		require.NoError(t, err)
		require.Equal(t, uint64(1), revision)
	})
}

func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"a":{"b":1}}`), []byte(`{"a":{"b":null}}`))
	f.Add([]byte(`[]`), []byte(`{"a":2}`))
	f.Fuzz(func(t *testing.T, from, to []byte) {
		var value any
		if json.Unmarshal(from, &value) != nil || json.Unmarshal(to, &value) != nil {
			return
		}
		patch, _, err := document.Diff(from, to)
		require.NoError(t, err)
		_, err = document.Patch(from, patch)
		require.NoError(t, err)
	})
}
