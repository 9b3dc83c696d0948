package pattern

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

// class is one class of requests in the workload specification.
type class struct {
	name        string
	tier        int
	arrivalRate float64
	// Prompt and output sizes in tokens are log-normal, with these medians and
	// sigmas, and capped at the maxima.
	promptMedian, outputMedian float64
	promptSigma, outputSigma   float64
	promptMax, outputMax       int
	firstEventTarget           time.Duration
	maxGap                     time.Duration
	timeout                    time.Duration
	value, lateValue           float64
	// meanSize is the mean of prompt + outputTokenWeight*output; valueFactor
	// scales a request's value by it.
	meanSize float64
}

// The value of a generation depends on its size: one share is fixed, the rest
// grows with prompt and output, up to a maximum.
const (
	fixedValueShare   = 0.3
	maxValueFactor    = 4
	outputTokenWeight = 10
)

// valueFactor returns the value of a request relative to that of its class.
func (c *class) valueFactor(prompt, output int) float64 {
	size := float64(prompt + outputTokenWeight*output)
	return min(maxValueFactor, fixedValueShare+(1-fixedValueShare)*size/c.meanSize)
}

// classes are the generation classes in the workload specification of the
// Atelier deployment. The medians and sigmas reproduce the means given there and
// the quantiles of a recorded day.
var classes = []class{
	{"sketch-critique", 0, 39.9, 3900, 200, 1.05, 1.05, 54_600, 3840, 600 * time.Millisecond, 250 * time.Millisecond, 15 * time.Second, 7.3, 0.73, 6670 + 10*384},
	{"technique-answer", 1, 52.6, 500, 155, 0.75, 1.05, 3310, 2940, 300 * time.Millisecond, 250 * time.Millisecond, 12 * time.Second, 2.2, 0.22, 690 + 10*294},
	{"lesson-tag", 2, 79.7, 1100, 11, 1.0, 1.05, 6870, 228, 400 * time.Millisecond, 250 * time.Millisecond, 3 * time.Second, 0.29, 0.029, 1860 + 10*24},
}

// request is one simulated request and its outcome.
type request struct {
	id             string
	class          *class
	arrivedAt      time.Time
	prompt         int
	output         int
	outputEstimate int
	firstEventAt   time.Time
	longestGap     time.Duration
	// maxGap is the target for the longest gap between events.
	maxGap time.Duration
	// domain is the failure domain of the request's gateway, and remote reports that the
	// request was sent to an engine of another one.
	domain  string
	remote  bool
	refused bool
	lost    bool
	// retryAt is when the caller retries after a refusal; zero before the first
	// refusal. A caller retries once.
	retryAt time.Time
	// waitBeforeRefusal is the total time that the request waited for a slot
	// before it was refused.
	waitBeforeRefusal time.Duration
	// submittedAt is when the request was last submitted.
	submittedAt time.Time
}

// value returns the value of the request if answered in time, and the value that
// was earned.
func (r *request) value() (possible, earned float64) {
	factor := r.class.valueFactor(r.prompt, r.output)
	possible = factor * r.class.value
	switch {
	case r.inTime():
		return possible, possible
	case r.served():
		return possible, factor * r.class.lateValue
	}
	return possible, 0
}

// fingerprint identifies the request across retries.
func (r *request) fingerprint() uint64 { return xxhash.Sum64String(r.id) }

// maxRetryWaitShare is the largest share of the remaining time that a caller
// waits before it retries.
const maxRetryWaitShare = 1.0 / 3

// refuse records a refusal. It returns when the caller retries, and whether it
// does.
func (r *request) refuse(now time.Time, retryAfter time.Duration) (time.Time, bool) {
	r.waitBeforeRefusal += now.Sub(r.submittedAt)
	if !r.retryAt.IsZero() {
		r.refused = true
		return time.Time{}, false
	}
	timeLeft := r.arrivedAt.Add(r.class.timeout).Sub(now)
	r.retryAt = now.Add(min(retryAfter, time.Duration(maxRetryWaitShare*float64(timeLeft))))
	return r.retryAt, true
}

// inTime reports whether the request was served within its targets for the first
// event and for the gap between events.
func (r *request) inTime() bool {
	return r.served() && r.firstEventAt.Sub(r.arrivedAt) <= r.class.firstEventTarget && r.longestGap <= r.maxGap
}

func (r *request) served() bool { return !r.firstEventAt.IsZero() && !r.refused && !r.lost }

// Burst multiplies the traffic of one tier, or of all tiers if Tier is -1.
type Burst struct {
	At, Duration time.Duration
	Tier         int
	Factor       float64
}

// Crash takes a share of the engines down for a time.
type Crash struct {
	At, Duration time.Duration
	Share        float64
}

// FailurePeriod makes all engines fail a share of the requests for a time.
type FailurePeriod struct {
	At, Duration time.Duration
	Share        float64
}

// SlowSpells make each engine take Factor times as long for spells of a length, as the other
// programs on its VM do. Share is the share of the engines in a spell at any moment. Engines
// state their pace with each first event.
type SlowSpells struct {
	Share, Factor float64
	Length        time.Duration
}

// failureLatency is the time until an engine responds with a failure.
const failureLatency = 60 * time.Millisecond

// Pattern is a named load pattern.
type Pattern struct {
	Name string
	// Description names the situation that the pattern represents.
	Description string
	Duration    time.Duration
	// Scale multiplies the arrival rates of the classes.
	Scale    float64
	Bursts   []Burst
	Crashes  []Crash
	Failures []FailurePeriod
	// SlowSpells are spells of a slower pace; the zero value is the usual pace.
	SlowSpells SlowSpells
	// LongPromptShare is the share of the top tier's prompts that are ten times
	// as long.
	LongPromptShare float64
	// LongAnswerShare is the share of the top tier's requests whose output, and
	// its estimate, have the maximum length.
	LongAnswerShare float64
	// Model is the engine model; the zero value is that of the Atelier.
	Model EngineModel
	// Mix multiplies the arrival rates of the classes, in order of tier; the zero value
	// leaves them as specified.
	Mix [3]float64
	// MaxGap replaces the classes' targets for the gap between events, unless it is 0.
	MaxGap time.Duration
	// Domains is the number of failure domains in which gateways and engines are; 0 stands
	// for one.
	Domains int
}

// arrivalRate returns the arrival rate of a class before bursts.
func (p Pattern) arrivalRate(c *class) float64 {
	rate := c.arrivalRate * p.Scale
	if p.Mix != [3]float64{} {
		rate *= p.Mix[c.tier]
	}
	return rate
}

// EngineModel describes the engines of a simulation.
type EngineModel struct {
	// Count is the number of engines, Slots the requests that each runs at once.
	Count, Slots int
	// PrefillFactor multiplies the prefill time that decode speed suggests.
	PrefillFactor float64
	// FirstEventDelay is the part of the time to the first event that is spent
	// outside the engine.
	FirstEventDelay time.Duration
}

// engineModel returns the pattern's engine model, or the default one.
func (p Pattern) engineModel() EngineModel {
	if p.Model.Count > 0 {
		return p.Model
	}
	return EngineModel{Count: defaultEngineCount, Slots: defaultSlotCount, PrefillFactor: 1, FirstEventDelay: profile.FixedLatency}
}

// Patterns are the load patterns on which placement policies are evaluated.
var Patterns = []Pattern{
	{Name: "calm", Description: "the specified traffic, without disturbances", Duration: 12 * time.Second, Scale: 1},
	{Name: "burst", Description: "an evening class starts: 1.9 times the traffic for 4 s", Duration: 14 * time.Second, Scale: 1,
		Bursts: []Burst{{At: 4 * time.Second, Duration: 4 * time.Second, Tier: -1, Factor: 1.9}}},
	{Name: "critique-wave", Description: "critique traffic alone doubles", Duration: 14 * time.Second, Scale: 1,
		Bursts: []Burst{{At: 4 * time.Second, Duration: 4 * time.Second, Tier: 0, Factor: 2}}},
	{Name: "tag-flood", Description: "six times the tag traffic, which must not displace critiques", Duration: 14 * time.Second, Scale: 1,
		Bursts: []Burst{{At: 4 * time.Second, Duration: 4 * time.Second, Tier: 2, Factor: 6}}},
	{Name: "quarter-lost", Description: "a quarter of the engines is down for 3 s", Duration: 14 * time.Second, Scale: 1,
		Crashes: []Crash{{At: 4 * time.Second, Duration: 3 * time.Second, Share: 0.25}}},
	{Name: "long-prompts", Description: "a tenth of the critique prompts is ten times as long", Duration: 12 * time.Second, Scale: 0.8, LongPromptShare: 0.1},
	{Name: "long-answers", Description: "a twentieth of the critiques has outputs of the maximum length, which slow engines cannot finish in time", Duration: 14 * time.Second, Scale: 0.8, LongAnswerShare: 0.05},
	{Name: "other-engines", Description: "six engines with four times the slots, half the prefill speed and a later first event", Duration: 14 * time.Second, Scale: 0.5,
		Model: EngineModel{Count: 6, Slots: 48, PrefillFactor: 2, FirstEventDelay: 140 * time.Millisecond}},
	{Name: "long-burst", Description: "classes start in the whole school: twice the traffic for 10 s, then normal traffic", Duration: 20 * time.Second, Scale: 1,
		Bursts: []Burst{{At: 2 * time.Second, Duration: 10 * time.Second, Tier: -1, Factor: 2}}},
	uniformFailures(5, 8, 1.1, 4*time.Second), uniformFailures(93, 8, 1.1, 4*time.Second), uniformFailures(600, 3, 1.3, 3000*time.Millisecond),
	{Name: "answers-prevail", Description: "quick answers have become the larger part of the traffic, and all of it exceeds the capacity by half: three domains of engines with 11 slots", Duration: 14 * time.Second, Scale: 1.5,
		Mix: [3]float64{1.74, 3.23, 1.69}, Domains: 3, Model: EngineModel{Count: 41, Slots: 11, PrefillFactor: 1, FirstEventDelay: profile.FixedLatency}},
	{Name: "uneven-pace", Description: "15% of the engines take 2.5 times as long, for 600 ms each, and a burst takes all slots: three domains of engines with 11 slots", Duration: 14 * time.Second, Scale: 1,
		Mix: [3]float64{1.74, 3.23, 1.69}, Bursts: []Burst{{At: 4 * time.Second, Duration: 6 * time.Second, Tier: -1, Factor: 1.5}},
		MaxGap:     400 * time.Millisecond,
		SlowSpells: SlowSpells{Share: 0.15, Factor: 2.5, Length: 600 * time.Millisecond},
		Domains:    3, Model: EngineModel{Count: 41, Slots: 11, PrefillFactor: 1, FirstEventDelay: profile.FixedLatency}},
	{Name: "overload", Description: "sustained traffic beyond the capacity of the engines", Duration: 14 * time.Second, Scale: 1.5},
}

// uniformFailures returns a pattern in which all engines fail at the same rate.
// The load per slot is relative to that of the Atelier.
func uniformFailures(engines, slots int, load float64, duration time.Duration) Pattern {
	const warmUp = 1500 * time.Millisecond
	return Pattern{
		Name:        fmt.Sprintf("fail-alike-%d", engines),
		Description: "all engines fail 45% of the requests for some seconds",
		Duration:    warmUp + duration + time.Second, Scale: load * float64(engines*slots) / (defaultEngineCount * defaultSlotCount),
		Failures: []FailurePeriod{{At: warmUp, Duration: duration, Share: 0.45}},
		Model:    EngineModel{Count: engines, Slots: slots, PrefillFactor: 1, FirstEventDelay: profile.FixedLatency},
	}
}

// failureShare returns the share of the requests that fail at a moment.
func (p Pattern) failureShare(at time.Duration) float64 {
	for _, f := range p.Failures {
		if at >= f.At && at < f.At+f.Duration {
			return f.Share
		}
	}
	return 0
}

// generateRequests draws the requests of a pattern, in order of arrival, from a
// Poisson process with a varying rate.
func (p Pattern) generateRequests(start time.Time, random *rand.Rand) []*request {
	var requests []*request
	for i := range classes {
		c := &classes[i]
		peakRate := p.arrivalRate(c) * p.peakRateFactor(c.tier)
		for at := time.Duration(0); at < p.Duration; {
			at += time.Duration(random.ExpFloat64() / peakRate * float64(time.Second))
			if at >= p.Duration || random.Float64() > p.rateFactor(at, c.tier)/p.peakRateFactor(c.tier) {
				continue
			}
			requests = append(requests, p.generateRequest(start.Add(at), c, random))
		}
	}
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].arrivedAt.Before(requests[j].arrivedAt) })
	for i, r := range requests {
		r.id = strconv.Itoa(i)
	}
	return requests
}

func (p Pattern) generateRequest(at time.Time, c *class, random *rand.Rand) *request {
	r := &request{class: c, arrivedAt: at, domain: domainName(0), maxGap: c.maxGap}
	if p.MaxGap > 0 {
		r.maxGap = p.MaxGap
	}
	if p.Domains > 1 {
		r.domain = domainName(random.IntN(p.Domains))
	}
	r.prompt = sampleLogNormal(random, c.promptMedian, c.promptSigma, c.promptMax)
	if c.tier == 0 && random.Float64() < p.LongPromptShare {
		r.prompt = min(10*r.prompt, c.promptMax)
	}
	r.output = sampleLogNormal(random, c.outputMedian, c.outputSigma, c.outputMax)
	// Callers' estimates of the output length are unbiased at the median, with a
	// log-normal error.
	const estimateSigma = 0.5
	r.outputEstimate = sampleLogNormal(random, float64(r.output), estimateSigma, c.outputMax)
	if p.LongAnswerShare > 0 && c.tier == 0 && random.Float64() < p.LongAnswerShare {
		r.output, r.outputEstimate = c.outputMax, c.outputMax
	}
	return r
}

func domainName(i int) string { return "domain-" + strconv.Itoa(i) }

func sampleLogNormal(random *rand.Rand, median, sigma float64, limit int) int {
	return min(limit, max(1, int(median*math.Exp(sigma*random.NormFloat64()))))
}

func (p Pattern) rateFactor(at time.Duration, tier int) float64 {
	factor := 1.0
	for _, b := range p.Bursts {
		if at >= b.At && at < b.At+b.Duration && (b.Tier < 0 || b.Tier == tier) {
			factor *= b.Factor
		}
	}
	return factor
}

func (p Pattern) peakRateFactor(tier int) float64 {
	peak := 1.0
	for _, b := range p.Bursts {
		peak = max(peak, p.rateFactor(b.At, tier))
	}
	return peak
}
