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
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/persimmonridge/persimmonridge/internal/standin/relay"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	gateways          = 3
	tutorUpstreams    = 3
	deskUpstreams     = 2
	callers           = 9
	heartbeatInterval = 1200 * time.Millisecond
	// drainTime is how long a draining upstream keeps serving. It is well above
	// applyTimeout, within which gateways must have noticed.
	drainTime = 5 * time.Second
	// probeInterval is the pause between probes of the configuration version that a
	// gateway applies.
	probeInterval = 200 * time.Millisecond
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 900 * time.Millisecond
	// recoveryTime is the time after the last fault within which all gateways must
	// serve again.
	recoveryTime = 6 * time.Second
)

// configVersion is a version of the configuration, with the time at which it was
// stored and its idle limit of callers' connections.
type configVersion struct {
	version int
	// submittedAt is the time before it was put into the store, storedAt the time
	// after that.
	submittedAt, storedAt time.Time
	idleLimit             time.Duration
}

// drain is the time at which an upstream announced that it is draining.
type drain struct {
	upstream string
	at       time.Time
}

// testbed holds the processes and stand-ins of one seed and the observations made
// of them.
type testbed struct {
	seed          uint64
	addressBlock  uint64
	blockListener net.Listener
	binary        string
	folder        string
	store         *standin.Store
	servers       []*http.Server
	upstreams     []*upstream
	processes     []*gatewayProcess
	requestLog    *requestLog
	startedAt     time.Time
	faultsEndAt   time.Time
	// busiest is the number, from 1, of the gateway that most callers come to, or 0.
	busiest atomic.Int64

	// storeLinks are the relays between the gateways and the store.
	storeLinks []*relay.Relay

	mu          sync.Mutex
	calls       []call
	probes      []call
	faults      []*fault
	versions    []configVersion
	drains      []drain
	evacuations []evacuation
	warmUps     []warmUp
	needs       []*need
	// evacuated holds the IDs of the upstreams in the domain that is evacuated.
	evacuated map[string]bool
	findings  []string
	// mostRepeats are the most repeats of each service in a window, and the limit there.
	mostRepeats      []string
	upstreamsStarted int
	// restarts are those of upstreams that crashed under a request.
	restarts sync.WaitGroup
	// stopCallers is closed when the callers must stop.
	stopCallers chan struct{}

	// configMu is held while a configuration version is stored.
	configMu sync.Mutex
}

// newTestbed starts the stand-ins and gateways of a seed.
func newTestbed(seed uint64, binary, folder string, duration time.Duration) (*testbed, error) {
	tb := &testbed{
		seed: seed, binary: binary, folder: folder, store: standin.NewStore(), requestLog: newRequestLog(), evacuated: make(map[string]bool),
		startedAt: time.Now(), faultsEndAt: time.Now().Add(duration), stopCallers: make(chan struct{}),
	}
	changeConfig(tb, rand.New(rand.NewPCG(seed, 0x69646c65)))
	for _, start := range []func() error{tb.reserveAddressBlock, tb.startStore, tb.startUpstreams, tb.startGateways} {
		if err := start(); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

const (
	// blockCount is the number of blocks of loopback addresses, and blockPort the
	// port whose listener marks a block as taken.
	blockCount = 200 * 250
	blockPort  = 7999
)

// reserveAddressBlock reserves a block of loopback addresses that no other testbed
// on the machine uses, including those of other test runs.
func (tb *testbed) reserveAddressBlock() error {
	var err error
	for i := range uint64(100) {
		tb.addressBlock = (tb.seed + i*blockCount/100) % blockCount
		tb.blockListener, err = net.Listen("tcp", net.JoinHostPort(tb.address(1), strconv.Itoa(blockPort)))
		if err == nil {
			return nil
		}
	}
	return err
}

// address returns an address of the testbed's own block, so that seeds can run in
// parallel.
func (tb *testbed) address(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+tb.addressBlock%200, 1+tb.addressBlock/200, host)
}

func (tb *testbed) startStore() error {
	inner, err := net.Listen("tcp", tb.address(100)+":8000")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: tb.store, ReadHeaderTimeout: time.Minute}
	tb.servers = append(tb.servers, server)
	go func() { _ = server.Serve(inner) }()
	for i := range gateways {
		outer, err := net.Listen("tcp", fmt.Sprintf("%s:%d", tb.address(100), 8001+i))
		if err != nil {
			return err
		}
		tb.storeLinks = append(tb.storeLinks, relay.New(outer, inner.Addr().String()))
	}
	return nil
}

func (tb *testbed) startUpstreams() error {
	for i := range tutorUpstreams + deskUpstreams {
		service := "tutor"
		if i >= tutorUpstreams {
			service = "desk"
		}
		domain := "a"
		if tb.playsWarmUps() && i%2 == 1 {
			domain = evacuatedDomain
		}
		u, err := newUpstream(service, domain, tb.nextUpstream(service, domain), tb.address(150+i), tb.slots(), tb.requestLog, tb.store)
		if err != nil {
			return err
		}
		u.crashUnder, u.uneven, u.badShare, u.shapeOf = tb.crashUnder, tb.hardLoad(), tb.badShare(), tb.shapeOf
		tb.upstreams = append(tb.upstreams, u)
	}
	return nil
}

func (tb *testbed) nextUpstream(service, domain string) string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.upstreamsStarted++
	id := fmt.Sprintf("%s-%d", service, tb.upstreamsStarted)
	tb.evacuated[id] = domain == evacuatedDomain
	return id
}

// restart starts an upstream that was down as a new one, which is cold if the seed plays
// warm-ups.
func (tb *testbed) restart(u *upstream) {
	id := tb.nextUpstream(u.service, u.domain)
	var coldUntil time.Time
	if tb.playsWarmUps() {
		coldUntil = tb.startsCold(id)
	}
	u.restart(id, coldUntil)
}

func (tb *testbed) startGateways() error {
	for i := range gateways {
		g, err := newGatewayProcess(tb, i, tb.storeLinks[i].Addr())
		if err != nil {
			return err
		}
		tb.processes = append(tb.processes, g)
		go g.run()
	}
	return nil
}

func (tb *testbed) report(finding string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.findings = append(tb.findings, fmt.Sprintf("%.3f s: %s", time.Since(tb.startedAt).Seconds(), finding))
}

func (tb *testbed) recordCall(c call) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.calls = append(tb.calls, c)
}

// plays reports whether the seed plays what begins with another seed. From badAnswersFromSeed on
// each second seed plays nothing else of that, so that many requests are repeated, but heads that
// break off. From headsFromSeed on the others play no bad answers, so that most are served. From
// heldFromSeed on all seeds play bad answers and held links, and nothing else of that, and from
// slowedFromSeed on upstreams that turn slow alone.
func (tb *testbed) plays(fromSeed uint64) bool {
	many := tb.seed%2 == 0
	switch {
	case tb.seed >= slowedFromSeed:
		return fromSeed == slowedFromSeed
	case fromSeed == slowedFromSeed:
		return false
	case tb.seed >= heldFromSeed:
		return fromSeed == heldFromSeed || fromSeed == badAnswersFromSeed
	case fromSeed == headsFromSeed || tb.seed < badAnswersFromSeed:
		return tb.seed >= fromSeed
	case fromSeed == badAnswersFromSeed:
		return many || tb.seed < headsFromSeed
	}
	return !many
}

func (tb *testbed) stopping() bool {
	select {
	case <-tb.stopCallers:
		return true
	default:
		return false
	}
}

// beginFault records the start of a fault and returns a function that records its
// end.
func (tb *testbed) beginFault(name string, gateway int, store, upstream bool) func() {
	f := &fault{name: name, gateway: gateway, store: store, upstream: upstream, from: time.Now()}
	tb.mu.Lock()
	tb.faults = append(tb.faults, f)
	tb.mu.Unlock()
	return func() {
		tb.mu.Lock()
		f.until = time.Now()
		tb.mu.Unlock()
	}
}

// reserveDrain records the drain of an upstream and returns true, unless the
// upstream is down, no other upstream of its service is up, or another drain is
// recent.
func (tb *testbed) reserveDrain(u *upstream) bool {
	id, up := u.identity()
	otherServes := false
	for _, other := range tb.upstreams {
		_, otherUp := other.identity()
		otherServes = otherServes || (other != u && other.service == u.service && otherUp)
	}
	if !up || !otherServes {
		return false
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, d := range tb.drains {
		if time.Since(d.at) < 2*drainTime {
			return false
		}
	}
	tb.drains = append(tb.drains, drain{id, time.Now()})
	return true
}

// run injects the seed's faults while callers send requests, clears all faults and
// checks that the gateways recover.
func (tb *testbed) run() {
	var running sync.WaitGroup
	running.Go(tb.heartbeats)
	running.Go(tb.probe)
	<-time.After(time.Second)
	for i := range callers {
		running.Go(newCaller(tb, i).run)
	}
	for i := range idleGroups {
		running.Go(newIdleGroup(tb, i).run)
	}
	var background sync.WaitGroup
	if tb.playsWarmUps() {
		background.Go(tb.evacuate)
	}
	if tb.plays(needsFromSeed) {
		background.Go(tb.stateNeeds)
	}
	if tb.plays(crashesFromSeed) {
		background.Go(tb.sendCrashing)
	}
	if tb.plays(convergeFromSeed) {
		background.Go(tb.convergeCallers)
	}
	if tb.plays(endlessFromSeed) {
		background.Go(tb.sendEndlessly)
		background.Go(tb.watchMemory)
	}
	if tb.plays(headsFromSeed) {
		background.Go(tb.breakOffHeads)
	}
	if tb.plays(badAnswersFromSeed) {
		background.Go(tb.answerBadly)
	}
	if tb.plays(heldFromSeed) {
		background.Go(tb.holdLinks)
		background.Go(tb.writeOddEntries)
		for i := range patientCallers {
			c := newCaller(tb, 400+i)
			c.patience = patientTimeout
			running.Go(c.runPatiently)
		}
	}
	if tb.plays(slowedFromSeed) {
		background.Go(tb.stopAmidSlowness)
		for i := range slowedCallers {
			running.Go(newCaller(tb, 500+i).run)
		}
	}
	recoveryChecks := 1
	if tb.hardLoad() {
		background.Go(tb.surge)
		for i := range gateways {
			running.Go(newCaller(tb, 300+i).runSlow)
		}
		recoveryChecks = workspaces
	}
	tb.injectFaults()
	background.Wait()
	tb.restarts.Wait()
	tb.clearFaults()
	<-time.After(recoveryTime)
	if tb.plays(heldFromSeed) {
		tb.checkApplied()
	}
	close(tb.stopCallers)
	running.Wait()
	for i := range recoveryChecks {
		running.Go(func() { tb.checkRecovery(100 + i*gateways) })
	}
	running.Wait()
}

func (tb *testbed) heartbeats() {
	for !tb.stopping() {
		for _, u := range tb.upstreams {
			u.register()
		}
		<-time.After(heartbeatInterval)
	}
}

// probe requests the routes of the newest and the previous configuration version
// from each gateway.
func (tb *testbed) probe() {
	probers := make([]*caller, gateways)
	for i := range probers {
		probers[i] = newCaller(tb, callers+i)
		probers[i].gateway = i
		defer probers[i].closeConnection()
	}
	for !tb.stopping() {
		tb.mu.Lock()
		newest := tb.versions[len(tb.versions)-1].version
		tb.mu.Unlock()
		for _, c := range probers {
			for _, version := range []int{newest, newest - 1} {
				result := c.call(kinds[1], versionPath(version)+"x")
				tb.mu.Lock()
				tb.probes = append(tb.probes, result)
				tb.mu.Unlock()
			}
		}
		<-time.After(probeInterval)
	}
}

// injectFaults injects faults of the groups that the seed selects until
// faultsEndAt. Faults start independently of each other, so they overlap.
func (tb *testbed) injectFaults() {
	random := rand.New(rand.NewPCG(tb.seed, 0x736f616b))
	faultKinds := slices.Clone(configChanges)
	for _, group := range tb.faultGroups() {
		if random.IntN(10) < 6 {
			faultKinds = append(faultKinds, group...)
		}
	}
	var running sync.WaitGroup
	for time.Now().Before(tb.faultsEndAt) {
		<-time.After(time.Duration(random.ExpFloat64() * float64(meanFaultInterval)))
		kind := faultKinds[random.IntN(len(faultKinds))]
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), tb.seed))
		running.Go(func() { kind.inject(tb, faultRandom) })
	}
	running.Wait()
}

// clearFaults ends all faults that are still active.
func (tb *testbed) clearFaults() {
	tb.store.SetFault(standin.None)
	for _, g := range tb.processes {
		g.signal(syscall.SIGCONT)
	}
	for _, u := range tb.upstreams {
		u.failureMode.Store(int32(healthy))
		u.need.Store(nil)
		u.slowness.clear()
		u.relay.Hold(false)
		u.relay.SetMute(false)
		u.relay.SetDelay(0)
	}
	for _, l := range tb.storeLinks {
		l.SetMute(false)
		l.SetDelay(0)
	}
}

// checkRecovery checks that all gateways serve all kinds of requests again, from one
// caller at each. The numbers of the callers, which choose their workspaces, begin with firstCaller.
func (tb *testbed) checkRecovery(firstCaller int) {
	for i := range gateways {
		c := newCaller(tb, firstCaller+i)
		c.gateway = i
		if tb.plays(slowedFromSeed) {
			c.patience = routeTimeoutSlowed
		}
		for _, k := range kinds {
			for range 3 {
				result := c.call(k, k.path)
				tb.recordCall(result)
				if result.err != nil || result.status != http.StatusOK {
					tb.report(fmt.Sprintf("%s after all faults were cleared: %s of %s got status %d, error %v (%s)", tb.processes[i].name, k.name, c.key, result.status, result.err, result.id))
				}
			}
		}
		c.closeConnection()
	}
}

// close stops the gateways and stand-ins and waits until they have ended.
func (tb *testbed) close() error {
	var group errgroup.Group
	for _, g := range tb.processes {
		group.Go(g.close)
	}
	err := group.Wait()
	for _, u := range tb.upstreams {
		u.close()
	}
	for _, l := range tb.storeLinks {
		err = errors.Join(err, l.Close())
	}
	for _, s := range tb.servers {
		err = errors.Join(err, s.Close())
	}
	return errors.Join(err, tb.blockListener.Close())
}

// removeLogsIfPassed removes the logs of a seed that has no findings.
func (tb *testbed) removeLogsIfPassed() {
	if len(tb.findings) == 0 {
		_ = os.RemoveAll(tb.folder)
	}
}
