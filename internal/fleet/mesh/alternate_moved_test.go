package mesh_test

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// Guards against messages to the former address of a node that was replaced under its name:
// on either connection, they would be lost as long as the address is known.
func TestMessagesGoToThePresentAddressOfANode(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		start := func(node, address string) (*process, *messageHandler) {
			h := &messageHandler{recordingHandler: newRecorder()}
			listener, err := n.Listen(address)
			require.NoError(t, err)
			p := &process{t: t, handler: h.recordingHandler, done: make(chan error, 1)}
			p.mesh = mesh.New(node, address, uint64(time.Now().UnixNano()), n, h, slog.New(slog.DiscardHandler), time.Now)
			p.server = link.Serve(listener, p.mesh.Serve)
			for _, peer := range []string{"a:1", "b:1", "b:2"} {
				p.mesh.AddPeer(time.Now(), peer)
			}
			ctx, cancel := context.WithCancel(t.Context())
			p.cancel = cancel
			go func() { p.done <- p.mesh.Run(ctx) }()
			return p, h
		}
		stop := func(p *process) {
			p.cancel()
			require.NoError(t, <-p.done)
			require.NoError(t, p.server.Close())
		}
		a, _ := start("a", "a:1")
		former, _ := start("b", "b:1")
		bubble.Sleep(time.Second)
		stop(former)
		b, heard := start("b", "b:2")
		bubble.Sleep(3 * time.Second)
		var want []string
		for i := range 8 {
			ask := func(id string) *wire.Envelope {
				want = append(want, "a:"+id)
				return &wire.Envelope{Body: &wire.Envelope_PlaceAsk{PlaceAsk: &wire.PlaceAsk{Id: id}}}
			}
			a.mesh.Send("b", ask("first "+strconv.Itoa(i)))
			bubble.Sleep(time.Second)
			a.mesh.SendAlternate("b", ask("second "+strconv.Itoa(i)))
			bubble.Sleep(11 * time.Second) // the connection is closed meanwhile
		}
		stop(a)
		stop(b)
		require.Equal(t, want, heard.messages())
	})
}
