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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// world is the platform's stand-ins with clients of them.
type world struct {
	platform *platform.Platform
	network  *network.Network
}

func newWorld(t *testing.T) *world {
	net := network.New()
	p, err := platform.New(net, 1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	return &world{platform: p, network: net}
}

func (w *world) client(t *testing.T) *store.Client {
	c := store.New([]string{w.platform.StoreURL()}, time.Now, w.network, store.ForOperator())
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func first(t *testing.T, s *changelog.Submitter) changelog.Record {
	patch, err := json.Marshal(map[string]json.RawMessage{"inventory": examples.CairoInventory, "rules": examples.CairoRules})
	require.NoError(t, err)
	record, err := s.Submit(context.Background(), time.Now(), changelog.NewChange(0, "mariam", "first", patch))
	require.NoError(t, err)
	return record
}

func workspace(name string) []byte {
	return []byte(fmt.Sprintf(`{"inventory":{"workspaces":{%q:{}}}}`, name))
}

// Two operators edit the rules at the same moment, and one of the edits is gone
// without a word.
// Both write against revision 1. One is accepted; the other is told who won, at
// which revision, and the command to go on.
func TestTheLoserOfARaceIsToldWhoWon(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		w := newWorld(t)
		s := changelog.NewSubmitter(w.client(t))
		first(t, s)
		_, err := s.Submit(context.Background(), time.Now(), changelog.NewChange(1, "mariam", "spring term", workspace("spring")))
		require.NoError(t, err)
		_, err = s.Submit(context.Background(), time.Now(), changelog.NewChange(1, "omar", "autumn term", workspace("autumn")))
		require.True(t, errorx.IsOfType(err, changelog.Conflict), "%v", err)
		require.ErrorContains(t, err, "mariam")
		require.ErrorContains(t, err, "revision 2")
		require.ErrorContains(t, err, "persimmonridge audit --above 1")
	})
}

// The store takes a change and loses the answer; the operator applies it again
// and finds it twice in the audit, or not at all.
// Half of all answers are lost while ten operators race for forty changes. Each
// accepted change is in the audit once, in an unbroken chain.
func TestLostAnswersAndRacesLeaveOneChain(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		w := newWorld(t)
		first(t, changelog.NewSubmitter(w.client(t)))
		w.platform.Store().SetFaults(kv.Faults{LoseAnswers: 0.5})
		var mu sync.Mutex
		accepted := make(map[string]bool)
		var operators sync.WaitGroup
		for o := range 10 {
			s := changelog.NewSubmitter(w.client(t))
			operators.Go(func() {
				for i := range 4 {
					record := insist(t, s, o, i)
					mu.Lock()
					accepted[record.Mark()] = true
					mu.Unlock()
				}
			})
		}
		operators.Wait()
		w.platform.Store().SetFaults(kv.Faults{})
		trail, err := changelog.NewSubmitter(w.client(t)).Audit(context.Background(), 1)
		require.NoError(t, err)
		require.Len(t, trail, 40)
		for i, record := range trail {
			require.Equal(t, uint64(i+2), record.Revision())
			require.True(t, accepted[record.Mark()])
		}
	})
}

// insist submits until it wins, as an operator who runs the command again does.
func insist(t *testing.T, s *changelog.Submitter, operator, number int) changelog.Record {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		_, revision, err := s.Read(ctx)
		if err == nil {
			change := changelog.NewChange(revision, fmt.Sprint("operator-", operator), "a change", workspace(fmt.Sprintf("w-%d-%d", operator, number)))
			var record changelog.Record
			record, err = s.Submit(ctx, time.Now(), change)
			if err == nil {
				cancel()
				return record
			}
		}
		cancel()
		require.False(t, errorx.IsOfType(err, store.Unclear), "%v", err)
		bubble.Pass(50 * time.Millisecond)
	}
}

// A rule is in force at one entry and not at another, or comes back after a
// restart.
// Thirty nodes follow the head through forty changes and an outage of the
// store; none may ever fall back, and all must hold the last one 8 s later.
func TestFollowersComeToTheSameRevisionWithin8s(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		w := newWorld(t)
		s := changelog.NewSubmitter(w.client(t))
		first(t, s)
		invariants := invariant.New(quiet)
		var logs []*changelog.Log
		for range 30 {
			log := changelog.New(invariants)
			follower := changelog.Follow(log, w.client(t), quiet)
			t.Cleanup(func() { _ = follower.Close() })
			logs = append(logs, log)
		}
		for i := range 40 {
			insist(t, s, 0, i)
			if i == 20 {
				w.platform.Store().SetFaults(kv.Faults{Outage: true})
				bubble.Pass(30 * time.Second)
				w.platform.Store().SetFaults(kv.Faults{})
			}
		}
		bubble.Pass(8 * time.Second)
		for _, log := range logs {
			require.Equal(t, uint64(41), log.Revision())
		}
		require.Zero(t, invariants.Total())
	})
}

// A node that starts while the store is down takes the log from a peer; a peer
// that is behind must not take it back.
func TestLogFromAPeer(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		w := newWorld(t)
		s := changelog.NewSubmitter(w.client(t))
		ahead, behind := changelog.New(invariant.New(quiet)), changelog.New(invariant.New(quiet))
		require.NoError(t, ahead.Apply(nil, []changelog.Record{first(t, s)}))
		for i := range 20 {
			require.NoError(t, ahead.Apply(nil, []changelog.Record{insist(t, s, 0, i)}))
		}
		snapshot, records := ahead.Since(0)
		require.NotNil(t, snapshot, "21 changes are more than the records kept")
		require.NoError(t, behind.Apply(snapshot, records))
		require.Equal(t, uint64(21), behind.Revision())
		doc, _ := behind.Current()
		_, known := doc.Inventory().WorkspaceSize("w-0-19")
		require.True(t, known)
		older, olderRecords := changelog.New(invariant.New(quiet)).Since(0)
		require.NoError(t, behind.Apply(older, olderRecords))
		require.Equal(t, uint64(21), behind.Revision())
	})
}

func TestRejectedChangeNamesFieldAndRemedyAndChangesNothing(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		w := newWorld(t)
		s := changelog.NewSubmitter(w.client(t))
		first(t, s)
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
