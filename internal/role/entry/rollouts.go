package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/caller/request"
	"github.com/persimmonridge/persimmonridge/internal/config/changelog"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/fleet/member"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
	"github.com/persimmonridge/persimmonridge/internal/version/move"
)

const (
	// leaseKey is the key of the lease whose holder advances rollouts.
	leaseKey = "persimmonridge/duty/moves"
	// stepInterval is how often the lease holder evaluates each rollout.
	stepInterval = time.Second
	// evidenceBytesPerRoute is the approximate size of a route's evidence in a
	// notice, and evidenceBytesPerSecond the rate of evidence that the lease
	// holder may receive in total.
	evidenceBytesPerRoute  = 60
	evidenceBytesPerSecond = 1500
	// minEvidenceInterval and maxEvidenceInterval bound how often agents send
	// evidence. In a large fleet the lease holder detects a fault later; the
	// breakers of agents and entries act without it.
	minEvidenceInterval = time.Second
	maxEvidenceInterval = time.Minute
)

// rollouts decides which version a request may be sent to, stops versions that
// fail here, and advances rollouts while this entry holds the lease.
type rollouts struct {
	entry     *Entry
	submitter *changelog.Submitter

	mu      sync.Mutex
	local   map[string]*localRollout
	reports map[string]report
	stages  map[string]*stageBaseline
}

// localRollout is the state of a rollout based on this entry's own requests.
type localRollout struct {
	breaker *evidence.Breaker
	stopped bool
}

// report is the latest evidence from the agent of one upstream.
type report struct {
	incarnation uint64
	service     string
	version     string
	stopped     bool
	board       *evidence.Board
}

// stageBaseline is the evidence of all agents at the start of a stage.
type stageBaseline struct {
	stage int
	since time.Time
	board *evidence.Board
	watch *evidence.Watch
}

func newRollouts(e *Entry) *rollouts {
	return &rollouts{
		entry: e, submitter: changelog.NewSubmitter(e.store),
		local: make(map[string]*localRollout), reports: make(map[string]report), stages: make(map[string]*stageBaseline),
	}
}

// versions returns the versions that a request may be sent to, in order of
// preference. A version in rollout serves only its share of requests, and none
// once this entry or any agent has stopped it.
func (m *rollouts) versions(q *request.Request, doc document.Document) []string {
	service := q.Service().Name()
	for _, rollout := range doc.Moves() {
		if rollout.Service() == service {
			return m.permitted(rollout, q)
		}
	}
	if version, ok := doc.Rules().Current(service); ok {
		return []string{version}
	}
	return q.Service().Versions()
}

func (m *rollouts) permitted(rollout document.Move, q *request.Request) []string {
	state, known := rollout.State()
	if known && state.Verdict() == document.Completed {
		return []string{rollout.To(), rollout.From()}
	}
	if !rollout.InProgress() || m.stopped(rollout) || !move.InShare(rollout.Move, q.ID(), state.Share()) {
		return []string{rollout.From()}
	}
	return []string{rollout.To(), rollout.From()}
}

// stopped reports whether this entry must not choose the new version, because
// of its own evidence or because an agent stopped its upstream.
func (m *rollouts) stopped(rollout document.Move) bool {
	if m.stoppedLocally(rollout) {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stoppedUpstreams(rollout) > 0
}

// stoppedUpstreams returns the number of upstreams of the new version that were
// stopped by their agents. The caller holds the lock.
func (m *rollouts) stoppedUpstreams(rollout document.Move) int {
	count := 0
	for _, r := range m.reports {
		if r.service == rollout.Service() && r.version == rollout.To() && r.stopped {
			count++
		}
	}
	return count
}

// checkShare checks that the version of a rollout serves only its share of
// requests.
func (m *rollouts) checkShare(q *request.Request, u *member.Upstream, doc document.Document) {
	for _, rollout := range doc.Moves() {
		state, known := rollout.State()
		if rollout.Service() != u.Service() || rollout.To() != u.Version() {
			continue
		}
		within := known && (state.Verdict() == document.Completed || state.Verdict() == document.Moving && move.InShare(rollout.Move, q.ID(), state.Share()))
		m.entry.invariants.Check(within, invariant.ShareWithinStage, q.ID(), "sent to version "+u.Version()+" outside its share of the rollout")
	}
}

// observe records the end of one of this entry's own requests. Only failures
// stop a version here; latencies are compared over the whole fleet by the lease
// holder.
func (m *rollouts) observe(q *request.Request, u *member.Upstream, failed bool) {
	doc, _ := m.entry.log.Current()
	for _, rollout := range doc.Moves() {
		if rollout.Service() == u.Service() && rollout.InProgress() {
			m.observeRollout(rollout, q, u, failed)
		}
	}
}

func (m *rollouts) observeRollout(rollout document.Move, q *request.Request, u *member.Upstream, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.local[rollout.Name()]
	if known == nil {
		known = &localRollout{breaker: evidence.NewBreaker()}
		m.local[rollout.Name()] = known
	}
	if known.stopped || u.Version() != rollout.To() {
		return
	}
	route := q.Workspace() + "/" + q.Action().Route()
	if known.breaker.Observe(route, failed) {
		known.stopped = true
		m.entry.logger.Warn("version stopped by this entry", "move", rollout.Name(), "version", rollout.To(), "route", route, "request", q.ID())
	}
}

// recordReport stores an agent's evidence on its version.
func (m *rollouts) recordReport(u *member.Upstream, n *wire.Notice) {
	r := report{
		incarnation: n.GetLoad().GetIncarnation(), service: u.Service(), version: u.Version(),
		stopped: n.GetLoad().GetBlocked() == wire.Decline_REASON_BRAKED, board: evidence.NewBoard(),
	}
	for _, part := range n.GetEvidence() {
		r.board.Set(part.GetVersion(), part.GetRoute(), evidence.FromCounts(part.GetRuns(), part.GetFailures(), part.GetLatencyBuckets()))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// A notice without evidence was sent before this entry requested evidence;
	// earlier evidence of the same process remains valid.
	if known := m.reports[u.Name()]; len(n.GetEvidence()) == 0 && known.incarnation == r.incarnation && known.board != nil {
		r.board = known.board
	}
	m.reports[u.Name()] = r
}

// removeReport removes the report of an upstream that no longer exists.
func (m *rollouts) removeReport(u *member.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reports, u.Name())
}

// evidenceInterval returns how often each agent has to send evidence, so that
// all agents together stay within evidenceBytesPerSecond.
func (m *rollouts) evidenceInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	bytes := 0
	for _, r := range m.reports {
		for _, version := range r.board.Versions() {
			bytes += evidenceBytesPerRoute * len(r.board.Routes(version))
		}
	}
	return min(max(time.Duration(bytes)*time.Second/evidenceBytesPerSecond, minEvidenceInterval), maxEvidenceInterval)
}

// run advances open rollouts while this entry holds the lease, which it tries
// to acquire.
func (m *rollouts) run(ctx context.Context) {
	for ctx.Err() == nil {
		doc, revision := m.entry.log.Current()
		if !m.submitStopped(ctx, doc, revision) && m.anyOpen(doc) && m.acquireLease(ctx) {
			m.stepAll(ctx, doc, revision)
		}
		wait.For(ctx, stepInterval)
	}
}

// submitStopped submits the end of a rollout that this entry has stopped, and
// reports whether there was one.
func (m *rollouts) submitStopped(ctx context.Context, doc document.Document, revision uint64) bool {
	for _, rollout := range doc.Moves() {
		if rollout.InProgress() && m.stoppedLocally(rollout) {
			now := m.entry.now()
			state, _ := rollout.State()
			m.submit(ctx, now, rollout, move.Stopped(now, rollout.Move, state, m.entry.settings.Node()), revision)
			return true
		}
	}
	return false
}

func (m *rollouts) stoppedLocally(rollout document.Move) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.local[rollout.Name()]
	return known != nil && known.stopped
}

func (m *rollouts) anyOpen(doc document.Document) bool {
	return slices.ContainsFunc(doc.Moves(), document.Move.Open)
}

func (m *rollouts) acquireLease(ctx context.Context) bool {
	had := m.entry.holder.Held(m.entry.now(), leaseKey)
	held, err := m.entry.holder.TryAcquire(ctx, leaseKey, []byte(m.entry.settings.Node()))
	if err == nil && held && !had {
		m.entry.changed.Raise()
	}
	return err == nil && held
}

func (m *rollouts) stepAll(ctx context.Context, doc document.Document, revision uint64) {
	for _, rollout := range doc.Moves() {
		if !rollout.Open() {
			continue
		}
		m.contactAll(ctx, rollout.Service())
		now := m.entry.now()
		state, known := rollout.State()
		next, changed := move.Step(now, rollout.Move, state, known, m.observed(now, rollout, state))
		if changed {
			m.submit(ctx, now, rollout, next, revision)
			return
		}
	}
}

func (m *rollouts) contactAll(ctx context.Context, service string) {
	for _, u := range m.entry.table.Service(service) {
		if !u.Connected() && !u.Leaving() {
			m.entry.contact(ctx, u)
		}
	}
}

// observed sums up the reports of all agents.
func (m *rollouts) observed(now time.Time, rollout document.Move, state document.MoveState) move.Observed {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := evidence.NewBoard()
	for _, r := range m.reports {
		if r.service == rollout.Service() {
			all.Merge(r.board)
		}
	}
	base := m.stages[rollout.Name()]
	if base == nil {
		base = &stageBaseline{stage: state.Stage(), since: state.Since(), board: all, watch: evidence.NewWatch()}
		m.stages[rollout.Name()] = base
	}
	if base.stage != state.Stage() || !base.since.Equal(state.Since()) {
		base.stage, base.since, base.board = state.Stage(), state.Since(), all
	}
	return move.Observed{All: all, Stage: all.Since(base.board), Fault: base.watch.Update(all, rollout.From(), rollout.To()), StoppedUpstreams: m.stoppedUpstreams(rollout), Ready: m.ready(now, rollout)}
}

func (m *rollouts) ready(now time.Time, rollout document.Move) bool {
	group := m.entry.table.Group(rollout.Service(), rollout.To())
	if group == nil {
		return false
	}
	for i := range group.Len() {
		if group.At(i).Available(now) {
			return true
		}
	}
	return false
}

// submit records a step. The compare-and-swap on the head rejects it if any
// change was accepted since, including a step of another lease holder, so a
// holder that was paused beyond its lease does no harm.
func (m *rollouts) submit(ctx context.Context, now time.Time, rollout document.Move, next document.MoveState, revision uint64) {
	patch, err := json.Marshal(map[string]any{"moves": map[string]document.MoveState{rollout.Name(): next}})
	if err != nil {
		return
	}
	who := fmt.Sprintf("duty/moves at %s, fence %d", m.entry.settings.Node(), m.entry.holder.Fence(leaseKey))
	record, err := m.submitter.Submit(ctx, now, changelog.NewChange(revision, who, next.Why(), patch))
	if err != nil {
		m.entry.logger.Warn("rollout step failed", "move", rollout.Name(), "error", err.Error())
		return
	}
	_ = m.entry.log.Apply(nil, []changelog.Record{record})
	m.entry.logger.Info("rollout step recorded", "move", rollout.Name(), "verdict", string(next.Verdict()), "share", next.Share(), "why", next.Why())
}

// describe lists the rollouts for the status, sorted by name.
func (m *rollouts) describe(now time.Time) []rolloutStatus {
	doc, _ := m.entry.log.Current()
	var out []rolloutStatus
	for _, rollout := range doc.Moves() {
		state, known := rollout.State()
		s := rolloutStatus{Name: rollout.Name(), Service: rollout.Service(), From: rollout.From(), To: rollout.To(), By: rollout.Deadline(), Verdict: "not-begun", StoppedHere: m.stopped(rollout)}
		if known {
			s.Verdict, s.Share, s.Since, s.Why = string(state.Verdict()), state.Share(), state.Since(), state.Why()
			s.CannotMeetDeadline = state.Verdict() == document.Moving && !move.CanMeetDeadline(now, rollout.Move, state)
		}
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

type rolloutStatus struct {
	Name               string    `json:"name"`
	Service            string    `json:"service"`
	From               string    `json:"from"`
	To                 string    `json:"to"`
	By                 time.Time `json:"by"`
	Verdict            string    `json:"verdict"`
	Share              float64   `json:"share"`
	Since              time.Time `json:"since"`
	Why                string    `json:"why"`
	StoppedHere        bool      `json:"stopped-here"`
	CannotMeetDeadline bool      `json:"cannot-meet-deadline"`
}
