package soak_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// stopGrace is the usual graceful stop time in the settings; stopGraceSlack is the
	// delay that a busy machine may add until the exit is observed.
	stopGrace      = 4 * time.Second
	stopGraceSlack = 2 * time.Second
	// restartDelay is the time after which the platform restarts a process.
	restartDelay = 300 * time.Millisecond
)

// gatewayProcess runs one gateway and restarts it when it exits, as the platform
// does.
type gatewayProcess struct {
	name, address string
	contracts     string // JSON list
	binary        string
	settingsPath  string
	storeAddress  string
	seeds         []string
	log           *os.File
	report        func(finding string)

	mu            sync.Mutex
	cmd           *exec.Cmd
	exitExpected  bool
	stopRequested bool
	// wasPaused is true if the process was paused since its start, so that its stop
	// may take longer than its grace.
	wasPaused        bool
	paused           bool
	retryRatio       float64
	retryWindow      time.Duration
	retryBudgetSlack int
	// largestSlack is the largest retryBudgetSlack so far.
	largestSlack int
	// logOffset is the size of the log file when the process was started.
	logOffset       int64
	stopRequestedAt time.Time
	// stops are the times of all stop requests, and grace is the graceful stop time.
	stops  []time.Time
	grace  time.Duration
	closed bool
	done   chan struct{}

	// disruptions last from when the process was killed, or was paused while
	// stopping so that its grace expired, until it has exited.
	disruptions   disruptions
	endDisruption func()
}

func newGatewayProcess(tb *testbed, i int, storeAddress string) (*gatewayProcess, error) {
	name := fmt.Sprintf("gateway-%d", i)
	log, err := os.Create(filepath.Join(tb.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	g := &gatewayProcess{
		name: name, address: tb.address(1 + i), binary: tb.binary, storeAddress: storeAddress, log: log, report: tb.report,
		settingsPath: filepath.Join(tb.folder, name+".json"), done: make(chan struct{}), retryRatio: tb.retryRatio(), retryWindow: tb.retryWindow(), retryBudgetSlack: initialSlack,
		endDisruption: func() {}, contracts: "[]", grace: tb.grace(),
	}
	if tb.hardLoad() {
		g.contracts = `["pressure"]`
	}
	for j := range gateways {
		g.seeds = append(g.seeds, tb.address(1+j)+":8229")
	}
	return g, g.writeSettings()
}

// writeSettings replaces the settings file atomically: a process that reads it
// concurrently gets either the old or the new one.
func (g *gatewayProcess) writeSettings() error {
	text := fmt.Sprintf(`{"nodeName":%q,"zone":"a","ip":%q,"bootstrap":true,
		"listen":{"frontend":"%[2]s:8221","readiness":"%[2]s:8224","control":"%[2]s:8229"},
		"internalPortRange":[7600,7615],"seeds":[%q,%q,%q],"limits":{"memoryMb":200},
		"bounds":{"graceS":%g,"configApplyMs":2000,"retryBudgetRatio":%g,"retryBudgetSlack":%d,"budgetWindowS":%g,"quotaSlack":140000,"coldOver":%g,"coldSlack":%d},
		"platform":{"address":%q},"contracts":%s}`,
		g.name, g.address, g.seeds[0], g.seeds[1], g.seeds[2], g.grace.Seconds(), g.retryRatio, g.retryBudgetSlack, g.retryWindow.Seconds(),
		warmUpFactor, warmUpSlack, g.storeAddress, g.contracts)
	next := g.settingsPath + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, g.settingsPath)
}

// run starts the process and restarts it whenever it exits, until close.
func (g *gatewayProcess) run() {
	defer close(g.done)
	for {
		if !g.start() {
			return
		}
		if g.handleExit(g.wait()) {
			return
		}
		<-time.After(restartDelay)
	}
}

func (g *gatewayProcess) wait() error {
	g.mu.Lock()
	cmd := g.cmd
	g.mu.Unlock()
	return cmd.Wait()
}

func (g *gatewayProcess) start() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.cmd = exec.Command(g.binary, "gateway") //nolint:gosec // The binary was built by the test itself.
	g.cmd.Env = append(os.Environ(), "PERSIMMONRIDGE_NODE_FILE="+g.settingsPath)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.exitExpected, g.stopRequested, g.wasPaused, g.paused = false, false, false, false
	g.logOffset = g.logSize()
	if err := g.cmd.Start(); err != nil {
		g.report(fmt.Sprintf("%s failed to start: %v", g.name, err))
		return false
	}
	return true
}

// handleExit checks an exit and reports whether the process must not be restarted.
func (g *gatewayProcess) handleExit(err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		g.report(fmt.Sprintf("%s: %v", g.name, err))
	}
	if g.exitedBeforeMain(exit) {
		exit, err = nil, nil
		g.exitExpected = true
	}
	late := g.stopRequested && time.Since(g.stopRequestedAt) > g.grace+stopGraceSlack
	switch {
	case !g.exitExpected:
		g.report(fmt.Sprintf("%s exited unexpectedly: %v", g.name, err))
	case late && !g.wasPaused:
		g.report(fmt.Sprintf("%s took %s to stop", g.name, time.Since(g.stopRequestedAt)))
	case g.stopRequested && !late && err != nil:
		g.report(fmt.Sprintf("%s exited with an error after a stop request: %v", g.name, err))
	}
	g.cmd = nil
	g.endDisruption()
	return g.closed
}

// exitedBeforeMain reports whether a signal ended a process that had not yet
// registered its signal handlers. No program can do so before its runtime has
// started, and such a process has accepted no request.
func (g *gatewayProcess) exitedBeforeMain(exit *exec.ExitError) bool {
	if exit == nil || g.logSize() != g.logOffset {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && (status.Signal() == syscall.SIGTERM || status.Signal() == syscall.SIGHUP)
}

func (g *gatewayProcess) logSize() int64 {
	info, err := g.log.Stat()
	if err != nil {
		g.report(fmt.Sprintf("%s: log: %v", g.name, err))
		return 0
	}
	return info.Size()
}

// signal sends a signal to the process if it is running. A process that is already
// stopping is not killed or stopped again, but may be paused and continued.
func (g *gatewayProcess) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ends := s == syscall.SIGKILL || s == syscall.SIGTERM
	if g.cmd == nil || (ends && g.exitExpected) {
		return
	}
	switch s {
	case syscall.SIGKILL:
		g.exitExpected = true
		g.beginDisruption()
	case syscall.SIGTERM:
		g.exitExpected, g.stopRequested, g.stopRequestedAt = true, true, time.Now()
		g.stops = append(g.stops, g.stopRequestedAt)
		g.killAfterGrace(g.cmd)
	case syscall.SIGSTOP:
		g.wasPaused, g.paused = true, true
	case syscall.SIGCONT:
		g.paused = false
	}
	if g.stopRequested && g.paused {
		g.beginDisruption()
	}
	g.send(s)
}

// beginDisruption records a disruption that lasts until the process has exited.
func (g *gatewayProcess) beginDisruption() {
	g.endDisruption()
	g.endDisruption = g.disruptions.begin()
}

func (g *gatewayProcess) send(s syscall.Signal) {
	if err := g.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		g.report(fmt.Sprintf("%s: signal %s: %v", g.name, s, err))
	}
}

// killAfterGrace kills a process that does not stop in time, as the platform does.
func (g *gatewayProcess) killAfterGrace(cmd *exec.Cmd) {
	time.AfterFunc(g.grace+stopGraceSlack, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.cmd == cmd {
			g.beginDisruption()
			g.send(syscall.SIGKILL)
		}
	})
}

// updateSettings changes the settings file and optionally sends SIGHUP.
func (g *gatewayProcess) updateSettings(retryBudgetSlack int, sendHangup bool) {
	g.mu.Lock()
	g.retryBudgetSlack, g.largestSlack = retryBudgetSlack, max(g.largestSlack, retryBudgetSlack)
	err := g.writeSettings()
	g.mu.Unlock()
	if err != nil {
		g.report(fmt.Sprintf("%s: settings: %v", g.name, err))
	}
	if sendHangup {
		g.signal(syscall.SIGHUP)
	}
}

// close stops the process gracefully and waits until it has exited.
func (g *gatewayProcess) close() error {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGTERM)
	<-g.done
	return g.log.Close()
}
