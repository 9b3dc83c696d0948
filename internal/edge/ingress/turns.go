package ingress

import (
	"runtime"
	"sync"
)

const (
	// turnFreeHeaderBytes and turnFreeBodyBytes may be read of a request without a turn. A usual header is
	// far below the first, and most bodies are below the second.
	turnFreeHeaderBytes = 4 << 10
	turnFreeBodyBytes   = 16 << 10
	// spareTurns is the number of turns beyond the processors, so that none is idle while a turn
	// passes to the next connection.
	spareTurns = 1
)

// turns bounds how many connections with large headers and bodies are processed at once; the others
// wait. Otherwise each time that the goroutine of an ordinary request is scheduled, it waits behind
// all of them.
type turns struct{ taken chan struct{} }

func newTurns() turns {
	return turns{taken: make(chan struct{}, runtime.GOMAXPROCS(0)+spareTurns)}
}

// turn is what a connection has of the turns: one at most, from a read that delivers bytes until the
// next read or until the connection waits for something else.
type turn struct {
	mu    sync.Mutex
	held  bool
	bytes int
	// ended is closed with the connection.
	ended     chan struct{}
	closeOnce sync.Once
}

// reset ends the turn and begins to count anew.
func (t *turn) reset(of turns) {
	t.end(of)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes = 0
}

// begin counts bytes that were read, and waits for a turn to process them if they are more than may
// be read without one.
func (t *turn) begin(of turns, bytes, free int) {
	t.mu.Lock()
	t.bytes += bytes
	needed := t.bytes > free
	t.mu.Unlock()
	if !needed {
		return
	}
	select {
	case of.taken <- struct{}{}:
	case <-t.ended:
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.ended:
		<-of.taken
	default:
		t.held = true
	}
}

// end passes the turn on, if the connection has it.
func (t *turn) end(of turns) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held {
		t.held = false
		<-of.taken
	}
}

// close ends the turn and the wait for one.
func (t *turn) close(of turns) {
	t.closeOnce.Do(func() { close(t.ended) })
	t.end(of)
}
