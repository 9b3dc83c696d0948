// Package flow takes one caller's request through its steps: route, key,
// quota, place, exchange, another try or a resume, answer. It alone decides
// whether a request may be sent again and what its caller is told.
package flow

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

var namespace = errorx.NewNamespace("flow")

// NoPlace means that no upstream takes the request now; it was not sent.
var NoPlace = namespace.NewType("no-place")

var retryAfterProperty = errorx.RegisterProperty("retry-after")

// RefusePlace returns a NoPlace error with the time after which another try is
// worth making.
func RefusePlace(retryAfter time.Duration, message string, args ...any) error {
	return NoPlace.New(message, args...).WithProperty(retryAfterProperty, retryAfter)
}

// RetryAfter returns the time that a NoPlace error names, or 0.
func RetryAfter(err error) time.Duration {
	if e := errorx.Cast(err); e != nil {
		if value, ok := e.Property(retryAfterProperty); ok {
			if d, ok := value.(time.Duration); ok {
				return d
			}
		}
	}
	return 0
}

// Part is one part of a prompt that requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is a caller's request, decoded once.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is path and query byte for byte.
	Path   string
	Target string
	// Header is what is passed on to an upstream.
	Header http.Header
	Key    string
	// Deadline is how long the caller waits, 0 if it did not say.
	Deadline time.Duration
	// Counted requests state the tokens of their prompt and the most they may
	// generate.
	Counted      bool
	PromptTokens int
	OutputTokens int
	Parts        []Part
	// LengthHint is the caller's guess of the tokens generated, 0 if none.
	LengthHint int
	// ResumeAfter is the last event that the caller has of a stream.
	ResumeAfter string
	Body        []byte
}

// Send is what is set anew for each send to an upstream.
type Send struct {
	UpstreamID  string
	Workspace   string
	Left        time.Duration
	ResumeAfter string
}

// Translator knows the names on the wire.
type Translator interface {
	// Read decodes a caller's header.
	Read(r *http.Request) Request
	// Upstream returns the header for a send.
	Upstream(r Request, s Send) http.Header
	// Caller copies an upstream's header into an answer.
	Caller(answer, to http.Header)
	// Refuse sets the header of an answer of the product's own.
	Refuse(r Request, retryAfter time.Duration, to http.Header)
}

// Ask is what a place is chosen by.
type Ask struct {
	ID        string
	Service   string
	Route     *catalog.Route
	Workspace string
	Tier      int
	// Due is when its first event, or that with which it goes on, is late, Until
	// when its answer is of no use.
	Due   time.Time
	Until time.Time
	// Prompt, Output and Parts describe a generation; 0 for other requests.
	Prompt int
	Output int
	Parts  []Part
	// Ending tells whether Until is the end of this process.
	Ending Ending
	// Exclude are upstreams that were tried.
	Exclude []string
	// Fingerprint recognizes a request that its caller sends again.
	Fingerprint uint64
	// Only and Not bound the versions of the upstream; empty bounds nothing.
	Only, Not string
	// Again asks are for requests that were sent before.
	Again bool
}

// Allows tells whether an upstream of the version may get the request.
func (a *Ask) Allows(version string) bool {
	return (a.Only == "" || a.Only == version) && (a.Not == "" || a.Not != version)
}

// Outcome is what a send came to.
type Outcome int

// The outcomes.
const (
	// Answered: a whole answer came.
	Answered Outcome = iota
	// Failed: the upstream ran the request and answered with a failure.
	Failed
	// Declined: the upstream did not run it.
	Declined
	// Unreached: nothing could be sent.
	Unreached
	// Broken: it was sent, and no whole answer came.
	Broken
	// Left: the caller left or its time ran out.
	Left
)

var outcomeNames = [...]string{"answered", "failed", "declined", "unreached", "broken", "left"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Place is an upstream that may be sent the request, once.
type Place interface {
	Upstream() roster.Upstream
	// Load takes what the upstream said of itself.
	Load(now time.Time, load exchange.Load)
	// Started tells that the first event or answer came.
	Started(now time.Time)
	// Done gives the place back. Tokens is what a stream brought after its
	// first event.
	Done(now time.Time, o Outcome, tokens int)
}

// Picker chooses places. It waits while waiting is worth it, and returns a
// NoPlace error otherwise.
type Picker interface {
	Pick(ctx context.Context, now time.Time, a Ask) (Place, error)
}

// Quota bounds what a workspace's requests may cost.
type Quota interface {
	// Take takes the cost, or tells when to come back.
	Take(now time.Time, w *catalog.Workspace, cost float64) (ok bool, retryAfter time.Duration)
	// Settles tells whether what is left may not be known here yet, and will be in
	// a moment.
	Settles(now time.Time) bool
	// Return gives back what a request that has not run took.
	Return(w *catalog.Workspace, cost float64)
}

// Retries bounds repeats.
type Retries interface {
	// Sent notes a first send to the service.
	Sent(now time.Time, service string)
	// Take tells whether one more send is allowed.
	Take(now time.Time, service string) bool
}

// Crashes recognizes requests that crash what runs them.
type Crashes interface {
	// Blocked tells whether requests of the fingerprint are refused.
	Blocked(now time.Time, fingerprint uint64) bool
	// Broke notes that an upstream broke off while it had the request.
	Broke(now time.Time, upstream string, fingerprint uint64)
	// Down notes that nothing listens at an upstream any more.
	Down(now time.Time, upstream string)
}
