package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/action/claim"
	"github.com/persimmonridge/persimmonridge/internal/config/changelog"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/settings"
	"github.com/persimmonridge/persimmonridge/internal/dispatch/candidate"
	"github.com/persimmonridge/persimmonridge/internal/dispatch/forecast"
	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/member"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/platform/store"
	"github.com/persimmonridge/persimmonridge/internal/platform/vmlist"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/role/agent"
	"github.com/persimmonridge/persimmonridge/internal/standin/platform"
	"github.com/persimmonridge/persimmonridge/internal/trial/fleet"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

const (
	kilobyte        = 1024
	millisPerSecond = 1000
	// noticeSpacing keeps notices apart, so that each is sent on its own.
	noticeSpacing = 100 * time.Millisecond
)

// heap returns the live heap in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// resident returns the process's resident set in megabytes.
func resident() float64 {
	const fields, pagesAt = 2, 1
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	parts := strings.Fields(string(raw))
	if len(parts) < fields {
		return 0
	}
	pages, err := strconv.ParseFloat(parts[pagesAt], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / kilobyte / kilobyte
}

// cpu returns the processor time of this process so far.
func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// members is a list of so many upstreams.
func members(count int) []vmlist.VM {
	list := make([]vmlist.VM, 0, count)
	for i := range count {
		list = append(list, vmlist.NewAgent(fmt.Sprintf("u-%04d", i), "tutor", "v", fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), "d", 1))
	}
	return list
}

// chooseTime measures the choice of candidates among so many upstreams.
func chooseTime() Slope {
	var points []Point
	for _, count := range []int{10, 40, 160, 600} {
		table := member.New()
		table.Replace(members(count))
		group := table.Group("tutor", "v")
		var buffer [candidate.Most]int
		const rounds = 20000
		started := cpu()
		for i := range rounds {
			candidate.Choose(buffer[:0], group.Members(), uint64(i)*0x9e3779b97f4a7c15, 8)
		}
		points = append(points, Point{float64(count), float64((cpu() - started).Nanoseconds()) / rounds / 1000})
	}
	return Fit("choice of candidates", "upstreams", "µs of processor a request", points)
}

// tableMemory measures what an entry holds of upstreams it has heard from.
func tableMemory() Slope {
	var points []Point
	for _, count := range []int{40, 160, 600, 2400} {
		before := heap()
		table := member.New()
		table.Replace(members(count))
		for _, u := range table.All() {
			u.Report(time.Now(), &wire.Load{Incarnation: 1, Limit: 8, WaitMs: make([]uint32, 3), Waiting: make([]uint32, 3), Prefixes: make([]uint32, 24)})
		}
		points = append(points, Point{float64(count), (heap() - before) / kilobyte})
		runtime.KeepAlive(table)
	}
	return Fit("entry: what is known of upstreams", "upstreams", "KB", points)
}

// forecastMemory measures learned lengths.
func forecastMemory() Slope {
	var points []Point
	for _, count := range []int{5, 100, 300, 930} {
		before := heap()
		f := forecast.New()
		for w := range count {
			for i := range 50 {
				f.Observe(time.Now(), forecast.NewRoute(fmt.Sprint("w", w), "tutor/critique"), 10+i)
			}
		}
		points = append(points, Point{float64(count), (heap() - before) / kilobyte})
		runtime.KeepAlive(f)
	}
	return Fit("entry and agent: learned lengths", "routes (workspace and action)", "KB", points)
}

// documentSize measures the configuration.
func documentSize() Slope {
	var points []Point
	for _, count := range []int{5, 100, 300, 930} {
		raw := grown(count)
		points = append(points, Point{float64(count), float64(len(raw)) / kilobyte})
	}
	return Fit("configuration as a snapshot", "workspaces", "KB", points)
}

// grown is the Cairo document with so many workspaces.
func grown(workspaces int) []byte {
	more := make(map[string]any)
	for i := range workspaces {
		more[fmt.Sprintf("workspace-%04d", i)] = map[string]string{"size": "small"}
	}
	patch, _ := json.Marshal(map[string]any{"inventory": map[string]any{"workspaces": more}})
	base, _ := json.Marshal(map[string]json.RawMessage{"inventory": examples.CairoInventory, "rules": examples.CairoRules})
	raw, _ := document.Patch(base, patch)
	return raw
}

// applyTime measures what a node does with a change: patch, check, adopt.
func applyTime() (Slope, error) {
	const changes = 20
	var points []Point
	for _, count := range []int{5, 100, 300, 930} {
		p, err := newPlatform()
		if err != nil {
			return Slope{}, err
		}
		records, err := accepted(p, count, changes)
		_ = p.Close()
		if err != nil {
			return Slope{}, err
		}
		log := changelog.New(invariant.New(quiet))
		if err := log.Apply(nil, records[:1]); err != nil {
			return Slope{}, err
		}
		started := cpu()
		for _, record := range records[1:] {
			if err := log.Apply(nil, []changelog.Record{record}); err != nil {
				return Slope{}, err
			}
		}
		points = append(points, Point{float64(count), (cpu() - started).Seconds() / changes * millisPerSecond})
	}
	return Fit("a configuration change, at one node", "workspaces", "ms of processor", points), nil
}

// accepted makes a document with so many workspaces, and changes to it.
func accepted(p *platform.Platform, workspaces, changes int) ([]changelog.Record, error) {
	submitter := changelog.NewSubmitter(client(p, &net.Dialer{}, store.ForOperator()))
	patch := grown(workspaces)
	var records []changelog.Record
	for i := range changes + 1 {
		record, err := submitter.Submit(context.Background(), time.Now(), changelog.NewChange(uint64(i), "operator", "a change", patch))
		if err != nil {
			return nil, err
		}
		records = append(records, record)
		patch = []byte(fmt.Sprintf(`{"inventory":{"workspaces":{"w-%d":{"size":"small"}}}}`, i))
	}
	return records, nil
}

// noticeTime measures what telling and hearing a notice cost, both ends
// together, over so many links.
func noticeTime() (Slope, error) {
	const rounds = 40
	var points []Point
	for _, count := range []int{10, 40, 160} {
		l, err := newLinks(count)
		if err != nil {
			return Slope{}, err
		}
		time.Sleep(settle)
		started := cpu()
		for range rounds {
			l.agent.Announce()
			time.Sleep(noticeSpacing)
		}
		points = append(points, Point{float64(count), (cpu() - started).Seconds() / rounds * millisPerSecond})
		l.close()
	}
	return Fit("a notice to all links, both ends together", "links", "ms of processor", points), nil
}

// counter counts the bytes of all connections dialed through it.
type counter struct {
	net.Dialer
	bytes atomic.Int64
}

// DialContext implements the dialers of the roles.
func (c *counter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: c}, nil
}

type countedConn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// newPlatform starts the platform's stand-ins on loopback.
func newPlatform() (*platform.Platform, error) { return platform.New(&fleet.OS{}, 1) }

func client(p *platform.Platform, d store.Dialer, options ...store.Option) *store.Client {
	return store.New([]string{p.StoreURL()}, time.Now, d, options...)
}

// linkCost measures what idle links cost an agent: memory at both ends
// together, and bytes a second, of all sizes at once.
func linkCost(idle time.Duration) (memory, traffic Slope, err error) {
	var held, sent []Point
	var linked []*links
	for _, count := range []int{10, 40, 160} {
		before := heap()
		l, err := newLinks(count)
		if err != nil {
			return Slope{}, Slope{}, err
		}
		defer l.close()
		time.Sleep(time.Second)
		held = append(held, Point{float64(count), (heap() - before) / kilobyte})
		linked = append(linked, l)
	}
	for _, l := range linked {
		l.started = l.dialer.bytes.Load()
	}
	time.Sleep(idle)
	for _, l := range linked {
		bytes := float64(l.dialer.bytes.Load() - l.started)
		sent = append(sent, Point{float64(len(l.pools)), bytes / idle.Seconds()})
	}
	return Fit("a link, both ends together, with its control stream", "links", "KB", held),
		Fit("an idle link, payload in both directions", "links", "bytes a second", sent), nil
}

// links is one agent with so many entries linked to it.
type links struct {
	agent   *agent.Agent
	dialer  *counter
	pools   []*link.Pool
	started int64
}

func newLinks(count int) (*links, error) {
	s, err := settings.ParseAgent([]byte(`{"node":"a","failure-domain":"d","peer-address":"127.0.0.1:0","upstream":"u","service":"tutor","version":"v","upstream-url":"http://127.0.0.1:9","plain":true}`))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &links{agent: agent.New(s, listener, 1, quiet, time.Now), dialer: &counter{}}
	for range count {
		pool := link.NewPool(l.dialer, sayHello)
		l.pools = append(l.pools, pool)
		if _, err := pool.Session(context.Background(), l.agent.Addr()); err != nil {
			l.close()
			return nil, err
		}
	}
	return l, nil
}

// sayHello opens the control stream as an entry does.
func sayHello(_ string, s *link.Session) {
	if stream, err := s.Open(); err == nil {
		_ = stream.Send(time.Now().Add(time.Second), &wire.Envelope{Body: &wire.Envelope_Hello{Hello: &wire.Hello{}}})
	}
}

func (l *links) close() {
	for _, pool := range l.pools {
		_ = pool.Close()
	}
	_ = l.agent.Close()
}

// changeCost measures a configuration change: bytes and calls on the store for
// each node that follows.
func changeCost() (perNode, calls Slope, err error) {
	const changes = 32
	var bytes, reads []Point
	for _, nodes := range []int{5, 20, 60} {
		b, r, err := follow(nodes, changes)
		if err != nil {
			return Slope{}, Slope{}, err
		}
		bytes = append(bytes, Point{float64(nodes), b / changes})
		reads = append(reads, Point{float64(nodes), r / changes})
	}
	return Fit("a configuration change, all nodes together", "nodes", "bytes a change", bytes),
		Fit("a configuration change, all nodes together", "nodes", "reads of the store a change", reads), nil
}

func follow(nodes, changes int) (bytes, reads float64, err error) {
	p, err := newPlatform()
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = p.Close() }()
	ctx := context.Background()
	operator := client(p, &net.Dialer{}, store.ForOperator())
	submitter := changelog.NewSubmitter(operator)
	if _, err := submitter.Submit(ctx, time.Now(), changelog.NewChange(0, "operator", "first", grown(930))); err != nil {
		return 0, 0, err
	}
	dialer := &counter{}
	var logs []*changelog.Log
	var followers []*changelog.Follower
	for range nodes {
		log := changelog.New(invariant.New(quiet))
		logs = append(logs, log)
		followers = append(followers, changelog.Follow(log, client(p, dialer), quiet))
	}
	awaitRevision(logs, 1)
	startBytes, startReads := dialer.bytes.Load(), p.Store().Counts().Reads
	for i := range changes {
		patch := []byte(fmt.Sprintf(`{"inventory":{"workspaces":{"w-%d":{"size":"small"}}}}`, i))
		if _, err := submitter.Submit(ctx, time.Now(), changelog.NewChange(uint64(i+1), "operator", "one more workspace", patch)); err != nil {
			return 0, 0, err
		}
		awaitRevision(logs, uint64(i+2))
	}
	bytes, reads = float64(dialer.bytes.Load()-startBytes), float64(p.Store().Counts().Reads-startReads)
	for _, f := range followers {
		_ = f.Close()
	}
	return bytes, reads, nil
}

// awaitRevision waits until all logs hold the revision.
func awaitRevision(logs []*changelog.Log, revision uint64) {
	for _, log := range logs {
		for log.Revision() < revision {
			<-log.Changed()
		}
	}
}

// claimWrites measures the store's writes at so many keyed actions a second.
func claimWrites(partitions int) (Slope, error) {
	var points []Point
	for _, rate := range []int{10, 100, 1000} {
		writes, err := claimAt(rate, partitions)
		if err != nil {
			return Slope{}, err
		}
		points = append(points, Point{float64(rate), writes})
	}
	return Fit(fmt.Sprintf("claims in %d partitions", partitions), "keyed actions a second", "writes of the store a second", points), nil
}

func claimAt(rate, partitions int) (float64, error) {
	p, err := newPlatform()
	if err != nil {
		return 0, err
	}
	defer func() { _ = p.Close() }()
	ctx := context.Background()
	calls := client(p, &net.Dialer{})
	var owned []*claim.Partition
	for i := range partitions {
		partition, err := claim.Open(ctx, i, calls, quiet, time.Now)
		if err != nil {
			return 0, err
		}
		owned = append(owned, partition)
	}
	const seconds = 3
	before := p.Store().Counts().Writes
	var asking sync.WaitGroup
	for i := range rate * seconds {
		key := fmt.Sprint("workspace/booking/payment/", i)
		asking.Go(func() {
			partition := owned[claim.PartitionOf(key, partitions)]
			partition.Ask(ctx, &wire.ClaimAsk{Step: wire.ClaimAsk_STEP_CLAIM, Key: key, RequestId: key, Upstream: "u"})
			partition.Ask(ctx, &wire.ClaimAsk{Step: wire.ClaimAsk_STEP_FINISH, Key: key, RequestId: key, Answer: &wire.StoredAnswer{Outcome: wire.End_OUTCOME_ANSWERED, Status: 201, Body: make([]byte, 100), Whole: true}})
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	asking.Wait()
	writes := float64(p.Store().Counts().Writes-before) / seconds
	for _, partition := range owned {
		_ = partition.Close()
	}
	return writes, nil
}

// mallocs returns the number of objects allocated so far.
func mallocs() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Mallocs)
}
