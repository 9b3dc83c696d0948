// Package policy compares the policies of package index on the same seeded arrivals.
// Upstreams are modeled by a queue recurrence: each is a single server whose queue
// is ordered by tier, then by arrival. Links, processes and failures are not modeled.
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

// The distributions of job sizes, those of the experiments in the paper that package
// index follows.
const (
	Exponential Sizes = "exponential"
	Weibull     Sizes = "weibull"
	Pareto      Sizes = "pareto"
)

// Setting holds the parameters of one experiment.
type Setting struct {
	Seed   uint64
	Jobs   int
	Speeds []float64
	Sizes  Sizes
	// Load is the ratio of offered work to capacity.
	Load float64
	// Stale is the maximum age of the reports that the policy sees.
	Stale time.Duration
	// Corrected makes the policy add the jobs sent since a report to the report, as
	// an entry does with its own requests.
	Corrected bool
	// Error is the prediction error of job sizes: the standard deviation of the
	// logarithm of the ratio of predicted to true size. 0 means exact predictions.
	Error float64
	// Prefixes is the number of prompt prefixes, and CacheHeld the number of
	// prefixes that the cache of one upstream holds.
	Prefixes  int
	CacheHeld int
	// PrefillShare is the share of a job's work that a cached prefix saves.
	PrefillShare float64
	// Slowdown divides the speed of one upstream in four in the middle third of the
	// time; 0 or 1 for no slowdown.
	Slowdown float64
	// Burst multiplies the arrival rate in the middle fifth of the jobs; 0 or 1 for
	// no burst.
	Burst float64
}

// Outcome is the result of one policy.
type Outcome struct {
	Policy string `json:"policy"`
	// Goodput is the share of jobs completed in time, by tier, highest first.
	Goodput []float64 `json:"goodput"`
	// MeanDelay is the mean time from arrival to completion of the jobs served, in
	// units of meanJobTime.
	MeanDelay float64 `json:"mean-delay"`
	// Wasted is the share of wasted prefill in the prefill of all jobs started. Prefill
	// is wasted if another upstream has the prefix cached, or if the job is preempted.
	Wasted float64 `json:"wasted-prefill"`
}

const (
	tierCount = 3
	// meanJobTime is the service time of a job of mean size at speed 1.
	meanJobTime = time.Second
	// deadlineFactor is the time from arrival to deadline as a multiple of the job's
	// service time at speed 1, and deadlineFloor the minimum, in units of meanJobTime.
	deadlineFactor = 6
	deadlineFloor  = 4
)

// tierShares are the shares of jobs by tier, highest first. They sum to 1, and the top
// tier alone stays below capacity at a load of 1.5.
var tierShares = [tierCount]float64{0.4, 0.35, 0.25}

type job struct {
	arrival, deadline   float64
	size, predictedSize float64
	tier                int
	prefix              int
}

// Run simulates one policy on the arrivals of the setting.
func Run(s Setting, name string) Outcome {
	arrivals := drawArrivals(s)
	sim := newSimulation(s, arrivals)
	choose := index.Policies[name]
	random := rand.New(rand.NewPCG(s.Seed, 7))
	for _, arriving := range arrivals {
		sim.advance(arriving.arrival)
		views := sim.views(arriving)
		target := choose(views, arriving.indexJob(s), sim.trafficStats(), random)
		sim.admit(target, arriving)
		sim.addToReports(target, arriving)
	}
	sim.advance(math.Inf(1))
	return sim.outcome(name)
}

func (j job) indexJob(s Setting) index.Job {
	prefill := s.PrefillShare * j.predictedSize
	return index.Job{DecodeTime: seconds(j.predictedSize - prefill), PrefillTime: seconds(prefill), HoldingCost: float64(tierCount - j.tier)}
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(meanJobTime)) }

// drawArrivals generates Poisson arrivals with sizes, predicted sizes, tiers and
// prefixes.
func drawArrivals(s Setting) []job {
	random := rand.New(rand.NewPCG(s.Seed, 11))
	capacity := 0.0
	for _, speed := range s.Speeds {
		capacity += speed
	}
	arrivals := make([]job, 0, s.Jobs)
	now := 0.0
	for i := range s.Jobs {
		rate := s.Load * capacity
		if fraction := float64(i) / float64(s.Jobs); s.Burst > 1 && fraction > 0.4 && fraction < 0.6 {
			rate *= s.Burst
		}
		now += random.ExpFloat64() / rate
		size := drawSize(random, s.Sizes)
		allowed := max(deadlineFactor*size, deadlineFloor)
		j := job{arrival: now, deadline: now + allowed, size: size, predictedSize: size * math.Exp(s.Error*random.NormFloat64()), tier: drawTier(random)}
		if s.Prefixes > 0 {
			// Squaring the uniform variate makes the first prefixes the popular ones.
			position := random.Float64()
			j.prefix = int(position * position * float64(s.Prefixes))
		}
		arrivals = append(arrivals, j)
	}
	return arrivals
}

func drawTier(random *rand.Rand) int {
	remaining := random.Float64()
	for tier, share := range tierShares {
		if remaining < share {
			return tier
		}
		remaining -= share
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

// drawPareto draws from a truncated Pareto distribution in which sizes span a factor
// of 100 and the mean is about 1.
func drawPareto(random *rand.Rand) float64 {
	const (
		shape  = 1.1
		lowest = 0.27
		span   = 100
	)
	uniform := random.Float64() * (1 - math.Pow(span, -shape))
	return lowest * math.Pow(1-uniform, -1/shape)
}

// simulation is the state of one run.
type simulation struct {
	setting    Setting
	upstreams  []*upstream
	reports    [tierCount][]index.View
	reportedAt float64
	now        float64
	end        float64
	inTime     [tierCount]int
	offered    [tierCount]int
	delay      float64
	served     int
	wasted     float64
	prefill    float64
	sizeSum    float64
	squareSum  float64
	arrived    int
}

// upstream is a single server with a queue ordered by tier.
type upstream struct {
	speed     float64
	slow      bool
	queue     jobQueue
	current   job
	busy      bool
	busyUntil float64
	// backlog is the predicted size of the queued jobs, by tier.
	backlog [tierCount]float64
	cache   []int
}

type jobQueue []job

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q jobQueue) Len() int { return len(q) }
func (q jobQueue) Less(i, j int) bool {
	if q[i].tier != q[j].tier {
		return q[i].tier < q[j].tier
	}
	return q[i].arrival < q[j].arrival
}
func (q jobQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a job; callers use heap.Push.
func (q *jobQueue) Push(x any) { *q = append(*q, x.(job)) }

// Pop removes the last job; callers use heap.Pop.
func (q *jobQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(s Setting, arrivals []job) *simulation {
	sim := &simulation{setting: s, reportedAt: math.Inf(-1)}
	for i, speed := range s.Speeds {
		sim.upstreams = append(sim.upstreams, &upstream{speed: speed, slow: i%4 == 0})
	}
	sim.end = arrivals[len(arrivals)-1].arrival
	return sim
}

// speedOf returns the actual speed at a time, which a slowdown reduces in the middle
// third.
func (sim *simulation) speedOf(u *upstream, at float64) float64 {
	middle := at > sim.end/3 && at < 2*sim.end/3
	if sim.setting.Slowdown > 1 && u.slow && middle {
		return u.speed / sim.setting.Slowdown
	}
	return u.speed
}

// advance completes the jobs that end by the time and starts queued ones. Under every
// policy, queued jobs that can no longer meet their deadline are dropped.
func (sim *simulation) advance(to float64) {
	for _, u := range sim.upstreams {
		for u.busy && u.busyUntil <= to {
			sim.finish(u)
			sim.startNext(u, u.busyUntil)
		}
	}
	sim.now = to
}

func (sim *simulation) finish(u *upstream) {
	j := u.current
	u.busy = false
	sim.served++
	sim.delay += u.busyUntil - j.arrival
	if u.busyUntil <= j.deadline {
		sim.inTime[j.tier]++
	}
}

func (sim *simulation) startNext(u *upstream, at float64) {
	for u.queue.Len() > 0 {
		j := heap.Pop(&u.queue).(job)
		u.backlog[j.tier] -= j.predictedSize
		if at+j.size/u.speed > j.deadline {
			continue
		}
		sim.start(u, j, at)
		return
	}
}

func (sim *simulation) start(u *upstream, j job, at float64) {
	work := j.size
	prefill := sim.setting.PrefillShare * j.size
	sim.prefill += prefill
	if u.hasCached(j.prefix) {
		work -= prefill
	} else if sim.cachedAnywhere(j.prefix) {
		sim.wasted += prefill
	}
	u.cachePrefix(j.prefix, sim.setting.CacheHeld)
	u.current, u.busy = j, true
	u.busyUntil = at + work/sim.speedOf(u, at)
}

func (sim *simulation) admit(upstreamIndex int, j job) {
	sim.offered[j.tier]++
	sim.arrived++
	sim.sizeSum += j.predictedSize
	sim.squareSum += j.predictedSize * j.predictedSize
	u := sim.upstreams[upstreamIndex]
	if !u.busy {
		sim.start(u, j, j.arrival)
		return
	}
	if sim.preempts(u, j) {
		sim.start(u, j, j.arrival)
		return
	}
	heap.Push(&u.queue, j)
	u.backlog[j.tier] += j.predictedSize
}

// preempts reports whether the job would miss its deadline behind a running job of a
// lower tier, which is then aborted, as by the agent's admission control.
func (sim *simulation) preempts(u *upstream, j job) bool {
	misses := u.busyUntil+j.size/u.speed > j.deadline
	if u.current.tier <= j.tier || !misses {
		return false
	}
	sim.wasted += sim.setting.PrefillShare * u.current.size
	return true
}

func (u *upstream) hasCached(prefix int) bool {
	for _, cached := range u.cache {
		if cached == prefix {
			return true
		}
	}
	return false
}

func (u *upstream) cachePrefix(prefix, capacity int) {
	others := u.cache[:0]
	for _, cached := range u.cache {
		if cached != prefix {
			others = append(others, cached)
		}
	}
	u.cache = append(others, prefix)
	if len(u.cache) > capacity {
		u.cache = u.cache[1:]
	}
}

func (sim *simulation) cachedAnywhere(prefix int) bool {
	for _, u := range sim.upstreams {
		if u.hasCached(prefix) {
			return true
		}
	}
	return false
}

// views returns the upstreams as the policy sees them: reports of up to the age given
// by the setting, with the backlog of the job's tier and the tiers above it.
func (sim *simulation) views(j job) []index.View {
	if sim.now-sim.reportedAt >= sim.setting.Stale.Seconds() {
		sim.reportedAt = sim.now
		for tier := range tierCount {
			sim.reports[tier] = sim.reports[tier][:0]
			for _, u := range sim.upstreams {
				sim.reports[tier] = append(sim.reports[tier], sim.view(u, tier))
			}
		}
	}
	views := append([]index.View(nil), sim.reports[j.tier]...)
	for i := range views {
		views[i].CachedShare = 0
		if sim.setting.CacheHeld > 0 && sim.upstreams[i].hasCached(j.prefix) {
			views[i].CachedShare = 1
		}
	}
	return views
}

// addToReports adds a job that was sent to the current reports, if the setting is
// Corrected.
func (sim *simulation) addToReports(upstreamIndex int, j job) {
	if !sim.setting.Corrected {
		return
	}
	for tier := j.tier; tier < tierCount; tier++ {
		v := &sim.reports[tier][upstreamIndex]
		v.Jobs++
		v.Backlog += seconds(j.predictedSize / v.Speed)
	}
}

func (sim *simulation) view(u *upstream, tier int) index.View {
	v := index.View{Slots: 1, Speed: u.speed, Jobs: u.queue.Len()}
	for _, work := range u.backlog[:tier+1] {
		v.Backlog += seconds(work / u.speed)
	}
	if u.busy {
		v.Jobs++
		v.Backlog += seconds(max(u.busyUntil-sim.now, 0))
	}
	return v
}

func (sim *simulation) trafficStats() index.Traffic {
	if sim.arrived == 0 || sim.now <= 0 {
		return index.Traffic{ArrivalRate: 1, MeanServiceTime: 1, MeanSquareServiceTime: 2}
	}
	count := float64(sim.arrived)
	return index.Traffic{ArrivalRate: count / sim.now, MeanServiceTime: sim.sizeSum / count, MeanSquareServiceTime: sim.squareSum / count}
}

func (sim *simulation) outcome(name string) Outcome {
	o := Outcome{Policy: name, MeanDelay: sim.delay / float64(max(sim.served, 1)), Wasted: sim.wasted / max(sim.prefill, 1)}
	for tier := range tierCount {
		o.Goodput = append(o.Goodput, float64(sim.inTime[tier])/float64(max(sim.offered[tier], 1)))
	}
	return o
}

// Names returns the names of all policies in alphabetical order.
func Names() []string {
	names := make([]string, 0, len(index.Policies))
	for name := range index.Policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
