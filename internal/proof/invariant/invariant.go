// Package invariant checks invariants in the running program. A breach does not
// stop the program: it is counted, logged with the request concerned and passed to
// an optional callback, with which tests can end the run.
package invariant

import (
	"log/slog"
	"sync"
)

// Name identifies one invariant.
type Name string

// The invariants of the system. docs/DESIGN.md says where each is checked.
const (
	OneDispatch       Name = "one-dispatch"
	OneOutcome        Name = "one-outcome"
	NotRunIsTrue      Name = "not-run-is-true"
	TierOrder         Name = "tier-order"
	AnswerContiguous  Name = "answer-contiguous"
	AnswerEndsOnce    Name = "answer-ends-once"
	RevisionNeverDown Name = "revision-never-down"
	ShareWithinStage  Name = "share-within-stage"
	NoOfferAfterLeave Name = "no-offer-after-leave"
	OneClaim          Name = "one-claim"
)

// Breach is one violation of an invariant.
type Breach struct {
	name      Name
	requestID string
	detail    string
}

// Name returns the invariant that was violated.
func (b Breach) Name() Name { return b.name }

// RequestID returns the ID of the request concerned; it may be empty.
func (b Breach) RequestID() string { return b.requestID }

// Detail describes what was observed.
func (b Breach) Detail() string { return b.detail }

// Recorder counts breaches. The zero value is not usable; see New.
type Recorder struct {
	logger   *slog.Logger
	onBreach func(Breach)

	mu     sync.Mutex
	counts map[Name]int
	first  []Breach
}

// maxRecorded bounds the breaches that are kept in full; all are counted.
const maxRecorded = 16

// Option configures a Recorder.
type Option func(*Recorder)

// OnBreach calls f for every breach, without holding the recorder's lock.
func OnBreach(f func(Breach)) Option {
	return func(r *Recorder) { r.onBreach = f }
}

// New returns a Recorder that logs to logger.
func New(logger *slog.Logger, options ...Option) *Recorder {
	r := &Recorder{logger: logger, counts: make(map[Name]int)}
	for _, option := range options {
		option(r)
	}
	return r
}

// Check records a breach of name when ok is false, and returns ok.
func (r *Recorder) Check(ok bool, name Name, requestID, detail string) bool {
	if ok {
		return true
	}
	breach := Breach{name: name, requestID: requestID, detail: detail}
	r.mu.Lock()
	r.counts[name]++
	if len(r.first) < maxRecorded {
		r.first = append(r.first, breach)
	}
	r.mu.Unlock()
	r.logger.Error("invariant broken", "invariant", string(name), "request", requestID, "detail", detail)
	if r.onBreach != nil {
		r.onBreach(breach)
	}
	return false
}

// Total returns the number of breaches so far.
func (r *Recorder) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, count := range r.counts {
		total += count
	}
	return total
}

// First returns the first breaches, at most 16.
func (r *Recorder) First() []Breach {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Breach(nil), r.first...)
}
