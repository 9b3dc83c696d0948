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
	// initialCandidates is the number of candidates that are scored at first,
	// and maxCandidates the number that a request may be offered to before it is
	// refused. In a group of at most maxCandidates all are scored.
	initialCandidates = 8
	maxCandidates     = 24
	// prefillRate is the assumed number of prompt tokens per second at speed 1.
	prefillRate = 2000
	// tokenInterval is the assumed time per output token at speed 1.
	tokenInterval = 30 * time.Millisecond
	// workQuantile is the quantile of the observed lengths that is used as the
	// expected length.
	workQuantile = 0.5
)

// choice is an upstream to offer the request to, with the expected work there.
type choice struct {
	upstream *member.Upstream
	// incarnation is the agent process that the choice was made for, 0 if
	// unknown.
	incarnation uint64
	// rank is the cost by the index; the lowest is tried first.
	rank float64
	work time.Duration
	// wait is the predicted queueing time there, and queueTimeout the time
	// after which the request is handed back, 0 for no limit.
	wait         time.Duration
	queueTimeout time.Duration
}

// plan returns the upstreams to try, ordered by the index, out of the initial
// candidates or, if wide is set, out of up to maxCandidates. Upstreams of the
// preferred version come first, followed by those of the other version if the
// request may use it.
func (e *Entry) plan(now time.Time, q *request.Request, doc document.Document, wide bool) []choice {
	var plan []choice
	for _, version := range e.rollouts.versions(q, doc) {
		plan = append(plan, e.rank(now, q, e.table.Group(q.Service().Name(), version), wide)...)
	}
	return plan
}

func (e *Entry) rank(now time.Time, q *request.Request, group *member.Group, wide bool) []choice {
	if group == nil {
		return nil
	}
	var buffer [candidate.MaxCandidates]int
	key := candidate.Key(q.Workspace(), q.PrefixKey())
	size := initialCandidates
	if wide || group.Len() <= maxCandidates {
		size = maxCandidates
	}
	chosen := candidate.Choose(buffer[:0], group.Members(), key, size)
	var views [candidate.MaxCandidates]index.View
	for i, at := range chosen {
		views[i] = group.At(at).View(now, q.Tier())
	}
	assumeSpeeds(views[:len(chosen)])
	choices := make([]choice, 0, len(chosen))
	for i, at := range chosen {
		if u := group.At(at); u.Available(now) {
			choices = append(choices, e.score(q, u, views[i]))
		}
	}
	sort.SliceStable(choices, func(i, j int) bool { return choices[i].rank < choices[j].rank })
	return choices
}

// assumeSpeeds gives upstreams without a measured speed the speed of the
// fastest other one; otherwise an untried upstream would never be chosen.
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

func (e *Entry) score(q *request.Request, u *member.Upstream, view index.View) choice {
	job := index.Job{HoldingCost: 1}
	if q.Service().Kind() == inventory.Model {
		tokens := e.forecast.Quantile(route(q), workQuantile)
		job.DecodeTime = time.Duration(tokens) * tokenInterval
		job.PrefillTime = time.Duration(q.PromptTokens()) * time.Second / prefillRate
		view.CachedShare = cachedShare(q, u)
	} else {
		job.DecodeTime = e.plainWork(q)
	}
	alone := (job.DecodeTime.Seconds() + job.PrefillTime.Seconds()*(1-view.CachedShare)) / view.Speed
	return choice{upstream: u, incarnation: u.Incarnation(), rank: index.WeightedFinishTime(view, job), wait: view.ExpectedWait(), work: time.Duration(alone * float64(time.Second))}
}

// cachedShare returns the share of the prompt's prefill that the upstream's
// cache saves.
func cachedShare(q *request.Request, u *member.Upstream) float64 {
	if !u.HasPrefix(q.PrefixKey()) {
		return 0
	}
	return float64(q.PrefixTokens()) / float64(q.PromptTokens())
}

// plainWork returns the expected duration of a plain service's call. The
// forecast holds milliseconds for plain services and tokens for models.
func (e *Entry) plainWork(q *request.Request) time.Duration {
	return time.Duration(e.forecast.Quantile(route(q), workQuantile)) * time.Millisecond
}

func route(q *request.Request) forecast.Route {
	return forecast.NewRoute(q.Workspace(), q.Action().Route())
}
