package board

import (
	"cmp"
	"slices"
)

// Speed is what is known of one engine. An engine that started anew has another
// Born, and may run on other hardware.
type Speed struct {
	ID       string
	Born     int64
	Slowness float64
}

// believable tells whether the speed is one that an engine can have.
func (s Speed) believable() bool { return s.Slowness >= slownessLeast && s.Slowness <= slownessMost }

// Speeds returns what was learned of the engines, in the order of their ids.
func (b *Board) Speeds() []Speed {
	var all []Speed
	for _, e := range b.engines {
		if e.slowness.known() {
			all = append(all, Speed{ID: e.ID, Born: e.Born, Slowness: e.slowness.factor})
		}
	}
	slices.SortFunc(all, func(x, y Speed) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// Recall takes what another scheduler learned. A scheduler that knows no speeds
// takes all engines for ordinary ones, and gives those that are a third as fast
// streams that they cannot end before the caller's deadline. What this board
// learned itself counts more.
func (b *Board) Recall(speeds []Speed) {
	b.recalled = make(map[string]Speed, len(speeds))
	for _, s := range speeds {
		b.recalled[s.ID] = s
	}
	for _, e := range b.engines {
		b.remember(e)
	}
}

// remember gives an engine of unknown speed the one that is recalled.
func (b *Board) remember(e *engine) {
	if s, ok := b.recalled[e.ID]; ok && !e.slowness.known() {
		e.believe(s)
	}
}

// believe takes a speed that another scheduler learned, if it is this engine's.
func (e *engine) believe(s Speed) {
	if s.Born == e.Born && s.believable() {
		e.slowness = estimate{factor: s.Slowness, evidence: evidenceMost}
	}
}
