package mesh_test

import (
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// listBytes counts the bytes of the lists of gateways in gossip that a process sends.
type listBytes struct {
	mu         sync.Mutex
	sum, whole int
}

func (l *listBytes) MessageReceived(*wire.Envelope, string) {}

func (l *listBytes) MessageSent(e *wire.Envelope, _ string) {
	g := e.GetGossip()
	lists := &wire.Gossip{Known: g.GetKnown(), Unavailable: g.GetUnavailable(), UnavailableChange: g.GetUnavailableChange()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum += proto.Size(lists)
	if g.GetUnavailable() != nil {
		l.whole++
	}
}

func (l *listBytes) take() (bytes, whole int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes, whole = l.sum, l.whole
	l.sum, l.whole = 0, 0
	return bytes, whole
}

func (p *process) setReady(ready bool) {
	p.handler.mu.Lock()
	defer p.handler.mu.Unlock()
	p.handler.sent.Ready = ready
}

// startObservedFleet starts gateways of which a number accepts no callers, and returns them
// with what the first one, a hub, sends in lists.
func startObservedFleet(t *testing.T, n *network.Network, size, unready int) ([]*process, *listBytes) {
	sent := &listBytes{}
	var all []*process
	for i := range size {
		all = append(all, startProcess(t, n, gatewayName(i), uint64(i+1), &wire.Gossip{Rank: int64(i + 1), Ready: i < size-unready}))
	}
	all[0].mesh.SetTrafficObserver(sent)
	for _, p := range all {
		for i := range size {
			p.mesh.AddRankedPeer(time.Now(), gatewayName(i), int64(i+1))
		}
	}
	return all, sent
}

// Guards against lists of all gateways that are sent to all of them whenever one changes.
func TestChangeOfOneGatewayIsToldWithoutTheListOfAll(t *testing.T) {
	const unready, mean = 40, 15
	for _, size := range []int{80, 140} {
		bubble.Run(t, func(t *testing.T) {
			all, sent := startObservedFleet(t, network.New(), size, unready)
			bubble.Sleep(25 * time.Second)
			sent.take()
			bubble.Sleep(10 * time.Second)
			// Each list is sent again in 96 s, an address of some 15 bytes at a time.
			bytes, whole := sent.take()
			require.Zero(t, whole)
			require.LessOrEqual(t, bytes, 2*size*size*mean*10/96, "%d gateways at rest", size)
			all[size-1].setReady(true)
			bubble.Sleep(time.Second)
			for i := range size - 1 {
				within, _ := all[i].mesh.Availability(time.Now(), "")
				require.Equal(t, mesh.Availability{Accepting: size - unready - boolInt(i < size-unready) + 1, Total: size - 1}, within, "gateway %d of %d", i, size)
			}
			bytes, whole = sent.take()
			require.Zero(t, whole)
			require.LessOrEqual(t, bytes, 4*size*mean+2*size*size*mean/96, "%d gateways after a change", size)
			for _, p := range all {
				p.stop()
			}
		})
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against gateways whose lists stay wrong while many others restart.
func TestListsAreRightAfterManyChangesAndARestart(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		const size, unready = 80, 40
		n := network.New()
		all, _ := startObservedFleet(t, n, size, unready)
		bubble.Sleep(3 * time.Second)
		for i := range 30 {
			all[size-1-i].setReady(true)
			all[10+i].setReady(false)
			bubble.Sleep(300 * time.Millisecond)
			if i == 10 {
				all[5].stop()
				n.Vanish(gatewayName(5))
			}
			if i == 15 {
				n.Restore(gatewayName(5))
				all[5] = startProcess(t, n, gatewayName(5), 1000, &wire.Gossip{Rank: 6, Ready: true}, gatewayName(0), gatewayName(1))
			}
		}
		bubble.Sleep(3 * time.Second)
		for i := range size {
			accepting := size - unready
			if all[i].handler.sent.Ready {
				accepting--
			}
			within, _ := all[i].mesh.Availability(time.Now(), "")
			require.Equal(t, mesh.Availability{Accepting: accepting, Total: size - 1}, within, "gateway %d", i)
		}
		for _, p := range all {
			p.stop()
		}
	})
}

// Guards against a queue for each gateway of the fleet at each gateway, though it sends to
// its hubs alone.
func TestPeerWithoutMessagesHoldsNoQueue(t *testing.T) {
	m := mesh.New("a", "a:1", 1, network.New(), nil, slog.New(slog.DiscardHandler), time.Now)
	added := testing.Benchmark(func(b *testing.B) {
		for i := range b.N {
			m.AddPeer(time.Now(), gatewayName(i))
		}
	})
	require.Less(t, added.AllocedBytesPerOp(), int64(4<<10))
}
