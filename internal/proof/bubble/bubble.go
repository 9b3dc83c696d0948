// Package bubble runs a test of whole processes in fake time.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"
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
	synctest.Test(t, f)
}
