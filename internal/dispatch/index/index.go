// Package index implements the dispatching policies that choose one of the
// candidates of a request. Each policy is a function of the entry's view of the
// candidates; docs/INDEX.md has the measurements behind the choice of the policy
// in use.
package index

import (
	"math"
	"math/rand/v2"
	"time"
)

// View is an entry's view of one upstream: its last report, corrected by the
// requests that the entry has sent there since.
type View struct {
	// Backlog is the waiting and running work, in time at this upstream's speed.
	Backlog time.Duration
	// Jobs is the number of waiting and running requests.
	Jobs int
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Speed is the upstream's speed relative to the other upstreams.
	Speed float64
	// CachedShare is the share of this request's prefill that its cache saves.
	CachedShare float64
}

// Job is the expected size of a request.
type Job struct {
	// DecodeTime is the expected decode time of the answer at speed 1.
	DecodeTime time.Duration
	// PrefillTime is the prefill time of the prompt at speed 1, without cache.
	PrefillTime time.Duration
	// HoldingCost is the holding cost rate; it is higher for higher tiers.
	HoldingCost float64
}

// Traffic describes the arrival process, for the value functions of MarginalCost
// and Lookahead.
type Traffic struct {
	// ArrivalRate is the number of arrivals per second over all upstreams.
	ArrivalRate float64
	// The first two moments of the service time at speed 1, in seconds.
	MeanServiceTime       float64
	MeanSquareServiceTime float64
}

// Policy returns the index of the view that a job is sent to.
type Policy func(views []View, job Job, traffic Traffic, random *rand.Rand) int

// Policies maps names to policies.
var Policies = map[string]Policy{
	"random-of-two":       PowerOfTwoChoices,
	"join-shortest-queue": JoinShortestQueue,
	"least-work-left":     LeastWorkLeft,
	"myopic":              Myopic,
	"marginal-cost":       MarginalCost,
	"lookahead":           Lookahead,
	"expected-finish":     ExpectedFinish,
	"weighted-prefill":    WeightedPrefill,
	"cached-lookahead":    CachedLookahead,
}

// PowerOfTwoChoices chooses the shorter one of the queues of two random upstreams.
func PowerOfTwoChoices(views []View, _ Job, _ Traffic, random *rand.Rand) int {
	a, b := random.IntN(len(views)), random.IntN(len(views))
	if views[b].Jobs < views[a].Jobs {
		return b
	}
	return a
}

// JoinShortestQueue chooses the upstream with the fewest jobs.
func JoinShortestQueue(views []View, _ Job, _ Traffic, _ *rand.Rand) int {
	return argMin(views, func(v View) float64 { return float64(v.Jobs) })
}

// LeastWorkLeft chooses the upstream with the smallest backlog.
func LeastWorkLeft(views []View, _ Job, _ Traffic, _ *rand.Rand) int {
	return argMin(views, func(v View) float64 { return v.Backlog.Seconds() })
}

// Myopic chooses the upstream with the earliest expected finish of this job,
// ignoring caches.
func Myopic(views []View, job Job, _ Traffic, _ *rand.Rand) int {
	return argMin(views, func(v View) float64 { return v.ExpectedWait().Seconds() + serviceTime(job)/v.Speed })
}

// ExpectedFinish chooses the upstream with the earliest expected finish of this
// job, including the prefill that the upstream's cache saves.
func ExpectedFinish(views []View, job Job, _ Traffic, _ *rand.Rand) int {
	return argMin(views, func(v View) float64 { return FinishTime(v, job) })
}

// prefillCostFactor is the cost of a second of prefill relative to a second of
// waiting: besides delaying this job, prefill occupies the engine and evicts
// cached prefixes that later jobs would use. docs/INDEX.md has the measurement.
const prefillCostFactor = 5

// WeightedPrefill is ExpectedFinish plus the cost of the job's prefill to other
// jobs.
func WeightedPrefill(views []View, job Job, _ Traffic, _ *rand.Rand) int {
	return argMin(views, func(v View) float64 { return WeightedFinishTime(v, job) })
}

// WeightedFinishTime returns the expected time until the job is finished plus the cost of
// its prefill to other jobs, in seconds.
func WeightedFinishTime(v View, job Job) float64 {
	prefill := job.PrefillTime.Seconds() * (1 - v.CachedShare) / v.Speed
	return FinishTime(v, job) + (prefillCostFactor-1)*prefill
}

// CachedLookahead is Lookahead without the prefill that the upstream's cache
// saves.
func CachedLookahead(views []View, job Job, traffic Traffic, _ *rand.Rand) int {
	total := totalSpeed(views)
	best, bestCost := 0, math.Inf(1)
	for i, v := range views {
		remaining := job
		remaining.PrefillTime = time.Duration(float64(job.PrefillTime) * (1 - v.CachedShare))
		cost := marginalCost(v, remaining, traffic, total) + secondAction(views, i, remaining, traffic, total)
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// FinishTime returns the expected time until the job is finished, in seconds.
func FinishTime(v View, job Job) float64 {
	prefill := job.PrefillTime.Seconds() * (1 - v.CachedShare)
	return v.ExpectedWait().Seconds() + (prefill+job.DecodeTime.Seconds())/v.Speed
}

// MarginalCost is formula 5 of "Lookahead Actions in Dispatching to Parallel
// Queues" (Hyytiä): u_i b + g_i (x/v_i)(2 u_i - x/v_i), with a Bernoulli split
// by speed as the basic policy.
func MarginalCost(views []View, job Job, traffic Traffic, _ *rand.Rand) int {
	total := totalSpeed(views)
	return argMin(views, func(v View) float64 { return marginalCost(v, job, traffic, total) })
}

// Lookahead is formula 8 of the same paper: the marginal cost with the best fixed
// second action over all upstreams.
func Lookahead(views []View, job Job, traffic Traffic, _ *rand.Rand) int {
	total := totalSpeed(views)
	best, bestCost := 0, math.Inf(1)
	for i := range views {
		cost := marginalCost(views[i], job, traffic, total) + secondAction(views, i, job, traffic, total)
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// secondAction returns the term that formula 8 adds to formula 5 for the first
// action i.
func secondAction(views []View, i int, job Job, traffic Traffic, total float64) float64 {
	rate := traffic.ArrivalRate
	waitSum, minNext := 0.0, math.Inf(1)
	for j, v := range views {
		u := v.ExpectedWait().Seconds()
		if j == i {
			u += serviceTime(job) / v.Speed
		}
		g := waitWeight(v, traffic, total)
		idle := math.Exp(-rate * u)
		waitSum += g * (1 - rate*u - idle)
		x, x2 := traffic.MeanServiceTime/v.Speed, traffic.MeanSquareServiceTime/(v.Speed*v.Speed)
		minNext = min(minNext, (1+2*g*x)*(u-(1-idle)/rate)+g*x2+x)
	}
	return 2/(rate*rate)*waitSum + minNext
}

func marginalCost(v View, job Job, traffic Traffic, total float64) float64 {
	x := serviceTime(job) / v.Speed
	u := v.ExpectedWait().Seconds() + x
	return u*job.HoldingCost + waitWeight(v, traffic, total)*x*(2*u-x)
}

// waitWeight is the paper's g_i = λ_i E[B] / (2 (1 - ρ_i)), E[B] being 1.
func waitWeight(v View, traffic Traffic, total float64) float64 {
	// maxLoad keeps the formula finite when the estimated load reaches 1; the
	// paper assumes a stable system.
	const maxLoad = 0.98
	rate := traffic.ArrivalRate * v.Speed / total
	load := min(rate*traffic.MeanServiceTime/v.Speed, maxLoad)
	return rate / (2 * (1 - load))
}

// ExpectedWait returns the expected time until a slot is free.
func (v View) ExpectedWait() time.Duration {
	if v.Jobs < v.Slots {
		return 0
	}
	return v.Backlog / time.Duration(max(v.Slots, 1))
}

func serviceTime(job Job) float64 { return (job.PrefillTime + job.DecodeTime).Seconds() }

func totalSpeed(views []View) float64 {
	total := 0.0
	for _, v := range views {
		total += v.Speed
	}
	return total
}

// argMin returns the index of the view with the lowest cost. Ties are resolved in
// favor of the faster upstream, then the first one.
func argMin(views []View, cost func(View) float64) int {
	best, bestCost := 0, math.Inf(1)
	for i, v := range views {
		viewCost := cost(v)
		if viewCost < bestCost || viewCost == bestCost && v.Speed > views[best].Speed {
			best, bestCost = i, viewCost
		}
	}
	return best
}
