// Package outcome settles each request exactly once: answered, refused as not
// run, or said to may have run.
package outcome

import (
	"sync"

	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
)

// Kind is how a request ended for its caller.
type Kind string

// The kinds.
const (
	Answered   Kind = "answered"
	Late       Kind = "late"
	NotRun     Kind = "not-run"
	MayHaveRun Kind = "may-have-run"
	CallerGone Kind = "caller-gone"
)

// Outcome is one request's, settled once.
type Outcome struct {
	requestID  string
	invariants *invariant.Recorder

	mu   sync.Mutex
	kind Kind
	ran  bool
}

// New returns an unsettled outcome.
func New(requestID string, invariants *invariant.Recorder) *Outcome {
	return &Outcome{requestID: requestID, invariants: invariants}
}

// Dispatched notes evidence that the request runs or ran somewhere; after it,
// "not run" would be untrue.
func (o *Outcome) Dispatched() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ran = true
}

// Settle records how the request ended.
func (o *Outcome) Settle(kind Kind) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.invariants.Check(o.kind == "", invariant.OneOutcome, o.requestID, "settled as "+string(o.kind)+" and as "+string(kind))
	o.invariants.Check(kind != NotRun || !o.ran, invariant.NotRunIsTrue, o.requestID, "refused as not run after signs of a run")
	if o.kind == "" {
		o.kind = kind
	}
}

// Kind returns how the request ended, or "" while it is open.
func (o *Outcome) Kind() Kind {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.kind
}
