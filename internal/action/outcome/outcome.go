// Package outcome records exactly one outcome for each request: answered, not
// run, or possibly run.
package outcome

import (
	"sync"

	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
)

// Kind is the outcome that is reported to the caller.
type Kind string

// The possible outcomes.
const (
	Answered   Kind = "answered"
	Late       Kind = "late"
	NotRun     Kind = "not-run"
	MayHaveRun Kind = "may-have-run"
	CallerGone Kind = "caller-gone"
)

// Outcome records the outcome of one request. It is safe for concurrent use.
type Outcome struct {
	requestID  string
	invariants *invariant.Recorder

	mu   sync.Mutex
	kind Kind
	ran  bool
}

// New returns an Outcome without a recorded kind.
func New(requestID string, invariants *invariant.Recorder) *Outcome {
	return &Outcome{requestID: requestID, invariants: invariants}
}

// Dispatched records evidence that the request is running or has run, after
// which NotRun would be incorrect.
func (o *Outcome) Dispatched() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ran = true
}

// Settle records the outcome. It checks that there was none before and that
// NotRun does not contradict an earlier Dispatched; the first outcome stays.
func (o *Outcome) Settle(kind Kind) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.invariants.Check(o.kind == "", invariant.OneOutcome, o.requestID, "outcome "+string(o.kind)+" followed by "+string(kind))
	o.invariants.Check(kind != NotRun || !o.ran, invariant.NotRunIsTrue, o.requestID, "reported as not run after evidence of a run")
	if o.kind == "" {
		o.kind = kind
	}
}

// Kind returns the recorded outcome, or "" if there is none yet.
func (o *Outcome) Kind() Kind {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.kind
}
