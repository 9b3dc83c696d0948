package evidence

import (
	"math"
	"slices"
	"time"
)

// Measure is what is measured of a run's speed.
type Measure int

// Measures.
const (
	// FirstEvent is the time to the first event of a stream, or to a plain answer.
	FirstEvent Measure = iota
	// EventPause is the mean pause between the first events of a stream. A version that takes
	// long for each token shows in it long before its runs end.
	EventPause
)

// String returns the measure's name in logs.
func (m Measure) String() string {
	if m == EventPause {
		return "event-pause"
	}
	return "first-event"
}

// Sample is a measurement of one run of the new version.
type Sample struct {
	Measure  Measure
	Route    string
	Upstream string
	Bucket   int
	// AtLeast means that the run was not there yet: the measure is the bucket or more.
	AtLeast bool
}

const (
	// slowdownThreshold is the log-likelihood ratio from which a version is slow: less than
	// one false alarm in twenty thousand versions.
	slowdownThreshold = 10
	// maxSampleEvidence bounds the evidence of one run, and maxUpstreamEvidence that of one
	// upstream, as its runs are alike: an old VM or a busy moment is no sign of the version.
	// Where the new version has few upstreams, minUpstreams of them suffice.
	maxSampleEvidence   = 2.5
	maxUpstreamEvidence = 4.0
	minUpstreams        = 3
	// minBaselineRuns is the number of the old version's runs on a route from which runs of the
	// new one are compared with them.
	minBaselineRuns = 20
	// baselineHalfLife is the time in which the old version's runs lose half of their weight,
	// so that a change of the load counts for both versions.
	baselineHalfLife = 5 * time.Second
	// sampleDelay is how long a sample waits for the old version's runs of the same time.
	sampleDelay = time.Second
	// recentTime is the time in which a version that turns slow late shows.
	recentTime = 10 * time.Second
	// backgroundOctaves is the range in which any duration is possible, and backgroundShare
	// the share of runs that are taken to be anywhere in it.
	backgroundOctaves = 10
	backgroundShare   = 0.16
)

// smoothing spreads each run of the old version over adjacent buckets.
var smoothing = [...]float64{0.1, 0.2, 0.4, 0.2, 0.1}

// slowdowns are the hypotheses: a share of the runs takes a multiple of the time.
var slowdowns = [...]struct {
	octaves int
	share   float64
}{{1, 1}, {2, 1}, {1, 0.5}, {2, 0.5}, {3, 0.5}}

// logRatios are the log-likelihood ratios under each of the slowdowns against none.
type logRatios [len(slowdowns)]float64

// upstreamEvidence is the evidence of the runs on one upstream.
type upstreamEvidence struct {
	ratios logRatios
	runs   int
}

func (e *upstreamEvidence) add(ratios logRatios, runs int) {
	for i, x := range ratios {
		e.ratios[i] += x
	}
	e.runs += runs
}

// evidenceByUpstream holds the evidence on one route, or on all.
type evidenceByUpstream map[string]*upstreamEvidence

func (e evidenceByUpstream) add(upstream string, ratios logRatios, runs int) {
	if e[upstream] == nil {
		e[upstream] = &upstreamEvidence{}
	}
	e[upstream].add(ratios, runs)
}

type baselineKey struct {
	measure Measure
	route   string
}

// baseline is the distribution of the old version's runs.
type baseline struct {
	recent    [HistogramBuckets]float64
	total     Histogram
	decayedAt time.Time
}

// waitingSample is a sample that has not been compared yet.
type waitingSample struct {
	Sample
	at time.Time
}

// comparedSample is a sample with its evidence.
type comparedSample struct {
	key      baselineKey
	upstream string
	at       time.Time
	ratios   logRatios
}

// Slowdown is a sequential test of whether a version is slower than another one, run by run, on
// each route and on all. It is not safe for concurrent use.
type Slowdown struct {
	baselines map[baselineKey]*baseline
	waiting   []waitingSample
	recent    []comparedSample
	// total holds the evidence of all samples.
	total map[baselineKey]evidenceByUpstream
}

// NewSlowdown returns a test without runs.
func NewSlowdown() *Slowdown {
	return &Slowdown{baselines: make(map[baselineKey]*baseline), total: make(map[baselineKey]evidenceByUpstream)}
}

// AddBaseline adds runs of the old version.
func (s *Slowdown) AddBaseline(now time.Time, measure Measure, route string, runs Histogram) {
	key := baselineKey{measure, route}
	b := s.baselines[key]
	if b == nil {
		b = &baseline{decayedAt: now}
		s.baselines[key] = b
	}
	b.decay(now)
	for i, n := range runs {
		b.recent[i] += float64(n)
		b.total[i] += n
	}
}

// AddSample adds a run of the new version.
func (s *Slowdown) AddSample(now time.Time, sample Sample) {
	sample.Bucket = min(max(sample.Bucket, 0), HistogramBuckets-1)
	s.waiting = append(s.waiting, waitingSample{Sample: sample, at: now})
}

// Slowness is the evidence that a version is slow.
type Slowness struct {
	// LogRatio is the largest log-likelihood ratio, on the route, or on all routes if it is "".
	LogRatio float64
	Measure  Measure
	Route    string
	// Runs and Upstreams are the measurements and upstreams behind it.
	Runs, Upstreams int
	threshold       float64
}

// IsSlow reports whether the evidence suffices.
func (s Slowness) IsSlow() bool { return s.threshold > 0 && s.LogRatio >= s.threshold }

// Evaluate returns the evidence so far. The new version has the given number of upstreams.
func (s *Slowdown) Evaluate(now time.Time, upstreams int) Slowness {
	s.compareWaiting(now)
	bound := maxUpstreamEvidence
	if upstreams < minUpstreams {
		bound = slowdownThreshold / float64(max(upstreams, 1))
	}
	recent := make(map[baselineKey]evidenceByUpstream)
	for _, c := range s.recent {
		addEvidence(recent, c)
	}
	strongest := strongestEvidence(s.total, bound)
	if late := strongestEvidence(recent, bound); late.LogRatio > strongest.LogRatio {
		strongest = late
	}
	return strongest
}

// compareWaiting compares the samples for which there are runs of the old version, and forgets
// those that are no longer recent.
func (s *Slowdown) compareWaiting(now time.Time) {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		key := baselineKey{w.Measure, w.Route}
		b := s.baselines[key]
		if now.Sub(w.at) < sampleDelay || b == nil || b.total.Total() < minBaselineRuns {
			kept = append(kept, w)
			continue
		}
		b.decay(now)
		c := comparedSample{key: key, upstream: w.Upstream, at: now, ratios: b.compare(w.Bucket, w.AtLeast)}
		s.recent = append(s.recent, c)
		addEvidence(s.total, c)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	expired := 0
	for expired < len(s.recent) && now.Sub(s.recent[expired].at) > recentTime {
		expired++
	}
	s.recent = s.recent[expired:]
}

func addEvidence(to map[baselineKey]evidenceByUpstream, c comparedSample) {
	if to[c.key] == nil {
		to[c.key] = make(evidenceByUpstream)
	}
	to[c.key].add(c.upstream, c.ratios, 1)
}

// strongestEvidence returns the strongest evidence on any route, and on all routes together, where
// one upstream counts at most up to the bound either way.
func strongestEvidence(evidence map[baselineKey]evidenceByUpstream, bound float64) Slowness {
	strongest := Slowness{LogRatio: math.Inf(-1), threshold: slowdownThreshold}
	allRoutes := make(map[Measure]evidenceByUpstream)
	routes := make(map[Measure]int)
	for key, byUpstream := range evidence {
		routes[key.measure]++
		if allRoutes[key.measure] == nil {
			allRoutes[key.measure] = make(evidenceByUpstream)
		}
		for upstream, e := range byUpstream {
			allRoutes[key.measure].add(upstream, e.ratios, e.runs)
		}
	}
	consider := func(candidate Slowness) {
		if candidate.LogRatio-candidate.threshold > strongest.LogRatio-strongest.threshold {
			strongest = candidate
		}
	}
	for key, byUpstream := range evidence {
		// Many routes must not make a false alarm more likely.
		threshold := slowdownThreshold + math.Log(float64(routes[key.measure]))
		consider(byUpstream.slowness(Slowness{Measure: key.measure, Route: key.route, threshold: threshold}, bound))
	}
	for measure, byUpstream := range allRoutes {
		consider(byUpstream.slowness(Slowness{Measure: measure, threshold: slowdownThreshold}, bound))
	}
	return strongest
}

// slowness completes s with the evidence of all upstreams, under the slowdown for which it is
// strongest.
func (e evidenceByUpstream) slowness(s Slowness, bound float64) Slowness {
	var sums logRatios
	s.Upstreams = len(e)
	for _, upstream := range e {
		s.Runs += upstream.runs
		for i, x := range upstream.ratios {
			sums[i] += min(max(x, -bound), bound)
		}
	}
	s.LogRatio = slices.Max(sums[:])
	return s
}

func (b *baseline) decay(now time.Time) {
	elapsed := now.Sub(b.decayedAt)
	if elapsed <= 0 {
		return
	}
	b.decayedAt = now
	factor := math.Exp2(-elapsed.Seconds() / baselineHalfLife.Seconds())
	for i := range b.recent {
		b.recent[i] *= factor
	}
}

// density returns the distribution of the old version's recent runs, or of all if they are few.
func (b *baseline) density() [HistogramBuckets]float64 {
	counts, total := b.recent, 0.0
	for _, n := range counts {
		total += n
	}
	if total < minBaselineRuns {
		total = 0
		for i, n := range b.total {
			counts[i] = float64(n)
			total += counts[i]
		}
	}
	var density [HistogramBuckets]float64
	for i := range density {
		density[i] = backgroundShare / (backgroundOctaves * bucketsPerOctave)
	}
	for i, n := range counts {
		if n == 0 {
			continue
		}
		for j, weight := range smoothing {
			to := min(max(i+j-len(smoothing)/2, 0), HistogramBuckets-1)
			density[to] += (1 - backgroundShare) * weight * n / total
		}
	}
	return density
}

// compare returns the evidence of a run in the bucket, or of one that takes at least as long.
func (b *baseline) compare(bucket int, atLeast bool) logRatios {
	density := b.density()
	background := backgroundShare / (backgroundOctaves * bucketsPerOctave)
	var ratios logRatios
	for i, slowdown := range slowdowns {
		shift := slowdown.octaves * bucketsPerOctave
		usual, slow := 0.0, 0.0
		last := bucket
		if atLeast {
			last = HistogramBuckets - 1
		}
		for at := bucket; at <= last; at++ {
			shifted := background
			if at >= shift {
				shifted = density[at-shift]
			}
			usual += density[at]
			slow += (1-slowdown.share)*density[at] + slowdown.share*shifted
		}
		ratios[i] = min(max(math.Log(slow/usual), -maxSampleEvidence), maxSampleEvidence)
	}
	return ratios
}
