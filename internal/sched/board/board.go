// Package board schedules generation requests on engines: it decides which engine a
// request goes to, which requests wait and which are refused. It sees the requests of all
// gateways that use this scheduler, so it never assigns an engine more requests than it
// has slots. It does no I/O and does not read the clock.
package board

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/division"
)

// Upstream is an engine that may be assigned requests.
type Upstream struct {
	ID          string
	Service     string
	Domain      string
	Version     string
	Slots       int
	StartedAtMs int64
	// TokensPerEvent is the number of tokens in one stream event.
	TokensPerEvent int
	// WarmsUp is set if the engines of the service warm up after their start, so that the
	// limiter is to be asked.
	WarmsUp bool
}

// Scheduler holds the state of all engines and waiting requests. It is not safe for
// concurrent use.
type Scheduler struct {
	engines map[string]*engine
	// byService holds the engines of each service, sorted by ID.
	byService map[string][]*engine
	byRun     map[string]*engine
	// byOwner holds the keys of each gateway's runs.
	byOwner map[string]map[string]struct{}
	// scanOffset is the index of the engine at which the next search starts.
	scanOffset  int
	waiting     []*SlotRequest
	late        []*SlotRequest
	decisions   []Decision
	jitterState uint64
	// unheardShare is the share of the known gateways that this scheduler does not hear
	// and that may use other schedulers.
	unheardShare float64
	// saturatedSince is when requests that can still be served in time began to wait
	// without a break.
	saturatedSince time.Time
	refusals       refusals
	// restoredSpeeds are engine speeds learned by another scheduler.
	restoredSpeeds map[string]Speed
	// grantRates are the rates at which waiting requests of each rank are granted slots.
	grantRates map[rank]*grantRate
	// timings holds what the engines of a service have in common.
	timings map[string]*serviceTiming
	// baselines cache the failure rate with which the engines of a service are compared.
	baselines         map[string]failureBaseline
	refusalsExpiredAt time.Time
	limiter           Limiter
	// tierUses hold what each tier of a service got lately.
	tierUses map[serviceTier]*tierUse
	// turns counts the slots that were given to waiting requests.
	turns uint64
	// refused holds the latest refusals, by run key, in case their slot requests come again.
	refused          map[string]refusedRequest
	refusedExpiredAt time.Time
	// ended holds the slot requests that ended lately, in case a copy of one comes late.
	ended endedRequests
	// ledger holds the recent usage of each workspace.
	ledger *division.Ledger
	// otherWaiting is a buffer of countAhead.
	otherWaiting []*division.Account
}

// New returns an empty scheduler.
func New() *Scheduler {
	return &Scheduler{
		engines: make(map[string]*engine), byService: make(map[string][]*engine), byRun: make(map[string]*engine),
		byOwner:  make(map[string]map[string]struct{}),
		refusals: make(refusals), restoredSpeeds: make(map[string]Speed), grantRates: make(map[rank]*grantRate), timings: make(map[string]*serviceTiming),
		baselines: make(map[string]failureBaseline), tierUses: make(map[serviceTier]*tierUse), refused: make(map[string]refusedRequest),
		ledger: division.NewLedger(),
	}
}

// SetLimiter sets the limiter. Without one, engines get as many requests as they have slots
// for.
func (s *Scheduler) SetLimiter(l Limiter) { s.limiter = l }

// SetUpstreams replaces the list of engines that may be assigned requests. An engine that
// restarted begins with no runs and an unknown speed. An engine that was unlisted for a
// while keeps its runs, and they count when it is listed again.
func (s *Scheduler) SetUpstreams(now time.Time, upstreams []Upstream) {
	listed := make(map[string]*engine, len(upstreams))
	s.byService = make(map[string][]*engine)
	var unlisted map[string]*engine
	for _, u := range upstreams {
		e := s.engines[u.ID]
		if e == nil {
			if unlisted == nil {
				unlisted = s.unlisted()
			}
			if e = unlisted[u.ID]; e != nil {
				e.setShared(now, s.unheardShare)
			}
		}
		if e == nil || e.StartedAtMs != u.StartedAtMs {
			e = newEngine(now, u, s.timing(u.Service))
			e.setShared(now, s.unheardShare)
			s.applyRestoredSpeed(e)
		}
		e.Upstream = u
		listed[u.ID] = e
		s.byService[u.Service] = append(s.byService[u.Service], e)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(x, y *engine) int { return cmp.Compare(x.ID, y.ID) })
	}
	s.engines = listed
	s.Tick(now)
}

// unlisted returns the engines that are not in the current list but still have runs.
func (s *Scheduler) unlisted() map[string]*engine {
	unlisted := make(map[string]*engine)
	for _, e := range s.byRun {
		// If two processes have used the same ID, the later one wins.
		if other := unlisted[e.ID]; s.engines[e.ID] == nil && (other == nil || other.StartedAtMs < e.StartedAtMs) {
			unlisted[e.ID] = e
		}
	}
	return unlisted
}

func (s *Scheduler) timing(service string) *serviceTiming {
	timing := s.timings[service]
	if timing == nil {
		timing = newServiceTiming()
		s.timings[service] = timing
	}
	return timing
}

// SetReachableGateways sets how many of the known gateways this scheduler hears. The others
// are down, or they are cut off from this scheduler but not from the engines, and then send
// requests to the same engines on their own.
func (s *Scheduler) SetReachableGateways(now time.Time, heard, known int) {
	unheardShare := 0.0
	if known > 0 {
		unheardShare = float64(known-heard) / float64(known)
	}
	if unheardShare == s.unheardShare {
		return
	}
	s.unheardShare = unheardShare
	for _, e := range s.engines {
		e.setShared(now, unheardShare)
	}
}

// Submit grants the request a slot on a suitable engine, or otherwise queues or refuses it.
func (s *Scheduler) Submit(now time.Time, request SlotRequest) {
	req := &request
	if s.superseded(req) || s.repeats(now, req) {
		return
	}
	req.arrived = now
	req.account = s.account(now, req.Service, req.Tier, req.Workspace)
	// A gateway holds at most one slot per request. If this scheduler still counts an
	// earlier one, it was released to another scheduler.
	s.Release(now, request.Owner, request.ID, SlotResult{Outcome: Canceled})
	req.giveUpAt = earliest(now.Add(maxLateWait), req.Deadline)
	req.refusedBefore = s.refusals.consume(now, req.Fingerprint)
	if s.tryGrant(now, req, false) {
		return
	}
	if !s.canEndInTime(now, req) {
		s.decideRefusal(now, req, Decision{Reason: "gateway stops before any engine could complete the stream"})
		return
	}
	if slack := s.slack(now, req); slack >= 0 {
		if s.queueTooLong(now, req, slack) {
			s.refuse(now, req, "queue too long for a slot in time")
			return
		}
		s.enqueue(req)
		s.updateSaturation(now)
		s.decide(req, Decision{Waiting: true})
		return
	}
	s.enqueueLate(now, req)
}

// superseded reports whether the gateway holds a newer slot for the request. The gateway
// abandoned this slot request, which arrived late over a connection that was replaced.
func (s *Scheduler) superseded(req *SlotRequest) bool {
	k := runKey(req.Owner, req.ID)
	e := s.byRun[k]
	if e == nil {
		return false
	}
	r := e.runs[k]
	return r != nil && r.number > req.Number
}

// decide queues the decision on a request for delivery to its owner.
func (s *Scheduler) decide(req *SlotRequest, d Decision) {
	d.Owner, d.ID, d.Number = req.Owner, req.ID, req.Number
	d.Urgent = req.Repeated || req.queued
	req.queued = req.queued || d.Waiting
	s.decisions = append(s.decisions, d)
}

func (s *Scheduler) slots(service string) int {
	slots := 0
	for _, e := range s.byService[service] {
		slots += e.Slots
	}
	return slots
}

// Started records the first event of a run, and the number of requests that its engine
// reported, or -1 if it reported none.
func (s *Scheduler) Started(now time.Time, owner, id string, reported int) {
	e := s.byRun[runKey(owner, id)]
	if e == nil {
		return
	}
	if r := e.runs[runKey(owner, id)]; r != nil {
		e.start(now, r)
		e.failuresInRow = 0
		if reported >= 0 {
			e.recordLoad(now, reported)
		}
	}
	s.fill(now, e)
}

// Release ends the use of a slot, or withdraws a waiting request.
func (s *Scheduler) Release(now time.Time, owner, id string, end SlotResult) {
	k := runKey(owner, id)
	if end.Number != 0 {
		s.ended.add(now, k, end.Number)
	}
	s.withdraw(owner, id, end.Number)
	e := s.byRun[k]
	if e == nil {
		return
	}
	r := e.runs[k]
	if r != nil && end.Number != 0 && end.Number != r.number {
		return
	}
	s.dropRun(owner, k)
	if r == nil {
		return
	}
	if end.Outcome == Answered && r.started {
		e.learnOverrun(r, end.StreamTime, end.Tokens)
		e.learnStream(now, r, end.StreamTime, end.Tokens)
	}
	e.remove(now, k, r)
	if s.limiter != nil && (end.Outcome == Interrupted || end.Outcome == Unreachable) {
		s.limiter.Failed(now, e.ID)
	}
	switch end.Outcome {
	case Answered:
		e.failuresInRow = 0
		e.failureRate.Succeeded(now)
	case Failed:
		e.failureRate.Failed(now)
	case Interrupted:
		e.failureRate.Broken(now)
	case Declined:
		e.recordLoad(now, e.Slots)
	case Unreachable:
		e.backOff(now)
	case Misdirected:
		e.backoffUntil = now.Add(misdirectedBackoff)
	case Canceled:
	}
	s.fill(now, e)
}

func (s *Scheduler) withdraw(owner, id string, number uint64) {
	match := func(req *SlotRequest) bool {
		return req.ID == id && req.Owner == owner && (number == 0 || number == req.Number)
	}
	s.waiting = slices.DeleteFunc(s.waiting, match)
	s.late = slices.DeleteFunc(s.late, match)
}

// DropOwner removes all requests and runs of a gateway that is down. Its engines cancel
// the requests of its closed connections.
func (s *Scheduler) DropOwner(now time.Time, owner string) {
	s.waiting = slices.DeleteFunc(s.waiting, func(req *SlotRequest) bool { return req.Owner == owner })
	s.late = slices.DeleteFunc(s.late, func(req *SlotRequest) bool { return req.Owner == owner })
	for k := range s.byOwner[owner] {
		e := s.byRun[k]
		if r := e.runs[k]; r != nil {
			e.remove(now, k, r)
		}
		s.dropRun(owner, k)
	}
}

func (s *Scheduler) addRun(owner, k string, e *engine) {
	s.byRun[k] = e
	if s.byOwner[owner] == nil {
		s.byOwner[owner] = make(map[string]struct{})
	}
	s.byOwner[owner][k] = struct{}{}
}

func (s *Scheduler) dropRun(owner, k string) {
	delete(s.byRun, k)
	delete(s.byOwner[owner], k)
	if len(s.byOwner[owner]) == 0 {
		delete(s.byOwner, owner)
	}
}

// RefuseWaiting refuses the waiting requests for which the function returns true.
func (s *Scheduler) RefuseWaiting(now time.Time, hopeless func(service string, domains []string) bool, retryAfter time.Duration, reason string) {
	refuse := func(req *SlotRequest) bool {
		if !hopeless(req.Service, req.Domains) {
			return false
		}
		s.refusals.add(now, req.Fingerprint)
		s.decideRefusal(now, req, Decision{RetryAfter: retryAfter, Reason: reason})
		return true
	}
	s.waiting = slices.DeleteFunc(s.waiting, refuse)
	s.late = slices.DeleteFunc(s.late, refuse)
	s.updateSaturation(now)
}

// Tick moves requests that can no longer be served in time to the late queue, refuses late
// requests whose wait is over, and retries the others. It is to be called regularly while
// requests wait.
func (s *Scheduler) Tick(now time.Time) {
	if now.Sub(s.refusalsExpiredAt) > refusalTTL {
		s.refusalsExpiredAt = now
		s.refusals.expire(now)
	}
	s.forgetRefused(now)
	var missed []*SlotRequest
	fastest := make(map[string]*engine, len(s.byService))
	for service := range s.byService {
		fastest[service] = s.fastest(now, service)
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(req *SlotRequest) bool {
		if s.slackOn(now, req, fastest[req.Service]) >= 0 {
			return false
		}
		missed = append(missed, req)
		return true
	})
	s.late = slices.DeleteFunc(s.late, func(req *SlotRequest) bool {
		if now.Before(req.giveUpAt) {
			return false
		}
		s.refuse(now, req, "no slot became free in time")
		return true
	})
	for _, req := range missed {
		s.enqueueLate(now, req)
	}
	s.fillAll(now)
	s.updateSaturation(now)
}

// fillAll fills every engine that has a free slot. An engine may become suitable for a
// waiting request just because time has passed.
func (s *Scheduler) fillAll(now time.Time) {
	for _, list := range s.byService {
		for _, e := range list {
			if e.running(now) < e.Slots {
				s.fill(now, e)
			}
		}
	}
}

// TickInterval is the interval between ticks while requests wait.
const TickInterval = 10 * time.Millisecond

// Waiting reports whether any requests are waiting.
func (s *Scheduler) Waiting() bool { return len(s.waiting)+len(s.late) > 0 }

// Decisions returns the decisions made since the last call.
func (s *Scheduler) Decisions() []Decision {
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

func runKey(owner, id string) string { return owner + "/" + id }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
