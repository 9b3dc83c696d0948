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
	decisions []board.Decision
}

func newRecorder() *recorder {
	r := &recorder{}
	r.Granter = granter.New(time.Now, func(d board.Decision) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.decisions = append(r.decisions, d)
	}, slog.New(slog.DiscardHandler))
	r.SetUpstreams([]board.Upstream{{ID: "engine", Service: "tutor", Domain: "a", Slots: 1, TokensPerEvent: 6}})
	return r
}

// grantedAtOnce asks for a slot and reports whether it was granted immediately.
func (r *recorder) grantedAtOnce(owner, id string) bool {
	now := time.Now()
	r.Submit(board.SlotRequest{
		Owner: owner, ID: id, Service: "tutor", Domain: "a", NextEventDue: now.Add(600 * time.Millisecond),
		Deadline: now.Add(15 * time.Second), PromptTokens: 1000, OutputTokens: 100,
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
			bubble.Sleep(granter.OwnerGracePeriod)
			r.OwnerUp("peer")
			// The slot was either dropped by now or is kept.
			kept := !r.grantedAtOnce("other", "second")
			bubble.Sleep(time.Millisecond)
			if kept {
				r.Release("other", "second", board.SlotResult{Outcome: board.Canceled})
				require.False(t, r.grantedAtOnce("other", "third"), "the slot was released after its gateway was heard again")
			}
		})
	}
}
