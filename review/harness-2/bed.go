//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	attemptHeader  = "X-Persimmonridge-Attempt-Id"
	sealHeader     = "X-Persimmonridge-Response-Seal"
	expectHeader   = "X-Persimmonridge-Expect-Instance"
	notRunHeader   = "X-Persimmonridge-Not-Executed"
	deadlineHeader = "X-Persimmonridge-Deadline-Ms"
	keyHeader      = "Api-Key"
)

// Bounds of a small deployment, as DEPLOY.md and the sheets of the small sites state them.
const (
	contact     = 3 * time.Second
	drain       = 2 * time.Second
	configApply = 2 * time.Second
	rollback    = 5 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// link is a TCP proxy that can be cut: while it is cut, nothing passes and nobody is told.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	healed   chan struct{}
	conns    map[net.Conn]struct{}
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &link{listener: l, target: target, healed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *link) address() string { return p.listener.Addr().String() }

func (p *link) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *link) serve(near net.Conn) {
	p.pass()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var copies sync.WaitGroup
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		copies.Go(func() {
			buffer := make([]byte, 32<<10)
			for {
				n, err := pair[0].Read(buffer)
				if n > 0 {
					p.pass()
					if _, writeErr := pair[1].Write(buffer[:n]); writeErr != nil {
						err = writeErr
					}
				}
				if err != nil {
					break
				}
			}
			p.pass()
			_ = pair[1].Close()
			_ = pair[0].Close()
		})
	}
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// pass waits while the link is cut.
func (p *link) pass() {
	p.mu.Lock()
	cut, healed := p.cut, p.healed
	p.mu.Unlock()
	if cut {
		<-healed
	}
}

func (p *link) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut == cut {
		return
	}
	p.cut = cut
	if !cut {
		close(p.healed)
		p.healed = make(chan struct{})
	}
}

// plainStore serves the project's stand-in of the store without the header that the users'
// pages do not name.
type plainStore struct {
	*standin.Store
	// onWrite is called after a transaction with the address of its caller.
	onWrite func(remote, body string)
	// cutAfter is how long a watch may wait until it is cut, in nanoseconds; 0 is no limit.
	cutAfter atomic.Int64
}

type plainWriter struct {
	http.ResponseWriter
	answered *bool
}

func (w plainWriter) WriteHeader(status int) {
	*w.answered = true
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w plainWriter) Write(b []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(b)
}

func (s *plainStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.URL.Path == "/-/kv-txn" && s.onWrite != nil {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(newReader(body))
		s.Store.ServeHTTP(plainWriter{w, new(bool)}, r)
		s.onWrite(r.RemoteAddr, string(body))
		return
	}
	answered := false
	if limit := time.Duration(s.cutAfter.Load()); limit > 0 && r.URL.Path == "/-/kv-watch" {
		ctx, cancel := context.WithTimeout(r.Context(), limit)
		defer cancel()
		r = r.WithContext(ctx)
		defer func() {
			if !answered {
				panic(http.ErrAbortHandler)
			}
		}()
	}
	s.Store.ServeHTTP(plainWriter{w, &answered}, r)
}

// run is one execution of a request at a worker.
type run struct {
	at      time.Time
	id, key string
	worker  string
	version string
	status  int
}

// worker is a stand-in for an application worker.
type worker struct {
	bed                  *bed
	id, service, version string
	zone                 string
	listener             net.Listener
	server               *http.Server
	slots                chan struct{}
	state                atomic.Value
	gone                 atomic.Bool
	failShare            atomic.Uint64 // in thousandths
	sequence             atomic.Int64
	work                 time.Duration
}

func (b *bed) newWorker(version, zone string) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w := &worker{bed: b, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "xano55b", version: version, zone: zone, listener: l, slots: make(chan struct{}, 12), work: 20 * time.Millisecond}
	w.state.Store("ready")
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	w.register()
	go func() {
		for {
			// All workers write at the same moments, as if they had started together.
			now := time.Now()
			time.Sleep(now.Truncate(heartbeat).Add(heartbeat).Sub(now))
			if w.gone.Load() {
				return
			}
			w.register()
		}
	}()
	return w
}

var born = time.Now().UnixMilli()

func (w *worker) register() {
	w.bed.store.Put("servers/"+w.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":12,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		w.service, w.listener.Addr(), w.zone, w.version, w.state.Load(), w.sequence.Add(1), born))
}

func (w *worker) leave() {
	w.gone.Store(true)
	w.bed.store.Remove("servers/" + w.id)
	_ = w.server.Close()
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Persimmonridge-Instance-Id", w.id)
		return
	}
	id := r.Header.Get(attemptHeader)
	rw.Header().Set(attemptHeader, id)
	if expected := r.Header.Get(expectHeader); expected != "" && expected != w.id {
		rw.Header().Set(notRunHeader, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-time.After(500 * time.Millisecond):
		rw.Header().Set(notRunHeader, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	time.Sleep(w.work)
	status := http.StatusOK
	if rand.Uint64N(1000) < w.failShare.Load() {
		status = http.StatusInternalServerError
	}
	w.bed.addRun(run{at: arrived, id: id, key: r.Header.Get("X-Persimmonridge-Tenant"), worker: w.id, version: w.version, status: status})
	rw.Header().Set(sealHeader, "seal."+w.id)
	rw.WriteHeader(status)
	fmt.Fprintf(rw, "worker %s request %s\n", w.id, id)
}

// answer is what a client saw of a request.
type answer struct {
	sent    time.Time
	id      string
	gateway int
	kind    string
	status  int
	sealed  bool
}

// gateway is a process of the project.
type gateway struct {
	bed      *bed
	number   int
	ip       string
	link     *link
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ready    atomic.Bool
}

// bed is a small deployment with stand-ins.
type bed struct {
	dir      string
	record   *recorder
	store    *plainStore
	server   *http.Server
	port     int
	seeds    []string
	zones    map[string]string
	gateways []*gateway
	mu       sync.Mutex
	runs     map[string][]run
	answers  []answer
	stopped  atomic.Bool
	client   *http.Client
	callers  sync.WaitGroup
}

func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// cannotRun reports that a case could not run.
type cannotRun struct{ error }

func newBed(record *recorder, gateways int) *bed {
	dir, err := os.MkdirTemp("", "review-2-")
	must(err)
	b := &bed{dir: dir, record: record, store: &plainStore{Store: standin.NewStore()}, runs: make(map[string][]run)}
	b.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 3 * time.Second}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	b.server = &http.Server{Handler: b.store}
	go func() { _ = b.server.Serve(l) }()
	b.port = freePorts(gateways)
	zones := map[string]string{"a": "r", "b": "r", "c": "r"}
	var seeds []string
	for i := range gateways {
		seeds = append(seeds, fmt.Sprintf("127.0.71.%d:%d", i+1, b.port+20))
	}
	for i := range gateways {
		p, err := newLink(l.Addr().String())
		must(err)
		g := &gateway{bed: b, number: i, ip: fmt.Sprintf("127.0.71.%d", i+1), link: p, settings: filepath.Join(dir, fmt.Sprintf("boot-%d.json", i))}
		b.gateways = append(b.gateways, g)
		g.writeSettings(seeds, zones, true)
	}
	b.seeds, b.zones = seeds, zones
	return b
}

func (g *gateway) address(offset int) string {
	return net.JoinHostPort(g.ip, strconv.Itoa(g.bed.port+offset))
}

func (g *gateway) writeSettings(seeds []string, zones map[string]string, bootstrap bool) {
	zone := string(rune('a' + g.number%3))
	settings := map[string]any{
		"nodeName": fmt.Sprintf("edge-%s-%d", zone, g.number+1), "role": "gateway", "machineClass": "edge", "serves": []string{"edge", "control_plane"},
		"ip": g.ip, "zone": zone, "region": "r", "zones": zones,
		"listen":            map[string]string{"frontend": g.address(17), "readiness": g.address(18), "control": g.address(20)},
		"internalPortRange": []int{g.bed.port, g.bed.port + 15}, "seeds": seeds, "bootstrap": bootstrap, "countsAsLoss": false,
		"limits":    map[string]any{"cpuShare": 0.304, "cpuCores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "rollout", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "stretchMaxMs": 5000, "strictRevoke": false, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 56, "quotaWindowS": 8, "quotaOver": 0.1, "quotaSlack": 140000,
			"exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000, "recoveryS": 12, "passMs": 120, "againS": 10},
		"platform": map[string]any{"address": g.link.address(), "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	raw, err := json.Marshal(settings)
	must(err)
	must(os.WriteFile(g.settings, raw, 0o600))
}

// freePorts returns the first of a range of ports that are free on all addresses.
func freePorts(gateways int) int {
	for range 200 {
		base := 21000 + rand.IntN(300)*30
		free := true
		for i := 0; i < gateways && free; i++ {
			for offset := 0; offset <= 20 && free; offset++ {
				l, err := net.Listen("tcp", fmt.Sprintf("127.0.71.%d:%d", i+1, base+offset))
				if free = err == nil; free {
					_ = l.Close()
				}
			}
		}
		if free {
			return base
		}
	}
	must(errors.New("no free ports"))
	return 0
}

// start starts the program with the command of the deploy file.
func (g *gateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(g.bed.dir, fmt.Sprintf("gateway-%d.log", g.number+1)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	g.cmd = exec.Command("target/persimmonridge", "gateway")
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.bed.dir, "LANG=C", "PERSIMMONRIDGE_NODE_FILE=" + g.settings}
	must(g.cmd.Start())
	go func(c *exec.Cmd) { _ = c.Wait(); _ = log.Close() }(g.cmd)
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// startAll starts all gateways and waits until they are ready.
func (b *bed) startAll() {
	for _, g := range b.gateways {
		g.start()
	}
	go b.watchReadiness()
	deadline := time.Now().Add(10 * time.Second)
	for {
		ready := true
		for _, g := range b.gateways {
			ready = ready && g.ready.Load()
		}
		if ready {
			break
		}
		if time.Now().After(deadline) {
			must(errors.New("the gateways did not become ready"))
		}
		time.Sleep(50 * time.Millisecond)
	}
	// A process that starts again later is not part of the first start of the system.
	for _, g := range b.gateways {
		g.writeSettings(b.seeds, b.zones, false)
	}
	// Traffic starts 10 s after the machines do on the small sites; half of that is enough
	// for the gateways to know each other.
	time.Sleep(5 * time.Second)
}

// watchReadiness asks each gateway once a second; two misses take it out.
func (b *bed) watchReadiness() {
	probe := &http.Client{Timeout: 900 * time.Millisecond}
	misses := make([]int, len(b.gateways))
	for !b.stopped.Load() {
		for i, g := range b.gateways {
			response, err := probe.Get("http://" + g.address(18) + "/-/ready")
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				misses[i] = 0
				g.ready.Store(true)
				continue
			}
			if misses[i]++; misses[i] >= 2 {
				g.ready.Store(false)
			}
		}
		time.Sleep(time.Second)
	}
}

func (b *bed) stop() {
	b.stopped.Store(true)
	b.callers.Wait()
	for _, g := range b.gateways {
		g.signal(syscall.SIGKILL)
	}
	_ = b.server.Close()
}

func (b *bed) addRun(r run) {
	b.mu.Lock()
	b.runs[r.id] = append(b.runs[r.id], r)
	b.mu.Unlock()
	b.record.line("run      %s at worker %s %s -> %d", r.id, r.worker, r.version, r.status)
}

// request is what a client sends.
type request struct{ method, host, path, key, kind string }

// send sends one attempt to the gateway and records it.
func (b *bed) send(g *gateway, q request, timeout time.Duration) answer {
	a := answer{sent: time.Now(), id: fmt.Sprintf("%016x", rand.Uint64()), gateway: g.number, kind: q.kind}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+g.address(17)+q.path, http.NoBody)
	must(err)
	r.Host = q.host
	r.Header.Set(attemptHeader, a.id)
	r.Header.Set(deadlineHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set(keyHeader, q.key)
	}
	response, err := b.client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err == nil {
		a.status, a.sealed = response.StatusCode, response.Header.Get(sealHeader) != ""
	}
	b.mu.Lock()
	b.answers = append(b.answers, a)
	b.mu.Unlock()
	b.record.line("answered %s sent at %.3f by %s to gateway %d -> %d sealed=%t", a.id, a.sent.Sub(b.record.start).Seconds(), a.kind, g.number+1, a.status, a.sealed)
	return a
}

// pick returns a ready gateway, or any if there is none.
func (b *bed) pick() *gateway {
	var ready []*gateway
	for _, g := range b.gateways {
		if g.ready.Load() {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = b.gateways
	}
	return ready[rand.IntN(len(ready))]
}

// load sends requests at a rate until the bed stops.
func (b *bed) load(perSecond float64, timeout time.Duration, next func() request) {
	b.callers.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for !b.stopped.Load() {
			<-ticker.C
			b.callers.Go(func() { b.send(b.pick(), next(), timeout) })
		}
	})
}

func encode(value any) []byte {
	raw, err := json.Marshal(value)
	must(err)
	return raw
}

func (b *bed) put(key string, value any) (acknowledged time.Time) {
	return b.putRaw(key, encode(value))
}

func (b *bed) putRaw(key string, raw []byte) (acknowledged time.Time) {
	if len(raw) > 1048576 {
		must(fmt.Errorf("%s has %d bytes, more than valueBytes", key, len(raw)))
	}
	b.store.Put(key, string(raw))
	acknowledged = time.Now()
	b.record.line("operator wrote %s (%d bytes)", key, len(raw))
	return acknowledged
}
