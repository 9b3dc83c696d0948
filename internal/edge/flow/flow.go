package flow

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// unconfiguredRetry is when a caller may come back to a process that knows
	// no configuration yet; reading it takes some 10 ms once the store answers.
	unconfiguredRetry = 500 * time.Millisecond
	// unreachedMost bounds the upstreams that refuse a connection before a
	// request gives up: it costs a round trip each.
	unreachedMost = 5
	// declinedRetry is told to callers whose request an upstream declined.
	declinedRetry = 100 * time.Millisecond
	// slowBodyRetry is told to callers whose body did not come in time.
	slowBodyRetry = 100 * time.Millisecond
	// crashRetry is told to callers of a request that crashes upstreams.
	crashRetry = time.Minute
	// againWithin is how soon a request that was sent before must go on. Callers
	// leave a stream that is silent for two seconds; the rest is for noticing
	// that the first upstream broke off.
	againWithin = 1200 * time.Millisecond
	// settleEvery is how often a request is tried again that a new process holds
	// until it hears what is left of the quotas.
	settleEvery = 10 * time.Millisecond
	// defaultLeft bounds a request when neither caller nor route name a time.
	defaultLeft = time.Minute
)

// Parts are what a Flow works with.
type Parts struct {
	Translator Translator
	Client     *exchange.Client
	// Catalog returns the configuration in force, or nil before the first.
	Catalog func() *catalog.Catalog
	Picker  Picker
	Quota   Quota
	Retries Retries
	Crashes Crashes
	Metrics Metrics
	Logger  *slog.Logger
	Now     func() time.Time
	// Leaving tells whether the process stops, since when, and when it ends.
	Leaving func() (since, until time.Time, leaving bool)
	// Elsewhere tells whether another process takes requests that this one
	// refuses; nil tells that none does.
	Elsewhere func() bool
}

// Metrics takes counts and latencies.
type Metrics interface {
	// Finished counts a request by what its caller was told.
	Finished(route string, tier int, outcome string, took time.Duration)
	// Sent counts a send by what it came to.
	Sent(service string, o Outcome)
	// FirstEvent takes the time to a stream's first event.
	FirstEvent(tier int, took time.Duration)
}

// Flow serves callers' requests. It implements http.Handler.
type Flow struct{ Parts }

// New returns a flow of the parts.
func New(parts Parts) *Flow { return &Flow{Parts: parts} }

// run is one caller's request on its way.
type run struct {
	*Flow
	w http.ResponseWriter
	// conn is the caller's connection; it may be nil.
	conn    *ingress.Conn
	request Request
	catalog *catalog.Catalog
	route   *catalog.Route
	work    *catalog.Workspace
	tier    int
	arrived time.Time
	until   time.Time
	stop    stopping
	cost    float64
	// sends counts sends of which a byte left; mayHaveRun tells that one of
	// them may have run.
	sends       int
	unreached   int
	mayHaveRun  bool
	exclude     []string
	fingerprint uint64
	// upstream, placed, firstEvent and longestGap are of the last send: where it
	// went, the wait for its place, the time to its first event and the longest
	// pause after that.
	upstream   string
	sentAt     time.Time
	placed     time.Duration
	firstEvent time.Duration
	longestGap time.Duration
	events     int
	// failure is an upstream's answer that is told if no other try succeeds.
	failure     *exchange.Answer
	failureBody []byte
	stream      relay
	logger      *slog.Logger
}

// ServeHTTP implements http.Handler.
func (f *Flow) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := f.Now()
	u := &run{Flow: f, w: w, request: f.Translator.Read(r), arrived: now, conn: ingress.ConnOf(r.Context())}
	u.logger = f.Logger.With("id", u.request.ID)
	since, end, leaving := f.Leaving()
	if leaving {
		w.Header().Set("Connection", "close")
		u.stop = stopping{since: since, end: end}
	}
	if !u.admit() {
		return
	}
	left := u.route.Timeout
	if left <= 0 {
		left = defaultLeft
	}
	if u.request.Deadline > 0 {
		left = min(left, u.request.Deadline)
	}
	u.until = now.Add(left)
	if !u.fits() {
		u.refuse(http.StatusServiceUnavailable, leavingRetry, "this process stops before the request could end")
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), u.until)
	defer cancel()
	if !u.readBody(r) {
		return
	}
	u.fingerprint = u.fingerprintOf()
	if f.Crashes.Blocked(now, u.fingerprint) {
		u.refuse(http.StatusServiceUnavailable, crashRetry, "crashes upstreams")
		return
	}
	if !u.takeQuota(ctx) {
		return
	}
	u.try(ctx)
}

// try sends the request until it is answered or nothing more may be done.
func (u *run) try(ctx context.Context) {
	service := u.target()
	for {
		now := u.Now()
		if now.After(u.until) || ctx.Err() != nil {
			u.expire(ctx)
			return
		}
		place, err := u.Picker.Pick(ctx, now, u.ask(now, service))
		u.placed = u.Now().Sub(now)
		if err != nil {
			u.unplaced(ctx, err)
			return
		}
		if u.sends == 0 {
			u.Retries.Sent(now, service)
		}
		outcome := u.send(ctx, place)
		place.Done(u.Now(), outcome, u.streamedTokens())
		u.Metrics.Sent(service, outcome)
		if u.settled(ctx, outcome) {
			return
		}
		u.exclude = append(u.exclude, place.Upstream().ID)
		if outcome != Unreached && !u.Retries.Take(u.Now(), service) {
			u.giveUp("retry budget spent")
			return
		}
	}
}

// streamedTokens is what the last send's stream brought after its first event.
func (u *run) streamedTokens() int {
	service := u.catalog.Service(u.target())
	if u.events < 2 || service == nil || service.Engine == nil {
		return 0
	}
	return (u.events - 1) * service.Engine.EventTokens
}

// target chooses among the route's services by weight. The request's id
// decides, so that all processes and repeats choose alike.
func (u *run) target() string {
	targets := u.route.Targets
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	at := float64(xxhash.Sum64String(u.request.ID)>>11) / (1 << 53) * total
	for _, t := range targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return targets[len(targets)-1].Service
}

// due returns when the answer's next sign is late. For a request that was sent
// before, the first moment has mostly passed. Measured by that one alone, a
// stream whose engine crashed would be refused in the middle as too late, beside
// callers who have nothing yet, while its own caller still waits for the rest.
func (u *run) due(now time.Time) time.Time {
	due := u.arrived.Add(u.route.Objective)
	if u.sends == 0 {
		return due
	}
	if again := now.Add(againWithin); again.After(due) {
		return again
	}
	return due
}

func (u *run) ask(now time.Time, service string) Ask {
	a := Ask{
		ID: u.request.ID, Service: service, Route: u.route, Tier: u.tier,
		Due: u.due(now), Until: u.until, Exclude: u.exclude, Again: u.sends > 0,
		Fingerprint: u.fingerprint,
	}
	if u.work != nil {
		a.Workspace = u.work.Name
	}
	if u.request.Counted {
		a.Prompt, a.Output, a.Parts = u.request.PromptTokens, u.request.OutputTokens, u.request.Parts
		if u.request.LengthHint > 0 {
			a.Output = min(a.Output, u.request.LengthHint)
		}
	}
	u.planEnd(&a)
	return a
}

// send makes one send. What it returns other than Answered leaves the answer
// to the caller open, unless part of it was delivered.
func (u *run) send(ctx context.Context, place Place) Outcome {
	now := u.Now()
	u.sentAt, u.events, u.longestGap = now, 0, 0
	up := place.Upstream()
	u.upstream, u.firstEvent = up.ID, 0
	workspace := ""
	if u.work != nil {
		workspace = u.work.Name
	}
	resume := u.stream.last
	header := u.Translator.Upstream(u.request, Send{
		UpstreamID: up.ID, Workspace: workspace, Left: u.until.Sub(now), ResumeAfter: resume,
	})
	answer, err := u.Client.Do(ctx, up.Address, exchange.Request{
		Method: u.request.Method, Target: u.request.Target, Host: u.request.Host, Header: header,
		Body: u.request.Body, ID: u.request.ID, Unsafe: !u.route.Repeatable(),
	})
	if err != nil {
		return u.noAnswer(ctx, place, err)
	}
	u.sends++
	if answer.Load != nil {
		place.Load(u.Now(), *answer.Load)
	}
	if answer.NotRun {
		u.logger.Info("upstream declined", "upstream", up.ID, "status", answer.Status)
		answer.Close(false)
		return Declined
	}
	u.mayHaveRun = true
	if !answer.Sealed {
		u.logger.Warn("answer without seal", "upstream", up.ID, "status", answer.Status)
		answer.Close(false)
		return Broken
	}
	return u.deliver(ctx, place, answer)
}

func (u *run) noAnswer(ctx context.Context, place Place, err error) Outcome {
	up := place.Upstream()
	if errorx.IsOfType(err, exchange.NotSent) {
		if ctx.Err() != nil {
			return Left
		}
		u.unreached++
		u.Crashes.Down(u.Now(), up.ID)
		u.logger.Info("upstream not reached", "upstream", up.ID, "err", err)
		return Unreached
	}
	u.sends++
	u.mayHaveRun = true
	if ctx.Err() != nil {
		return Left
	}
	u.Crashes.Broke(u.Now(), up.ID, u.fingerprint)
	u.logger.Warn("answer lost", "upstream", up.ID, "err", err)
	return Broken
}

// deliver passes the answer on. A failure that may be tried again elsewhere is
// held back while another try is allowed.
func (u *run) deliver(ctx context.Context, place Place, answer *exchange.Answer) Outcome {
	success := answer.Status >= 200 && answer.Status < 300
	if success && u.route.Kind == catalog.Streaming {
		return u.deliverStream(ctx, place, answer)
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxPlainBody))
	if err != nil {
		answer.Close(false)
		if ctx.Err() != nil {
			return Left
		}
		u.logger.Warn("answer broke off", "upstream", place.Upstream().ID, "err", err)
		return Broken
	}
	answer.Close(true)
	place.Started(u.Now())
	if u.stream.opened {
		// A stream that was resumed got a failure: nothing can be told any
		// more but that it broke off.
		return Failed
	}
	if success {
		u.writePlain(answer, body)
		u.finish(outcomeAnswered, "upstream", place.Upstream().ID)
		return Answered
	}
	u.failure, u.failureBody = answer, body
	if answer.Status < http.StatusInternalServerError || !u.mayRepeat() {
		u.passFailure()
	}
	return Failed
}

// passFailure tells the caller the last failure of an upstream as it is.
func (u *run) passFailure() {
	u.writePlain(u.failure, u.failureBody)
	u.finish("upstream failure", "status", u.failure.Status)
}

// maxPlainBody bounds an answer that is held as a whole.
const maxPlainBody = 16 << 20

func (u *run) writePlain(answer *exchange.Answer, body []byte) {
	u.Translator.Caller(answer.Header, u.w.Header())
	u.w.WriteHeader(answer.Status)
	if _, err := u.w.Write(body); err != nil {
		u.logger.Info("caller left during the answer", "err", err)
	}
	u.stream.answered = true
}

// mayRepeat tells whether the rules of the route allow one more send after one
// that may have run.
func (u *run) mayRepeat() bool {
	return u.route.Repeatable() && u.sends < u.route.MaxAttempts && !u.stream.answered
}

// settled tells whether the request is over after a send, and writes its last
// answer if none was written.
func (u *run) settled(ctx context.Context, o Outcome) bool {
	if u.stream.answered {
		return true
	}
	if ctx.Err() != nil {
		u.expire(ctx)
		return true
	}
	switch o {
	case Unreached:
		if u.unreached >= unreachedMost {
			u.giveUp("upstreams out of reach")
			return true
		}
		return false
	case Declined:
		if u.sends < u.route.MaxAttempts {
			return false
		}
		u.giveUp("declined by upstreams")
		return true
	case Failed, Broken:
		if u.mayRepeat() {
			return false
		}
		u.giveUp("may have run and may not repeat")
		return true
	}
	return true
}
