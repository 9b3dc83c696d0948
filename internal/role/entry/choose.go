package entry

import (
	"sort"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/caller/request"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/dispatch/candidate"
	"github.com/persimmonridge/persimmonridge/internal/dispatch/forecast"
	"github.com/persimmonridge/persimmonridge/internal/dispatch/index"
	"github.com/persimmonridge/persimmonridge/internal/fleet/member"
)

const (
	// firstSet is the number of candidates that are weighed at first, and
	// wideSet that which a request may be offered to before it is refused. In
	// a group of at most wideSet all are weighed.
	firstSet = 8
	wideSet  = 24
	// prefillRate is the assumed prompt tokens a second at speed 1.
	prefillRate = 2000
	// decodeGap is the time of one token at speed 1.
	decodeGap = 30 * time.Millisecond
	// workQuantile is the quantile of the learned lengths taken as expected.
	workQuantile = 0.5
)

// choice is one upstream to ask, with the work that the request means there.
type choice struct {
	upstream *member.Upstream
	// incarnation is the agent's process that the choice was made for, 0 when
	// unknown.
	incarnation uint64
	// rank is the index's cost; the least is asked first.
	rank float64
	work time.Duration
	// wait is the predicted wait there, patience how much of it is borne.
	wait     time.Duration
	patience time.Duration
}

// plan returns whom to ask, in the index's order, out of the first set or of
// the wide one.
// Upstreams of the version that the request's share belongs to come first;
// those of the other version follow, if it may be used at all.
func (e *Entry) plan(now time.Time, q *request.Request, doc document.Document, wide bool) []choice {
	var plan []choice
	for _, version := range e.moves.versions(q, doc) {
		plan = append(plan, e.rank(now, q, e.table.Group(q.Service().Name(), version), wide)...)
	}
	return plan
}

func (e *Entry) rank(now time.Time, q *request.Request, group *member.Group, wide bool) []choice {
	if group == nil {
		return nil
	}
	var buffer [candidate.Most]int
	key := candidate.Key(q.Workspace(), q.PrefixKey())
	size := firstSet
	if wide || group.Len() <= wideSet {
		size = wideSet
	}
	chosen := candidate.Choose(buffer[:0], group.Members(), key, size)
	var views [candidate.Most]index.View
	for i, at := range chosen {
		views[i] = group.At(at).View(now, q.Tier())
	}
	assumeSpeeds(views[:len(chosen)])
	choices := make([]choice, 0, len(chosen))
	for i, at := range chosen {
		if u := group.At(at); u.Available(now) {
			choices = append(choices, e.weigh(q, u, views[i]))
		}
	}
	sort.SliceStable(choices, func(i, j int) bool { return choices[i].rank < choices[j].rank })
	return choices
}

// assumeSpeeds takes an upstream without a measured speed to be as fast as the
// best of the others: one that was never tried would otherwise never be.
func assumeSpeeds(views []index.View) {
	best := 0.0
	for _, v := range views {
		best = max(best, v.Speed)
	}
	if best == 0 {
		best = 1
	}
	for i := range views {
		if views[i].Speed == 0 {
			views[i].Speed = best
		}
	}
}

func (e *Entry) weigh(q *request.Request, u *member.Upstream, view index.View) choice {
	job := index.Job{Cost: 1}
	if q.Service().Kind() == inventory.Model {
		tokens := e.forecast.Quantile(route(q), workQuantile)
		job.Decode = time.Duration(tokens) * decodeGap
		job.Prefill = time.Duration(q.PromptTokens()) * time.Second / prefillRate
		view.Cached = cached(q, u)
	} else {
		job.Decode = e.plainWork(q)
	}
	alone := (job.Decode.Seconds() + job.Prefill.Seconds()*(1-view.Cached)) / view.Speed
	return choice{upstream: u, incarnation: u.Incarnation(), rank: index.Weighted(view, job), wait: view.Wait(), work: time.Duration(alone * float64(time.Second))}
}

// cached is the share of the prompt's prefill that the upstream's cache saves.
func cached(q *request.Request, u *member.Upstream) float64 {
	if !u.Holds(q.PrefixKey()) {
		return 0
	}
	return float64(q.PrefixTokens()) / float64(q.PromptTokens())
}

// plainWork is the expected time of a plain service's call, learned in
// milliseconds where a model's answer is learned in tokens.
func (e *Entry) plainWork(q *request.Request) time.Duration {
	return time.Duration(e.forecast.Quantile(route(q), workQuantile)) * time.Millisecond
}

func route(q *request.Request) forecast.Route {
	return forecast.NewRoute(q.Workspace(), q.Action().Route())
}
