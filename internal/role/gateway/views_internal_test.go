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
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
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
