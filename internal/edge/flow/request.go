// Package flow handles one caller's request: it finds the route, checks API key
// and quota, obtains a placement on an upstream, sends the request, retries or
// resumes it, and answers the caller. It alone decides whether a request may be
// sent again and how the caller is answered.
package flow

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

var namespace = errorx.NewNamespace("flow")

// NoPlacement is the error of a request that no upstream can accept now. It was not
// sent.
var NoPlacement = namespace.NewType("no-place")

var retryAfterProperty = errorx.RegisterProperty("retry-after")

// RefusePlacement returns a NoPlacement error with the time after which to retry.
func RefusePlacement(retryAfter time.Duration, message string, args ...any) error {
	return NoPlacement.New(message, args...).WithProperty(retryAfterProperty, retryAfter)
}

// RetryAfter returns the retry time of a NoPlacement error, or 0 if it has none.
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

// PromptPart is one part of a prompt, which several requests may have in common.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is a caller's request, decoded once.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the path and query, byte for byte.
	Path   string
	Target string
	// Header is the header to forward to an upstream.
	Header http.Header
	APIKey string
	// Timeout is how long the caller waits, 0 if it is not stated.
	Timeout time.Duration
	// TokensStated reports that the request states the tokens of its prompt and the
	// maximum to generate, which are PromptTokens and OutputTokens.
	TokensStated bool
	PromptTokens int
	OutputTokens int
	PromptParts  []PromptPart
	// SharedParts are the IDs of the prompt's parts that other requests may have, as far as
	// they can be read, also of a prompt whose PromptParts cannot be.
	SharedParts []uint64
	// LengthHint is the caller's estimate of the generated tokens, 0 if none.
	LengthHint int
	// LastEventID is the ID of the last stream event that the caller received.
	LastEventID string
	Body        []byte
}

// Attempt holds the header values that differ between the attempts of a request.
type Attempt struct {
	UpstreamID string
	Workspace  string
	// TimeLeft is the time left until the request's deadline.
	TimeLeft    time.Duration
	LastEventID string
}

// HeaderCodec maps between HTTP headers and requests.
type HeaderCodec interface {
	// Read decodes a caller's request line and header.
	Read(r *http.Request) Request
	// Upstream returns the header of an attempt.
	Upstream(r Request, s Attempt) http.Header
	// Caller copies the header of an upstream's answer into that for the caller.
	Caller(answer, to http.Header)
	// Refuse sets the header of an answer that this process gives itself.
	Refuse(r Request, retryAfter time.Duration, to http.Header)
}

// PlacementRequest describes a request that needs a placement on an upstream.
type PlacementRequest struct {
	ID        string
	Service   string
	Route     *catalog.Route
	Workspace string
	Tier      int
	// NextEventDue is when the first event, or the first after a resume, becomes late.
	NextEventDue time.Time
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
	// PromptTokens and OutputTokens are the tokens of a generation's prompt and
	// answer, and PromptParts those parts of the prompt that other requests may
	// share. They are zero for other requests.
	PromptTokens int
	OutputTokens int
	PromptParts  []PromptPart
	// EstimatedTokens is the estimate of the answer's tokens if OutputTokens is the most that
	// the request allows, and 0 if OutputTokens is the estimate.
	EstimatedTokens int
	// MaxTokens is the most that the answer may have if OutputTokens is an estimate and
	// EndConstraint is EndPreferred, else 0.
	MaxTokens int
	// UntilExit is set if Deadline is the exit of this process, and EndConstraint states
	// whether the stream must end by then.
	UntilExit     bool
	EndConstraint EndConstraint
	// ExcludedUpstreams lists the IDs of upstreams that were already tried.
	ExcludedUpstreams []string
	// Fingerprint is equal for repeats of a request by the same caller.
	Fingerprint uint64
	// RequiredVersion and ExcludedVersion are the version that the upstream must and
	// must not have; if empty, there is none.
	RequiredVersion, ExcludedVersion string
	// Resent reports that the request was sent to an upstream before.
	Resent bool
	// Domains are the failure domains whose upstreams may get the request; nil means all.
	Domains []string
}

// WaitDeadline returns until when the request may wait for a slot.
func (a *PlacementRequest) WaitDeadline() time.Time {
	if a.UntilExit || a.EndConstraint != EndUnconstrained {
		return a.Deadline.Add(-AnswerMargin)
	}
	return a.Deadline
}

// AllowsDomain reports whether an upstream of the failure domain may serve the request.
func (a *PlacementRequest) AllowsDomain(domain string) bool {
	return a.Domains == nil || slices.Contains(a.Domains, domain)
}

// AllowsVersion reports whether an upstream of the version may serve the request.
func (a *PlacementRequest) AllowsVersion(version string) bool {
	return (a.RequiredVersion == "" || a.RequiredVersion == version) && (a.ExcludedVersion == "" || a.ExcludedVersion != version)
}

// Allows reports whether the upstream may serve the request.
func (a *PlacementRequest) Allows(u roster.Upstream) bool {
	return a.AllowsVersion(u.Version) && a.AllowsDomain(u.Domain) && !slices.Contains(a.ExcludedUpstreams, u.ID)
}

// Outcome is the result of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered: the upstream answered with success, and the answer was delivered.
	Answered Outcome = iota
	// Failed: the upstream executed the request and answered with an error.
	Failed
	// Declined: the upstream answered that it did not execute the request.
	Declined
	// Unreachable: nothing could be sent.
	Unreachable
	// Interrupted: the request was sent, and no complete answer arrived.
	Interrupted
	// Canceled: the caller disconnected or the deadline passed.
	Canceled
	// Misdirected: another upstream has the address now, and did not execute the request.
	Misdirected
	// Withheld: nothing was sent, because the upstream may get no request at the moment.
	Withheld
)

var outcomeNames = [...]string{"answered", "failed", "declined", "unreached", "broken", "left", "misdirected", "withheld"}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Placement is the permission to have an upstream execute the request. It covers a
// second send to it after a stale connection.
type Placement interface {
	Upstream() roster.Upstream
	// ReportLoad records the load that the upstream reported.
	ReportLoad(now time.Time, load exchange.Load)
	// AnswerStarted records that the first event or the answer arrived.
	AnswerStarted(now time.Time)
	// Release ends the placement. Tokens is the number of tokens streamed after the
	// first event.
	Release(now time.Time, o Outcome, tokens int)
}

// RunObserver is a Placement that observes the run of its request.
type RunObserver interface {
	// RunBegan records that the request is sent.
	RunBegan(now time.Time)
	// EventArrived records that the event with the number, from 1 on, arrived.
	EventArrived(now time.Time, number int)
}

// Picker chooses an upstream. It may wait until one has a free slot, and returns a
// NoPlacement error if waiting is not worthwhile.
type Picker interface {
	Pick(ctx context.Context, now time.Time, a PlacementRequest) (Placement, error)
}

// SendGuard decides at the last moment whether a request may be sent to an upstream.
type SendGuard interface {
	// Admit counts a request that the upstream may get now, or returns why it may not.
	Admit(now time.Time, upstream roster.Upstream) (reason string)
	// Await records that a request which was just admitted may arrive at any time until settled
	// is called; settled is nil if that does not matter.
	Await(now time.Time, upstream roster.Upstream) (settled func(now time.Time))
	// Pause returns how long it takes until one of the service's upstreams may get a request.
	Pause(now time.Time, service string) time.Duration
	// AnswerReceived records what an upstream states of itself in its answer to a request
	// that was sent at a time.
	AnswerReceived(now time.Time, upstream roster.Upstream, sentAt time.Time, answer *exchange.Answer)
	// Failed records that an upstream's connection failed.
	Failed(now time.Time, upstream string)
}

// Quota limits the cost of a workspace's requests.
type Quota interface {
	// Enqueue checks the cost of a request that arrives, which then counts as waiting
	// for a slot until Dequeue, or returns when to retry.
	Enqueue(now time.Time, w *catalog.Workspace, cost float64) (ok bool, retryAfter time.Duration)
	// Dequeue ends the waiting of a request and records whether it got a slot.
	Dequeue(now time.Time, w *catalog.Workspace, cost float64, placed bool)
	// Take charges the cost of a request that is about to be sent, or returns when to
	// retry.
	Take(now time.Time, w *catalog.Workspace, cost float64) (ok bool, retryAfter time.Duration)
	// Settles reports whether this process has just started and still waits for the
	// fleet's usage totals, or for the level of the workspace.
	Settles(now time.Time, w *catalog.Workspace) bool
	// Return refunds the cost of a request that was not executed.
	Return(w *catalog.Workspace, cost float64)
}

// RetryBudget limits how often requests are sent again. A retry counts from when it is sent, before
// which it may wait for a slot, until it has arrived or cannot arrive any more.
type RetryBudget interface {
	// Sent records the first send of a request to the service.
	Sent(now time.Time, service string)
	// Reserve reports whether a retry is allowed, and sets it aside until Spend or Release.
	Reserve(now time.Time, service string) bool
	// Spend charges a reserved retry that is about to be sent, and reports whether it still may be.
	Spend(now time.Time, service string) bool
	// Await records that a retry is sent, which may arrive at any time until settled is called;
	// settled is nil if that does not matter.
	Await(service string) (settled func())
	// Release ends the reservation of a retry that is not sent.
	Release(service string)
}

// CrashKey is what identifies a request among those that crash upstreams.
type CrashKey struct {
	// Fingerprint is equal for repeats of a request by the same caller.
	Fingerprint uint64
	// Parts are the parts of its prompt that other requests may have.
	Parts []uint64
}

// CrashTracker detects requests that crash the upstreams which execute them.
type CrashTracker interface {
	// Blocked reports whether such requests are refused.
	Blocked(now time.Time, key CrashKey) bool
	// WhenBlocked calls blocked once they are, until stop is called.
	WhenBlocked(key CrashKey, blocked func()) (stop func())
	// Sent records that the request is sent to an upstream, until done is called because
	// something came of the answer, or nothing will.
	Sent(now time.Time, upstream roster.Upstream, key CrashKey) (done func())
	// Broke records that an upstream broke off while it executed the request, and whether
	// it had only just begun to.
	Broke(now time.Time, upstream roster.Upstream, key CrashKey, justBegun bool)
	// Unanswered records that nothing came of the answer to a request that was canceled.
	Unanswered(now time.Time, upstream roster.Upstream, key CrashKey)
	// Served records that an upstream has executed the request to its end.
	Served(now time.Time, key CrashKey)
	// Survived records that an upstream executes the request for a while.
	Survived(now time.Time, key CrashKey)
	// Down records that an upstream refuses connections.
	Down(now time.Time, upstream roster.Upstream)
}
