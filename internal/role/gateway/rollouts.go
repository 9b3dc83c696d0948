package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

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
	// Gateways that are not the keeper write the end of a rollout that the store lost between
	// minLostStateDelay and maxLostStateDelay after they see that it lacks it.
	minLostStateDelay = time.Second
	maxLostStateDelay = 3 * time.Second
	// reportsDelay is after what time as the keeper a gateway has the reports of the others:
	// they learn of a keeper by gossip and report at their next step.
	reportsDelay = time.Second
)

// rolloutController applies operators' rollout orders and rollout states, reports the
// results of requests to the keeper and, on the keeper, advances the rollouts.
type rolloutController struct {
	*Gateway

	mu sync.Mutex
	// rollouts is keyed by service.
	rollouts map[string]*serviceRollout
	// era is the latest era in which the store was read.
	era int64
	// keeperSince is since when this gateway is the keeper, zero while it is not.
	keeperSince time.Time
}

// serviceRollout is the rollout of one service.
type serviceRollout struct {
	record rollout.Record
	judge  *rollout.Judge
	// lostSince is since when the end of the rollout is missing from the store.
	lostSince time.Time
}

func newRolloutController(g *Gateway) *rolloutController {
	return &rolloutController{Gateway: g, rollouts: make(map[string]*serviceRollout)}
}

// rolloutLocked returns the rollout of the service. The caller holds c.mu.
func (c *rolloutController) rolloutLocked(service string) *serviceRollout {
	r := c.rollouts[service]
	if r == nil {
		r = &serviceRollout{}
		c.rollouts[service] = r
	}
	return r
}

// publishLocked puts the state of the record in force. The caller holds c.mu, so that none
// replaces a later one.
func (c *rolloutController) publishLocked(service string, r *serviceRollout) {
	if state, known := r.record.Current(); known {
		c.versionPicker.SetState(service, state)
	}
}

// orderView applies the operators' rollout orders from the store.
type orderView struct{ *rolloutController }

// Replace implements follow.View.
func (v orderView) Replace(now time.Time, s kv.Snapshot) {
	for _, item := range s.Items {
		v.applyOrder(now, item)
	}
}

// Apply implements follow.View.
func (v orderView) Apply(now time.Time, c kv.Changes) {
	for _, e := range c.Events {
		if !e.Deleted {
			v.applyOrder(now, e.Item)
			v.recordChange(e.Revision)
		}
	}
}

// applyOrder applies a rollout order unless a later one is known.
func (c *rolloutController) applyOrder(now time.Time, item kv.Item) {
	order, err := c.decoder.Order(item.Key, item.Value, item.Revision)
	if err != nil {
		c.logger.Warn("rollout order ignored", "err", err)
		return
	}
	c.mu.Lock()
	r := c.rolloutLocked(order.Service)
	change := r.record.ApplyOrder(now, order)
	switch change {
	case rollout.OrderReplaced:
		r.judge = rollout.NewJudge(order.Revision.Number())
		c.publishLocked(order.Service, r)
	case rollout.OrderRepeated:
		r.judge.Renumber(order.Revision.Number())
		if state, known := r.record.Current(); known {
			c.versionPicker.Renumber(order.Service, state)
		}
	case rollout.OrderIgnored:
	}
	c.mu.Unlock()
	switch change {
	case rollout.OrderReplaced:
		c.logger.Info("rollout order received", "service", order.Service, "target", order.Target, "duration", order.Duration, "revision", order.Revision)
	case rollout.OrderRepeated:
		c.logger.Info("rollout order read in a new era of the store; the rollout continues", "service", order.Service, "target", order.Target,
			"era", order.Revision.Era(), "revision", order.Revision)
	case rollout.OrderIgnored:
	}
}

// stateView applies the rollout states from the store.
type stateView struct{ *rolloutController }

// Replace implements follow.View.
func (v stateView) Replace(_ time.Time, s kv.Snapshot) {
	listed := make(map[string]bool, len(s.Items))
	for _, item := range s.Items {
		service := strings.TrimPrefix(item.Key, rolloutStatePrefix)
		listed[service] = true
		v.applyState(service, item.Value, item.Revision, "store")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.era = max(v.era, s.Revision.Era())
	for service, r := range v.rollouts {
		if !listed[service] {
			r.record.ApplyAbsence(s.Revision)
		}
	}
}

// Apply implements follow.View.
func (v stateView) Apply(_ time.Time, c kv.Changes) {
	for _, e := range c.Events {
		if !e.Deleted {
			v.applyState(strings.TrimPrefix(e.Key, rolloutStatePrefix), e.Value, e.Revision, "store")
		}
	}
}

// receiveState applies a rollout state that a peer wrote. A peer of an earlier build states no
// era; it means the present one.
func (c *rolloutController) receiveState(peer string, message *wire.MoveState) {
	c.mu.Lock()
	era := message.Era
	if era == 0 {
		era = c.era
	}
	c.mu.Unlock()
	c.applyState(message.Service, message.State, kv.At(era, message.Revision), peer)
}

// applyState applies a rollout state in the store unless a later one is known.
func (c *rolloutController) applyState(service string, raw []byte, revision kv.Revision, from string) {
	var state rollout.State
	if err := json.Unmarshal(raw, &state); err != nil {
		c.logger.Warn("rollout state ignored", "service", service, "from", from, "err", err)
		return
	}
	c.mu.Lock()
	r := c.rolloutLocked(service)
	news := r.record.ApplyStored(state, revision)
	if news {
		c.publishLocked(service, r)
	}
	current, _ := r.record.Current()
	c.mu.Unlock()
	switch {
	case !news:
	case current == state:
		c.logger.Info("move", "service", service, "target", state.Target, "phase", state.Phase, "share", state.Share,
			"why", state.Why, "revision", revision, "from", from)
	default:
		c.logger.Info("rollout state in the store is not in force", "service", service, "target", state.Target, "phase", state.Phase,
			"era", revision.Era(), "revision", revision, "from", from, "in-force", current.Phase, "in-force-target", current.Target)
	}
}

// run reports results to the keeper and, on the keeper itself, advances the rollouts until
// the context ends.
func (c *rolloutController) run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := c.now()
		c.replaceLostOrders(now)
		keeper := c.peers.keeper(now)
		c.noteKeeper(now, keeper == c.settings.Name)
		for service, report := range c.versionPicker.Reports(now, keeper) {
			c.sendReport(now, keeper, service, report)
		}
		c.stepAll(ctx, now, keeper == c.settings.Name)
		wait.For(ctx, rolloutStepInterval)
	}
	return nil
}

// noteKeeper records whether this gateway is the keeper.
func (c *rolloutController) noteKeeper(now time.Time, keeper bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !keeper:
		c.keeperSince = time.Time{}
	case c.keeperSince.IsZero():
		c.keeperSince = now
	}
}

// replaceLostOrders puts orders in force that the store has in place of lost ones.
func (c *rolloutController) replaceLostOrders(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, r := range c.rollouts {
		if r.record.Advance(now) {
			order := r.record.Order()
			r.judge = rollout.NewJudge(order.Revision.Number())
			c.publishLocked(service, r)
			c.logger.Info("rollout order was not written again; an earlier one is in force", "service", service, "target", order.Target, "revision", order.Revision)
		}
	}
}

func (c *rolloutController) sendReport(now time.Time, keeper, service string, report rollout.Report) {
	if keeper == c.settings.Name {
		report.Run = c.runID
		c.recordReport(now, c.settings.Name, service, report)
		return
	}
	c.mesh.Send(keeper, &wire.Envelope{Body: &wire.Envelope_MoveReport{MoveReport: encodeReport(service, c.runID, report)}})
}

func (c *rolloutController) recordReport(now time.Time, node, service string, report rollout.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.rollouts[service]; r != nil && r.judge != nil {
		r.judge.AddReport(now, node, report)
	}
}

// stepAll advances every rollout whose order is known, on the keeper. Elsewhere it writes only
// what the store has lost.
func (c *rolloutController) stepAll(ctx context.Context, now time.Time, deciding bool) {
	c.mu.Lock()
	services := slices.Collect(maps.Keys(c.rollouts))
	c.mu.Unlock()
	for _, service := range services {
		if state, changed := c.next(now, service, deciding); changed {
			c.commitState(ctx, service, state)
		}
	}
}

// next returns the state that the service's rollout should have in the store, and whether it
// has another one there.
func (c *rolloutController) next(now time.Time, service string, deciding bool) (rollout.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rollouts[service]
	order := r.record.Order()
	current, _ := r.record.Current()
	if !r.record.Lost() {
		r.lostSince = time.Time{}
	} else if r.lostSince.IsZero() {
		r.lostSince = now
	}
	switch {
	case !r.record.Decidable():
		return rollout.State{}, false
	case !deciding:
		return current, !r.lostSince.IsZero() && now.Sub(r.lostSince) >= c.lostStateDelay()
	case !r.record.Begun():
		return rollout.Begin(now, order), true
	}
	upstreams := 0
	for _, u := range c.roster.Ready(service) {
		if u.Version == order.Target {
			upstreams++
		}
	}
	observed := rollout.Observed{
		Judgement: r.judge.Judge(now, upstreams), Ready: upstreams > 0, Since: r.judge.Since(now),
		Partial: now.Sub(c.keeperSince) < reportsDelay,
	}
	next, changed := rollout.Step(now, order, current, observed)
	if changed {
		c.logJudgement(service, next, observed.Judgement)
	}
	stored, _ := r.record.Stored()
	return next, next != stored
}

// logJudgement logs the evidence on which a state was decided.
func (c *rolloutController) logJudgement(service string, next rollout.State, judgement rollout.Judgement) {
	slowness, failures := judgement.Slowness, judgement.Failures
	c.logger.Info("rollout judged", "service", service, "target", next.Target, "phase", next.Phase, "share", next.Share, "doubt", judgement.Doubt,
		"slowness", slowness.LogRatio, "by", slowness.Measure, "route", slowness.Route, "measured", slowness.Runs, "upstreams", slowness.Upstreams,
		"runs", failures.Candidate().Runs(), "failures", failures.Candidate().Failures(),
		"former-runs", failures.Baseline().Runs(), "former-failures", failures.Baseline().Failures())
}

// lostStateDelay is how long this gateway leaves it to the keeper to write again what the
// store lost. It differs by gateway, so that one of them writes it and the others hear of it.
func (c *rolloutController) lostStateDelay() time.Duration {
	part := float64(xxhash.Sum64String(c.settings.Name)>>11) / (1 << 53)
	return minLostStateDelay + time.Duration(part*float64(maxLostStateDelay-minLostStateDelay))
}

// commitState writes a rollout state and its status for operators to the store, on
// the condition that no other state was written since. A keeper that was paused,
// or one of two keepers that do not see each other, therefore cannot undo what the
// other wrote: the condition of the later write fails. The state is then decided again, by
// what the store says.
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
	_, known := c.rollouts[service].record.Stored()
	c.mu.Unlock()
	revision, err := c.peers.commitForAll(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: rolloutStatePrefix + service, Revision: known}},
		Puts:       []kv.Put{{Key: rolloutStatePrefix + service, Value: value}, {Key: statusKey, Value: status}},
	})
	if err != nil {
		c.logger.Warn("rollout state not written to the store; it is decided again", "service", service, "phase", state.Phase,
			"known-era", known.Era(), "known-revision", known, "err", err)
		if errorx.IsOfType(err, kv.Conflict) {
			c.follower.Retry()
		}
		if state.Phase == rollout.Reverted {
			// This gateway stops using a faulty version at once, even during a store
			// outage.
			c.mu.Lock()
			r := c.rollouts[service]
			r.record.ApplyUnstored(state)
			c.publishLocked(service, r)
			c.mu.Unlock()
		}
		return
	}
	c.applyState(service, value, revision, c.settings.Name)
	message := &wire.Envelope{Body: &wire.Envelope_MoveState{MoveState: &wire.MoveState{
		Service: service, Era: revision.Era(), Revision: revision.Number(), State: value,
	}}}
	for _, peer := range c.mesh.Peers() {
		c.mesh.Send(peer.Node, message)
	}
}
