// Package bubble runs tests in synctest bubbles, with fake time.
package bubble

import (
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// stuckTimeout is the real time after which a running test is considered stuck
	// and goroutine stacks are written; the longest tests take a fifth of it.
	stuckTimeout = 3 * time.Minute
	// maxStackBytes bounds the size of the stacks written.
	maxStackBytes = 64 << 20
)

// Sleep sleeps for d, which takes no real time in a bubble.
func Sleep(d time.Duration) { time.Sleep(d) }

// Run runs f in a synctest bubble. It runs two garbage collections first to empty
// all sync.Pools: the multiplexer pools timers, and a timer of one bubble must not
// be used in another.
func Run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	timer := time.AfterFunc(stuckTimeout, func() { writeStacks(t) })
	defer timer.Stop()
	synctest.Test(t, f)
}

// writeStacks writes the stacks of all goroutines to a file. Fake time does not
// advance while a goroutine runs or waits for something outside of the bubble; the
// stacks show which one does.
func writeStacks(t *testing.T) {
	file, err := os.CreateTemp("", "stuck-*.txt")
	if err != nil {
		t.Logf("failed to create a file for goroutine stacks: %v", err)
		return
	}
	stacks := make([]byte, maxStackBytes)
	_, err = file.Write(stacks[:runtime.Stack(stacks, true)])
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	t.Logf("%s has run for %s; goroutine stacks are in %s (write error: %v)", t.Name(), stuckTimeout, file.Name(), err)
}
