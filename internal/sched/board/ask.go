package board

import (
	"cmp"
	"slices"
	"time"
)

// Ask is a request for a place.
type Ask struct {
	// Owner is the gateway that has the request, ID the request.
	Owner, ID string
	// Number tells this ask apart from the owner's others for the request.
	Number  uint64
	Service string
	Domain  string
	Tier    int
	// Due is when the first event is late, Until when it is of no use.
	Due, Until time.Time
	Prompt     int
	// Output is a guess of the tokens that will be generated.
	Output int
	// Ending tells whether the stream is cut at Until.
	Ending  Ending
	MaxGap  time.Duration
	Exclude []string
	// Only and Not bound the versions of the engine; empty bounds nothing.
	Only, Not string
	// Again asks are for requests that were sent before and go first.
	Again bool
	// Fingerprint recognizes a request that was refused and comes again.
	Fingerprint uint64

	arrived  time.Time
	giveUpAt time.Time
	// returned asks were refused before. Their answers are late already, so
	// they go behind those of their tier that can be in time.
	returned bool
}

// Verdict answers an ask. A refusal has no upstream.
type Verdict struct {
	Owner, ID  string
	Number     uint64
	Upstream   string
	RetryAfter time.Duration
	Why        string
	// Waiting tells that the ask waits; another verdict follows.
	Waiting bool
}

// Outcome is what a place came to.
type Outcome int

// The outcomes.
const (
	// Answered: a whole answer came.
	Answered Outcome = iota
	// Failed: the engine answered with a failure.
	Failed
	// Declined: the engine was full.
	Declined
	// Unreached: nothing listened.
	Unreached
	// Left: the caller left, or the ask is withdrawn.
	Left
	// Broken: the connection ended before the answer did.
	Broken
)

// End is what a place that is given back tells.
type End struct {
	Outcome Outcome
	// Number names the ask or the place. 0 ends any of the request.
	Number uint64
	// Stream is the time from the first event to the last, and Tokens what was
	// generated in it.
	Stream time.Duration
	Tokens int
}

// allows tells whether the engine may get the request at all.
func (a *Ask) allows(e *engine) bool {
	if (a.Only != "" && a.Only != e.Version) || (a.Not != "" && a.Not == e.Version) {
		return false
	}
	return !slices.Contains(a.Exclude, e.ID)
}

// enqueue keeps the order in which waiting requests are served: sent before,
// then tier, then the moment at which the first event is due.
func (b *Board) enqueue(ask *Ask) {
	at, _ := slices.BinarySearchFunc(b.waiting, ask, compareAsks)
	b.waiting = slices.Insert(b.waiting, at, ask)
}

func compareAsks(x, y *Ask) int {
	return cmp.Or(
		-compareBools(x.Again, y.Again), cmp.Compare(x.Tier, y.Tier), compareBools(x.returned, y.returned),
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
