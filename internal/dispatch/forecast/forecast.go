// Package forecast predicts the length of an answer before it is generated.
// Lengths vary by a factor of 100, so it tracks quantiles by workspace and action
// instead of a mean. Old samples expire, and a route without enough samples falls
// back to those of its action, then to a conservative default.
package forecast

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minTokens and maxTokens bound the recorded lengths.
	minTokens = 1
	maxTokens = 1 << 17
	// significantDigits is the precision of a histogram; 1 keeps it at a few
	// kilobytes.
	significantDigits = 1
	// minSamples is the number of samples from which quantiles of a histogram are
	// used.
	minSamples = 8
	// generationSamples is the number of samples after which a new histogram is
	// started. The previous one is used until the new one has minSamples.
	generationSamples = 256
	// maxRoutes bounds the number of routes; the least recently used is evicted.
	maxRoutes = 2048
	// DefaultTokens is the forecast without samples.
	DefaultTokens = 60
)

// Route identifies a group of answers of similar length.
type Route struct {
	workspace string
	action    string
}

// NewRoute returns a route.
func NewRoute(workspace, action string) Route { return Route{workspace: workspace, action: action} }

// Forecast records answer lengths by route. It is safe for concurrent use.
type Forecast struct {
	mu     sync.Mutex
	routes map[Route]*history
}

// history holds two generations of samples.
type history struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	lastUsed time.Time
}

// New returns a forecast without samples.
func New() *Forecast { return &Forecast{routes: make(map[Route]*history)} }

// Observe records the length of a finished answer, in tokens.
func (f *Forecast) Observe(now time.Time, route Route, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record(now, route, tokens)
	f.record(now, Route{action: route.action}, tokens)
}

func (f *Forecast) record(now time.Time, route Route, tokens int) {
	h := f.routes[route]
	if h == nil {
		f.evictIfFull()
		h = &history{current: newHistogram()}
		f.routes[route] = h
	}
	h.lastUsed = now
	if h.current.TotalCount() >= generationSamples {
		h.previous, h.current = h.current, newHistogram()
	}
	_ = h.current.RecordValue(int64(min(max(tokens, minTokens), maxTokens)))
}

func (f *Forecast) evictIfFull() {
	if len(f.routes) < maxRoutes {
		return
	}
	var oldest Route
	var oldestUse time.Time
	for route, h := range f.routes {
		if oldestUse.IsZero() || h.lastUsed.Before(oldestUse) {
			oldest, oldestUse = route, h.lastUsed
		}
	}
	delete(f.routes, oldest)
}

// Quantile returns the q-quantile of the route's answer lengths, in tokens, with
// q from 0 to 1.
func (f *Forecast) Quantile(route Route, q float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, source := range []Route{route, {action: route.action}} {
		if tokens, ok := f.routes[source].quantile(q); ok {
			return tokens
		}
	}
	return DefaultTokens
}

// Remaining returns the expected number of remaining tokens after some have been
// generated: the median of the longer answers minus those, at least 1.
func (f *Forecast) Remaining(route Route, generated int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, source := range []Route{route, {action: route.action}} {
		h := f.routes[source]
		if _, ok := h.quantile(0.5); !ok {
			continue
		}
		return max(h.medianAbove(generated)-generated, 1)
	}
	return max(DefaultTokens-generated, DefaultTokens/10)
}

// Len returns the number of tracked routes.
func (f *Forecast) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.routes)
}

func (h *history) quantile(q float64) (int, bool) {
	if h == nil {
		return 0, false
	}
	histogram := h.current
	if histogram.TotalCount() < minSamples {
		histogram = h.previous
	}
	if histogram == nil || histogram.TotalCount() < minSamples {
		return 0, false
	}
	return int(histogram.ValueAtQuantile(q * 100)), true
}

// medianAbove returns the median of the samples above tokens, or 1.5 times tokens
// if there are none.
func (h *history) medianAbove(tokens int) int {
	histogram := h.current
	if histogram.TotalCount() < minSamples {
		histogram = h.previous
	}
	var below int64
	for _, bucket := range histogram.Distribution() {
		if bucket.To <= int64(tokens) {
			below += bucket.Count
		}
	}
	total := histogram.TotalCount()
	if below >= total {
		return tokens + tokens/2
	}
	share := float64(below) / float64(total)
	return int(histogram.ValueAtQuantile((share + (1-share)/2) * 100))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minTokens, maxTokens, significantDigits)
}
