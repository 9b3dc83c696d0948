package gateway

import (
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/evacuation"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// evacuations carries out the operators' orders to send nothing to the upstreams of a
// failure domain. It implements follow.View.
type evacuations struct {
	*Gateway
	set evacuation.Set

	// mu is held while the set changes and the change is carried out.
	mu sync.Mutex
}

// Replace implements follow.View.
func (e *evacuations) Replace(now time.Time, s kv.Snapshot) {
	var domains []string
	for _, item := range s.Items {
		if domain := e.decode(item); domain != "" {
			domains = append(domains, domain)
		}
	}
	e.change(now, func() evacuation.Change { return e.set.Replace(now, s.Revision, domains) })
}

// Apply implements follow.View.
func (e *evacuations) Apply(now time.Time, c kv.Changes) {
	for _, event := range c.Events {
		domain := e.decoder.EvacuatedDomain(event.Key)
		if !event.Deleted {
			domain = e.decode(event.Item)
		}
		if domain == "" {
			continue
		}
		e.change(now, func() evacuation.Change { return e.set.Apply(event.Revision, domain, !event.Deleted) })
		e.recordChange(event.Revision)
	}
	e.set.Advance(c.Revision)
}

// decode returns the domain of an order. An order whose value cannot be read is carried
// out as well.
func (e *evacuations) decode(item kv.Item) string {
	domain := e.decoder.EvacuatedDomain(item.Key)
	if err := e.decoder.CheckEvacuation(item.Key, item.Value); err != nil {
		e.logger.Warn("evacuation order cannot be read", "domain", domain, "err", err)
	}
	return domain
}

// applyGossip takes over what a peer knows at a later revision.
func (e *evacuations) applyGossip(now time.Time, g *wire.Gossip) {
	revision := kv.At(g.StoreEra, g.EvacuationRevision)
	if known, _ := e.set.State(); g.EvacuationRevision == 0 || revision <= known {
		return
	}
	e.change(now, func() evacuation.Change { return e.set.Replace(now, revision, g.Evacuated) })
}

// expire ends evacuations that were not ordered again in time.
func (e *evacuations) expire(now time.Time) {
	e.change(now, func() evacuation.Change { return e.set.Expire(now) })
}

// change carries out a change of the set.
func (e *evacuations) change(now time.Time, apply func() evacuation.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change := apply()
	if change.Empty() {
		return
	}
	revision, _ := e.set.State()
	domains := e.set.Domains()
	e.logger.Warn("evacuated failure domains", "domains", domains, "begun", change.Begun, "ended", change.Ended, "revision", revision)
	e.roster.SetEvacuated(domains)
	for _, domain := range change.Ended {
		e.guard.warmUps.Returned(now, domain)
	}
	e.publishEngines()
	e.granter.RefuseWaiting(e.roster.Evacuated, permit.EvacuatedRetryAfter, permit.EvacuatedReason)
	e.mesh.GossipNow()
}
