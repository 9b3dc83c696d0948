//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is what was sent, answered and run, one line each, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// bed holds the processes and stand-ins of one case.
type bed struct {
	program string
	dir     string
	record  *record
	store   *store
	// portBase is the first of the ports that are free on all addresses of the bed.
	portBase int

	mu       sync.Mutex
	gateways []*gatewayProcess
	closed   bool
}

func newBed(program, recordPath string) (*bed, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{program: program, dir: dir, record: rec}
	if b.portBase, err = freePorts(); err != nil {
		return nil, err
	}
	b.store = newStore()
	return b, b.store.listen()
}

// portsOfGateway is the number of ports that a gateway gets: callers, readiness, control and 16
// internal ones.
const portsOfGateway = 20

// gatewayAddress returns the loopback address of the gateway with an index.
func gatewayAddress(index int) string { return "127.0.0." + strconv.Itoa(11+index) }

// freePorts returns a port from which portsOfGateway ports are free on the gateways' addresses.
func freePorts() (int, error) {
	for base := 21000 + 100*(os.Getpid()%50); base < 30000; base += 100 {
		if portsFree(base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsFree(base int) bool {
	for index := range 4 {
		for port := base; port < base+portsOfGateway; port++ {
			l, err := net.Listen("tcp", net.JoinHostPort(gatewayAddress(index), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (b *bed) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	for _, g := range b.gateways {
		g.kill()
	}
	b.store.close()
	b.record.close()
	_ = os.RemoveAll(b.dir)
}

// gatewayProcess is one process of the deploy file's role, restarted when it ends.
type gatewayProcess struct {
	bed       *bed
	name      string
	frontend  string
	readiness string
	settings  string
	memoryMb  int

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	// endings holds why the process ended while it was not stopped by the case.
	endings []string
}

// startGateways starts gateways with settings like those of a small deployment: one in each zone.
func (b *bed) startGateways(count, memoryMb int) error {
	zones := map[string]string{}
	for i := range count {
		zones["zone-"+strconv.Itoa(i+1)] = "region"
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, net.JoinHostPort(gatewayAddress(i), strconv.Itoa(b.portBase+2)))
	}
	for i := range count {
		ip := gatewayAddress(i)
		at := func(offset int) string { return net.JoinHostPort(ip, strconv.Itoa(b.portBase+offset)) }
		g := &gatewayProcess{bed: b, name: "edge-" + strconv.Itoa(i+1), frontend: at(0), readiness: at(1), memoryMb: memoryMb}
		settings := map[string]any{
			"nodeName": g.name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge", "control_plane"},
			"ip": ip, "zone": "zone-" + strconv.Itoa(i+1), "region": "region", "zones": zones,
			"listen":            map[string]string{"frontend": at(0), "readiness": at(1), "control": at(2)},
			"internalPortRange": []int{b.portBase + 4, b.portBase + 19}, "seeds": seeds, "bootstrap": true, "countsAsLoss": false,
			"limits":  map[string]any{"cpuShare": 0.304, "cpuCores": 1, "memoryMb": memoryMb, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
			"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "rollout", "platform"},
			"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
				"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "stretchMaxMs": 5000, "strictRevoke": false,
				"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 54, "quotaWindowS": 8,
				"quotaOver": 0.1, "quotaSlack": 140000, "exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000,
				"recoveryS": 12, "passMs": 120, "againS": 8.3,
			},
			"platform": map[string]any{
				"address": b.store.address, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
				"valueBytes": 1048576, "ttlMinMs": 1000,
			},
		}
		raw, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		g.settings = filepath.Join(b.dir, g.name+".json")
		if err := os.WriteFile(g.settings, raw, 0o600); err != nil {
			return err
		}
		b.gateways = append(b.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	return b.awaitReady(15 * time.Second)
}

// awaitReady waits until all gateways say that they are ready.
func (b *bed) awaitReady(atMost time.Duration) error {
	until := time.Now().Add(atMost)
	for _, g := range b.gateways {
		for !g.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %s", g.name, atMost)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (g *gatewayProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.readiness + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// start starts the process by the command of the deploy file. Only the variables that the pages
// name are passed on.
func (g *gatewayProcess) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil
	}
	command := exec.Command(g.bed.program, "gateway")
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"PERSIMMONRIDGE_NODE_FILE=" + g.settings,
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(g.bed.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	g.command = command
	g.bed.record.write("%s started, pid %d", g.name, command.Process.Pid)
	go g.wait(command, log)
	go g.watchMemory(command)
	return nil
}

// wait restarts a process that ended, after a short delay, as the platform does.
func (g *gatewayProcess) wait(command *exec.Cmd, log *os.File) {
	err := command.Wait()
	_ = log.Close()
	g.mu.Lock()
	stopped := g.stopped
	g.mu.Unlock()
	if stopped {
		return
	}
	g.bed.record.write("%s ended: %v", g.name, err)
	g.mu.Lock()
	g.endings = append(g.endings, fmt.Sprint(err))
	g.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	_ = g.start()
}

// watchMemory kills the process if it exceeds its limit, as the platform does.
func (g *gatewayProcess) watchMemory(command *exec.Cmd) {
	path := fmt.Sprintf("/proc/%d/status", command.Process.Pid)
	most := 0
	for {
		raw, err := os.ReadFile(path)
		if err != nil {
			g.bed.record.write("%s pid %d: at most %d MB resident", g.name, command.Process.Pid, most>>10)
			return
		}
		resident := field(string(raw), "VmRSS:")
		most = max(most, resident)
		if resident > g.memoryMb<<10 {
			g.bed.record.write("%s pid %d: %d MB resident, limit %d MB: killed", g.name, command.Process.Pid, resident>>10, g.memoryMb)
			_ = command.Process.Kill()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// field returns a number of kilobytes in the status of a process.
func field(status, name string) int {
	_, rest, ok := strings.Cut(status, name)
	if !ok {
		return 0
	}
	n, _ := strconv.Atoi(strings.Fields(rest)[0])
	return n
}

func (g *gatewayProcess) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	if g.command != nil {
		_ = g.command.Process.Kill()
	}
}

// ended returns how often the process ended by itself or by the limit of its memory.
func (g *gatewayProcess) ended() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.endings)
}
