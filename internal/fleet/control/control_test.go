package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/config/changelog"
	"github.com/persimmonridge/persimmonridge/internal/fleet/control"
	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/standin/platform"
	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// node is one side of a control stream.
type node struct {
	log      *changelog.Log
	suspects *suspect.Registry
	changed  *control.Signal
	evidence *control.Signal
	peer     *control.Peer
	// evidenceReceived counts the routes of evidence that the node received.
	evidenceReceived atomic.Int64
}

func newNode(options ...control.Option) *node {
	n := &node{log: changelog.New(invariant.New(discardLogger)), suspects: suspect.New(), changed: control.NewSignal(), evidence: control.NewSignal()}
	n.peer = control.NewPeer(n.log, n.suspects, n.changed, time.Now, append(options, control.WithEvidence(n.evidence))...)
	return n
}

// connect links two nodes and returns the address by which the dialing one knows
// the other.
func connect(t *testing.T, dialing, accepting *node) (address string) {
	net := network.New()
	listener, err := net.Listen("127.0.0.1:0")
	require.NoError(t, err)
	server := link.Serve(listener, func(ctx context.Context, s *link.Stream) { accepting.peer.Run(ctx, "", s, nil) })
	pool := link.NewPool(net, nil)
	stream, err := pool.Open(context.Background(), server.Addr())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		dialing.peer.Run(ctx, server.Addr(), stream, func(_ time.Time, n *wire.Notice) { dialing.evidenceReceived.Add(int64(len(n.GetEvidence()))) })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
	})
	return server.Addr()
}

// records returns the records of accepted changes.
func records(t *testing.T, count int) []changelog.Record {
	net := network.New()
	p, err := platform.New(net, 1)
	require.NoError(t, err)
	client := store.New([]string{p.StoreURL()}, time.Now, net, store.ForOperator())
	t.Cleanup(func() {
		_ = client.Close()
		_ = p.Close()
	})
	s := changelog.NewSubmitter(client)
	first, err := json.Marshal(map[string]json.RawMessage{"inventory": examples.CairoInventory, "rules": examples.CairoRules})
	require.NoError(t, err)
	patch := first
	var out []changelog.Record
	for i := range count {
		record, err := s.Submit(context.Background(), time.Now(), changelog.NewChange(uint64(i), "operator", "change", patch))
		require.NoError(t, err)
		out = append(out, record)
		patch = []byte(fmt.Sprintf(`{"inventory":{"workspaces":{"w-%d":{}}}}`, i))
	}
	return out
}

// Guards against a rule that is in force at the entries and not at the agents:
// the entry gets three changes from the store in quick succession; the idle
// agent must have the last within 8 s, by the link alone.
func TestChangesReachAnIdleAgent(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		changes := records(t, 3)
		entry, agent := newNode(), newNode()
		connect(t, entry, agent)
		bubble.Sleep(2 * time.Second)
		for _, record := range changes {
			require.NoError(t, entry.log.Apply(nil, []changelog.Record{record}))
			bubble.Sleep(100 * time.Millisecond)
		}
		bubble.Sleep(7 * time.Second)
		require.Equal(t, uint64(3), agent.log.Revision())
	})
}

// Guards against an entry without configuration when it starts while the store
// is down: an agent has the configuration and says so in its first notice, upon
// which the entry must request it.
func TestEntryFetchesConfigurationFromAgent(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		entry, agent := newNode(), newNode()
		require.NoError(t, agent.log.Apply(nil, records(t, 2)))
		connect(t, entry, agent)
		bubble.Sleep(2 * time.Second)
		require.Equal(t, uint64(2), entry.log.Revision())
	})
}

// Guards against a lost configuration change that is never sent again: a later
// load report of the agent contains its old revision, upon which the change must
// be sent again.
func TestOutdatedLoadReportTriggersResend(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		changes := records(t, 2)
		entry, agent := newNode(), newNode()
		address := connect(t, entry, agent)
		require.NoError(t, entry.log.Apply(nil, changes))
		entry.peer.ReportRevision(address, 0)
		bubble.Sleep(2 * time.Second)
		require.Equal(t, uint64(2), agent.log.Revision())
	})
}

// Evidence must be sent only if it is wanted, and at the requested interval.
func TestEvidenceIsSentAtRequestedInterval(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		var wanted atomic.Uint32
		entry := newNode(control.WithDescribe(func(_ time.Time, n *wire.Notice, _ bool) { n.EvidenceEveryMs = wanted.Load() }))
		agent := newNode(control.WithDescribe(func(_ time.Time, n *wire.Notice, evidence bool) {
			if evidence {
				n.Evidence = []*wire.RouteEvidence{{Route: "w/a"}}
			}
		}))
		connect(t, entry, agent)
		count := func() int64 {
			entry.evidenceReceived.Store(0)
			for range 100 {
				agent.evidence.Raise()
				bubble.Sleep(100 * time.Millisecond)
			}
			return entry.evidenceReceived.Load()
		}
		require.Zero(t, count())
		wanted.Store(2000)
		entry.changed.Raise()
		bubble.Sleep(time.Second)
		require.InDelta(t, 5, count(), 1, "notices with evidence in 10 s at an interval of 2 s")
	})
}

// A crash that is recorded at one node must be known at the other immediately.
func TestCrashesArePropagated(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		entry, agent := newNode(), newNode()
		connect(t, entry, agent)
		bubble.Sleep(time.Second)
		agent.suspects.Record(time.Now(), suspect.NewCrash(1, time.Now(), []uint64{7}))
		agent.changed.Raise()
		bubble.Sleep(100 * time.Millisecond)
		require.Equal(t, suspect.Suspected, entry.suspects.Status(time.Now(), 7))
	})
}
