// Package platform serves stand-ins for the platform's two services, the key-value
// service and the VM list, at one address, for tests and trials.
package platform

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/standin/kv"
	"github.com/persimmonridge/persimmonridge/internal/standin/vms"
)

// Network is the network on which the platform listens.
type Network interface {
	Listen(address string) (net.Listener, error)
}

// Platform runs both services.
type Platform struct {
	store  *kv.Service
	list   *vms.List
	server *http.Server
	url    string
}

// New starts both services on a loopback address of the network; seed determines
// which answers of the store are lost.
func New(network Network, seed uint64) (*Platform, error) {
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{store: kv.New(seed, time.Now), list: vms.New(0, time.Now), url: "http://" + listener.Addr().String()}
	mux := http.NewServeMux()
	mux.Handle("/v1/", p.store.Handler())
	mux.Handle("/vms", p.list)
	discard := slog.NewLogLogger(slog.NewTextHandler(io.Discard, nil), slog.LevelDebug)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, ErrorLog: discard}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Store returns the stand-in for the key-value service, for fault injection.
func (p *Platform) Store() *kv.Service { return p.store }

// List returns the stand-in for the VM list.
func (p *Platform) List() *vms.List { return p.list }

// StoreURL returns the base URL of the key-value service.
func (p *Platform) StoreURL() string { return p.url }

// ListURL returns the URL of the VM list.
func (p *Platform) ListURL() string { return p.url + "/vms" }

// Close stops both services.
func (p *Platform) Close() error { return p.server.Close() }
