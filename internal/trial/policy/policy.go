// Package policy compares the index's policies on the same seeded arrivals. A
// queue recurrence stands for the upstreams: each has slots and serves its
// queue by tier, first come first served inside a tier. It is no cluster
// simulator; it knows no links, failures or processes.
package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/dispatch/index"
)

// Sizes is a distribution of job sizes with mean 1.
type Sizes string

// The distributions of the paper's experiments.
const (
	Exponential Sizes = "exponential"
	Weibull     Sizes = "weibull"
	Pareto      Sizes = "pareto"
)

// Setting is one experiment.
type Setting struct {
	Seed   uint64
	Jobs   int
	Speeds []float64
	Sizes  Sizes
	// Load is the offered work over the capacity.
	Load float64
	// Stale is the age of what the policy sees.
	Stale time.Duration
	// Corrected tells whether the policy adds what was sent since to a report,
	// as an entry does with what it sent itself.
	Corrected bool
	// Error is the spread of predicted against true sizes: the standard
	// deviation of the logarithm of their quotient; 0 for sizes known.
	Error float64
	// Prefixes and CacheHeld say how many prefixes there are and how many of
	// them one upstream's cache holds.
	Prefixes  int
	CacheHeld int
	// PrefillShare is the mean share of a job that a cached prefix saves.
	PrefillShare float64
	// Slowdown makes one upstream in four this many times slower in the middle
	// third; 1 or 0 for none.
	Slowdown float64
	// Burst multiplies the rate in the middle fifth; 1 or 0 for none.
	Burst float64
}

// Outcome is how one policy did.
type Outcome struct {
	Policy string `json:"policy"`
	// Goodput is the share in time by tier, highest first.
	Goodput []float64 `json:"goodput"`
	// MeanDelay is over all jobs that were served, in mean sizes.
	MeanDelay float64 `json:"mean-delay"`
	// Wasted is prefill computed that another upstream's cache held, over all
	// prefill offered.
	Wasted float64 `json:"wasted-prefill"`
}

const (
	// tiers and their shares of the jobs, highest first.
	tierCount = 3
	// unit is the time of a job of mean size at speed 1.
	unit = time.Second
	// deadlineFactor is a job's time allowed, in its own time at mean speed,
	// and deadlineFloor the least, in units.
	deadlineFactor = 6
	deadlineFloor  = 4
)

// tierShares sum to 1; the top tier alone stays under capacity at load 1.5.
var tierShares = [tierCount]float64{0.4, 0.35, 0.25}

type job struct {
	at, deadline float64
	size, guess  float64
	tier         int
	prefix       int
}

// Run plays one policy on the setting's arrivals.
func Run(s Setting, name string) Outcome {
	arrivals := draw(s)
	f := newField(s, arrivals)
	choose := index.Registry[name]
	random := rand.New(rand.NewPCG(s.Seed, 7))
	for _, j := range arrivals {
		f.advance(j.at)
		views := f.views(j)
		at := choose(views, j.asJob(s), f.traffic(), random)
		f.admit(at, j)
		f.correct(at, j)
	}
	f.advance(math.Inf(1))
	return f.outcome(name)
}

func (j job) asJob(s Setting) index.Job {
	prefill := s.PrefillShare * j.guess
	return index.Job{Decode: seconds(j.guess - prefill), Prefill: seconds(prefill), Cost: float64(tierCount - j.tier)}
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(unit)) }

// draw makes the arrivals: Poisson, with sizes, tiers, prefixes and guesses.
func draw(s Setting) []job {
	random := rand.New(rand.NewPCG(s.Seed, 11))
	capacity := 0.0
	for _, speed := range s.Speeds {
		capacity += speed
	}
	arrivals := make([]job, 0, s.Jobs)
	at := 0.0
	for i := range s.Jobs {
		rate := s.Load * capacity
		if part := float64(i) / float64(s.Jobs); s.Burst > 1 && part > 0.4 && part < 0.6 {
			rate *= s.Burst
		}
		at += random.ExpFloat64() / rate
		size := drawSize(random, s.Sizes)
		allowed := max(deadlineFactor*size, deadlineFloor)
		j := job{at: at, deadline: at + allowed, size: size, guess: size * math.Exp(s.Error*random.NormFloat64()), tier: drawTier(random)}
		if s.Prefixes > 0 {
			// The square makes the first prefixes the popular ones.
			share := random.Float64()
			j.prefix = int(share * share * float64(s.Prefixes))
		}
		arrivals = append(arrivals, j)
	}
	return arrivals
}

func drawTier(random *rand.Rand) int {
	at := random.Float64()
	for tier, share := range tierShares {
		if at < share {
			return tier
		}
		at -= share
	}
	return tierCount - 1
}

func drawSize(random *rand.Rand, sizes Sizes) float64 {
	switch sizes {
	case Weibull:
		// Shape 0.5 gives a coefficient of variation of 2.24; scale 0.5 a mean
		// of 1.
		return 0.5 * math.Pow(random.ExpFloat64(), 2)
	case Pareto:
		return drawPareto(random)
	}
	return random.ExpFloat64()
}

// drawPareto is truncated so that lengths span a hundredfold and the mean is
// about 1.
func drawPareto(random *rand.Rand) float64 {
	const (
		shape  = 1.1
		lowest = 0.27
		span   = 100
	)
	u := random.Float64() * (1 - math.Pow(span, -shape))
	return lowest * math.Pow(1-u, -1/shape)
}

// field is the upstreams.
type field struct {
	setting   Setting
	stations  []*station
	reports   [tierCount][]index.View
	reportAt  float64
	now       float64
	end       float64
	inTime    [tierCount]int
	offered   [tierCount]int
	delay     float64
	served    int
	wasted    float64
	prefill   float64
	sizeSum   float64
	squareSum float64
	arrived   int
}

// station is one upstream: a single server whose queue is by tier.
type station struct {
	speed   float64
	slow    bool
	queue   waiting
	current job
	busy    bool
	until   float64
	// backlog is the guessed work that waits, by tier.
	backlog [tierCount]float64
	cache   []int
}

type waiting []job

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (w waiting) Len() int { return len(w) }
func (w waiting) Less(i, j int) bool {
	if w[i].tier != w[j].tier {
		return w[i].tier < w[j].tier
	}
	return w[i].at < w[j].at
}
func (w waiting) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push adds a job; callers use heap.Push.
func (w *waiting) Push(x any) { *w = append(*w, x.(job)) }

// Pop removes the last job; callers use heap.Pop.
func (w *waiting) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}

func newField(s Setting, arrivals []job) *field {
	f := &field{setting: s, reportAt: math.Inf(-1)}
	for i, speed := range s.Speeds {
		f.stations = append(f.stations, &station{speed: speed, slow: i%4 == 0})
	}
	f.end = arrivals[len(arrivals)-1].at
	return f
}

// speedOf is the true speed at a time, slowed in the middle third.
func (f *field) speedOf(s *station, at float64) float64 {
	middle := at > f.end/3 && at < 2*f.end/3
	if f.setting.Slowdown > 1 && s.slow && middle {
		return s.speed / f.setting.Slowdown
	}
	return s.speed
}

// advance finishes what is done by the time. Jobs past their deadline before
// they start are dropped, by every policy alike.
func (f *field) advance(to float64) {
	for _, s := range f.stations {
		for s.busy && s.until <= to {
			f.finish(s)
			f.startNext(s, s.until)
		}
	}
	f.now = to
}

func (f *field) finish(s *station) {
	j := s.current
	s.busy = false
	f.served++
	f.delay += s.until - j.at
	if s.until <= j.deadline {
		f.inTime[j.tier]++
	}
}

func (f *field) startNext(s *station, at float64) {
	for s.queue.Len() > 0 {
		j := heap.Pop(&s.queue).(job)
		s.backlog[j.tier] -= j.guess
		if at+j.size/s.speed > j.deadline {
			continue
		}
		f.start(s, j, at)
		return
	}
}

func (f *field) start(s *station, j job, at float64) {
	work := j.size
	prefill := f.setting.PrefillShare * j.size
	f.prefill += prefill
	if s.holds(j.prefix) {
		work -= prefill
	} else if f.heldElsewhere(j.prefix) {
		f.wasted += prefill
	}
	s.use(j.prefix, f.setting.CacheHeld)
	s.current, s.busy = j, true
	s.until = at + work/f.speedOf(s, at)
}

func (f *field) admit(at int, j job) {
	f.offered[j.tier]++
	f.arrived++
	f.sizeSum += j.guess
	f.squareSum += j.guess * j.guess
	s := f.stations[at]
	if !s.busy {
		f.start(s, j, j.at)
		return
	}
	if f.preempts(s, j) {
		f.start(s, j, j.at)
		return
	}
	heap.Push(&s.queue, j)
	s.backlog[j.tier] += j.guess
}

// preempts tells whether the job would miss its deadline behind a run of a
// lower tier, which is then given up; the agent's admission does the same.
func (f *field) preempts(s *station, j job) bool {
	misses := s.until+j.size/s.speed > j.deadline
	if s.current.tier <= j.tier || !misses {
		return false
	}
	f.wasted += f.setting.PrefillShare * s.current.size
	return true
}

func (s *station) holds(prefix int) bool {
	for _, held := range s.cache {
		if held == prefix {
			return true
		}
	}
	return false
}

func (s *station) use(prefix, bound int) {
	kept := s.cache[:0]
	for _, held := range s.cache {
		if held != prefix {
			kept = append(kept, held)
		}
	}
	s.cache = append(kept, prefix)
	if len(s.cache) > bound {
		s.cache = s.cache[1:]
	}
}

func (f *field) heldElsewhere(prefix int) bool {
	for _, s := range f.stations {
		if s.holds(prefix) {
			return true
		}
	}
	return false
}

// views are the upstreams as the policy sees them: a report as old as the
// setting says, and the job's own tier's share of the backlog.
func (f *field) views(j job) []index.View {
	if f.now-f.reportAt >= f.setting.Stale.Seconds() {
		f.reportAt = f.now
		for tier := range tierCount {
			f.reports[tier] = f.reports[tier][:0]
			for _, s := range f.stations {
				f.reports[tier] = append(f.reports[tier], f.view(s, tier))
			}
		}
	}
	views := append([]index.View(nil), f.reports[j.tier]...)
	for i := range views {
		views[i].Cached = 0
		if f.setting.CacheHeld > 0 && f.stations[i].holds(j.prefix) {
			views[i].Cached = 1
		}
	}
	return views
}

// correct adds a job that was sent to the reports in use.
func (f *field) correct(at int, j job) {
	if !f.setting.Corrected {
		return
	}
	for tier := j.tier; tier < tierCount; tier++ {
		v := &f.reports[tier][at]
		v.Jobs++
		v.Backlog += seconds(j.guess / v.Speed)
	}
}

func (f *field) view(s *station, tier int) index.View {
	v := index.View{Slots: 1, Speed: s.speed, Jobs: s.queue.Len()}
	for _, work := range s.backlog[:tier+1] {
		v.Backlog += seconds(work / s.speed)
	}
	if s.busy {
		v.Jobs++
		v.Backlog += seconds(max(s.until-f.now, 0))
	}
	return v
}

func (f *field) traffic() index.Traffic {
	if f.arrived == 0 || f.now <= 0 {
		return index.Traffic{Rate: 1, MeanSize: 1, MeanSquare: 2}
	}
	count := float64(f.arrived)
	return index.Traffic{Rate: count / f.now, MeanSize: f.sizeSum / count, MeanSquare: f.squareSum / count}
}

func (f *field) outcome(name string) Outcome {
	o := Outcome{Policy: name, MeanDelay: f.delay / float64(max(f.served, 1)), Wasted: f.wasted / max(f.prefill, 1)}
	for tier := range tierCount {
		o.Goodput = append(o.Goodput, float64(f.inTime[tier])/float64(max(f.offered[tier], 1)))
	}
	return o
}

// Names returns all policies in order.
func Names() []string {
	names := make([]string, 0, len(index.Registry))
	for name := range index.Registry {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
