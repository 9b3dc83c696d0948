// Package index ranks the candidates of one request. Each policy is a pure
// function of what the entry knows of them; docs/INDEX.md has the measurement
// that chose the one in use.
package index

import (
	"math"
	"math/rand/v2"
	"time"
)

// View is what an entry knows of one upstream, corrected by what it sent
// there since the upstream's last report.
type View struct {
	// Backlog is the work that waits or runs, in time at this upstream's speed.
	Backlog time.Duration
	// Jobs is the number that wait or run.
	Jobs int
	// Slots is how many may run at once.
	Slots int
	// Speed is the upstream's speed relative to the others'.
	Speed float64
	// Cached is the share of this request's prefill found in its cache.
	Cached float64
}

// Job is what an entry knows of the request.
type Job struct {
	// Decode is the expected time of the answer at speed 1.
	Decode time.Duration
	// Prefill is the time of the prompt without cache at speed 1.
	Prefill time.Duration
	// Cost is the holding cost rate; higher tiers cost more.
	Cost float64
}

// Traffic is what the paper's value functions need of the arrivals.
type Traffic struct {
	// Rate is arrivals a second, over all upstreams.
	Rate float64
	// MeanSize and MeanSquare are the first two moments of the size, in
	// seconds at speed 1.
	MeanSize   float64
	MeanSquare float64
}

// Policy chooses one of the views for a job.
type Policy func(views []View, job Job, traffic Traffic, random *rand.Rand) int

// Registry holds every policy by its name.
var Registry = map[string]Policy{
	"random-of-two":       RandomOfTwo,
	"join-shortest-queue": JoinShortestQueue,
	"least-work-left":     LeastWorkLeft,
	"myopic":              Myopic,
	"marginal-cost":       MarginalCost,
	"lookahead":           Lookahead,
	"expected-finish":     ExpectedFinish,
	"weighted-prefill":    WeightedPrefill,
	"cached-lookahead":    CachedLookahead,
}

// RandomOfTwo takes the shorter of two random queues.
func RandomOfTwo(views []View, _ Job, _ Traffic, random *rand.Rand) int {
	a, b := random.IntN(len(views)), random.IntN(len(views))
	if views[b].Jobs < views[a].Jobs {
		return b
	}
	return a
}

// JoinShortestQueue takes the upstream with the fewest jobs.
func JoinShortestQueue(views []View, _ Job, _ Traffic, _ *rand.Rand) int {
	return least(views, func(v View) float64 { return float64(v.Jobs) })
}

// LeastWorkLeft takes the upstream with the least backlog.
func LeastWorkLeft(views []View, _ Job, _ Traffic, _ *rand.Rand) int {
	return least(views, func(v View) float64 { return v.Backlog.Seconds() })
}

// Myopic takes the earliest finish of this job, as if no cache existed.
func Myopic(views []View, job Job, _ Traffic, _ *rand.Rand) int {
	return least(views, func(v View) float64 { return v.Wait().Seconds() + size(job)/v.Speed })
}

// ExpectedFinish takes the earliest finish, with the prefill that the
// upstream's cache saves.
func ExpectedFinish(views []View, job Job, _ Traffic, _ *rand.Rand) int {
	return least(views, func(v View) float64 { return Finish(v, job) })
}

// prefillWeight is how much dearer a second of prefill is than one of waiting:
// besides this job's own time it takes the engine's, and evicts a prefix that
// the next job would have found. docs/INDEX.md has the measurement.
const prefillWeight = 5

// WeightedPrefill is ExpectedFinish with prefill weighed by what it costs
// others.
func WeightedPrefill(views []View, job Job, _ Traffic, _ *rand.Rand) int {
	return least(views, func(v View) float64 { return Weighted(v, job) })
}

// Weighted returns the expected finish, in seconds, and what the job's prefill
// costs others.
func Weighted(v View, job Job) float64 {
	prefill := job.Prefill.Seconds() * (1 - v.Cached) / v.Speed
	return Finish(v, job) + (prefillWeight-1)*prefill
}

// CachedLookahead is the paper's formula 8 with the prefill that the
// upstream's cache saves taken off the job's size there.
func CachedLookahead(views []View, job Job, traffic Traffic, _ *rand.Rand) int {
	total := totalSpeed(views)
	best, bestCost := 0, math.Inf(1)
	for i, v := range views {
		left := job
		left.Prefill = time.Duration(float64(job.Prefill) * (1 - v.Cached))
		cost := marginal(v, left, traffic, total) + secondAction(views, i, left, traffic, total)
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Finish returns the expected time until the job is finished, in seconds.
func Finish(v View, job Job) float64 {
	prefill := job.Prefill.Seconds() * (1 - v.Cached)
	return v.Wait().Seconds() + (prefill+job.Decode.Seconds())/v.Speed
}

// MarginalCost is formula 5 of "Lookahead Actions in Dispatching to Parallel
// Queues" (Hyytiä): u_i b + g_i (x/v_i)(2 u_i - x/v_i) with a Bernoulli split
// by speed as the basic policy.
func MarginalCost(views []View, job Job, traffic Traffic, _ *rand.Rand) int {
	total := totalSpeed(views)
	return least(views, func(v View) float64 { return marginal(v, job, traffic, total) })
}

// Lookahead is the paper's formula 8: the marginal cost with the best fixed
// second action, over all upstreams.
func Lookahead(views []View, job Job, traffic Traffic, _ *rand.Rand) int {
	total := totalSpeed(views)
	best, bestCost := 0, math.Inf(1)
	for i := range views {
		cost := marginal(views[i], job, traffic, total) + secondAction(views, i, job, traffic, total)
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// secondAction is what formula 8 adds to formula 5 for the first action i.
func secondAction(views []View, i int, job Job, traffic Traffic, total float64) float64 {
	rate := traffic.Rate
	later, next := 0.0, math.Inf(1)
	for j, v := range views {
		u := v.Wait().Seconds()
		if j == i {
			u += size(job) / v.Speed
		}
		g := weight(v, traffic, total)
		idle := math.Exp(-rate * u)
		later += g * (1 - rate*u - idle)
		x, x2 := traffic.MeanSize/v.Speed, traffic.MeanSquare/(v.Speed*v.Speed)
		next = min(next, (1+2*g*x)*(u-(1-idle)/rate)+g*x2+x)
	}
	return 2/(rate*rate)*later + next
}

func marginal(v View, job Job, traffic Traffic, total float64) float64 {
	x := size(job) / v.Speed
	u := v.Wait().Seconds() + x
	return u*job.Cost + weight(v, traffic, total)*x*(2*u-x)
}

// weight is the paper's g_i = λ_i E[B] / (2 (1 - ρ_i)), E[B] being 1.
func weight(v View, traffic Traffic, total float64) float64 {
	// highestLoad keeps the formula finite when the estimate of the load
	// reaches 1; the paper assumes a stable system.
	const highestLoad = 0.98
	rate := traffic.Rate * v.Speed / total
	load := min(rate*traffic.MeanSize/v.Speed, highestLoad)
	return rate / (2 * (1 - load))
}

// Wait is the expected time until a slot is free.
func (v View) Wait() time.Duration {
	if v.Jobs < v.Slots {
		return 0
	}
	return v.Backlog / time.Duration(max(v.Slots, 1))
}

func size(job Job) float64 { return (job.Prefill + job.Decode).Seconds() }

func totalSpeed(views []View) float64 {
	total := 0.0
	for _, v := range views {
		total += v.Speed
	}
	return total
}

// least breaks ties towards the faster upstream, then the first.
func least(views []View, cost func(View) float64) int {
	best, bestCost := 0, math.Inf(1)
	for i, v := range views {
		c := cost(v)
		if c < bestCost || c == bestCost && v.Speed > views[best].Speed {
			best, bestCost = i, c
		}
	}
	return best
}
