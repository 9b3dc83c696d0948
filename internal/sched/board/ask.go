package board

import (
	"cmp"
	"slices"
	"time"
)

// Ask is a request for a slot on an engine, made on behalf of a generation request.
type Ask struct {
	// Owner is the gateway that handles the request, and ID identifies the request.
	Owner, ID string
	// Number distinguishes this slot request from the owner's others for the same
	// generation request.
	Number  uint64
	Service string
	Domain  string
	Tier    int
	// Due is the deadline of the first event. An answer after Until is useless.
	Due, Until time.Time
	Prompt     int
	// Output is the estimated number of tokens to generate.
	Output int
	// Ending tells whether the stream is cut off at Until.
	Ending  Ending
	MaxGap  time.Duration
	Exclude []string
	// Required and excluded version of the engine. An empty string does not restrict it.
	Only, Not string
	// Again is set if the request was sent to an engine before. Such requests go first.
	Again bool
	// Fingerprint identifies a request that is retried after a refusal.
	Fingerprint uint64

	arrived  time.Time
	giveUpAt time.Time
	// refusedBefore is set if the request was refused earlier. Its answer is late already,
	// so it goes after the requests of its tier that can still be served in time.
	refusedBefore bool
}

// Verdict grants, queues or refuses a slot request. Upstream is empty unless a slot is
// granted.
type Verdict struct {
	Owner, ID  string
	Number     uint64
	Upstream   string
	RetryAfter time.Duration
	Why        string
	// Waiting is set if the request was queued. Another decision follows.
	Waiting bool
}

// Outcome is how the use of a slot ended.
type Outcome int

// Outcomes of a slot.
const (
	// Answered: the answer was complete.
	Answered Outcome = iota
	// Failed: the engine answered with an error.
	Failed
	// Declined: the engine was full.
	Declined
	// Unreached: the connection was refused.
	Unreached
	// Left: the caller left or the slot request was withdrawn.
	Left
	// Broken: the connection was closed before the answer was complete.
	Broken
)

// End describes how the use of a slot ended.
type End struct {
	Outcome Outcome
	// Number is the number of the slot request or granted slot. 0 matches any of the request.
	Number uint64
	// Stream is the time from the first event to the last, and Tokens the number of tokens
	// generated in that time.
	Stream time.Duration
	Tokens int
}

// allows reports whether the request may be sent to the engine.
func (req *Ask) allows(e *engine) bool {
	if (req.Only != "" && req.Only != e.Version) || (req.Not != "" && req.Not == e.Version) {
		return false
	}
	return !slices.Contains(req.Exclude, e.ID)
}

// enqueue inserts the request in the order in which waiting requests are served: first
// those that were sent before, then by tier, by whether they were refused before, and by
// first-event deadline.
func (s *Board) enqueue(req *Ask) {
	at, _ := slices.BinarySearchFunc(s.waiting, req, compareRequests)
	s.waiting = slices.Insert(s.waiting, at, req)
}

func compareRequests(x, y *Ask) int {
	return cmp.Or(
		-compareBools(x.Again, y.Again), cmp.Compare(x.Tier, y.Tier), compareBools(x.refusedBefore, y.refusedBefore),
		x.Due.Compare(y.Due), cmp.Compare(x.ID, y.ID),
	)
}

func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}
