// Package engine is a stand-in for a streaming model engine, for tests and trials.
// It models continuous batching and a prompt-prefix cache of limited size, has no
// priorities or admission control, reports its load with a lag, and can be made to
// fail, slow down, crash or fall silent.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Settings are the performance characteristics of an engine.
type Settings struct {
	// TokenGap is the time between tokens while a single request runs.
	TokenGap time.Duration
	// Knee determines how the gap between tokens grows: it is TokenGap more for
	// each Knee further requests that run.
	Knee int
	// PrefillRate is the number of prompt tokens computed per second. Prompts are
	// computed one at a time.
	PrefillRate int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// LoadLag is the maximum age of the load report.
	LoadLag time.Duration
	// RestartAfter is the downtime after a crash.
	RestartAfter time.Duration
	// Seed determines which requests fail.
	Seed uint64
	// Listen reopens the listener after a crash. If nil, net.Listen is used.
	Listen func(address string) (net.Listener, error)
}

// Faults are the faults to inject.
type Faults struct {
	// CrashOn makes the engine crash when it runs a request whose body contains the
	// text.
	CrashOn string `json:"crash-on"`
	// FailShare is the share of requests answered with status 500.
	FailShare float64 `json:"fail-share"`
	// FailWhenRunning limits FailShare to times at which at least this many
	// requests run.
	FailWhenRunning int `json:"fail-when-running"`
	// FailBody limits FailShare and Slow to requests whose body contains the text.
	FailBody string `json:"fail-body"`
	// Slow multiplies the gap between tokens.
	Slow float64 `json:"slow"`
	// Silent makes new requests and running streams hang without closing their
	// connections.
	Silent bool `json:"silent"`
}

// Engine is one stand-in engine.
type Engine struct {
	settings       Settings
	prefillCounter *PrefillCounter
	address        string

	mu         sync.Mutex
	random     *rand.Rand
	faults     Faults
	cache      *cache
	running    int
	server     *http.Server
	closed     bool
	runs       map[string][]time.Time
	crashes    int
	tokens     int
	reported   Load
	reportedAt time.Time
	fence      uint64
	version    string

	prefillSlot chan struct{}
	wg          sync.WaitGroup
}

// Load is the engine's load report.
type Load struct {
	Running int `json:"running"`
	Cached  int `json:"cached-tokens"`
}

// New starts an engine on the listener. The prefill counter may be nil.
func New(listener net.Listener, settings Settings, prefillCounter *PrefillCounter) *Engine {
	e := &Engine{
		settings: settings, prefillCounter: prefillCounter, address: listener.Addr().String(),
		random: rand.New(rand.NewPCG(settings.Seed, 1)), cache: newCache(settings.CacheTokens),
		runs: make(map[string][]time.Time), prefillSlot: make(chan struct{}, 1),
	}
	e.serve(listener)
	return e
}

// Addr returns the address served.
func (e *Engine) Addr() string { return e.address }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Tokens returns the number of tokens streamed so far.
func (e *Engine) Tokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// Runs returns the number of runs by request ID.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int, len(e.runs))
	for id, runs := range e.runs {
		counts[id] = len(runs)
	}
	return counts
}

// RunTimes returns when the runs of each request began, by request ID.
func (e *Engine) RunTimes() map[string][]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

// Close stops the engine and waits until its goroutines have ended.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.closed = true
	server := e.server
	e.mu.Unlock()
	err := server.Close()
	e.wg.Wait()
	return err
}

// Crash closes all connections and clears the cache; the engine restarts after
// RestartAfter.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	server := e.server
	evicted := e.cache.clear()
	if e.prefillCounter != nil {
		e.prefillCounter.recordEvicted(evicted)
	}
	e.wg.Go(func() {
		_ = server.Close()
		time.Sleep(e.settings.RestartAfter)
		e.restart()
	})
}

func (e *Engine) restart() {
	e.mu.Lock()
	closed := e.closed
	e.mu.Unlock()
	if closed {
		return
	}
	listen := e.settings.Listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	listener, err := listen(e.address)
	if err == nil {
		e.serve(listener)
	}
}

func (e *Engine) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /orders", e.applyOrder)
	mux.HandleFunc("PUT /stand-in/faults", e.putFaults)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	e.wg.Go(func() { _ = server.Serve(listener) })
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "faults must be a JSON object", http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

// serveLoad returns the load report, which is up to LoadLag old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	if now.Sub(e.reportedAt) > e.settings.LoadLag {
		e.reported, e.reportedAt = Load{Running: e.running, Cached: e.cache.used}, now
	}
	report := e.reported
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// Order tells an engine which version to run.
type Order struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"`
}

// applyOrder applies an order unless one with a higher fencing number was applied.
func (e *Engine) applyOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "order must be a JSON object with fence and version", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		http.Error(w, "an order with a higher fencing number was applied", http.StatusConflict)
		return
	}
	e.fence, e.version = o.Fence, o.Version
}

// prompt holds what the stand-in needs to know of a request body.
type prompt struct {
	body         string
	prefix       uint64
	prefixTokens int
	ownTokens    int
	answerTokens int
	marker       string
	stream       bool
}

// A prompt may specify the length of its answer, and a marker that is repeated in
// every token of the answer, so that callers can detect another request's answer.
var (
	lengthPattern = regexp.MustCompile(`\[length=(\d+)\]`)
	markerPattern = regexp.MustCompile(`\[mark=([a-z0-9-]+)\]`)
)

const (
	bytesPerToken       = 4
	defaultAnswerTokens = 50
)

func parsePrompt(body []byte) (prompt, error) {
	var doc struct {
		Stream   bool `json:"stream"`
		Messages []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		return prompt{}, err
	}
	p := prompt{body: string(body), answerTokens: defaultAnswerTokens, stream: doc.Stream}
	for _, m := range doc.Messages {
		if m.Role == "system" {
			h := fnv.New64a()
			_, _ = h.Write([]byte(m.Content))
			p.prefix, p.prefixTokens = h.Sum64(), len(m.Content)/bytesPerToken
			continue
		}
		p.ownTokens += len(m.Content) / bytesPerToken
		if match := lengthPattern.FindStringSubmatch(m.Content); match != nil {
			p.answerTokens, _ = strconv.Atoi(match[1])
		}
		if match := markerPattern.FindStringSubmatch(m.Content); match != nil {
			p.marker = match[1]
		}
	}
	return p, nil
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	p, err := parsePrompt(body)
	if err != nil {
		http.Error(w, "body is not a chat completion", http.StatusBadRequest)
		return
	}
	fail := e.startRun(r.Header.Get("X-Request-Id"), p)
	defer e.endRun()
	if fail {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	prefillTokens, err := e.computePrefill(r.Context(), p)
	if err == nil {
		err = e.decode(r.Context(), w, p)
	}
	if err == nil {
		return
	}
	if e.prefillCounter != nil {
		e.prefillCounter.recordAborted(prefillTokens)
	}
	// A handler that returns ends the answer as if it were complete.
	panic(http.ErrAbortHandler)
}

// startRun counts the run and reports whether it is to fail.
func (e *Engine) startRun(id string, p prompt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.runs[id] = append(e.runs[id], time.Now())
	if e.faults.CrashOn != "" && strings.Contains(p.body, e.faults.CrashOn) {
		e.wg.Go(func() {
			time.Sleep(2 * e.settings.TokenGap)
			e.Crash()
		})
	}
	affected := strings.Contains(p.body, e.faults.FailBody) && e.running >= e.faults.FailWhenRunning
	return affected && e.random.Float64() < e.faults.FailShare
}

func (e *Engine) endRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// computePrefill takes the time of the prefill of a prompt, without its prefix if
// that is cached. It returns the number of tokens computed.
func (e *Engine) computePrefill(ctx context.Context, p prompt) (int, error) {
	e.mu.Lock()
	hit, evicted := true, []uint64(nil)
	if p.prefixTokens > 0 {
		hit, evicted = e.cache.use(p.prefix, p.prefixTokens)
	}
	e.mu.Unlock()
	prefixTokens := p.prefixTokens
	if hit {
		prefixTokens = 0
	}
	if e.prefillCounter != nil {
		e.prefillCounter.recordPrefill(p, prefixTokens, evicted)
	}
	tokens := prefixTokens + p.ownTokens
	select {
	case e.prefillSlot <- struct{}{}:
	case <-ctx.Done():
		return tokens, ctx.Err()
	}
	defer func() { <-e.prefillSlot }()
	return tokens, sleep(ctx, time.Duration(tokens)*time.Second/time.Duration(e.settings.PrefillRate))
}

func (e *Engine) tokenGap(p prompt) time.Duration {
	// silence exceeds every timeout.
	const silence = 24 * time.Hour
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Silent {
		return silence
	}
	gap := float64(e.settings.TokenGap) * (1 + float64(e.running-1)/float64(e.settings.Knee))
	if e.faults.Slow > 0 && strings.Contains(p.body, e.faults.FailBody) {
		gap *= e.faults.Slow
	}
	return time.Duration(gap)
}

// decode writes the answer, as server-sent events if the request asks for a stream.
func (e *Engine) decode(ctx context.Context, w http.ResponseWriter, p prompt) error {
	if !p.stream {
		var text strings.Builder
		for i := range p.answerTokens {
			if err := sleep(ctx, e.tokenGap(p)); err != nil {
				return err
			}
			fmt.Fprintf(&text, "%s:%d ", p.marker, i)
		}
		w.Header().Set("Content-Type", "application/json")
		_, err := fmt.Fprintf(w, `{"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}]}`, text.String())
		return err
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, ok := w.(http.Flusher)
	if !ok {
		return errors.New("response writer does not support flushing")
	}
	for i := range p.answerTokens {
		if err := sleep(ctx, e.tokenGap(p)); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s:%d \"}}]}\n\n", p.marker, i); err != nil {
			return err
		}
		flusher.Flush()
		e.mu.Lock()
		e.tokens++
		e.mu.Unlock()
	}
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
