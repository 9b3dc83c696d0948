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
	// dutyKey is the lease of the duty that steps moves.
	dutyKey = "persimmonridge/duty/moves"
	// stepEvery is how often the duty's holder looks at each move.
	stepEvery = time.Second
	// evidenceBytes is about a route's evidence in a notice, and evidenceBudget
	// the bytes a second that the duty's holder may hear of it.
	evidenceBytes  = 60
	evidenceBudget = 1500
	// paceLeast and paceMost bound how often agents tell. The duty sees a fault
	// later in a large fleet; brakes do not wait for it.
	paceLeast = time.Second
	paceMost  = time.Minute
)

// moves is this entry's part in version moves: which version a request may go
// to, the entry's own brake, and the duty while this entry holds it.
type moves struct {
	entry     *Entry
	submitter *changelog.Submitter

	mu      sync.Mutex
	local   map[string]*localMove
	reports map[string]report
	stages  map[string]*stageBase
}

// localMove is what this entry saw of a move with its own requests.
type localMove struct {
	brake   *evidence.Brake
	stopped bool
}

// report is the latest evidence of one upstream's agent.
type report struct {
	incarnation uint64
	service     string
	version     string
	braked      bool
	board       *evidence.Board
}

// stageBase is all evidence at the moment a stage began.
type stageBase struct {
	stage int
	since time.Time
	board *evidence.Board
	watch *evidence.Watch
}

func newMoves(e *Entry) *moves {
	return &moves{
		entry: e, submitter: changelog.NewSubmitter(e.store),
		local: make(map[string]*localMove), reports: make(map[string]report), stages: make(map[string]*stageBase),
	}
}

// versions returns the versions a request may go to, in order of preference.
// A version under test is given only to the request's share, and to nobody
// once this entry or any agent has seen its fault.
func (m *moves) versions(q *request.Request, doc document.Document) []string {
	service := q.Service().Name()
	for _, wish := range doc.Moves() {
		if wish.Service() == service {
			return m.permitted(wish, q)
		}
	}
	if version, ok := doc.Rules().Current(service); ok {
		return []string{version}
	}
	return q.Service().Versions()
}

func (m *moves) permitted(wish document.Move, q *request.Request) []string {
	state, known := wish.State()
	if known && state.Verdict() == document.Completed {
		return []string{wish.To(), wish.From()}
	}
	if !wish.UnderWay() || m.stopped(wish) || !move.Chosen(wish.Move, q.ID(), state.Share()) {
		return []string{wish.From()}
	}
	return []string{wish.To(), wish.From()}
}

// stopped tells whether this entry must not choose the new version, on its own
// evidence or on that of any agent that braked itself.
func (m *moves) stopped(wish document.Move) bool {
	if m.stoppedHere(wish) {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.braked(wish) > 0
}

// braked counts the upstreams of the new version that braked themselves; the
// caller holds the lock.
func (m *moves) braked(wish document.Move) int {
	count := 0
	for _, r := range m.reports {
		if r.service == wish.Service() && r.version == wish.To() && r.braked {
			count++
		}
	}
	return count
}

// check asserts that a version under test gets no more than its share.
func (m *moves) check(q *request.Request, u *member.Upstream, doc document.Document) {
	for _, wish := range doc.Moves() {
		state, known := wish.State()
		if wish.Service() != u.Service() || wish.To() != u.Version() {
			continue
		}
		within := known && (state.Verdict() == document.Completed || state.Verdict() == document.Moving && move.Chosen(wish.Move, q.ID(), state.Share()))
		m.entry.invariants.Check(within, invariant.ShareWithinStage, q.ID(), "sent to version "+u.Version()+" beyond its share")
	}
}

// observe takes the end of one of this entry's own requests. Only failures
// brake here; latencies are compared by the duty, over the whole fleet.
func (m *moves) observe(q *request.Request, u *member.Upstream, failed bool) {
	doc, _ := m.entry.log.Current()
	for _, wish := range doc.Moves() {
		if wish.Service() == u.Service() && wish.UnderWay() {
			m.observeMove(wish, q, u, failed)
		}
	}
}

func (m *moves) observeMove(wish document.Move, q *request.Request, u *member.Upstream, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.local[wish.Name()]
	if known == nil {
		known = &localMove{brake: evidence.NewBrake()}
		m.local[wish.Name()] = known
	}
	if known.stopped || u.Version() != wish.To() {
		return
	}
	route := q.Workspace() + "/" + q.Action().Route()
	if known.brake.Observe(route, failed) {
		known.stopped = true
		m.entry.logger.Warn("version stopped here", "move", wish.Name(), "version", wish.To(), "route", route, "request", q.ID())
	}
}

// learn takes what an agent told of its version.
func (m *moves) learn(u *member.Upstream, n *wire.Notice) {
	r := report{
		incarnation: n.GetLoad().GetIncarnation(), service: u.Service(), version: u.Version(),
		braked: n.GetLoad().GetBlocked() == wire.Decline_REASON_BRAKED, board: evidence.NewBoard(),
	}
	for _, part := range n.GetEvidence() {
		r.board.Set(part.GetVersion(), part.GetRoute(), evidence.FromCounts(part.GetRuns(), part.GetFailures(), part.GetLatencyBuckets()))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// A notice without evidence, sent before it was wanted here, says nothing
	// of what the same process told before.
	if known := m.reports[u.Name()]; len(n.GetEvidence()) == 0 && known.incarnation == r.incarnation && known.board != nil {
		r.board = known.board
	}
	m.reports[u.Name()] = r
}

// forget drops what an upstream that is gone had told.
func (m *moves) forget(u *member.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reports, u.Name())
}

// pace is how often an agent shall tell its evidence, so that all of them
// together stay within the holder's budget of bytes.
func (m *moves) pace() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	bytes := 0
	for _, r := range m.reports {
		for _, version := range r.board.Versions() {
			bytes += evidenceBytes * len(r.board.Routes(version))
		}
	}
	return min(max(time.Duration(bytes)*time.Second/evidenceBudget, paceLeast), paceMost)
}

// run holds the duty when it can, and steps the moves while it does.
func (m *moves) run(ctx context.Context) {
	for ctx.Err() == nil {
		doc, revision := m.entry.log.Current()
		if !m.takeBackStopped(ctx, doc, revision) && m.anyOpen(doc) && m.holds(ctx) {
			m.stepAll(ctx, doc, revision)
		}
		wait.For(ctx, stepEvery)
	}
}

// takeBackStopped records what this entry's own brake decided, and tells
// whether there was anything to record.
func (m *moves) takeBackStopped(ctx context.Context, doc document.Document, revision uint64) bool {
	for _, wish := range doc.Moves() {
		if wish.UnderWay() && m.stoppedHere(wish) {
			now := m.entry.now()
			state, _ := wish.State()
			m.submit(ctx, now, wish, move.Stopped(now, wish.Move, state, m.entry.settings.Node()), revision)
			return true
		}
	}
	return false
}

func (m *moves) stoppedHere(wish document.Move) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.local[wish.Name()]
	return known != nil && known.stopped
}

func (m *moves) anyOpen(doc document.Document) bool {
	return slices.ContainsFunc(doc.Moves(), document.Move.Open)
}

func (m *moves) holds(ctx context.Context) bool {
	had := m.entry.holder.Held(m.entry.now(), dutyKey)
	held, err := m.entry.holder.TryAcquire(ctx, dutyKey, []byte(m.entry.settings.Node()))
	if err == nil && held && !had {
		m.entry.changed.Raise()
	}
	return err == nil && held
}

func (m *moves) stepAll(ctx context.Context, doc document.Document, revision uint64) {
	for _, wish := range doc.Moves() {
		if !wish.Open() {
			continue
		}
		m.contactAll(ctx, wish.Service())
		now := m.entry.now()
		state, known := wish.State()
		next, changed := move.Step(now, wish.Move, state, known, m.gather(now, wish, state))
		if changed {
			m.submit(ctx, now, wish, next, revision)
			return
		}
	}
}

func (m *moves) contactAll(ctx context.Context, service string) {
	for _, u := range m.entry.table.Service(service) {
		if !u.Connected() && !u.Leaving() {
			m.entry.contact(ctx, u)
		}
	}
}

// gather adds up what all agents reported.
func (m *moves) gather(now time.Time, wish document.Move, state document.MoveState) move.Observed {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := evidence.NewBoard()
	for _, r := range m.reports {
		if r.service == wish.Service() {
			all.Merge(r.board)
		}
	}
	base := m.stages[wish.Name()]
	if base == nil {
		base = &stageBase{stage: state.Stage(), since: state.Since(), board: all, watch: evidence.NewWatch()}
		m.stages[wish.Name()] = base
	}
	if base.stage != state.Stage() || !base.since.Equal(state.Since()) {
		base.stage, base.since, base.board = state.Stage(), state.Since(), all
	}
	return move.Observed{All: all, Stage: all.Since(base.board), Fault: base.watch.Update(all, wish.From(), wish.To()), Braked: m.braked(wish), Ready: m.ready(now, wish)}
}

func (m *moves) ready(now time.Time, wish document.Move) bool {
	group := m.entry.table.Group(wish.Service(), wish.To())
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

// submit records a step. The compare-and-swap on the head refuses it when
// anything was accepted since, another holder's step included: a holder that
// was paused past its lease does no harm.
func (m *moves) submit(ctx context.Context, now time.Time, wish document.Move, next document.MoveState, revision uint64) {
	patch, err := json.Marshal(map[string]any{"moves": map[string]document.MoveState{wish.Name(): next}})
	if err != nil {
		return
	}
	who := fmt.Sprintf("duty/moves at %s, fence %d", m.entry.settings.Node(), m.entry.holder.Fence(dutyKey))
	record, err := m.submitter.Submit(ctx, now, changelog.NewChange(revision, who, next.Why(), patch))
	if err != nil {
		m.entry.logger.Warn("move not stepped", "move", wish.Name(), "error", err.Error())
		return
	}
	_ = m.entry.log.Apply(nil, []changelog.Record{record})
	m.entry.logger.Info("move stepped", "move", wish.Name(), "verdict", string(next.Verdict()), "share", next.Share(), "why", next.Why())
}

// describe lists the moves for status, in order of name.
func (m *moves) describe(now time.Time) []moveStatus {
	doc, _ := m.entry.log.Current()
	var out []moveStatus
	for _, wish := range doc.Moves() {
		state, known := wish.State()
		s := moveStatus{Name: wish.Name(), Service: wish.Service(), From: wish.From(), To: wish.To(), By: wish.By(), Verdict: "not-begun", StoppedHere: m.stopped(wish)}
		if known {
			s.Verdict, s.Share, s.Since, s.Why = string(state.Verdict()), state.Share(), state.Since(), state.Why()
			s.CannotMeetDeadline = state.Verdict() == document.Moving && !move.Fits(now, wish.Move, state)
		}
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

type moveStatus struct {
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
