// Package limit adapts the number of requests that an upstream may run at once.
// Engines admit any number of requests, and beyond some batch size tokens come too
// slowly for all of them. The limit is not configured but derived from measured
// token gaps and times to first token.
package limit

import "time"

// Targets are the latency targets of running requests.
type Targets struct {
	tokenGap   time.Duration
	firstToken time.Duration
}

// NewTargets returns targets for the gap between tokens and for the time from
// dispatch to the first token.
func NewTargets(tokenGap, firstToken time.Duration) Targets {
	return Targets{tokenGap: tokenGap, firstToken: firstToken}
}

const (
	// adjustInterval is the minimum time between adjustments of the limit.
	adjustInterval = 500 * time.Millisecond
	// decreaseFactor is applied to the limit when a target is missed.
	decreaseFactor = 0.85
	// growthThreshold is the share of the targets below which the limit may grow.
	growthThreshold = 0.8
	// smoothing is the weight of a new sample in the exponential moving averages.
	smoothing = 0.1
)

// Limit is the adaptive limit of one upstream (AIMD): it increases additively
// while requests wait because of it and the targets are met, and decreases
// multiplicatively when a target is missed. It is not safe for concurrent use.
type Limit struct {
	targets Targets
	minimum int
	maximum int
	current float64

	meanTokenGap   time.Duration
	meanFirstToken time.Duration
	saturated      bool
	lastAdjustment time.Time
}

// New returns a limit that starts at start and stays between minimum and maximum.
func New(targets Targets, start, minimum, maximum int) *Limit {
	return &Limit{targets: targets, minimum: minimum, maximum: maximum, current: float64(min(max(start, minimum), maximum))}
}

// Current returns the current limit of running requests.
func (l *Limit) Current() int { return int(l.current) }

// TokenGap returns the moving average of the gap between tokens, or 0 if unknown.
func (l *Limit) TokenGap() time.Duration { return l.meanTokenGap }

// FirstToken returns the moving average of the time to first token, or 0 if
// unknown.
func (l *Limit) FirstToken() time.Duration { return l.meanFirstToken }

// ObserveTokenGap records a measured gap between tokens.
func (l *Limit) ObserveTokenGap(now time.Time, gap time.Duration) {
	l.meanTokenGap = movingMean(l.meanTokenGap, gap)
	l.adapt(now)
}

// ObserveFirstToken records a measured time from dispatch to first token.
func (l *Limit) ObserveFirstToken(now time.Time, first time.Duration) {
	l.meanFirstToken = movingMean(l.meanFirstToken, first)
	l.adapt(now)
}

// Saturated records that a request had to wait because of the limit. The limit
// grows only after that.
func (l *Limit) Saturated() { l.saturated = true }

func (l *Limit) adapt(now time.Time) {
	if l.lastAdjustment.IsZero() {
		l.lastAdjustment = now
		return
	}
	if now.Sub(l.lastAdjustment) < adjustInterval {
		return
	}
	switch {
	case l.meanTokenGap > l.targets.tokenGap || l.meanFirstToken > l.targets.firstToken:
		l.current = max(float64(l.minimum), l.current*decreaseFactor)
	case l.saturated && l.hasHeadroom():
		l.current = min(float64(l.maximum), l.current+1)
	}
	l.lastAdjustment = now
	l.saturated = false
}

func (l *Limit) hasHeadroom() bool {
	gapBelow := float64(l.meanTokenGap) < growthThreshold*float64(l.targets.tokenGap)
	firstBelow := float64(l.meanFirstToken) < growthThreshold*float64(l.targets.firstToken)
	return gapBelow && firstBelow
}

func movingMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}
