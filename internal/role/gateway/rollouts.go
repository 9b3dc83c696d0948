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
	// rolloutStatePrefix is the prefix of the rollout states in the store.
	rolloutStatePrefix = "moves/"
	// rolloutStepInterval is how often results are reported and rollouts are evaluated:
	// a faulty version must be abandoned within seconds.
	rolloutStepInterval = 200 * time.Millisecond
)

// rolloutController applies operators' rollout orders and rollout states, reports the
// results of requests to the scheduler and, on the scheduler, advances the rollouts.
type rolloutController struct {
	*Gateway

	// mu is held while a state is applied, so that none replaces a later one.
	mu sync.Mutex
	// orders, stateRevisions and judges are keyed by service.
	orders         map[string]rollout.Order
	stateRevisions map[string]int64
	judges         map[string]*rollout.Judge
}

func newRolloutController(g *Gateway) *rolloutController {
	return &rolloutController{
		Gateway: g, orders: make(map[string]rollout.Order), stateRevisions: make(map[string]int64), judges: make(map[string]*rollout.Judge),
	}
}

// orderView applies the operators' rollout orders from the store.
type orderView struct{ *rolloutController }

// Replace implements follow.View.
func (v orderView) Replace(_ time.Time, s kv.Snapshot) {
	for _, item := range s.Items {
		v.applyOrder(item)
	}
}

// Apply implements follow.View.
func (v orderView) Apply(_ time.Time, c kv.Changes) {
	for _, e := range c.Events {
		if !e.Deleted {
			v.applyOrder(e.Item)
			v.recordChange(e.Revision)
		}
	}
}

// applyOrder applies a rollout order unless a later one is known.
func (c *rolloutController) applyOrder(item kv.Item) {
	order, err := c.decoder.Order(item.Key, item.Value, item.Revision.Number())
	if err != nil {
		c.logger.Warn("rollout order ignored", "err", err)
		return
	}
	c.mu.Lock()
	known := c.orders[order.Service]
	newer := order.Revision > known.Revision
	if newer {
		c.orders[order.Service] = order
		c.judges[order.Service] = rollout.NewJudge(order.Revision)
		if state, ok := c.versionPicker.State(order.Service); !ok || state.Order < order.Revision {
			// A share of 0 keeps requests away from the target until the rollout
			// has begun: its upstreams may register before the first share is set.
			c.versionPicker.SetState(order.Service, rollout.State{Order: order.Revision, Target: order.Target, Phase: rollout.Running})
		}
	}
	c.mu.Unlock()
	if newer {
		c.logger.Info("rollout order received", "service", order.Service, "target", order.Target, "duration", order.Duration, "revision", order.Revision)
	}
}

// stateView applies the rollout states from the store.
type stateView struct{ *rolloutController }

// Replace implements follow.View.
func (v stateView) Replace(_ time.Time, s kv.Snapshot) {
	for _, item := range s.Items {
		v.applyState(strings.TrimPrefix(item.Key, rolloutStatePrefix), item.Value, item.Revision.Number(), "store")
	}
}

// Apply implements follow.View.
func (v stateView) Apply(_ time.Time, c kv.Changes) {
	for _, e := range c.Events {
		if !e.Deleted {
			v.applyState(strings.TrimPrefix(e.Key, rolloutStatePrefix), e.Value, e.Revision.Number(), "store")
		}
	}
}

// applyState applies a rollout state unless a later state or a later order is known.
func (c *rolloutController) applyState(service string, raw []byte, revision int64, from string) {
	var state rollout.State
	if err := json.Unmarshal(raw, &state); err != nil {
		c.logger.Warn("rollout state ignored", "service", service, "from", from, "err", err)
		return
	}
	c.mu.Lock()
	newer := revision > c.stateRevisions[service]
	if newer {
		c.stateRevisions[service] = revision
	}
	current := newer && state.Order >= c.orders[service].Revision
	if current {
		c.versionPicker.SetState(service, state)
	}
	c.mu.Unlock()
	if !current {
		return
	}
	c.logger.Info("move", "service", service, "target", state.Target, "phase", state.Phase, "share", state.Share,
		"why", state.Why, "revision", revision, "from", from)
}

// run reports results to the scheduler and, on the scheduler itself, advances the
// rollouts until the context ends.
func (c *rolloutController) run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := c.now()
		scheduler := c.peers.scheduler(now)
		for service, report := range c.versionPicker.Reports() {
			c.sendReport(scheduler, service, report)
		}
		if scheduler == c.settings.Name {
			c.stepAll(ctx, now)
		}
		wait.For(ctx, rolloutStepInterval)
	}
	return nil
}

func (c *rolloutController) sendReport(scheduler, service string, report rollout.Report) {
	if scheduler == c.settings.Name {
		c.recordReport(c.settings.Name, service, report)
		return
	}
	message := &wire.MoveReport{Service: service, Order: report.Order}
	for _, e := range report.Entries {
		message.Entries = append(message.Entries, &wire.MoveEntry{
			Target: e.Target, Route: e.Route, Runs: e.Runs, Failures: e.Failures, Buckets: e.Buckets,
		})
	}
	c.mesh.Send(scheduler, &wire.Envelope{Body: &wire.Envelope_MoveReport{MoveReport: message}})
}

func (c *rolloutController) receiveReport(peer string, message *wire.MoveReport) {
	report := rollout.Report{Order: message.Order}
	for _, e := range message.Entries {
		report.Entries = append(report.Entries, rollout.Entry{
			Target: e.Target, Route: e.Route, Runs: e.Runs, Failures: e.Failures, Buckets: e.Buckets,
		})
	}
	c.recordReport(peer, message.Service, report)
}

func (c *rolloutController) recordReport(node, service string, report rollout.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if judge := c.judges[service]; judge != nil {
		judge.AddReport(node, report)
	}
}

// stepAll advances every rollout whose order is known.
func (c *rolloutController) stepAll(ctx context.Context, now time.Time) {
	c.mu.Lock()
	orders := make([]rollout.Order, 0, len(c.orders))
	for _, order := range c.orders {
		orders = append(orders, order)
	}
	c.mu.Unlock()
	for _, order := range orders {
		c.step(ctx, now, order)
	}
}

func (c *rolloutController) step(ctx context.Context, now time.Time, order rollout.Order) {
	state, known := c.versionPicker.State(order.Service)
	if !known || state.Order != order.Revision || state.BeganMs == 0 {
		c.commitState(ctx, order.Service, rollout.Begin(now, order))
		return
	}
	c.mu.Lock()
	observed := rollout.Observed{Fault: c.judges[order.Service].Fault()}
	c.mu.Unlock()
	for _, u := range c.roster.Ready(order.Service) {
		observed.Ready = observed.Ready || u.Version == order.Target
	}
	if next, changed := rollout.Step(now, order, state, observed); changed {
		c.commitState(ctx, order.Service, next)
	}
}

// commitState writes a rollout state and its status for operators to the store, on
// the condition that no other state was written since. A scheduler that was paused,
// or one of two schedulers that do not see each other, therefore cannot undo what the
// other wrote: the condition of the later write fails.
func (c *rolloutController) commitState(ctx context.Context, service string, state rollout.State) {
	value, err := json.Marshal(state)
	if err != nil {
		c.logger.Error("rollout state could not be encoded", "service", service, "err", err)
		return
	}
	statusKey, status, err := c.decoder.Status(service, state)
	if err != nil {
		c.logger.Error("rollout status could not be encoded", "service", service, "err", err)
		return
	}
	c.mu.Lock()
	knownRevision := c.stateRevisions[service]
	c.mu.Unlock()
	revision, err := c.store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: rolloutStatePrefix + service, Revision: knownRevision}},
		Puts:       []kv.Put{{Key: rolloutStatePrefix + service, Value: value}, {Key: statusKey, Value: status}},
	})
	if err != nil {
		c.logger.Warn("rollout state not written to the store", "service", service, "phase", state.Phase, "err", err)
		if state.Phase == rollout.Reverted {
			// This gateway stops using a faulty version at once, even during a store
			// outage.
			c.versionPicker.SetState(service, state)
		}
		return
	}
	c.applyState(service, value, revision, c.settings.Name)
	message := &wire.Envelope{Body: &wire.Envelope_MoveState{MoveState: &wire.MoveState{Service: service, Revision: revision, State: value}}}
	for _, peer := range c.mesh.Peers() {
		c.mesh.Send(peer.Node, message)
	}
}
