// Package load generates seeded caller traffic against running entries: a mix of
// actions whose answer lengths span a factor of 100, with bursts, duplicates and
// retries. It records the outcome that each caller saw.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/upstream/framing"
)

// Action is one kind of request in the traffic mix.
type Action struct {
	Name string
	// Tier is the index of the action's tier, for the report.
	Tier     int
	Weight   float64
	Deadline time.Duration
	// Model is set for chat completions, Method and Path for plain calls.
	Model  string
	Method string
	Path   string
	// MinTokens and MaxTokens bound the answer length of chat completions.
	MinTokens int
	MaxTokens int
	// Keyed actions carry an idempotency key and are retried if they were refused
	// or their outcome is unknown.
	Keyed bool
	// DuplicateShare is the share of keyed requests that are sent twice
	// concurrently, each time through a randomly chosen entry.
	DuplicateShare float64
}

// Plan describes the traffic.
type Plan struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the number of requests per second outside of the burst.
	Rate float64
	// Burst multiplies the rate in the middle fifth of the duration; 0 for no burst.
	Burst      float64
	Actions    []Action
	Workspaces []string
	// PrefixBytes is the length of the system prompt, which the requests of one
	// action in one workspace share.
	PrefixBytes int
}

// Outcome is the result of a request as its caller saw it.
type Outcome string

// The outcomes of a request.
const (
	InTime     Outcome = "in-time"
	Late       Outcome = "late"
	NotRun     Outcome = "not-run"
	MayHaveRun Outcome = "may-have-run"
	// Cut is a request whose connection failed before its answer was complete.
	Cut Outcome = "cut"
	// Wrong is an answer that ended without an error but was incomplete, or that
	// belongs to another request.
	Wrong Outcome = "wrong"
	// Unreached is a request for which no entry could be reached.
	Unreached Outcome = "unreached"
)

// Sample records one request and its outcome.
type Sample struct {
	Action    string
	Tier      int
	Key       string
	Outcome   Outcome
	ErrorType string
	// RequestID is the X-Request-Id of the last attempt's response.
	RequestID string
	// SentAfter is the time from the start of the load to the first attempt.
	SentAfter  time.Duration
	FirstToken time.Duration
	Duration   time.Duration
	Attempts   int
	Tokens     int
	// Fault says what was wrong with a Wrong answer.
	Fault string
}

// Dialer opens connections to entries.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Callers sends the requests of a plan.
type Callers struct {
	plan   Plan
	urls   func() []string
	client *http.Client

	startedAt time.Time

	mu      sync.Mutex
	samples []Sample
	sent    int
}

// New returns callers that send each request to one of the entries that urls
// returns at that moment.
func New(plan Plan, dialer Dialer, urls func() []string) *Callers {
	transport := framing.NewTransport(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256, DisableCompression: true})
	return &Callers{plan: plan, urls: urls, client: &http.Client{Transport: transport}}
}

// StartedAt returns when the load began.
func (c *Callers) StartedAt() time.Time { return c.startedAt }

// Samples returns the requests that have ended so far.
func (c *Callers) Samples() []Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Sample(nil), c.samples...)
}

// Sent returns the number of requests started so far.
func (c *Callers) Sent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// Run sends the requests of the plan and waits until all have ended.
func (c *Callers) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.plan.Seed, 2))
	c.startedAt = time.Now()
	var callers sync.WaitGroup
	for number := 0; ; number++ {
		elapsed := time.Since(c.startedAt)
		if elapsed >= c.plan.Duration || ctx.Err() != nil {
			break
		}
		planned := c.drawRequest(random, number)
		c.mu.Lock()
		c.sent++
		c.mu.Unlock()
		callers.Go(func() { c.sendRequest(ctx, planned) })
		gap := random.ExpFloat64() / (c.plan.Rate * c.plan.rateFactor(elapsed))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(gap * float64(time.Second))):
		}
	}
	callers.Wait()
	c.client.CloseIdleConnections()
}

// rateFactor returns the multiplier of the rate: Burst in the middle fifth of the
// duration, 1 otherwise.
func (p Plan) rateFactor(elapsed time.Duration) float64 {
	fraction := float64(elapsed) / float64(p.Duration)
	if p.Burst > 0 && fraction >= 0.4 && fraction < 0.6 {
		return p.Burst
	}
	return 1
}

// plannedRequest is a request drawn from the plan.
type plannedRequest struct {
	action    Action
	workspace string
	marker    string
	tokens    int
	duplicate bool
	random    *rand.Rand
}

func (c *Callers) drawRequest(random *rand.Rand, number int) plannedRequest {
	total := 0.0
	for _, a := range c.plan.Actions {
		total += a.Weight
	}
	remaining := random.Float64() * total
	chosen := c.plan.Actions[len(c.plan.Actions)-1]
	for _, a := range c.plan.Actions {
		if remaining < a.Weight {
			chosen = a
			break
		}
		remaining -= a.Weight
	}
	// Squaring the uniform variate prefers the workspaces at the head of the list.
	position := random.Float64()
	workspace := c.plan.Workspaces[int(position*position*float64(len(c.plan.Workspaces)))]
	tokens := chosen.MinTokens
	if chosen.MaxTokens > chosen.MinTokens {
		tokens += random.IntN(chosen.MaxTokens - chosen.MinTokens)
	}
	return plannedRequest{
		action: chosen, workspace: workspace, marker: fmt.Sprintf("s%d-n%d", c.plan.Seed, number), tokens: tokens,
		duplicate: chosen.Keyed && random.Float64() < chosen.DuplicateShare, random: rand.New(rand.NewPCG(c.plan.Seed, uint64(number))),
	}
}

func (c *Callers) sendRequest(ctx context.Context, planned plannedRequest) {
	var sends sync.WaitGroup
	if planned.duplicate {
		duplicate := planned
		duplicate.random = rand.New(rand.NewPCG(c.plan.Seed+1, uint64(len(planned.marker))))
		sends.Go(func() { c.record(c.sendWithRetries(ctx, duplicate)) })
	}
	c.record(c.sendWithRetries(ctx, planned))
	sends.Wait()
}

func (c *Callers) record(s Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples = append(c.samples, s)
}

const (
	// maxAttempts bounds the attempts of one keyed request.
	maxAttempts = 6
	// retryInterval is the minimum delay between attempts.
	retryInterval = 300 * time.Millisecond
	// attemptTimeout bounds one attempt.
	attemptTimeout = 90 * time.Second
)

// sendWithRetries sends a request. A keyed request is retried until it is answered,
// which its idempotency key makes safe.
func (c *Callers) sendWithRetries(ctx context.Context, planned plannedRequest) Sample {
	startedAt := time.Now()
	var s Sample
	sentAfter := startedAt.Sub(c.startedAt)
	for attempt := 1; ; attempt++ {
		var retryAfter time.Duration
		s, retryAfter = c.send(ctx, planned)
		s.Attempts, s.Duration, s.SentAfter = attempt, time.Since(startedAt), sentAfter
		retryable := s.Outcome == NotRun || s.Outcome == MayHaveRun || s.Outcome == Cut || s.Outcome == Unreached
		if !retryable || !planned.action.Keyed || attempt == maxAttempts || ctx.Err() != nil {
			break
		}
		time.Sleep(min(max(retryAfter, retryInterval), time.Second))
	}
	if s.Outcome == InTime && s.Duration > planned.action.Deadline {
		s.Outcome = Late
	}
	return s
}

func (c *Callers) send(ctx context.Context, planned plannedRequest) (Sample, time.Duration) {
	s := Sample{Action: planned.action.Name, Tier: planned.action.Tier, Key: planned.key(), Outcome: Unreached}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	urls := c.urls()
	if len(urls) == 0 {
		return s, 0
	}
	request, err := c.newHTTPRequest(ctx, urls[planned.random.IntN(len(urls))], planned)
	if err != nil {
		return s, 0
	}
	startedAt := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		s.Outcome = c.classifyError(err)
		return s, 0
	}
	defer func() { _ = response.Body.Close() }()
	s.RequestID = response.Header.Get("X-Request-Id")
	if response.StatusCode >= http.StatusBadRequest {
		return c.readRefusal(s, response)
	}
	c.readResponse(&s, startedAt, response, planned)
	return s, 0
}

// classifyError distinguishes a refused connection from one that broke.
func (c *Callers) classifyError(err error) Outcome {
	if strings.Contains(err.Error(), "connection refused") {
		return Unreached
	}
	return Cut
}

func (c *Callers) readRefusal(s Sample, response *http.Response) (Sample, time.Duration) {
	var body struct {
		Error struct {
			Type         string `json:"type"`
			Ran          string `json:"ran"`
			RetryAfterMS int64  `json:"retry-after-ms"`
		} `json:"error"`
	}
	s.Outcome = MayHaveRun
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		s.ErrorType = "unreadable"
		return s, 0
	}
	s.ErrorType = body.Error.Type
	if body.Error.Ran == "not-run" {
		s.Outcome = NotRun
	}
	return s, time.Duration(body.Error.RetryAfterMS) * time.Millisecond
}

func (c *Callers) newHTTPRequest(ctx context.Context, url string, planned plannedRequest) (*http.Request, error) {
	method, path, body := planned.action.Method, planned.action.Path, []byte(fmt.Sprintf(`{"mark":%q}`, planned.marker))
	if planned.action.Model != "" {
		method, path, body = http.MethodPost, "/v1/chat/completions", planned.chatBody(c.plan.PrefixBytes)
	}
	request, err := http.NewRequestWithContext(ctx, method, url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("X-Workspace", planned.workspace)
	request.Header.Set("X-Deadline", planned.action.Deadline.String())
	if planned.action.Keyed {
		request.Header.Set("Idempotency-Key", planned.key())
	}
	return request, nil
}

func (p plannedRequest) key() string { return "k-" + p.marker }

type chatCompletion struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody returns a chat completion whose system prompt is the same for all
// requests of the action in the workspace.
func (p plannedRequest) chatBody(prefixBytes int) []byte {
	systemPrompt := p.workspace + " " + p.action.Name + " "
	systemPrompt += strings.Repeat("x", max(prefixBytes-len(systemPrompt), 0))
	raw, err := json.Marshal(chatCompletion{Model: p.action.Model, Stream: true, Messages: []chatMessage{
		{Role: "system", Content: systemPrompt},
		{Role: "user", Content: fmt.Sprintf("[length=%d] [mark=%s]", p.tokens, p.marker)},
	}})
	if err != nil {
		return nil
	}
	return raw
}

// readResponse reads the answer and checks that it is complete and belongs to this
// request.
func (c *Callers) readResponse(s *Sample, startedAt time.Time, response *http.Response, planned plannedRequest) {
	if planned.action.Model == "" {
		s.Outcome, s.Fault = readPlain(response.Body, planned)
		s.FirstToken = time.Since(startedAt)
		return
	}
	readStream(s, startedAt, response.Body, planned)
}

// readStream checks complete lines only. An upstream that crashes while it writes
// an event leaves a partial line before the connection error; the outcome is then
// Cut, which the caller notices, and not Wrong.
func readStream(s *Sample, startedAt time.Time, body io.Reader, planned plannedRequest) {
	s.Outcome = Wrong
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			if s.Outcome == Wrong {
				s.Fault = fmt.Sprintf("ended without error after %d of %d tokens", s.Tokens, planned.tokens)
			}
			return
		}
		if err != nil {
			if s.Outcome != InTime {
				s.Outcome = Cut
			}
			return
		}
		if !planned.checkLine(s, startedAt, strings.TrimRight(line, "\r\n")) {
			return
		}
	}
}

// checkLine processes one line of a stream. It returns false if the line belongs to
// another request's answer or is out of sequence.
func (p plannedRequest) checkLine(s *Sample, startedAt time.Time, line string) bool {
	if !strings.HasPrefix(line, "data: ") {
		return true
	}
	if line == "data: [DONE]" {
		if s.Tokens == p.tokens {
			s.Outcome = InTime
		}
		return true
	}
	if s.Tokens == 0 {
		s.FirstToken = time.Since(startedAt)
	}
	if !strings.Contains(line, fmt.Sprintf("%s:%d ", p.marker, s.Tokens)) {
		s.Fault = fmt.Sprintf("token %d of %s expected, got %q", s.Tokens, p.marker, line)
		return false
	}
	s.Tokens++
	return true
}

func readPlain(body io.Reader, planned plannedRequest) (outcome Outcome, fault string) {
	content, err := io.ReadAll(body)
	matchesKey := !planned.action.Keyed || strings.Contains(string(content), planned.key())
	switch {
	case err != nil:
		return Cut, ""
	case len(content) == 0 || !matchesKey:
		return Wrong, fmt.Sprintf("answer to %s expected, got %q", planned.key(), content)
	}
	return InTime, ""
}
