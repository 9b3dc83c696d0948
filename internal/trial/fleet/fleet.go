// Package fleet runs a whole small site in one process, on loopback: stand-ins
// of the platform and of the upstreams, and the real entries and agents over
// real sockets. It serves the try command and the tests.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/config/changelog"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/config/settings"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
	"github.com/persimmonridge/persimmonridge/internal/platform/vmlist"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/role/agent"
	"github.com/persimmonridge/persimmonridge/internal/role/entry"
	"github.com/persimmonridge/persimmonridge/internal/standin/engine"
	"github.com/persimmonridge/persimmonridge/internal/standin/kv"
	"github.com/persimmonridge/persimmonridge/internal/standin/platform"
	"github.com/persimmonridge/persimmonridge/internal/standin/service"
)

var namespace = errorx.NewNamespace("fleet")

// NotStarted means that the site did not come up.
var NotStarted = namespace.NewType("not-started")

const (
	// startWithin bounds the start of a whole site.
	startWithin = 15 * time.Second
	// startPoll is how often its start is looked at.
	startPoll = 20 * time.Millisecond
	// closeWithin bounds a planned stop of one process.
	closeWithin = 30 * time.Second
)

// Shape says what a site consists of.
type Shape struct {
	Inventory []byte
	Rules     []byte
	Entries   int
	// Engines are the model upstreams, Bookings the plain ones.
	Engines  []EngineShape
	Bookings []BookingShape
	// Partitions is the number of claim partitions.
	Partitions int
	Seed       uint64
	// Network carries everything; OS is the machine's loopback.
	Network Network
}

// Network is what a site's processes listen on and dial through.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// OS is the machine's own network.
type OS struct{ net.Dialer }

// Listen implements Network.
func (OS) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// EngineShape is one model upstream.
type EngineShape struct {
	Name     string
	Service  string
	Version  string
	Domain   string
	Weight   float64
	Settings engine.Settings
	Limit    int
	MaxLimit int
	TokenGap time.Duration
}

// BookingShape is one plain upstream.
type BookingShape struct {
	Name    string
	Service string
	Version string
	Domain  string
	Delay   time.Duration
}

// Fleet is a running site.
type Fleet struct {
	shape      Shape
	logger     *slog.Logger
	invariants *invariant.Recorder
	prefill    *engine.Ledger
	effects    *service.Ledger

	platform *platform.Platform

	mu      sync.Mutex
	entries []*entry.Entry
	places  map[string]*place
	births  uint64
}

// place is one upstream with its agent.
type place struct {
	vm       vmlist.VM
	settings settings.Agent
	agent    *agent.Agent
	engine   *engine.Engine
	service  *service.Service
}

// New starts a site and waits until every entry knows its configuration and
// all upstreams.
func New(shape Shape, logger *slog.Logger, invariants *invariant.Recorder) (*Fleet, error) {
	f := &Fleet{
		shape: shape, logger: logger, invariants: invariants,
		prefill: engine.NewLedger(), effects: service.NewLedger(),
		places: make(map[string]*place),
	}
	if err := f.start(); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.platform, err = platform.New(f.shape.Network, f.shape.Seed); err != nil {
		return err
	}
	if _, err := f.Apply(context.Background(), "operator", "first inventory and rules", f.shape.Inventory, f.shape.Rules); err != nil {
		return err
	}
	for _, shape := range f.shape.Engines {
		if err := f.AddEngine(shape); err != nil {
			return err
		}
	}
	for _, shape := range f.shape.Bookings {
		if err := f.addBooking(shape); err != nil {
			return err
		}
	}
	if err := f.Publish(); err != nil {
		return err
	}
	for range f.shape.Entries {
		if _, err := f.AddEntry(); err != nil {
			return err
		}
	}
	if err := f.Publish(); err != nil {
		return err
	}
	return f.AwaitReady()
}

// Apply submits an inventory and rules as an operator would.
func (f *Fleet) Apply(ctx context.Context, who, why string, inventoryFile, rulesFile []byte) (changelog.Record, error) {
	if _, findings := document.Build(inventoryFile, rulesFile); len(findings) > 0 {
		return changelog.Record{}, NotStarted.New("%s", findings[0].String())
	}
	client := f.NewStore()
	defer func() { _ = client.Close() }()
	submitter := changelog.NewSubmitter(client)
	current, revision, err := submitter.Read(ctx)
	if err != nil {
		return changelog.Record{}, err
	}
	patch, _, err := document.Edit(current, inventoryFile, rulesFile)
	if err != nil {
		return changelog.Record{}, err
	}
	return submitter.Submit(ctx, time.Now(), changelog.NewChange(revision, who, why, patch))
}

// NewStore returns a client of the platform's store.
func (f *Fleet) NewStore() *store.Client {
	return store.New([]string{f.platform.StoreURL()}, time.Now, f.shape.Network)
}

// Store returns the stand-in of the platform's store, to set its faults.
func (f *Fleet) Store() *kv.Service { return f.platform.Store() }

// AddEngine starts a model upstream with its agent.
func (f *Fleet) AddEngine(shape EngineShape) error {
	listener, err := f.listen()
	if err != nil {
		return err
	}
	shape.Settings.Listen = f.shape.Network.Listen
	p := &place{engine: engine.New(listener, shape.Settings, f.prefill)}
	doc := map[string]any{
		"node": "agent-" + shape.Name, "failure-domain": shape.Domain, "peer-address": "127.0.0.1:0", "upstream": shape.Name,
		"service": shape.Service, "version": shape.Version, "upstream-url": "http://" + p.engine.Addr(),
		"limit": shape.Limit, "max-limit": shape.MaxLimit, "token-gap-target": shape.TokenGap.String(),
	}
	return f.addPlace(p, doc, vmlist.NewAgent(shape.Name, shape.Service, shape.Version, "", shape.Domain, shape.Weight))
}

func (f *Fleet) addBooking(shape BookingShape) error {
	listener, err := f.listen()
	if err != nil {
		return err
	}
	p := &place{service: service.New(listener, service.Settings{Delay: shape.Delay}, f.effects)}
	doc := map[string]any{
		"node": "agent-" + shape.Name, "failure-domain": shape.Domain, "peer-address": "127.0.0.1:0", "upstream": shape.Name,
		"service": shape.Service, "version": shape.Version, "upstream-url": "http://" + p.service.Addr(), "plain": true, "max-limit": 16,
	}
	return f.addPlace(p, doc, vmlist.NewAgent(shape.Name, shape.Service, shape.Version, "", shape.Domain, 1))
}

func (f *Fleet) addPlace(p *place, doc map[string]any, vm vmlist.VM) error {
	raw, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	if p.settings, err = settings.ParseAgent(raw); err != nil {
		return err
	}
	if err := f.startAgent(p, "127.0.0.1:0"); err != nil {
		return err
	}
	p.vm = vmlist.NewAgent(vm.Upstream(), vm.Service(), vm.Version(), p.agent.Addr(), vm.FailureDomain(), vm.Weight())
	f.mu.Lock()
	f.places[vm.Upstream()] = p
	f.mu.Unlock()
	return nil
}

// startAgent starts a place's agent, or the one that takes its place.
func (f *Fleet) startAgent(p *place, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	listener, err := f.shape.Network.Listen(address)
	if err != nil {
		return err
	}
	f.births++
	p.agent = agent.New(p.settings, listener, f.births, f.logger, time.Now, agent.WithInvariants(f.invariants), agent.WithDialer(f.shape.Network))
	return nil
}

// AddEntry starts an entry and returns it.
func (f *Fleet) AddEntry() (*entry.Entry, error) {
	callers, err := f.listen()
	if err != nil {
		return nil, err
	}
	peers, err := f.listen()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.births++
	name := fmt.Sprintf("entry-%d", f.births)
	f.mu.Unlock()
	domains := f.domains()
	raw, err := json.Marshal(map[string]any{
		"node": name, "failure-domain": domains[len(f.entries)%len(domains)], "caller-address": callers.Addr().String(),
		"peer-address": peers.Addr().String(), "store-addresses": []string{f.platform.StoreURL()}, "vm-list-url": f.platform.ListURL(),
		"claim-partitions": max(f.shape.Partitions, 1),
	})
	if err != nil {
		return nil, err
	}
	s, err := settings.ParseEntry(raw)
	if err != nil {
		return nil, err
	}
	e := entry.New(s, callers, peers, f.logger, time.Now, entry.WithInvariants(f.invariants), entry.WithDialer(f.shape.Network), entry.WithGrace(100*time.Millisecond))
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	return e, nil
}

func (f *Fleet) domains() []string {
	inv, findings := inventory.Parse(f.shape.Inventory)
	if len(findings) > 0 {
		return []string{"unknown"}
	}
	return inv.FailureDomains()
}

// Publish puts the present upstreams and entries on the platform's list.
func (f *Fleet) Publish() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []vmlist.VM
	for _, p := range f.places {
		list = append(list, p.vm)
	}
	for i, e := range f.entries {
		list = append(list, vmlist.NewEntry(fmt.Sprintf("vm-entry-%d", i), e.CallerAddr(), "any"))
	}
	return f.platform.List().Set(list)
}

// AwaitReady waits until every entry has the newest configuration and has
// heard from every upstream.
func (f *Fleet) AwaitReady() error {
	deadline := time.Now().Add(startWithin)
	for !f.ready() {
		if time.Now().After(deadline) {
			return NotStarted.New("the site did not come up within %s; run again with --verbose and read the log", startWithin)
		}
		time.Sleep(startPoll)
	}
	return nil
}

func (f *Fleet) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		if !e.Ready() || e.Upstreams() < len(f.places) {
			return false
		}
	}
	return true
}

// Entries returns the running entries.
func (f *Fleet) Entries() []*entry.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*entry.Entry(nil), f.entries...)
}

// URLs returns the callers' addresses.
func (f *Fleet) URLs() []string {
	var urls []string
	for _, e := range f.Entries() {
		urls = append(urls, "http://"+e.CallerAddr())
	}
	return urls
}

// Engine returns a model upstream's stand-in.
func (f *Fleet) Engine(name string) *engine.Engine { return f.place(name).engine }

// Agent returns an upstream's agent.
func (f *Fleet) Agent(name string) *agent.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.places[name].agent
}

func (f *Fleet) place(name string) *place {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.places[name]
}

// Upstreams returns the names of all upstreams.
func (f *Fleet) Upstreams() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.places {
		names = append(names, name)
	}
	return names
}

// Effects returns the ledger of the booking stand-ins.
func (f *Fleet) Effects() *service.Ledger { return f.effects }

// Prefill returns the ledger of the model stand-ins.
func (f *Fleet) Prefill() *engine.Ledger { return f.prefill }

// KillAgent ends an agent's process without notice, and starts another.
func (f *Fleet) KillAgent(name string) error {
	p := f.place(name)
	address := p.agent.Addr()
	_ = p.agent.Close()
	return f.startAgent(p, address)
}

// RestartAgent stops an agent as planned, and starts another.
func (f *Fleet) RestartAgent(name string) error {
	p := f.place(name)
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	if err := p.agent.Drain(ctx); err != nil {
		return err
	}
	address := p.agent.Addr()
	_ = p.agent.Close()
	return f.startAgent(p, address)
}

// KillEntry ends an entry's process without notice.
func (f *Fleet) KillEntry(e *entry.Entry) error {
	f.forget(e)
	return e.Kill()
}

// StopEntry stops an entry as planned.
func (f *Fleet) StopEntry(e *entry.Entry) error {
	f.forget(e)
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	if err := e.Drain(ctx); err != nil {
		return err
	}
	return e.Close()
}

func (f *Fleet) forget(e *entry.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var kept []*entry.Entry
	for _, known := range f.entries {
		if known != e {
			kept = append(kept, known)
		}
	}
	f.entries = kept
}

// Close stops everything and waits.
func (f *Fleet) Close() error {
	for _, e := range f.Entries() {
		_ = e.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.places {
		f.closePlace(p)
	}
	if f.platform != nil {
		return f.platform.Close()
	}
	return nil
}

func (f *Fleet) closePlace(p *place) {
	_ = p.agent.Close()
	if p.engine != nil {
		_ = p.engine.Close()
	}
	if p.service != nil {
		_ = p.service.Close()
	}
}

func (f *Fleet) listen() (net.Listener, error) { return f.shape.Network.Listen("127.0.0.1:0") }
