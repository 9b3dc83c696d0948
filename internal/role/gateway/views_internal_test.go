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

// versionDecoder decodes configurations whose encoded form is the version.
type versionDecoder struct{ Decoder }

// Config implements Decoder.
func (versionDecoder) Config(raw []byte) (*catalog.Catalog, error) {
	version, err := strconv.ParseInt(string(raw), 10, 64)
	return catalog.New(catalog.Content{Version: version}), err
}

// Guards against a gateway that passes on an older configuration than its active one:
// two arrived at once, from the store and from a peer, and peers that could not reach
// the store never got the later one.
func TestActiveConfigurationIsTheOnePassedOn(t *testing.T) {
	g := New(Dependencies{Decoder: versionDecoder{}, Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	for version := 1; version < 20_000; version += 2 {
		var wg sync.WaitGroup
		wg.Go(func() { g.applyConfig([]byte(strconv.Itoa(version)), "peer") })
		wg.Go(func() { g.applyConfig([]byte(strconv.Itoa(version+1)), "store") })
		wg.Wait()
		answer := g.peers.buildSnapshot(&wire.SnapshotAsk{Config: true})
		require.Equal(t, strconv.FormatInt(g.catalog.Load().Version(), 10), string(answer.Config))
	}
}

// Guards against an engine that gets requests after it registered as draining: two
// changes arrived at once, and the granter got the older engine list last.
func TestGranterGetsLatestEngineList(t *testing.T) {
	g := New(Dependencies{Settings: Settings{Name: "me"}, Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	granted := false
	g.granter = granter.New(time.Now, func(d board.Decision) { granted = granted || d.Upstream != "" }, g.logger)
	g.catalog.Store(catalog.New(catalog.Content{Version: 1, Services: []catalog.Service{{Name: "tutor", Engine: &catalog.Engine{Slots: 1}}}}))
	change := func(state roster.State, revision kv.Revision) {
		g.roster.Put(roster.Upstream{ID: "engine", Service: "tutor", Slots: 1, State: state, Revision: revision})
		g.publishEngines()
	}
	for revision := kv.Revision(1); revision < 20_000; revision += 2 {
		var wg sync.WaitGroup
		wg.Go(func() { change(roster.Ready, revision) })
		wg.Go(func() { change(roster.Draining, revision+1) })
		wg.Wait()
		now := time.Now()
		g.granter.Submit(board.SlotRequest{Owner: "me", ID: "a", Service: "tutor", NextEventDue: now.Add(time.Second), Deadline: now.Add(time.Minute), PromptTokens: 100, OutputTokens: 10})
		require.False(t, granted, "revision %d", revision)
		g.granter.Release("me", "a", board.SlotResult{Outcome: board.Canceled})
	}
}

// idDecoder decodes registrations to upstreams with only an ID and a service.
type idDecoder struct{ Decoder }

// Upstream implements Decoder.
func (idDecoder) Upstream(key string, _ []byte, revision kv.Revision) (roster.Upstream, error) {
	return roster.Upstream{ID: key, Service: "tutor", Revision: revision}, nil
}

// UpstreamID implements Decoder.
func (idDecoder) UpstreamID(key string) string { return key }

// Guards against a removed upstream that is passed on to peers for ever: a peer's list,
// read before the removal, was applied after it.
func TestStaleListIsNotPassedOn(t *testing.T) {
	g := New(Dependencies{Decoder: idDecoder{}, Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	now := time.Unix(1_000_000, 0)
	stale := kv.Snapshot{Items: []kv.Item{{Key: "removed", Revision: 91}}, Revision: 102}
	g.upstreams.Replace(now, kv.Snapshot{Items: stale.Items, Revision: 99})
	g.upstreams.Apply(now, kv.Changes{Events: []kv.Event{{Item: kv.Item{Key: "removed", Revision: 104}, Deleted: true}}, Revision: 104})
	g.upstreams.Replace(now, stale)
	require.Empty(t, g.peers.buildSnapshot(&wire.SnapshotAsk{Roster: true}).Roster)
}
