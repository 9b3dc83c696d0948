package granter_test

import (
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/sched/granter"
)

// desk is a granter of one engine with one slot, and the verdicts it gave.
type desk struct {
	*granter.Granter

	mu       sync.Mutex
	verdicts []board.Verdict
}

func newDesk() *desk {
	d := &desk{}
	d.Granter = granter.New(time.Now, func(v board.Verdict) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.verdicts = append(d.verdicts, v)
	}, slog.New(slog.DiscardHandler))
	d.SetUpstreams([]board.Upstream{{ID: "engine", Service: "tutor", Domain: "a", Slots: 1, EventTokens: 6}})
	return d
}

// granted asks for a place and tells whether there was one at once.
func (d *desk) granted(owner, id string) bool {
	now := time.Now()
	d.Ask(board.Ask{
		Owner: owner, ID: id, Service: "tutor", Domain: "a", Due: now.Add(600 * time.Millisecond),
		Until: now.Add(15 * time.Second), Prompt: 1000, Output: 100,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	got := d.verdicts
	d.verdicts = nil
	return len(got) > 0 && got[0].Upstream != ""
}

// Guards against places of a gateway that are given away after it was heard
// again: the timer that drops them had fired and could not be stopped.
func TestPlacesOfAGatewayThatIsHeardAgainStay(t *testing.T) {
	for range 50 {
		bubble.Run(t, func(t *testing.T) {
			d := newDesk()
			require.True(t, d.granted("peer", "first"))
			d.OwnerDown("peer")
			// Both are due at one moment; which comes first is open.
			bubble.Pass(granter.DropAfter)
			d.OwnerUp("peer")
			// Either the place was dropped by now or it is kept.
			kept := !d.granted("other", "second")
			bubble.Pass(time.Millisecond)
			if kept {
				d.Ended("other", "second", board.End{Outcome: board.Left})
				require.False(t, d.granted("other", "third"), "the place was dropped after its gateway was heard again")
			}
		})
	}
}
