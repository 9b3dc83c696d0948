package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/standin/engine"
	"github.com/persimmonridge/persimmonridge/internal/trial/fleet"
)

const (
	// settle is how long a load runs before it is measured, and window how
	// long it is.
	settle = 500 * time.Millisecond
	window = 3 * time.Second
	// streamGap is the gap between a stream's tokens: 200 tokens a second.
	streamGap = 5 * time.Millisecond
	// manyTokens keeps a stream going for longer than any measurement.
	manyTokens = 100000
)

// roles is one entry with agents and stand-ins, for measuring.
type roles struct {
	site    *fleet.Fleet
	engines []string
	client  *http.Client
}

func newRoles(upstreams int) (*roles, error) {
	shape, err := fleet.ShapeOf(examples.CairoInventory, examples.CairoRules, 1)
	if err != nil {
		return nil, err
	}
	shape.Entries = 1
	shape.Engines = shape.Engines[:upstreams]
	for i := range shape.Engines {
		e := &shape.Engines[i]
		e.Settings = engine.Settings{TokenGap: streamGap, Knee: 1 << 30, PrefillRate: 1 << 30, CacheTokens: 1 << 30, RestartAfter: time.Second}
		e.Limit, e.MaxLimit, e.TokenGap = 512, 512, time.Second
	}
	site, err := fleet.New(shape, quiet, invariant.New(quiet))
	if err != nil {
		return nil, err
	}
	r := &roles{site: site, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}}
	for i := range upstreams {
		r.engines = append(r.engines, "http://"+site.Engine(shape.Engines[i].Name).Addr())
	}
	return r, nil
}

func (r *roles) close() {
	r.client.CloseIdleConnections()
	_ = r.site.Close()
}

// target returns where the i-th request goes.
func (r *roles) target(direct bool, i int) string {
	if direct {
		return r.engines[i%len(r.engines)]
	}
	return r.site.URLs()[0]
}

// ask sends one chat and returns the time to the first byte.
func (r *roles) ask(ctx context.Context, url string, tokens int) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":"tutor/critique","stream":true,"messages":[{"role":"user","content":"[length=%d]"}]}`, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Workspace", "front-desk")
	request.Header.Set("X-Deadline", "5m")
	started := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		return 0, err
	}
	took := time.Since(started)
	_, err = io.Copy(io.Discard, response.Body)
	return took, err
}

// streams measures the processor time of so many streams for a window.
func (r *roles) streams(direct bool, count int) time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() { _, _ = r.ask(ctx, r.target(direct, i), manyTokens) })
	}
	time.Sleep(settle)
	before := cpu()
	time.Sleep(window)
	used := cpu() - before
	cancel()
	running.Wait()
	time.Sleep(settle)
	return used
}

// requests measures the processor time of short requests at a rate.
func (r *roles) requests(direct bool, rate int) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), window)
	defer cancel()
	var running sync.WaitGroup
	before := cpu()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		running.Go(func() { _, _ = r.ask(context.Background(), r.target(direct, i), 1) })
		<-ticker.C
	}
	running.Wait()
	return cpu() - before
}

// tokenCost is the processor time that entry and agent add to streamed tokens.
func tokenCost() (Slope, error) {
	r, err := newRoles(8)
	if err != nil {
		return Slope{}, err
	}
	defer r.close()
	var points []Point
	for _, count := range []int{10, 25, 60, 100} {
		added := r.streams(false, count) - r.streams(true, count)
		rate := float64(count) * float64(time.Second/streamGap)
		points = append(points, Point{rate, added.Seconds() / window.Seconds() * 100})
	}
	return Fit("entry and agent: streamed tokens", "tokens a second", "% of a core", points), nil
}

// requestCost is the processor time that entry and agent add to requests.
func requestCost() (Slope, error) {
	r, err := newRoles(8)
	if err != nil {
		return Slope{}, err
	}
	defer r.close()
	var points []Point
	for _, rate := range []int{50, 200, 1000, 2000} {
		added := r.requests(false, rate) - r.requests(true, rate)
		points = append(points, Point{float64(rate), added.Seconds() / window.Seconds() * 100})
	}
	return Fit("entry and agent: short requests", "requests a second", "% of a core", points), nil
}

// Latency is the time to the first byte, directly and through the roles.
type Latency struct {
	Direct  Quantiles `json:"direct"`
	Through Quantiles `json:"through"`
	// Allocations are those of the whole process a request, stand-in and caller
	// included, directly and through the roles.
	DirectAllocations  float64 `json:"direct-allocations"`
	ThroughAllocations float64 `json:"through-allocations"`
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50-ms"`
	P99 float64 `json:"p99-ms"`
}

// MeasureLatency compares both ways side by side, request by request.
func MeasureLatency(requests int) (Latency, error) {
	r, err := newRoles(4)
	if err != nil {
		return Latency{}, err
	}
	defer r.close()
	var l Latency
	var times [2]*hdrhistogram.Histogram
	var allocations [2]float64
	for way := range times {
		times[way] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	for i := range requests {
		for way, direct := range []bool{true, false} {
			before := mallocs()
			took, err := r.ask(context.Background(), r.target(direct, i), 1)
			if err != nil {
				return Latency{}, err
			}
			allocations[way] += mallocs() - before
			_ = times[way].RecordValue(took.Microseconds())
		}
	}
	l.Direct, l.Through = quantiles(times[0]), quantiles(times[1])
	l.DirectAllocations, l.ThroughAllocations = allocations[0]/float64(requests), allocations[1]/float64(requests)
	return l, nil
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microPerMilli = 1000
	return Quantiles{P50: float64(h.ValueAtQuantile(50)) / microPerMilli, P99: float64(h.ValueAtQuantile(99)) / microPerMilli}
}
