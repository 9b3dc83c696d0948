// Package engine is a stand-in of a streaming model engine for tests and
// trials: it batches continuously, caches prompt prefixes in limited memory,
// knows no priorities, admits whatever comes, reports its load with a lag,
// and can be told to fail, slow down, die or fall silent.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Settings is the engine's nature.
type Settings struct {
	// TokenGap is the time of one token when a single request runs.
	TokenGap time.Duration
	// Knee is the number of running requests at which the gap has doubled.
	Knee int
	// PrefillRate is prompt tokens a second, one prompt at a time.
	PrefillRate int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// RestartAfter is how long the engine is down after it died.
	RestartAfter time.Duration
	// Seed decides which requests fail.
	Seed uint64
	// Listen opens the listener again after a death; the machine's own network
	// if nil.
	Listen func(address string) (net.Listener, error)
}

// Faults is what goes wrong.
type Faults struct {
	// CrashOn makes the engine die when a body holds the text.
	CrashOn string `json:"crash-on"`
	// FailShare is the share of requests answered with status 500.
	FailShare float64 `json:"fail-share"`
	// FailWhenRunning fails requests only while at least so many run.
	FailWhenRunning int `json:"fail-when-running"`
	// FailBody limits FailShare and Slow to bodies that hold the text.
	FailBody string `json:"fail-body"`
	// Slow multiplies the gap between tokens.
	Slow float64 `json:"slow"`
	// Silent makes requests that arrive, and streams that run, hang for good;
	// nothing is closed.
	Silent bool `json:"silent"`
}

// Engine is one stand-in.
type Engine struct {
	settings Settings
	ledger   *Ledger
	address  string

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	cache    *cache
	running  int
	server   *http.Server
	closed   bool
	runs     map[string]int
	crashes  int
	tokens   int
	reported Load
	reportAt time.Time
	fence    uint64
	version  string

	prefill chan struct{}
	wg      sync.WaitGroup
}

// Load is the engine's report.
type Load struct {
	Running int `json:"running"`
	Cached  int `json:"cached-tokens"`
}

// New starts an engine on the listener. A ledger may be nil.
func New(listener net.Listener, settings Settings, ledger *Ledger) *Engine {
	e := &Engine{
		settings: settings, ledger: ledger, address: listener.Addr().String(),
		random: rand.New(rand.NewPCG(settings.Seed, 1)), cache: newCache(settings.CacheTokens),
		runs: make(map[string]int), prefill: make(chan struct{}, 1),
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

// Crashes returns how often the engine died.
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

// Runs returns how often each request id was run.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		copied[id] = n
	}
	return copied
}

// Close stops the engine and waits.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.closed = true
	server := e.server
	e.mu.Unlock()
	err := server.Close()
	e.wg.Wait()
	return err
}

// Die ends all connections at once; the engine comes back after RestartAfter.
func (e *Engine) Die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	server := e.server
	gone := e.cache.clear()
	if e.ledger != nil {
		e.ledger.lost(gone)
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
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("POST /orders", e.order)
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
		http.Error(w, "faults are a JSON object; see Faults", http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

// load reports with a lag.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	if now.Sub(e.reportAt) > e.settings.LoadLag {
		e.reported, e.reportAt = Load{Running: e.running, Cached: e.cache.used}, now
	}
	report := e.reported
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// Order is what an engine is told to do.
type Order struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"`
}

// order refuses an old fencing number.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "an order is JSON with fence and version", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		http.Error(w, "an order with a higher fencing number was seen", http.StatusConflict)
		return
	}
	e.fence, e.version = o.Fence, o.Version
}

// prompt is what the stand-in reads of a body.
type prompt struct {
	body         string
	prefix       uint64
	prefixTokens int
	ownTokens    int
	length       int
	mark         string
	stream       bool
}

// A prompt may say how long its answer shall be, and a mark that every token
// of the answer repeats, so that crossed answers show.
var (
	lengthMark = regexp.MustCompile(`\[length=(\d+)\]`)
	ownMark    = regexp.MustCompile(`\[mark=([a-z0-9-]+)\]`)
)

const (
	bytesPerToken = 4
	defaultLength = 50
)

func readPrompt(body []byte) (prompt, error) {
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
	p := prompt{body: string(body), length: defaultLength, stream: doc.Stream}
	for _, m := range doc.Messages {
		if m.Role == "system" {
			h := fnv.New64a()
			_, _ = h.Write([]byte(m.Content))
			p.prefix, p.prefixTokens = h.Sum64(), len(m.Content)/bytesPerToken
			continue
		}
		p.ownTokens += len(m.Content) / bytesPerToken
		if mark := lengthMark.FindStringSubmatch(m.Content); mark != nil {
			p.length, _ = strconv.Atoi(mark[1])
		}
		if mark := ownMark.FindStringSubmatch(m.Content); mark != nil {
			p.mark = mark[1]
		}
	}
	return p, nil
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p, err := readPrompt(body)
	if err != nil {
		http.Error(w, "not a chat completion", http.StatusBadRequest)
		return
	}
	fail := e.begin(r.Header.Get("X-Request-Id"), p)
	defer e.end()
	if fail {
		http.Error(w, "the engine failed", http.StatusInternalServerError)
		return
	}
	computed, err := e.fill(r.Context(), p)
	if err == nil {
		err = e.decode(r.Context(), w, p)
	}
	if err != nil && e.ledger != nil {
		e.ledger.cut(computed)
	}
}

// begin counts the run and tells whether it shall fail.
func (e *Engine) begin(id string, p prompt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.runs[id]++
	if e.faults.CrashOn != "" && strings.Contains(p.body, e.faults.CrashOn) {
		e.wg.Go(func() {
			time.Sleep(2 * e.settings.TokenGap)
			e.Die()
		})
	}
	concerned := strings.Contains(p.body, e.faults.FailBody) && e.running >= e.faults.FailWhenRunning
	return concerned && e.random.Float64() < e.faults.FailShare
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// fill computes the prompt, one prompt at a time, less what the cache holds.
func (e *Engine) fill(ctx context.Context, p prompt) (int, error) {
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
	if e.ledger != nil {
		e.ledger.computed(p, prefixTokens, evicted)
	}
	tokens := prefixTokens + p.ownTokens
	select {
	case e.prefill <- struct{}{}:
	case <-ctx.Done():
		return tokens, ctx.Err()
	}
	defer func() { <-e.prefill }()
	return tokens, pause(ctx, time.Duration(tokens)*time.Second/time.Duration(e.settings.PrefillRate))
}

func (e *Engine) gap(p prompt) time.Duration {
	// silence is longer than anyone waits.
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

// decode streams the answer as server-sent events, or returns it whole.
func (e *Engine) decode(ctx context.Context, w http.ResponseWriter, p prompt) error {
	if !p.stream {
		var text strings.Builder
		for i := range p.length {
			if err := pause(ctx, e.gap(p)); err != nil {
				return err
			}
			fmt.Fprintf(&text, "%s:%d ", p.mark, i)
		}
		w.Header().Set("Content-Type", "application/json")
		_, err := fmt.Fprintf(w, `{"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}]}`, text.String())
		return err
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, ok := w.(http.Flusher)
	if !ok {
		return errors.New("no flusher")
	}
	for i := range p.length {
		if err := pause(ctx, e.gap(p)); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s:%d \"}}]}\n\n", p.mark, i); err != nil {
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

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
