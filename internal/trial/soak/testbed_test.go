package soak_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/persimmonridge/persimmonridge/internal/standin/relay"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	gateways  = 3
	tutors    = 3
	desks     = 2
	callers   = 9
	heartbeat = 1200 * time.Millisecond
	// leaveAfter is how long a leaving upstream serves on, well beyond the time
	// in which gateways must have noticed.
	leaveAfter = 5 * time.Second
	// probeEvery is how often each gateway is asked by which version it goes.
	probeEvery = 200 * time.Millisecond
	// faultPause is the mean time between two faults.
	faultPause = 900 * time.Millisecond
	// settle is the time after the last fault in which all must serve again.
	settle = 6 * time.Second
)

// versionAt is when the store had a version of the configuration, and the idle
// limit of callers' connections in it.
type versionAt struct {
	version int
	// from is before the store was given it, at is after.
	from, at  time.Time
	idleLimit time.Duration
}

// departure is when an upstream said that it leaves.
type departure struct {
	upstream string
	at       time.Time
}

// world is one seed's processes, stand-ins and what was seen of them.
type world struct {
	seed      uint64
	block     uint64
	claim     net.Listener
	binary    string
	folder    string
	store     *standin.Store
	servers   []*http.Server
	upstreams []*upstream
	processes []*gatewayProcess
	ledger    *ledger
	begun     time.Time
	end       time.Time

	// storeLinks are the gateways' ways to the store.
	storeLinks []*relay.Relay

	mu         sync.Mutex
	calls      []call
	probes     []call
	faults     []*fault
	versions   []versionAt
	departures []departure
	findings   []string
	born       int
	// closing ends when callers are to end.
	closing chan struct{}

	// configuring is held while the store is given a version.
	configuring sync.Mutex
}

// newWorld starts the stand-ins and the gateways of a seed.
func newWorld(seed uint64, binary, folder string, length time.Duration) (*world, error) {
	w := &world{
		seed: seed, binary: binary, folder: folder, store: standin.NewStore(), ledger: newLedger(),
		begun: time.Now(), end: time.Now().Add(length), closing: make(chan struct{}),
	}
	configure(w, rand.New(rand.NewPCG(seed, 0x69646c65)))
	for _, start := range []func() error{w.claimBlock, w.startStore, w.startUpstreams, w.startGateways} {
		if err := start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

const (
	// blocks is how many blocks of loopback addresses there are, and blockPort
	// the port whose listener shows that a block is taken.
	blocks    = 200 * 250
	blockPort = 7999
)

// claimBlock takes a block of loopback addresses that no other world has, also
// not one of another run of the tests on the same machine.
func (w *world) claimBlock() error {
	var err error
	for i := range uint64(100) {
		w.block = (w.seed + i*blocks/100) % blocks
		w.claim, err = net.Listen("tcp", net.JoinHostPort(w.address(1), strconv.Itoa(blockPort)))
		if err == nil {
			return nil
		}
	}
	return err
}

// address returns an address of the world's own block, so that seeds run side by
// side.
func (w *world) address(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+w.block%200, 1+w.block/200, host)
}

func (w *world) startStore() error {
	inner, err := net.Listen("tcp", w.address(100)+":8000")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(inner) }()
	for i := range gateways {
		outer, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.address(100), 8001+i))
		if err != nil {
			return err
		}
		w.storeLinks = append(w.storeLinks, relay.New(outer, inner.Addr().String()))
	}
	return nil
}

func (w *world) startUpstreams() error {
	for i := range tutors + desks {
		service := "tutor"
		if i >= tutors {
			service = "desk"
		}
		u, err := newUpstream(service, w.nextUpstream(service), w.address(150+i), w.ledger, w.store)
		if err != nil {
			return err
		}
		w.upstreams = append(w.upstreams, u)
	}
	return nil
}

func (w *world) nextUpstream(service string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born++
	return fmt.Sprintf("%s-%d", service, w.born)
}

func (w *world) startGateways() error {
	for i := range gateways {
		g, err := newGatewayProcess(w, i, w.storeLinks[i].Addr())
		if err != nil {
			return err
		}
		w.processes = append(w.processes, g)
		go g.run()
	}
	return nil
}

func (w *world) report(finding string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.findings = append(w.findings, fmt.Sprintf("%.3f s: %s", time.Since(w.begun).Seconds(), finding))
}

func (w *world) note(c call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
}

func (w *world) over() bool {
	select {
	case <-w.closing:
		return true
	default:
		return false
	}
}

// fault notes the beginning of a fault and returns what notes its end.
func (w *world) fault(name string, gateway int, store, upstream bool) func() {
	f := &fault{name: name, gateway: gateway, store: store, upstream: upstream, from: time.Now()}
	w.mu.Lock()
	w.faults = append(w.faults, f)
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		f.until = time.Now()
		w.mu.Unlock()
	}
}

// mayLeave tells whether another upstream of the service stays, and notes the
// departure.
func (w *world) mayLeave(u *upstream) bool {
	id, up := u.identity()
	stays := false
	for _, other := range w.upstreams {
		_, otherUp := other.identity()
		stays = stays || (other != u && other.service == u.service && otherUp)
	}
	if !up || !stays {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.departures {
		if time.Since(d.at) < 2*leaveAfter {
			return false
		}
	}
	w.departures = append(w.departures, departure{id, time.Now()})
	return true
}

// play injects the seed's faults while callers call, heals all, and makes a last
// round of calls.
func (w *world) play() {
	var work sync.WaitGroup
	work.Go(w.heartbeats)
	work.Go(w.probe)
	<-time.After(time.Second)
	for i := range callers {
		work.Go(newCaller(w, i).run)
	}
	for i := range restingGroups {
		work.Go(newRestingGroup(w, i).run)
	}
	w.injectFaults()
	w.heal()
	<-time.After(settle)
	close(w.closing)
	work.Wait()
	w.lastRound()
}

func (w *world) heartbeats() {
	for !w.over() {
		for _, u := range w.upstreams {
			u.register()
		}
		<-time.After(heartbeat)
	}
}

// probe asks each gateway for the routes that come and go.
func (w *world) probe() {
	probers := make([]*caller, gateways)
	for i := range probers {
		probers[i] = newCaller(w, callers+i)
		probers[i].gateway = i
		defer probers[i].drop()
	}
	for !w.over() {
		w.mu.Lock()
		newest := w.versions[len(w.versions)-1].version
		w.mu.Unlock()
		for _, c := range probers {
			for _, version := range []int{newest, newest - 1} {
				made := c.call(kinds[1], versionPath(version)+"x")
				w.mu.Lock()
				w.probes = append(w.probes, made)
				w.mu.Unlock()
			}
		}
		<-time.After(probeEvery)
	}
}

// injectFaults makes faults of the themes that the seed draws until the time is
// over. They begin independently of each other, so they overlap.
func (w *world) injectFaults() {
	random := rand.New(rand.NewPCG(w.seed, 0x736f616b))
	makers := slices.Clone(configurations)
	for _, theme := range themes {
		if random.IntN(10) < 6 {
			makers = append(makers, theme...)
		}
	}
	var running sync.WaitGroup
	for time.Now().Before(w.end) {
		<-time.After(time.Duration(random.ExpFloat64() * float64(faultPause)))
		m := makers[random.IntN(len(makers))]
		own := rand.New(rand.NewPCG(random.Uint64(), w.seed))
		running.Go(func() { m.make(w, own) })
	}
	running.Wait()
}

// heal ends whatever still lasts.
func (w *world) heal() {
	w.store.SetFault(standin.None)
	for _, g := range w.processes {
		g.signal(syscall.SIGCONT)
	}
	for _, u := range w.upstreams {
		u.sick.Store(int32(well))
		u.relay.SetMute(false)
		u.relay.SetDelay(0)
	}
	for _, l := range w.storeLinks {
		l.SetMute(false)
		l.SetDelay(0)
	}
}

// lastRound demands that all gateways serve all kinds again.
func (w *world) lastRound() {
	for i := range gateways {
		c := newCaller(w, 100+i)
		c.gateway = i
		for _, k := range kinds {
			for range 3 {
				made := c.call(k, k.path)
				w.note(made)
				if made.err != nil || made.status != http.StatusOK {
					w.report(fmt.Sprintf("%s after all was well again: %s got %d, %v (%s)", w.processes[i].name, k.name, made.status, made.err, made.id))
				}
			}
		}
		c.drop()
	}
}

// close ends all and waits.
func (w *world) close() error {
	var group errgroup.Group
	for _, g := range w.processes {
		group.Go(g.close)
	}
	err := group.Wait()
	for _, u := range w.upstreams {
		u.close()
	}
	for _, l := range w.storeLinks {
		err = errors.Join(err, l.Close())
	}
	for _, s := range w.servers {
		err = errors.Join(err, s.Close())
	}
	return errors.Join(err, w.claim.Close())
}

// keepOrRemove removes the logs of a seed without findings.
func (w *world) keepOrRemove() {
	if len(w.findings) == 0 {
		_ = os.RemoveAll(w.folder)
	}
}
