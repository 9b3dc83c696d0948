package flow

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/caller/connection"
	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/upstream/framing"
)

const (
	// unconfiguredRetryAfter is the Retry-After of a process that has not loaded a
	// configuration yet; loading takes about 10 ms once the store responds.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// maxUnreachable limits how many upstreams may refuse a connection before
	// the request fails; each of them costs a round trip.
	maxUnreachable = 5
	// maxWithheld limits how many placements may be withdrawn because their upstream may
	// get no request at the moment.
	maxWithheld = 5
	// regionRetryAfter is the Retry-After of requests that no region may serve: only a
	// new configuration changes that.
	regionRetryAfter = time.Minute
	// declinedRetryAfter is the Retry-After of requests that upstreams declined.
	declinedRetryAfter = 100 * time.Millisecond
	// slowBodyRetryAfter is the Retry-After of requests whose body timed out.
	slowBodyRetryAfter = 100 * time.Millisecond
	// resumeWithin is the time in which a request that was already sent once must
	// make progress again. Callers abandon a stream after two seconds of silence;
	// the difference is spent on detecting the failure of the first upstream.
	resumeWithin = 1200 * time.Millisecond
	// startPollInterval is how often a held request looks again while a newly started
	// process waits for the usage totals of the fleet, or for its configuration.
	startPollInterval = 10 * time.Millisecond
	// configurationWait is how long a request waits for the first configuration of a process
	// that has just started, at most configurationWaitShare of the time that its caller
	// waits. A caller that is refused instead returns after unconfiguredRetryAfter.
	configurationWait      = 400 * time.Millisecond
	configurationWaitShare = 0.25
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = time.Minute
)

// Dependencies holds the dependencies of a Handler.
type Dependencies struct {
	Headers HeaderCodec
	Client  *exchange.Client
	// Catalog returns the active configuration, or nil before the first is loaded.
	Catalog func() *catalog.Catalog
	Picker  Picker
	Quota   Quota
	Retries RetryBudget
	Crashes CrashTracker
	Metrics Metrics
	Logger  *slog.Logger
	Now     func() time.Time
	// ShutdownStatus reports whether the process is shutting down, since when, and when
	// it will exit.
	ShutdownStatus func() (since, until time.Time, leaving bool)
	// Exit returns a context that ends AnswerMargin before the process exits. It may be nil.
	Exit func() context.Context
	// OthersAccept reports whether callers that this process refuses while it shuts
	// down are likely to reach one that accepts them, given whether the load balancer
	// has noticed the shutdown; if nil, they are not.
	OthersAccept func(shutdownNoticed bool) bool
	// NextAccepting returns when a process that shuts down is expected to have started
	// again, if no other one accepts callers. It may be nil.
	NextAccepting func(now time.Time) time.Time
	// ConfigurationDue reports that this process has just started and will have a
	// configuration within some 100 ms; nil means no.
	ConfigurationDue func(now time.Time) bool
	// Guard may be nil, which admits every request.
	Guard SendGuard
	// Domains returns the failure domains in the regions; if nil, no route or workspace
	// may restrict its regions.
	Domains func(regions []string) []string
	// Memory bounds the bytes held in bodies and answers; if it is nil or has no limit,
	// they are not bounded, and no stream is read ahead of its caller.
	Memory *memory.Account
	// Unfinished bounds what answers and events of streams hold until they are complete,
	// beyond smallAnswerBytes each; nil bounds nothing.
	Unfinished *memory.Budget
}

// Metrics records counts and latencies.
type Metrics interface {
	// RequestFinished counts a request by its outcome for the caller.
	RequestFinished(route string, tier int, outcome string, took time.Duration)
	// AttemptFinished counts an attempt by its outcome.
	AttemptFinished(service string, o Outcome)
	// QuotaRefused counts a request that a quota refused.
	QuotaRefused(stage QuotaStage)
	// FirstEventSent records the time to the first event of a stream.
	FirstEventSent(tier int, took time.Duration)
}

// Handler serves callers' requests. It implements http.Handler and is safe for
// concurrent use.
type Handler struct{ Dependencies }

// New returns a Handler with the given dependencies.
func New(deps Dependencies) *Handler { return &Handler{Dependencies: deps} }

// call is the state of one caller's request.
type call struct {
	*Handler
	w http.ResponseWriter
	// conn is the caller's connection, which may be nil.
	conn *ingress.Conn
	// ending is how the caller is told the end of its answer.
	ending    connection.Ending
	request   Request
	catalog   *catalog.Catalog
	route     *catalog.Route
	workspace *catalog.Workspace
	tier      int
	arrivedAt time.Time
	deadline  time.Time
	// bodyTime is how long the body took to arrive.
	bodyTime time.Duration
	shutdown shutdownWindow
	exitPlan exitPlan
	// withoutAllowance reports that the stream is placed where its estimated rest ends
	// before the process exits, with no allowance for a longer one.
	withoutAllowance bool
	// cost is the request's cost to its workspace's quota, chargedCost is what was charged,
	// and queued reports that it waits for its first slot and is not charged yet.
	cost        float64
	chargedCost float64
	queued      bool
	// attempts counts the upstreams to which at least one byte was sent;
	// mayHaveExecuted reports that one of them may have executed the request.
	attempts    int
	sending     sendState
	unreachable int
	// withheld counts the placements that were withdrawn because their upstream may get no
	// request at the moment, and withheldFrom is the upstream of the last one.
	withheld        int
	withheldFrom    string
	mayHaveExecuted bool
	triedUpstreams  []string
	// silentUpstreams are those that got no repeat because they have sent nothing for a while.
	silentUpstreams []string
	// domains are the failure domains that may get the request; nil means all.
	domains     []string
	fingerprint uint64
	// upstream, placementWait, firstEvent and longestGap describe the last attempt:
	// its upstream, the time spent waiting for a placement, the time to the first
	// event and the longest pause between later events. survived reports that its
	// upstream has executed the request for beginTime since firstEventAt, and endSilence is
	// called when the first event comes.
	upstream      string
	sentAt        time.Time
	firstEventAt  time.Time
	survived      bool
	endSilence    func()
	placementWait time.Duration
	firstEvent    time.Duration
	longestGap    time.Duration
	events        int
	// failedAnswer is an upstream's error response, which is passed on if no other
	// attempt succeeds.
	failedAnswer *exchange.Answer
	failedBody   []byte
	progress     streamProgress
	// whole reports that the stream is passed on only once it is complete.
	whole bool
	// complete reports that the whole answer was read, so that only its caller delays its end.
	complete bool
	// passing is set once the caller is sent an answer.
	passing atomic.Bool
	logger  *slog.Logger
	held    heldMemory
	// released reports that the placement of the last attempt was released.
	released bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := h.Now()
	c := &call{Handler: h, w: w, request: h.Headers.Read(r), arrivedAt: now, conn: ingress.ConnOf(r.Context()), ending: connection.EndingOf(r)}
	c.logger = h.Logger.With("id", c.request.ID)
	c.checkShutdown()
	if !c.admit(r.Context()) {
		return
	}
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.request.Timeout > 0 {
		timeout = min(timeout, c.request.Timeout)
	}
	c.deadline = now.Add(timeout)
	if !c.fitsBeforeExit(now) {
		c.refuseForShutdown()
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	ctx, release := c.endBeforeExit(ctx)
	defer release()
	c.openMemory(r)
	defer c.closeMemory()
	if !c.readBody(r) {
		return
	}
	c.fingerprint = c.computeFingerprint()
	if c.crashesUpstreams() {
		c.endCrashing()
		return
	}
	if !c.checkQuota(ctx) {
		return
	}
	defer c.dequeue(false)
	c.attemptAll(ctx)
	if c.progress.aborted {
		// A handler that returns would end the answer as if it were complete.
		panic(http.ErrAbortHandler)
	}
}

// attemptAll sends the request until it is answered or no attempt is left.
func (c *call) attemptAll(ctx context.Context) {
	service := c.targetService()
	defer c.releaseRetry(service)
	for {
		now := c.Now()
		if now.After(c.deadline) || ctx.Err() != nil {
			c.expire(ctx)
			return
		}
		c.checkShutdown()
		if c.mayBeRefused() && !c.fitsBeforeExit(now) {
			c.refuseForShutdown()
			return
		}
		if !c.mayBeRefused() && c.exitsBeforeAttempt(now) {
			c.giveUp(errExits.Error())
			return
		}
		if c.crashesUpstreams() {
			c.endCrashing()
			return
		}
		req := c.placementRequest(now, service)
		placement, err := c.pick(ctx, now, req)
		c.placementWait = c.Now().Sub(now)
		if err != nil {
			if ctx.Err() == nil && (c.crashesUpstreams() || c.placeWithoutAllowance(req)) {
				continue
			}
			c.handleNoPlacement(ctx, err)
			return
		}
		if req.EndConstraint == EndUnconstrained && c.mayOutlastShutdown(c.Now()) {
			// The next round plans the stream's end, or refuses it.
			placement.Release(c.Now(), Canceled, 0)
			continue
		}
		if !c.chargeQuota(ctx, placement) {
			return
		}
		c.released = false
		outcome := c.attempt(ctx, placement)
		c.release(placement, outcome)
		c.Metrics.AttemptFinished(service, outcome)
		if c.concluded(ctx, outcome) {
			return
		}
		if outcome == Withheld {
			continue
		}
		c.triedUpstreams = append(c.triedUpstreams, placement.Upstream().ID)
		if outcome != Unreachable && !c.reserveRetry(service) {
			c.giveUp(budgetExhausted)
			return
		}
	}
}

// release ends the placement of the last attempt, unless it was released before.
func (c *call) release(placement Placement, outcome Outcome) {
	if c.released {
		return
	}
	c.released = true
	placement.Release(c.Now(), outcome, c.streamedTokens())
}

// streamedTokens returns the tokens that the last attempt streamed after its
// first event.
func (c *call) streamedTokens() int {
	service := c.catalog.Service(c.targetService())
	if c.events < 2 || service == nil || service.Engine == nil {
		return 0
	}
	return (c.events - 1) * service.Engine.TokensPerEvent
}

// tokensLeft returns how many of the tokens remain to be generated after the events that
// the caller has received, at least those of one event.
func (c *call) tokensLeft(tokens int) int {
	if c.progress.events == 0 {
		return tokens
	}
	service := c.catalog.Service(c.targetService())
	if service == nil || service.Engine == nil {
		return tokens
	}
	perEvent := service.Engine.TokensPerEvent
	return max(perEvent, tokens-c.progress.events*perEvent)
}

// targetService chooses one of the route's services by weight. The choice depends
// on the request's ID alone, so that all processes and all retries agree on it.
func (c *call) targetService() string {
	targets := c.route.Targets
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	position := float64(xxhash.Sum64String(c.request.ID)>>11) / (1 << 53) * total
	for _, t := range targets {
		if position < t.Weight {
			return t.Service
		}
		position -= t.Weight
	}
	return targets[len(targets)-1].Service
}

// nextEventDue returns the time after which the next event of the answer is late.
// The latency target of a request that was sent before has usually passed already. If
// it still applied, the scheduler would refuse to resume a stream whose engine
// crashed, as too late, although its caller still waits for the rest.
func (c *call) nextEventDue(now time.Time) time.Time {
	due := c.arrivedAt.Add(c.route.LatencyTarget)
	if c.attempts == 0 {
		return due
	}
	if resumeDue := now.Add(resumeWithin); resumeDue.After(due) {
		return resumeDue
	}
	return due
}

// excludedUpstreams returns the upstreams that must not be chosen again: those that were
// tried or are silent, and the last one that might get no request. One before that may get one by
// now.
func (c *call) excludedUpstreams() []string {
	excluded := slices.Concat(c.triedUpstreams, c.silentUpstreams)
	if c.withheldFrom != "" {
		excluded = append(excluded, c.withheldFrom)
	}
	return excluded
}

func (c *call) placementRequest(now time.Time, service string) PlacementRequest {
	req := PlacementRequest{
		ID: c.request.ID, Service: service, Route: c.route, Tier: c.tier,
		NextEventDue: c.nextEventDue(now), Deadline: c.deadline, ExcludedUpstreams: c.excludedUpstreams(), Resent: c.attempts > 0,
		Fingerprint: c.fingerprint, Domains: c.domains,
	}
	if c.workspace != nil {
		req.Workspace = c.workspace.Name
	}
	if c.request.TokensStated {
		req.PromptTokens, req.OutputTokens, req.PromptParts = c.request.PromptTokens, c.request.OutputTokens, c.request.PromptParts
		if c.request.LengthHint > 0 {
			req.OutputTokens = min(req.OutputTokens, c.request.LengthHint)
		}
		req.OutputTokens = c.tokensLeft(req.OutputTokens)
	}
	c.limitToExit(now, &req)
	return req
}

// deliver passes the answer to the caller. A failure is held back while another
// attempt is allowed.
func (c *call) deliver(ctx context.Context, placement Placement, answer *exchange.Answer) Outcome {
	success := answer.Status >= 200 && answer.Status < 300
	if success && c.route.Kind == catalog.Streaming {
		return c.deliverStream(ctx, placement, answer)
	}
	body, err := c.readAnswerBody(ctx, answer)
	if err == nil {
		err = framing.CheckEnd(answer.Status, answer.EndsWithConnection(), int64(len(body)))
	}
	if errors.Is(err, errNoRoomForAnswer) {
		return c.passUnfinished(ctx, placement, answer, body)
	}
	if err != nil {
		return c.handleTruncated(ctx, placement, answer, err)
	}
	answer.Close(true)
	placement.AnswerStarted(c.Now())
	if success {
		c.recordServed(answer)
	}
	if c.progress.opened {
		// The response header has already been sent, so a failed resume can only
		// end in an aborted stream.
		return Failed
	}
	if success {
		c.releaseBeforeWrite(placement, Answered)
		c.writePlain(answer, body)
		c.finish(outcomeAnswered, "upstream", placement.Upstream().ID)
		return Answered
	}
	c.releaseFailedBody()
	c.failedAnswer, c.failedBody = answer, body
	if answer.Status < http.StatusInternalServerError || !c.mayRetry() {
		c.releaseBeforeWrite(placement, Failed)
		c.passFailedAnswer()
	}
	return Failed
}

// mayRetry reports whether the route allows another attempt after one that may
// have been executed.
func (c *call) mayRetry() bool {
	return c.route.Repeatable() && c.attempts < c.route.MaxAttempts && !c.progress.answered && !c.progress.unfinished
}

// concluded reports whether the request is over after an attempt, and answers it
// if it has not been answered yet.
func (c *call) concluded(ctx context.Context, o Outcome) bool {
	if c.progress.answered {
		return true
	}
	if ctx.Err() != nil {
		c.expire(ctx)
		return true
	}
	switch o {
	case Withheld:
		if c.sending.overBudget {
			c.giveUp(budgetExhausted)
			return true
		}
		if c.withheld <= maxWithheld {
			return false
		}
		c.giveUp("upstreams may get no more requests at the moment")
		return true
	case Unreachable:
		if c.unreachable >= maxUnreachable {
			c.giveUp("no upstream reachable")
			return true
		}
		return false
	case Declined, Misdirected:
		if c.attempts < c.route.MaxAttempts {
			return false
		}
		c.giveUp("declined by upstreams")
		return true
	case Failed, Interrupted:
		if c.mayRetry() {
			return false
		}
		c.giveUp("may have been executed and must not be retried")
		return true
	}
	return true
}
