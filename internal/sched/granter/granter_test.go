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

// recorder is a granter of one engine with one slot that records the decisions.
type recorder struct {
	*granter.Granter

	mu        sync.Mutex
	decisions []board.Verdict
}

func newRecorder() *recorder {
	r := &recorder{}
	r.Granter = granter.New(time.Now, func(v board.Verdict) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.decisions = append(r.decisions, v)
	}, slog.New(slog.DiscardHandler))
	r.SetUpstreams([]board.Upstream{{ID: "engine", Service: "tutor", Domain: "a", Slots: 1, EventTokens: 6}})
	return r
}

// grantedAtOnce asks for a slot and reports whether it was granted immediately.
func (r *recorder) grantedAtOnce(owner, id string) bool {
	now := time.Now()
	r.Ask(board.Ask{
		Owner: owner, ID: id, Service: "tutor", Domain: "a", Due: now.Add(600 * time.Millisecond),
		Until: now.Add(15 * time.Second), Prompt: 1000, Output: 100,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	decisions := r.decisions
	r.decisions = nil
	return len(decisions) > 0 && decisions[0].Upstream != ""
}

// Guards against dropping the slots of a gateway that is heard again after the timer that
// drops them has fired and can no longer be stopped.
func TestSlotsOfAGatewayHeardAgainAreKept(t *testing.T) {
	for range 50 {
		bubble.Run(t, func(t *testing.T) {
			r := newRecorder()
			require.True(t, r.grantedAtOnce("peer", "first"))
			r.OwnerDown("peer")
			// The timer and OwnerUp are due at the same time, and either may run first.
			bubble.Pass(granter.OwnerGracePeriod)
			r.OwnerUp("peer")
			// The slot was either dropped by now or is kept.
			kept := !r.grantedAtOnce("other", "second")
			bubble.Pass(time.Millisecond)
			if kept {
				r.Ended("other", "second", board.End{Outcome: board.Left})
				require.False(t, r.grantedAtOnce("other", "third"), "the slot was released after its gateway was heard again")
			}
		})
	}
}
