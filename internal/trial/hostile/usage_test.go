package hostile_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// sampleInterval is how often a process is observed.
const sampleInterval = 50 * time.Millisecond

// usage is what a process has used at most.
type usage struct {
	// memoryMB is the resident memory with the bytes that the kernel holds for the process: those
	// received and not read, and those sent that callers have not taken.
	memoryMB, residentMB, unreadMB, unsentMB int
	descriptors                              int
}

// String describes the usage.
func (u usage) String() string {
	return fmt.Sprintf("at most %d MB, %d MB resident, %d MB unread, %d MB unsent, %d descriptors", u.memoryMB, u.residentMB, u.unreadMB, u.unsentMB, u.descriptors)
}

// watcher observes a process until it is stopped.
type watcher struct {
	stopping chan struct{}
	most     chan usage
}

func (g *gateway) watch() *watcher {
	w := &watcher{stopping: make(chan struct{}), most: make(chan usage)}
	go func() {
		var most usage
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			most.add(g.cmd.Process.Pid, g.callerAddress())
			select {
			case <-ticker.C:
			case <-w.stopping:
				w.most <- most
				return
			}
		}
	}()
	return w
}

func (w *watcher) stop() usage {
	close(w.stopping)
	return <-w.most
}

// requireWithinLimits requires that the process lives, and has used no more than its settings state.
func (g *gateway) requireWithinLimits(most usage) {
	g.t.Helper()
	require.False(g.t, g.ended(), "the process ended")
	require.LessOrEqual(g.t, most.memoryMB, g.memoryMB, "memory of the process and bytes it has not read")
	require.LessOrEqual(g.t, most.descriptors, g.descriptors)
}

// requireHolds requires that the process keeps to its limits while the crowd runs, and that an ordinary
// request is answered afterwards.
func (g *gateway) requireHolds(crowd func()) {
	g.t.Helper()
	usage := g.watch()
	crowd()
	most := usage.stop()
	g.t.Log(most)
	g.requireWithinLimits(most)
	g.requireAnswer(ordinaryRequest())
}

// add takes a sample of the process that listens for callers at the address.
func (u *usage) add(pid int, address string) {
	unread, unsent := kernelMB(address)
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(raw)) {
		switch name, _, _ := strings.Cut(line, ":"); name {
		case "VmRSS":
			u.memoryMB = max(u.memoryMB, parseKB(line)>>10+unread+unsent)
		case "VmHWM":
			u.residentMB = max(u.residentMB, parseKB(line)>>10)
			u.memoryMB = max(u.memoryMB, u.residentMB)
		}
	}
	u.unreadMB, u.unsentMB = max(u.unreadMB, unread), max(u.unsentMB, unsent)
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		u.descriptors = max(u.descriptors, len(entries))
	}
}

// kernelMB returns the megabytes that were received at the address and not read yet, and those that were
// written there and not taken.
func kernelMB(address string) (unread, unsent int) {
	host, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	local := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(net.ParseIP(host).To4()), number)
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, 0
	}
	const listening = "0A"
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		written, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		unread += int(n)
		n, _ = strconv.ParseInt(written, 16, 64)
		unsent += int(n)
	}
	return unread >> 20, unsent >> 20
}
