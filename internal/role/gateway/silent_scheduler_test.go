package gateway_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// dialer opens a gateway's connections. Once it is severed, nothing passes on them in
// either direction, as when the VM loses power.
type dialer struct {
	network *network.Network
	link    *network.Link
	severed atomic.Bool
	// severedPeers is set while connections to other gateways are severed.
	severedPeers atomic.Bool
}

// dialer returns the dialer of a gateway.
func (f *fleet) dialer(i int) *dialer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dialers == nil {
		f.dialers = make(map[int]*dialer)
	}
	if f.dialers[i] == nil {
		f.dialers[i] = &dialer{network: f.network, link: f.links[i]}
	}
	return f.dialers[i]
}

func (d *dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if d.link != nil {
		conn = d.link.Conn(conn)
	}
	return &severableConn{Conn: conn, dialer: d, toPeer: strings.HasSuffix(address, linkPort)}, nil
}

// dialStore returns how a gateway connects to the store.
func (f *fleet) dialStore(i int) func(ctx context.Context, network, address string) (net.Conn, error) {
	if f.storeOverLinks {
		return f.dialer(i).DialContext
	}
	return f.dialer(i).dialStore
}

// dialStore opens a connection to the store, which the VM's link does not limit.
func (d *dialer) dialStore(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &severableConn{Conn: conn, dialer: d}, nil
}

type severableConn struct {
	net.Conn
	dialer *dialer
	toPeer bool
}

func (c *severableConn) severed() bool {
	return c.dialer.severed.Load() || (c.toPeer && c.dialer.severedPeers.Load())
}

func (c *severableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.severed() {
			return n, err
		}
	}
}

func (c *severableConn) Write(p []byte) (int, error) {
	if c.severed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// pressDuring makes calls at the gateways for a time without waiting for their answers.
func (f *fleet) pressDuring(wg *sync.WaitGroup, gatewaysCalled []int, during time.Duration) {
	for n, end := 0, time.Now().Add(during); time.Now().Before(end); n++ {
		for _, i := range gatewaysCalled {
			wg.Go(func() { f.call(i, "/old/x?events=1", fmt.Sprintf("s%d-%d-%d", end.UnixNano(), n, i)) })
		}
		bubble.Sleep(10 * time.Millisecond)
	}
}

// Guards against requests that are placed without a scheduler for as long as gossip takes
// to report its loss. Gateways that get no reply to several slot requests, and hear others,
// must ask the next one.
func TestSilentSchedulerIsReplacedBeforeGossipReportsItsLoss(t *testing.T) {
	runFleet(t, func(f *fleet) {
		var wg sync.WaitGroup
		defer wg.Wait()
		f.pressDuring(&wg, []int{0, 1, 2}, time.Second)
		lost := f.scheduler()
		f.network.Vanish(linkAddress(lost))
		f.dialer(lost).severed.Store(true)
		survivors := []int{(lost + 1) % gateways, (lost + 2) % gateways}
		f.pressDuring(&wg, survivors, 300*time.Millisecond)
		require.True(t, f.schedules(survivors[0]) || f.schedules(survivors[1]))
	})
}

// Guards against a gateway that is cut off itself and passes over a scheduler that the
// others still use.
func TestGatewayThatHearsNobodyKeepsItsScheduler(t *testing.T) {
	runFleet(t, func(f *fleet) {
		var wg sync.WaitGroup
		defer wg.Wait()
		scheduler := f.scheduler()
		isolated := (scheduler + 1) % gateways
		f.network.Vanish(linkAddress(isolated))
		f.dialer(isolated).severed.Store(true)
		f.pressDuring(&wg, []int{isolated}, 300*time.Millisecond)
		require.False(t, f.schedules(isolated))
		require.True(t, f.schedules(scheduler))
	})
}
