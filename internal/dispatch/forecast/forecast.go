// Package forecast predicts how long an answer will be before it exists.
// Lengths vary a hundredfold, so it keeps quantiles by workspace and action
// and never a mean alone; old samples fade, and a route without samples
// borrows from its action, then from a cautious default.
package forecast

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestTokens and highestTokens bound what is distinguished.
	lowestTokens  = 1
	highestTokens = 1 << 17
	// digits of precision keep a histogram at a few kilobytes.
	digits = 1
	// enough samples make a route's own quantiles trusted.
	enough = 8
	// halfLife is the number of samples after which a histogram starts anew,
	// with the previous one kept beside it: old behavior fades.
	halfLife = 256
	// maxRoutes bounds the state; the least recently used goes.
	maxRoutes = 2048
	// DefaultTokens is the forecast when nothing is known.
	DefaultTokens = 60
)

// Route names whose lengths are alike.
type Route struct {
	workspace string
	action    string
}

// NewRoute returns a route.
func NewRoute(workspace, action string) Route { return Route{workspace: workspace, action: action} }

// Forecast holds learned lengths. It is safe for concurrent use.
type Forecast struct {
	mu     sync.Mutex
	routes map[Route]*history
}

// history is two generations of samples.
type history struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	used     time.Time
}

// New returns a forecast without samples.
func New() *Forecast { return &Forecast{routes: make(map[Route]*history)} }

// Observe takes the length of a finished answer, in tokens.
func (f *Forecast) Observe(now time.Time, route Route, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record(now, route, tokens)
	f.record(now, Route{action: route.action}, tokens)
}

func (f *Forecast) record(now time.Time, route Route, tokens int) {
	h := f.routes[route]
	if h == nil {
		f.makeRoom()
		h = &history{current: newHistogram()}
		f.routes[route] = h
	}
	h.used = now
	if h.current.TotalCount() >= halfLife {
		h.previous, h.current = h.current, newHistogram()
	}
	_ = h.current.RecordValue(int64(min(max(tokens, lowestTokens), highestTokens)))
}

func (f *Forecast) makeRoom() {
	if len(f.routes) < maxRoutes {
		return
	}
	var oldest Route
	var at time.Time
	for route, h := range f.routes {
		if at.IsZero() || h.used.Before(at) {
			oldest, at = route, h.used
		}
	}
	delete(f.routes, oldest)
}

// Quantile returns the length below which a share q of the route's answers
// stay, in tokens.
func (f *Forecast) Quantile(route Route, q float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, known := range []Route{route, {action: route.action}} {
		if tokens, ok := f.routes[known].quantile(q); ok {
			return tokens
		}
	}
	return DefaultTokens
}

// Remaining returns the expected tokens still to come after so many: what the
// median of the longer answers leaves, at least one.
func (f *Forecast) Remaining(route Route, sofar int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, known := range []Route{route, {action: route.action}} {
		h := f.routes[known]
		if _, ok := h.quantile(0.5); !ok {
			continue
		}
		return max(h.medianAbove(sofar)-sofar, 1)
	}
	return max(DefaultTokens-sofar, DefaultTokens/10)
}

// Len returns the number of routes held.
func (f *Forecast) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.routes)
}

func (h *history) quantile(q float64) (int, bool) {
	if h == nil {
		return 0, false
	}
	from := h.current
	if from.TotalCount() < enough {
		from = h.previous
	}
	if from == nil || from.TotalCount() < enough {
		return 0, false
	}
	return int(from.ValueAtQuantile(q * 100)), true
}

// medianAbove returns the median of the samples above tokens.
func (h *history) medianAbove(tokens int) int {
	from := h.current
	if from.TotalCount() < enough {
		from = h.previous
	}
	var below int64
	for _, bar := range from.Distribution() {
		if bar.To <= int64(tokens) {
			below += bar.Count
		}
	}
	total := from.TotalCount()
	if below >= total {
		return tokens + tokens/2
	}
	share := float64(below) / float64(total)
	return int(from.ValueAtQuantile((share + (1-share)/2) * 100))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestTokens, highestTokens, digits)
}
