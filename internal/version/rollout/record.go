package rollout

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// Record is what one gateway knows of a service's rollout: the operators' order, the state
// in the store, and the state in force. They differ after a write that failed, and after the
// store came back from a copy that lacks what was written last. It is not safe for concurrent
// use.
type Record struct {
	order Order
	// held is an order that the store's copy has in place of a lost one, which operators write
	// again. It replaces the lost one at heldUntil.
	held      Order
	heldUntil time.Time

	// stored is the state in the store, written at storedAt; 0 means that there is none.
	stored   State
	storedAt kv.Revision
	current  State
	// era is the latest era in which the store was read.
	era int64
}

// OrderChange is what an order changes.
type OrderChange int

// Changes by an order.
const (
	// OrderIgnored: a later order is known, or the order may still be replaced.
	OrderIgnored OrderChange = iota
	// OrderRepeated: the known order was read again in a later era, where it may have another
	// revision.
	OrderRepeated
	// OrderReplaced: a new rollout begins.
	OrderReplaced
)

// Order returns the order in force; it has no target if none is known.
func (r *Record) Order() Order { return r.order }

// Current returns the state in force, and whether there is one.
func (r *Record) Current() (State, bool) { return r.current, r.current.Target != "" }

// Stored returns the state in the store and its revision, 0 if there is none.
func (r *Record) Stored() (State, kv.Revision) { return r.stored, r.storedAt }

// Decidable reports whether the order of the state in force is known here.
func (r *Record) Decidable() bool { return r.order.owns(r.current) }

// Begun reports whether the rollout has begun.
func (r *Record) Begun() bool { return r.current.BeganMs != 0 }

// Lost reports whether the rollout has ended and the store does not say so.
func (r *Record) Lost() bool {
	return r.order.owns(r.current) && r.current.ended() && r.current != r.stored
}

// ApplyOrder applies an order that was read.
func (r *Record) ApplyOrder(now time.Time, o Order) OrderChange {
	known := r.order.Revision
	if o.Revision <= known || o.Revision <= r.held.Revision {
		return OrderIgnored
	}
	if known != 0 && o.Revision.Era() > known.Era() {
		if o.repeats(r.order) {
			r.repeatOrder(o)
			return OrderRepeated
		}
		if o.Revision.Number() < known.Number() {
			r.held, r.heldUntil = o, now.Add(kv.RewriteTime)
			return OrderIgnored
		}
	}
	r.replaceOrder(o)
	return OrderReplaced
}

// Advance replaces a lost order that was not written again in time, and reports whether it did.
func (r *Record) Advance(now time.Time) bool {
	if r.held.Revision == 0 || now.Before(r.heldUntil) {
		return false
	}
	r.replaceOrder(r.held)
	return true
}

func (r *Record) repeatOrder(o Order) {
	if r.order.owns(r.current) {
		r.current.Order, r.current.Era = o.Revision.Number(), o.Revision.Era()
	}
	r.order, r.held = o, Order{}
	r.resolve()
}

func (r *Record) replaceOrder(o Order) {
	r.order, r.held = o, Order{}
	if !o.owns(r.current) {
		r.current = o.awaited()
	}
	r.resolve()
}

// ApplyStored applies a state that was written to the store at the revision, and reports
// whether it is news.
func (r *Record) ApplyStored(s State, at kv.Revision) bool {
	if at <= r.storedAt || at.Era() < r.era {
		return false
	}
	r.stored, r.storedAt, r.era = s, at, at.Era()
	r.resolve()
	return true
}

// ApplyAbsence records that the store has no state at the revision.
func (r *Record) ApplyAbsence(at kv.Revision) {
	if at <= r.storedAt || at.Era() < r.era {
		return
	}
	r.stored, r.storedAt, r.era = State{}, 0, at.Era()
}

// ApplyUnstored puts a state in force that is not in the store.
func (r *Record) ApplyUnstored(s State) {
	if r.order.owns(s) {
		r.current = s
	}
}

// resolve puts the stored state in force, unless it is of an earlier order, or lacks the end of
// the rollout that is known here.
func (r *Record) resolve() {
	switch {
	case r.storedAt == 0:
	case r.order.owns(r.stored):
		if !r.order.owns(r.current) || !r.current.ended() || r.stored.ended() {
			r.current = r.stored
		}
	case r.stored.orderRevision(r.storedAt.Era()) > r.order.Revision:
		// Its order has not been read yet.
		r.current = r.stored
	}
}

// awaited returns the state of a rollout that has not begun. A share of 0 keeps requests away
// from the target, whose upstreams may register before the first share is set.
func (o Order) awaited() State {
	return State{Order: o.Revision.Number(), Era: o.Revision.Era(), Target: o.Target, Phase: Running}
}

// repeats reports whether operators ordered the same before.
func (o Order) repeats(former Order) bool {
	return o.Service == former.Service && o.Target == former.Target && o.Duration == former.Duration
}

// owns reports whether the state is one of the order. Two orders of different eras may have
// the same revision, but then not the same target.
func (o Order) owns(s State) bool {
	return o.Target != "" && s.Order == o.Revision.Number() && s.Target == o.Target
}

// orderRevision returns the revision of the state's order. A state of an earlier build, which
// was written in the given era, does not say its era.
func (s State) orderRevision(written int64) kv.Revision {
	if s.Era == 0 {
		return kv.At(written, s.Order)
	}
	return kv.At(s.Era, s.Order)
}

// ended reports whether the rollout has ended.
func (s State) ended() bool { return s.Phase == Complete || s.Phase == Reverted }
