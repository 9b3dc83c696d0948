package board

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/division"
)

// SlotRequest is a request for a slot on an engine, made on behalf of a generation request.
type SlotRequest struct {
	// Owner is the gateway that handles the request, and ID identifies the request.
	Owner, ID string
	// Number distinguishes this slot request from the owner's others for the same
	// generation request.
	Number  uint64
	Service string
	Domain  string
	Tier    int
	// Workspace is the workspace that the request belongs to, if it is known.
	Workspace string
	// NextEventDue is the deadline of the first event. An answer after Deadline is useless.
	NextEventDue, Deadline time.Time
	PromptTokens           int
	// OutputTokens is the number of tokens by which the stream's end is planned: the estimate
	// of those to generate or, if EstimatedTokens is that, the most that the request allows.
	OutputTokens int
	// EstimatedTokens is 0 if there is no estimate beside OutputTokens.
	EstimatedTokens int
	// MaxTokens is the most that a stream with EndPreferred may generate, 0 if that is not known.
	MaxTokens int
	// EndConstraint tells whether the stream is cut off at Deadline.
	EndConstraint     EndConstraint
	EventGapTarget    time.Duration
	ExcludedUpstreams []string
	// Required and excluded version of the engine. An empty string does not restrict it.
	RequiredVersion, ExcludedVersion string
	// Domains are the failure domains that the engine may be in; if empty, all.
	Domains []string
	// Resent is set if the request was sent to an engine before. Such requests go first.
	Resent bool
	// Fingerprint identifies a request that is retried after a refusal.
	Fingerprint uint64
	// Repeated is set if the same slot request was sent before on another connection, and
	// its gateway has got no reply.
	Repeated bool

	arrived  time.Time
	giveUpAt time.Time
	// queued is set once the request has been told that it waits.
	queued bool
	// refusedBefore is set if the request was refused earlier. Its answer is late already,
	// so it goes after all requests that can still be served in time, but for those of
	// workspaces with more usage.
	refusedBefore bool
	// account is that of the request's workspace.
	account *division.Account
}

// Decision grants, queues or refuses a slot request. Upstream is empty unless a slot is
// granted.
type Decision struct {
	Owner, ID  string
	Number     uint64
	Upstream   string
	RetryAfter time.Duration
	Reason     string
	// Waiting is set if the request was queued. Another decision follows.
	Waiting bool
	// Urgent decisions are sent on all connections with the owner: it has waited for them.
	Urgent bool
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
	// Unreachable: the connection was refused.
	Unreachable
	// Canceled: the caller left or the slot request was withdrawn.
	Canceled
	// Interrupted: the connection was closed before the answer was complete.
	Interrupted
	// Misdirected: another engine has the address now.
	Misdirected
)

// SlotResult describes how the use of a slot ended.
type SlotResult struct {
	Outcome Outcome
	// Number is the number of the slot request or granted slot. 0 matches any of the request.
	Number uint64
	// StreamTime is the time from the first event to the last, and Tokens the number of
	// tokens generated in that time.
	StreamTime time.Duration
	Tokens     int
}

// allows reports whether the request may be sent to the engine.
func (req *SlotRequest) allows(e *engine) bool {
	if (req.RequiredVersion != "" && req.RequiredVersion != e.Version) || (req.ExcludedVersion != "" && req.ExcludedVersion == e.Version) {
		return false
	}
	if len(req.Domains) > 0 && !slices.Contains(req.Domains, e.Domain) {
		return false
	}
	return !slices.Contains(req.ExcludedUpstreams, e.ID)
}

// enqueue inserts the request in the order in which waiting requests are served: first
// those that were sent before, last those that were refused before, then by tier and by
// first-event deadline. Among requests of one service and tier, leastServed changes the order.
func (s *Scheduler) enqueue(req *SlotRequest) {
	at, _ := slices.BinarySearchFunc(s.waiting, req, compareRequests)
	s.waiting = slices.Insert(s.waiting, at, req)
}

func compareRequests(x, y *SlotRequest) int {
	return cmp.Or(
		-compareBools(x.Resent, y.Resent), compareBools(x.refusedBefore, y.refusedBefore), cmp.Compare(x.Tier, y.Tier),
		x.NextEventDue.Compare(y.NextEventDue), cmp.Compare(x.ID, y.ID),
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
