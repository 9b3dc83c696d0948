package gateway

import (
	"log/slog"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/sched/granter"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// versions decodes a configuration that is nothing but its version.
type versions struct{ Decoder }

// Config implements Decoder.
func (versions) Config(raw []byte) (*catalog.Catalog, error) {
	version, err := strconv.ParseInt(string(raw), 10, 64)
	return catalog.New(catalog.Content{Version: version}), err
}

// Guards against a gateway that hands on an older configuration than it goes by:
// two came at once, from the store and from a peer, and peers that the store
// turns away were never told of the later one.
func TestConfigurationInForceIsTheOneHandedOn(t *testing.T) {
	g := New(Parts{Decoder: versions{}, Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	for version := 1; version < 20_000; version += 2 {
		var wg sync.WaitGroup
		wg.Go(func() { g.takeConfig([]byte(strconv.Itoa(version)), "peer") })
		wg.Go(func() { g.takeConfig([]byte(strconv.Itoa(version+1)), "store") })
		wg.Wait()
		handed := g.peers.snapshot(&wire.SnapshotAsk{Config: true})
		require.Equal(t, strconv.FormatInt(g.catalog.Load().Version(), 10), string(handed.Config))
	}
}

// Guards against an engine that gets work after it said that it leaves: two
// changes came at once, and the scheduler took the list of before last.
func TestSchedulerTakesTheLastListOfEngines(t *testing.T) {
	g := New(Parts{Settings: Settings{Name: "me"}, Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	granted := false
	g.granter = granter.New(time.Now, func(v board.Verdict) { granted = granted || v.Upstream != "" }, g.logger)
	g.catalog.Store(catalog.New(catalog.Content{Version: 1, Services: []catalog.Service{{Name: "tutor", Engine: &catalog.Engine{Slots: 1}}}}))
	change := func(state roster.State, revision int64) {
		g.roster.Put(roster.Upstream{ID: "engine", Service: "tutor", Slots: 1, State: state, Revision: revision})
		g.upstreamsChanged()
	}
	for revision := int64(1); revision < 20_000; revision += 2 {
		var wg sync.WaitGroup
		wg.Go(func() { change(roster.Ready, revision) })
		wg.Go(func() { change(roster.Draining, revision+1) })
		wg.Wait()
		now := time.Now()
		g.granter.Ask(board.Ask{Owner: "me", ID: "a", Service: "tutor", Due: now.Add(time.Second), Until: now.Add(time.Minute), Prompt: 100, Output: 10})
		require.False(t, granted, "revision %d", revision)
		g.granter.Ended("me", "a", board.End{Outcome: board.Left})
	}
}

// registrations decodes upstreams that are nothing but their ids.
type registrations struct{ Decoder }

// Upstream implements Decoder.
func (registrations) Upstream(key string, _ []byte, revision int64) (roster.Upstream, error) {
	return roster.Upstream{ID: key, Service: "tutor", Revision: revision}, nil
}

// UpstreamID implements Decoder.
func (registrations) UpstreamID(key string) string { return key }

// Guards against an upstream that is gone and is handed on to peers for good: a
// peer's list, read before, was taken after the change that removed it.
func TestOlderListIsNotHandedOn(t *testing.T) {
	g := New(Parts{Decoder: registrations{}, Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	now := time.Unix(1_000_000, 0)
	older := kv.Snapshot{Items: []kv.Item{{Key: "gone", Revision: 91}}, Revision: 102}
	g.upstreams.Replace(now, kv.Snapshot{Items: older.Items, Revision: 99})
	g.upstreams.Apply(now, kv.Changes{Events: []kv.Event{{Item: kv.Item{Key: "gone", Revision: 104}, Deleted: true}}, Revision: 104})
	g.upstreams.Replace(now, older)
	require.Empty(t, g.peers.snapshot(&wire.SnapshotAsk{Roster: true}).Roster)
}
