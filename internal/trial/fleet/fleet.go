// Package fleet runs a small but complete site in one process: real entries and
// agents, with stand-ins for the platform and the upstreams. The processes talk
// over loopback sockets or over any other Network. It is used by the try command
// and by tests.
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

// NotStarted is the type of errors for a site that could not be started.
var NotStarted = namespace.NewType("not-started")

const (
	// startTimeout bounds the start of the site.
	startTimeout = 15 * time.Second
	// startPollInterval is the interval between readiness checks during the start.
	startPollInterval = 20 * time.Millisecond
	// drainTimeout bounds the graceful stop of one process.
	drainTimeout = 30 * time.Second
)

// Spec describes a site.
type Spec struct {
	Inventory []byte
	Rules     []byte
	Entries   int
	// Engines are the model upstreams, Bookings the plain HTTP upstreams.
	Engines  []EngineSpec
	Bookings []BookingSpec
	// Partitions is the number of claim partitions.
	Partitions int
	Seed       uint64
	// Network connects all processes of the site; use OS for real sockets.
	Network Network
}

// Network is the network on which a site's processes listen and dial.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// OS is the network of the operating system.
type OS struct{ net.Dialer }

// Listen implements Network.
func (OS) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// EngineSpec describes one model upstream.
type EngineSpec struct {
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

// BookingSpec describes one plain HTTP upstream.
type BookingSpec struct {
	Name    string
	Service string
	Version string
	Domain  string
	Delay   time.Duration
}

// Fleet is a running site.
type Fleet struct {
	spec       Spec
	logger     *slog.Logger
	invariants *invariant.Recorder
	prefill    *engine.PrefillCounter
	effects    *service.EffectCounter

	platform *platform.Platform

	mu               sync.Mutex
	entries          []*entry.Entry
	upstreams        map[string]*upstream
	processesStarted uint64
}

// upstream is the stand-in of one upstream, an engine or a service, with its agent.
type upstream struct {
	vm       vmlist.VM
	settings settings.Agent
	agent    *agent.Agent
	engine   *engine.Engine
	service  *service.Service
}

// New starts a site and waits until every entry has the configuration and has
// heard from all upstreams.
func New(spec Spec, logger *slog.Logger, invariants *invariant.Recorder) (*Fleet, error) {
	f := &Fleet{
		spec: spec, logger: logger, invariants: invariants,
		prefill: engine.NewPrefillCounter(), effects: service.NewEffectCounter(),
		upstreams: make(map[string]*upstream),
	}
	if err := f.start(); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.platform, err = platform.New(f.spec.Network, f.spec.Seed); err != nil {
		return err
	}
	if _, err := f.Apply(context.Background(), "operator", "first inventory and rules", f.spec.Inventory, f.spec.Rules); err != nil {
		return err
	}
	for _, upstreamSpec := range f.spec.Engines {
		if err := f.AddEngine(upstreamSpec); err != nil {
			return err
		}
	}
	for _, upstreamSpec := range f.spec.Bookings {
		if err := f.addBooking(upstreamSpec); err != nil {
			return err
		}
	}
	if err := f.Publish(); err != nil {
		return err
	}
	for range f.spec.Entries {
		if _, err := f.AddEntry(); err != nil {
			return err
		}
	}
	if err := f.Publish(); err != nil {
		return err
	}
	return f.AwaitReady()
}

// Apply submits an inventory and rules to the store as a configuration change.
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

// NewStore returns a new client of the platform's store.
func (f *Fleet) NewStore() *store.Client {
	return store.New([]string{f.platform.StoreURL()}, time.Now, f.spec.Network)
}

// Store returns the stand-in for the platform's store, for fault injection.
func (f *Fleet) Store() *kv.Service { return f.platform.Store() }

// AddEngine starts a model upstream and its agent.
func (f *Fleet) AddEngine(spec EngineSpec) error {
	listener, err := f.listenLoopback()
	if err != nil {
		return err
	}
	spec.Settings.Listen = f.spec.Network.Listen
	u := &upstream{engine: engine.New(listener, spec.Settings, f.prefill)}
	doc := map[string]any{
		"node": "agent-" + spec.Name, "failure-domain": spec.Domain, "peer-address": "127.0.0.1:0", "upstream": spec.Name,
		"service": spec.Service, "version": spec.Version, "upstream-url": "http://" + u.engine.Addr(),
		"limit": spec.Limit, "max-limit": spec.MaxLimit, "token-gap-target": spec.TokenGap.String(),
	}
	return f.addUpstream(u, doc, vmlist.NewAgent(spec.Name, spec.Service, spec.Version, "", spec.Domain, spec.Weight))
}

func (f *Fleet) addBooking(spec BookingSpec) error {
	listener, err := f.listenLoopback()
	if err != nil {
		return err
	}
	u := &upstream{service: service.New(listener, service.Settings{Delay: spec.Delay}, f.effects)}
	doc := map[string]any{
		"node": "agent-" + spec.Name, "failure-domain": spec.Domain, "peer-address": "127.0.0.1:0", "upstream": spec.Name,
		"service": spec.Service, "version": spec.Version, "upstream-url": "http://" + u.service.Addr(), "plain": true, "max-limit": 16,
	}
	return f.addUpstream(u, doc, vmlist.NewAgent(spec.Name, spec.Service, spec.Version, "", spec.Domain, 1))
}

func (f *Fleet) addUpstream(u *upstream, doc map[string]any, vm vmlist.VM) error {
	raw, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	if u.settings, err = settings.ParseAgent(raw); err != nil {
		return err
	}
	if err := f.startAgent(u, "127.0.0.1:0"); err != nil {
		return err
	}
	u.vm = vmlist.NewAgent(vm.Upstream(), vm.Service(), vm.Version(), u.agent.Addr(), vm.FailureDomain(), vm.Weight())
	f.mu.Lock()
	f.upstreams[vm.Upstream()] = u
	f.mu.Unlock()
	return nil
}

// startAgent starts the upstream's agent, or a replacement for one that was
// closed, with a new incarnation number.
func (f *Fleet) startAgent(u *upstream, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	listener, err := f.spec.Network.Listen(address)
	if err != nil {
		return err
	}
	f.processesStarted++
	u.agent = agent.New(u.settings, listener, f.processesStarted, f.logger, time.Now, agent.WithInvariants(f.invariants), agent.WithDialer(f.spec.Network))
	return nil
}

// AddEntry starts an entry. Publish adds it to the platform's VM list.
func (f *Fleet) AddEntry() (*entry.Entry, error) {
	callers, err := f.listenLoopback()
	if err != nil {
		return nil, err
	}
	peers, err := f.listenLoopback()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processesStarted++
	name := fmt.Sprintf("entry-%d", f.processesStarted)
	f.mu.Unlock()
	domains := f.domains()
	raw, err := json.Marshal(map[string]any{
		"node": name, "failure-domain": domains[len(f.entries)%len(domains)], "caller-address": callers.Addr().String(),
		"peer-address": peers.Addr().String(), "store-addresses": []string{f.platform.StoreURL()}, "vm-list-url": f.platform.ListURL(),
		"claim-partitions": max(f.spec.Partitions, 1),
	})
	if err != nil {
		return nil, err
	}
	s, err := settings.ParseEntry(raw)
	if err != nil {
		return nil, err
	}
	e := entry.New(s, callers, peers, f.logger, time.Now, entry.WithInvariants(f.invariants), entry.WithDialer(f.spec.Network), entry.WithDrainGrace(100*time.Millisecond))
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	return e, nil
}

func (f *Fleet) domains() []string {
	inv, findings := inventory.Parse(f.spec.Inventory)
	if len(findings) > 0 {
		return []string{"unknown"}
	}
	return inv.FailureDomains()
}

// Publish replaces the platform's VM list with the current upstreams and entries.
func (f *Fleet) Publish() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []vmlist.VM
	for _, u := range f.upstreams {
		list = append(list, u.vm)
	}
	for i, e := range f.entries {
		list = append(list, vmlist.NewEntry(fmt.Sprintf("vm-entry-%d", i), e.CallerAddr(), "any"))
	}
	return f.platform.List().Set(list)
}

// AwaitReady waits until every entry is ready and has heard from every upstream.
func (f *Fleet) AwaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for !f.ready() {
		if time.Now().After(deadline) {
			return NotStarted.New("the site did not come up within %s; run again with --verbose and read the log", startTimeout)
		}
		time.Sleep(startPollInterval)
	}
	return nil
}

func (f *Fleet) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		if !e.Ready() || e.Upstreams() < len(f.upstreams) {
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

// URLs returns the base URLs at which callers reach the entries.
func (f *Fleet) URLs() []string {
	var urls []string
	for _, e := range f.Entries() {
		urls = append(urls, "http://"+e.CallerAddr())
	}
	return urls
}

// Engine returns the stand-in engine of a model upstream, nil for a plain one.
func (f *Fleet) Engine(name string) *engine.Engine { return f.findUpstream(name).engine }

// Agent returns the current agent of an upstream.
func (f *Fleet) Agent(name string) *agent.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[name].agent
}

func (f *Fleet) findUpstream(name string) *upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[name]
}

// Upstreams returns the names of all upstreams.
func (f *Fleet) Upstreams() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.upstreams {
		names = append(names, name)
	}
	return names
}

// Effects returns the record of the actions that the booking stand-ins executed.
func (f *Fleet) Effects() *service.EffectCounter { return f.effects }

// Prefill returns the prefill counters of the stand-in engines.
func (f *Fleet) Prefill() *engine.PrefillCounter { return f.prefill }

// KillAgent closes an agent without draining it and starts a replacement at the
// same address.
func (f *Fleet) KillAgent(name string) error {
	u := f.findUpstream(name)
	address := u.agent.Addr()
	_ = u.agent.Close()
	return f.startAgent(u, address)
}

// RestartAgent drains and closes an agent and starts a replacement at the same
// address.
func (f *Fleet) RestartAgent(name string) error {
	u := f.findUpstream(name)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := u.agent.Drain(ctx); err != nil {
		return err
	}
	address := u.agent.Addr()
	_ = u.agent.Close()
	return f.startAgent(u, address)
}

// KillEntry ends an entry without draining it.
func (f *Fleet) KillEntry(e *entry.Entry) error {
	f.removeEntry(e)
	return e.Kill()
}

// StopEntry drains and closes an entry.
func (f *Fleet) StopEntry(e *entry.Entry) error {
	f.removeEntry(e)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := e.Drain(ctx); err != nil {
		return err
	}
	return e.Close()
}

func (f *Fleet) removeEntry(e *entry.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var remaining []*entry.Entry
	for _, candidate := range f.entries {
		if candidate != e {
			remaining = append(remaining, candidate)
		}
	}
	f.entries = remaining
}

// Close stops all processes of the site and waits for them.
func (f *Fleet) Close() error {
	for _, e := range f.Entries() {
		_ = e.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		f.closeUpstream(u)
	}
	if f.platform != nil {
		return f.platform.Close()
	}
	return nil
}

func (f *Fleet) closeUpstream(u *upstream) {
	_ = u.agent.Close()
	if u.engine != nil {
		_ = u.engine.Close()
	}
	if u.service != nil {
		_ = u.service.Close()
	}
}

func (f *Fleet) listenLoopback() (net.Listener, error) { return f.spec.Network.Listen("127.0.0.1:0") }
