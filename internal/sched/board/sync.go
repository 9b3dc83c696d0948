package board

import "time"

// syncAfter is the age from which a run that its gateway does not hold is
// forgotten: a grant that is younger may still be on its way.
const syncAfter = time.Second

// Held is a place that a gateway holds.
type Held struct {
	ID, Upstream   string
	Number         uint64
	Prompt, Output int
	Started        bool
}

// Sync takes all places that a gateway holds. Schedulers change without a word
// between them, so a place may be given back to another than granted it. It
// would stay taken here for good, and its first event, which nobody reports any
// more, would make its engine look stalled. What the gateway does not hold is
// forgotten; what another scheduler granted is taken in.
func (b *Board) Sync(now time.Time, owner string, held []Held) {
	holds := make(map[string]bool, len(held))
	for _, h := range held {
		holds[key(owner, h.ID)] = true
		b.takeIn(now, owner, h)
	}
	for k := range b.byOwner[owner] {
		e := b.byRun[k]
		r := e.runs[k]
		if r == nil {
			b.dropRun(owner, k)
			continue
		}
		if holds[k] || now.Sub(r.granted) < syncAfter {
			continue
		}
		e.end(now, k, r)
		b.dropRun(owner, k)
		b.fill(now, e)
	}
}

func (b *Board) takeIn(now time.Time, owner string, h Held) {
	k := key(owner, h.ID)
	e := b.engines[h.Upstream]
	if other := b.byRun[k]; other != nil {
		r := other.runs[k]
		// What a gateway held before it asked again is outdated.
		if r == nil || r.number >= h.Number {
			return
		}
		// The gateway had given up the ask that this board granted.
		other.end(now, k, r)
		b.dropRun(owner, k)
		b.fill(now, other)
	}
	if e == nil {
		return
	}
	r := &run{owner: owner, id: h.ID, number: h.Number, prompt: h.Prompt, output: h.Output, granted: now, adopted: true}
	b.addRun(owner, k, e)
	if h.Started {
		e.adopt(now, r)
		return
	}
	e.grant(now, r)
}
