// Package limit finds how many requests an upstream may run at once. Engines
// admit whatever comes; past some batch size, tokens come too slowly for
// everyone. The limit is found from measured gaps and first tokens, not set.
package limit

import "time"

// Targets are what a running request should see.
type Targets struct {
	tokenGap   time.Duration
	firstToken time.Duration
}

// NewTargets returns targets for the gap between tokens and for the time from
// the dispatch to the first token.
func NewTargets(tokenGap, firstToken time.Duration) Targets {
	return Targets{tokenGap: tokenGap, firstToken: firstToken}
}

const (
	// window is how often the limit may change.
	window = 500 * time.Millisecond
	// decrease is the factor on a missed target.
	decrease = 0.85
	// headroom is the share of a target below which the limit may grow.
	headroom = 0.8
	// smoothing is the weight of a new sample in the moving means.
	smoothing = 0.1
)

// Limit adapts one upstream's limit: additive growth while the limit binds
// and targets are met, multiplicative decrease when a target is missed. It is
// not safe for concurrent use.
type Limit struct {
	targets Targets
	lowest  int
	highest int
	current float64

	gap        time.Duration
	first      time.Duration
	saturated  bool
	lastChange time.Time
}

// New returns a limit that starts at start and stays within lowest and
// highest.
func New(targets Targets, start, lowest, highest int) *Limit {
	return &Limit{targets: targets, lowest: lowest, highest: highest, current: float64(min(max(start, lowest), highest))}
}

// Current returns how many requests may run.
func (l *Limit) Current() int { return int(l.current) }

// TokenGap returns the moving mean of the gap between tokens, 0 if unknown.
func (l *Limit) TokenGap() time.Duration { return l.gap }

// FirstToken returns the moving mean of the time to first token, 0 if unknown.
func (l *Limit) FirstToken() time.Duration { return l.first }

// ObserveGap takes one measured gap between tokens.
func (l *Limit) ObserveGap(now time.Time, gap time.Duration) {
	l.gap = blend(l.gap, gap)
	l.adapt(now)
}

// ObserveFirst takes one measured time from dispatch to first token.
func (l *Limit) ObserveFirst(now time.Time, first time.Duration) {
	l.first = blend(l.first, first)
	l.adapt(now)
}

// Saturated notes that a request had to wait because of the limit; only then
// is growth of use.
func (l *Limit) Saturated() { l.saturated = true }

func (l *Limit) adapt(now time.Time) {
	if l.lastChange.IsZero() {
		l.lastChange = now
		return
	}
	if now.Sub(l.lastChange) < window {
		return
	}
	switch {
	case l.gap > l.targets.tokenGap || l.first > l.targets.firstToken:
		l.current = max(float64(l.lowest), l.current*decrease)
	case l.saturated && l.below():
		l.current = min(float64(l.highest), l.current+1)
	}
	l.lastChange = now
	l.saturated = false
}

func (l *Limit) below() bool {
	gapGood := float64(l.gap) < headroom*float64(l.targets.tokenGap)
	firstGood := float64(l.first) < headroom*float64(l.targets.firstToken)
	return gapGood && firstGood
}

func blend(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}
