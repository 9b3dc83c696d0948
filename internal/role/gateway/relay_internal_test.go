package gateway

import (
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// stated decodes registrations that are nothing but their state.
type stated struct{ Decoder }

func (stated) Upstream(key string, raw []byte, revision int64) (roster.Upstream, error) {
	u := roster.Upstream{ID: key, Service: "tutor", Revision: revision}
	if strings.HasPrefix(string(raw), "draining") {
		u.State = roster.Draining
	}
	return u, nil
}

func (stated) UpstreamID(key string) string { return key }

func newRelayer(name string) *Gateway {
	return New(Parts{
		Settings: Settings{Name: name, Apply: 4 * time.Second}, Decoder: stated{}, Dialer: &net.Dialer{},
		Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
}

func put(key, value string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: key, Value: []byte(value), Revision: revision}}
}

func gone(key string, revision int64) kv.Event {
	return kv.Event{Item: kv.Item{Key: key, Revision: revision}, Deleted: true}
}

// hand lets one gateway ask the other for what it lacks, and returns the answer.
func hand(now time.Time, from, to *Gateway) *wire.Snapshot {
	s := from.peers.snapshot(&wire.SnapshotAsk{Roster: true, RosterAfter: to.roster.Revision()})
	to.peers.take(now, "peer", s)
	return s
}

// Guards against a gateway that goes on sending to an upstream which said that it
// leaves, or which is gone, because it looks at the store less often than others.
func TestPeerTellsWhatChangedSince(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	reads, told := newRelayer("reads"), newRelayer("told")
	list := kv.Snapshot{Revision: 10}
	for _, key := range []string{"a", "b", "c"} {
		list.Items = append(list.Items, kv.Item{Key: key, Value: []byte("ready"), Revision: 9})
	}
	reads.upstreams.Replace(now, list)
	told.upstreams.Replace(now, list)
	reads.upstreams.Apply(now, kv.Changes{Revision: 20, Events: []kv.Event{
		put("a", "ready 2", 11), put("b", "draining", 12), gone("c", 13), put("d", "ready", 14),
	}})
	require.Equal(t, int64(14), reads.changed.Load())

	s := hand(now, reads, told)
	require.True(t, s.Partial)
	require.Len(t, s.Roster, 3, "a heartbeat is no change")
	require.Equal(t, int64(20), told.roster.Revision())
	b, _ := told.roster.Get("b")
	require.Equal(t, roster.Draining, b.State)
	_, known := told.roster.Get("c")
	require.False(t, known)
	_, known = told.roster.Get("d")
	require.True(t, known)

	// The store tells the same later, and earlier states before it.
	told.upstreams.Apply(now, kv.Changes{Revision: 20, Events: []kv.Event{put("b", "ready", 10), put("c", "ready", 11), gone("c", 13)}})
	b, _ = told.roster.Get("b")
	require.Equal(t, roster.Draining, b.State)
	_, known = told.roster.Get("c")
	require.False(t, known)
}

// Guards against a removal that is lost because the peer that is asked began after
// it: it hands on its whole list then.
func TestPeerThatBeganLaterTellsAll(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	reads, told := newRelayer("reads"), newRelayer("told")
	told.upstreams.Replace(now, kv.Snapshot{Revision: 10, Items: []kv.Item{{Key: "a", Value: []byte("ready"), Revision: 9}}})
	reads.upstreams.Replace(now, kv.Snapshot{Revision: 12, Items: []kv.Item{{Key: "b", Value: []byte("ready"), Revision: 11}}})
	require.False(t, hand(now, reads, told).Partial)
	_, known := told.roster.Get("a")
	require.False(t, known)
}

// Guards against an upstream that lapsed while the store was away and is back in a
// moment: peers are told of it when it is known to be gone.
func TestLapsedUpstreamIsNotToldToBeGoneAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	reads, told := newRelayer("reads"), newRelayer("told")
	list := kv.Snapshot{Revision: 10, Items: []kv.Item{{Key: "a", Value: []byte("ready"), Revision: 9}, {Key: "b", Value: []byte("ready"), Revision: 9}}}
	reads.upstreams.Replace(now, list)
	told.upstreams.Replace(now, list)
	reads.roster.StoreReturned(now)
	reads.upstreams.Apply(now, kv.Changes{Revision: 20, Events: []kv.Event{gone("a", 13)}})
	hand(now, reads, told)
	_, known := told.roster.Get("a")
	require.True(t, known)
	require.Equal(t, int64(12), told.roster.Revision())
	later := now.Add(3 * time.Second)
	reads.roster.Expire(later)
	hand(later, reads, told)
	_, known = told.roster.Get("a")
	require.False(t, known)
	require.Equal(t, int64(20), told.roster.Revision())
}

// Guards against a gap in the history that only the gateways see which look at the
// store often: what a list read anew shows is told to the others.
func TestListReadAnewTellsOfItsChanges(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := newRelayer("reads")
	item := func(value string, revision int64) []kv.Item {
		return []kv.Item{{Key: "a", Value: []byte(value), Revision: revision}}
	}
	g.upstreams.Replace(now, kv.Snapshot{Revision: 10, Items: item("ready", 9)})
	require.Zero(t, g.changed.Load())
	g.upstreams.Replace(now, kv.Snapshot{Revision: 20, Items: item("ready 2", 15)})
	require.Zero(t, g.changed.Load())
	g.upstreams.Replace(now, kv.Snapshot{Revision: 30, Items: item("draining", 25)})
	require.Equal(t, int64(25), g.changed.Load())
	g.upstreams.Replace(now, kv.Snapshot{Revision: 40})
	require.Equal(t, int64(40), g.changed.Load())
}

// Guards against a gateway that trusts peers to look at the store while none of
// them is answered by it, or has been heard of late.
func TestGatewayLooksAtTheStoreItselfUnlessSeveralPeersDo(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := newRelayer("spoke")
	answers := &wire.Gossip{StoreAnswers: true}
	for _, peer := range []string{"a", "b", "c"} {
		g.peers.askFor(now, peer, answers)
	}
	require.False(t, g.peers.toldOfStore(now), "as long as the others rely on it")
	g.peers.hub = func() bool { return false }
	require.True(t, g.peers.toldOfStore(now))
	require.False(t, g.peers.toldOfStore(now.Add(answeringFor)))
	g.peers.askFor(now, "c", &wire.Gossip{})
	require.False(t, g.peers.toldOfStore(now))
	g.peers.askFor(now, "c", answers)
	g.peers.storeAway(true)
	require.False(t, g.peers.toldOfStore(now))
}

// Guards against a hub that hands a large configuration to a whole fleet and has no
// time for what is urgent: while the store answers, each gateway reads it there.
func TestConfigurationIsAskedOfAPeerOnlyIfTheStoreIsLate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := newRelayer("spoke")
	later := &wire.Gossip{ConfigVersion: 7, ChangeRevision: 99}
	g.peers.askFor(now, "a", later)
	require.Zero(t, g.peers.askedConfig)
	g.peers.askFor(now.Add(time.Second), "b", &wire.Gossip{ConfigVersion: 6})
	g.peers.askFor(now.Add(2*time.Second), "a", later)
	require.Zero(t, g.peers.askedConfig, "it is being read")
	g.peers.askFor(now.Add(2500*time.Millisecond), "a", later)
	require.NotZero(t, g.peers.askedConfig)

	away := newRelayer("spoke")
	away.peers.storeAway(true)
	away.peers.askFor(now, "a", later)
	require.Equal(t, now, away.peers.askedConfig)
}
