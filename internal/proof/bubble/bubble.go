// Package bubble runs a test of whole processes in fake time.
package bubble

import (
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// stuckAfter is how much real time a test may take before its stacks are kept;
	// the longest take a fifth of it.
	stuckAfter = 3 * time.Minute
	// stacksMost bounds what is kept of them.
	stacksMost = 64 << 20
)

// Pass lets fake time pass in a bubble; nobody waits for it.
func Pass(d time.Duration) { time.Sleep(d) }

// Run runs f in a synctest bubble. The multiplexer keeps used timers in a
// sync.Pool, and a timer of one bubble must not be used in another; a pool is
// empty after two collections.
func Run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	stuck := time.AfterFunc(stuckAfter, func() { keepStacks(t) })
	defer stuck.Stop()
	synctest.Test(t, f)
}

// keepStacks writes the stacks of all goroutines to a file: fake time stands still
// while one of them runs or waits for anything outside of the bubble, and only the
// stacks tell which.
func keepStacks(t *testing.T) {
	file, err := os.CreateTemp("", "stuck-*.txt")
	if err != nil {
		t.Logf("stacks not kept: %v", err)
		return
	}
	stacks := make([]byte, stacksMost)
	_, err = file.Write(stacks[:runtime.Stack(stacks, true)])
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	t.Logf("%s has run for %s; all stacks are in %s (write error: %v)", t.Name(), stuckAfter, file.Name(), err)
}
