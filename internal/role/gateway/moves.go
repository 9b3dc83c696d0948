package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
	"github.com/persimmonridge/persimmonridge/internal/version/rollout"
)

const (
	// movePrefix is where the states of moves are kept in the store.
	movePrefix = "moves/"
	// moveEvery is how often evidence is told and a move is looked at: a bad
	// version must be left within seconds.
	moveEvery = 200 * time.Millisecond
)

// moves is the gateway's part in moving services to other versions.
type moves struct {
	*Gateway

	// mu is held while a state is put in force, so that none replaces a later one.
	mu        sync.Mutex
	orders    map[string]rollout.Order
	revisions map[string]int64
	judges    map[string]*rollout.Judge
}

func newMoves(g *Gateway) *moves {
	return &moves{
		Gateway: g, orders: make(map[string]rollout.Order), revisions: make(map[string]int64), judges: make(map[string]*rollout.Judge),
	}
}

// orderView takes the operators' orders from the store.
type orderView struct{ *moves }

// Replace implements follow.View.
func (v orderView) Replace(_ time.Time, s kv.Snapshot) {
	for _, item := range s.Items {
		v.takeOrder(item)
	}
}

// Apply implements follow.View.
func (v orderView) Apply(_ time.Time, c kv.Changes) {
	for _, e := range c.Events {
		if !e.Deleted {
			v.takeOrder(e.Item)
			v.noteChange(e.Revision)
		}
	}
}

func (m *moves) takeOrder(item kv.Item) {
	order, err := m.decoder.Order(item.Key, item.Value, item.Revision)
	if err != nil {
		m.logger.Warn("order ignored", "err", err)
		return
	}
	m.mu.Lock()
	known := m.orders[order.Service]
	newer := order.Revision > known.Revision
	if newer {
		m.orders[order.Service] = order
		m.judges[order.Service] = rollout.NewJudge(order.Revision)
		if state, ok := m.rollouts.State(order.Service); !ok || state.Order < order.Revision {
			// Until the move has begun, its target gets nothing: its upstreams may
			// be there before the first share is decided.
			m.rollouts.SetState(order.Service, rollout.State{Order: order.Revision, Target: order.Target, Phase: rollout.Running})
		}
	}
	m.mu.Unlock()
	if newer {
		m.logger.Info("move ordered", "service", order.Service, "target", order.Target, "duration", order.Duration, "revision", order.Revision)
	}
}

// stateView takes the states of moves from the store.
type stateView struct{ *moves }

// Replace implements follow.View.
func (v stateView) Replace(_ time.Time, s kv.Snapshot) {
	for _, item := range s.Items {
		v.takeState(strings.TrimPrefix(item.Key, movePrefix), item.Value, item.Revision, "store")
	}
}

// Apply implements follow.View.
func (v stateView) Apply(_ time.Time, c kv.Changes) {
	for _, e := range c.Events {
		if !e.Deleted {
			v.takeState(strings.TrimPrefix(e.Key, movePrefix), e.Value, e.Revision, "store")
		}
	}
}

func (m *moves) takeState(service string, raw []byte, revision int64, from string) {
	var state rollout.State
	if err := json.Unmarshal(raw, &state); err != nil {
		m.logger.Warn("state of a move ignored", "service", service, "from", from, "err", err)
		return
	}
	m.mu.Lock()
	newer := revision > m.revisions[service]
	if newer {
		m.revisions[service] = revision
	}
	inForce := newer && state.Order >= m.orders[service].Revision
	if inForce {
		m.rollouts.SetState(service, state)
	}
	m.mu.Unlock()
	if !inForce {
		return
	}
	m.logger.Info("move", "service", service, "target", state.Target, "phase", state.Phase, "share", state.Share,
		"why", state.Why, "revision", revision, "from", from)
}

// run tells evidence and, on the gateway that schedules, steps the moves.
func (m *moves) run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := m.now()
		holder := m.peers.scheduler(now)
		for service, report := range m.rollouts.Entries() {
			m.report(holder, service, report)
		}
		if holder == m.settings.Name {
			m.step(ctx, now)
		}
		wait.For(ctx, moveEvery)
	}
	return nil
}

func (m *moves) report(holder, service string, r rollout.Report) {
	if holder == m.settings.Name {
		m.hear(m.settings.Name, service, r)
		return
	}
	message := &wire.MoveReport{Service: service, Order: r.Order}
	for _, e := range r.Entries {
		message.Entries = append(message.Entries, &wire.MoveEntry{
			Target: e.Target, Route: e.Route, Runs: e.Runs, Failures: e.Failures, Buckets: e.Buckets,
		})
	}
	m.mesh.Send(holder, &wire.Envelope{Body: &wire.Envelope_MoveReport{MoveReport: message}})
}

func (m *moves) heardReport(peer string, r *wire.MoveReport) {
	report := rollout.Report{Order: r.Order}
	for _, e := range r.Entries {
		report.Entries = append(report.Entries, rollout.Entry{
			Target: e.Target, Route: e.Route, Runs: e.Runs, Failures: e.Failures, Buckets: e.Buckets,
		})
	}
	m.hear(peer, r.Service, report)
}

func (m *moves) hear(node, service string, r rollout.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if judge := m.judges[service]; judge != nil {
		judge.Hear(node, r)
	}
}

// step decides on every move whose order is known.
func (m *moves) step(ctx context.Context, now time.Time) {
	m.mu.Lock()
	orders := make([]rollout.Order, 0, len(m.orders))
	for _, order := range m.orders {
		orders = append(orders, order)
	}
	m.mu.Unlock()
	for _, order := range orders {
		m.stepOne(ctx, now, order)
	}
}

func (m *moves) stepOne(ctx context.Context, now time.Time, order rollout.Order) {
	state, known := m.rollouts.State(order.Service)
	if !known || state.Order != order.Revision || state.BeganMs == 0 {
		m.write(ctx, order.Service, rollout.Begin(now, order))
		return
	}
	m.mu.Lock()
	seen := rollout.Observed{Fault: m.judges[order.Service].Fault()}
	m.mu.Unlock()
	for _, u := range m.roster.Ready(order.Service) {
		seen.Ready = seen.Ready || u.Version == order.Target
	}
	if next, changed := rollout.Step(now, order, state, seen); changed {
		m.write(ctx, order.Service, next)
	}
}

// write keeps a state in the store, if nobody wrote another one since, together
// with what operators are told. A holder that was paused, or two holders that
// do not see each other, can undo nothing: the condition fails for the later.
func (m *moves) write(ctx context.Context, service string, state rollout.State) {
	value, err := json.Marshal(state)
	if err != nil {
		m.logger.Error("state of a move cannot be written", "service", service, "err", err)
		return
	}
	statusKey, status, err := m.decoder.Status(service, state)
	if err != nil {
		m.logger.Error("status of a move cannot be written", "service", service, "err", err)
		return
	}
	m.mu.Lock()
	before := m.revisions[service]
	m.mu.Unlock()
	revision, err := m.store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: movePrefix + service, Revision: before}},
		Puts:       []kv.Put{{Key: movePrefix + service, Value: value}, {Key: statusKey, Value: status}},
	})
	if err != nil {
		m.logger.Warn("state of a move not written", "service", service, "phase", state.Phase, "err", err)
		if state.Phase == rollout.Reverted {
			// What is bad is left here at once, also while the store is away.
			m.rollouts.SetState(service, state)
		}
		return
	}
	m.takeState(service, value, revision, m.settings.Name)
	message := &wire.Envelope{Body: &wire.Envelope_MoveState{MoveState: &wire.MoveState{Service: service, Revision: revision, State: value}}}
	for _, peer := range m.mesh.Peers() {
		m.mesh.Send(peer.Node, message)
	}
}
