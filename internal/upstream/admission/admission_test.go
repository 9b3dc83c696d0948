package admission_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	_ "github.com/persimmonridge/persimmonridge/internal/proof/seed"
	"github.com/persimmonridge/persimmonridge/internal/upstream/admission"
)

var start = time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)

func recorder(t require.TestingT) *invariant.Recorder {
	return invariant.New(slog.New(slog.NewTextHandler(io.Discard, nil)), invariant.OnBreach(func(b invariant.Breach) {
		require.Fail(t, string(b.Name()), b.Detail())
	}))
}

func ticket(id string, tier int, deadline, work time.Duration, options ...admission.TicketOption) *admission.Ticket {
	return admission.NewTicket(id, "w", tier, start.Add(deadline), start.Add(deadline-work), work, options...)
}

func verdicts(effects []admission.Effect) []string {
	var out []string
	for _, e := range effects {
		text := map[admission.Verdict]string{admission.Started: "started", admission.Declined: "declined", admission.Preempted: "preempted"}[e.Verdict()]
		out = append(out, e.ID()+" "+text)
	}
	return out
}

// A critique arrives while the engine is full of lesson tags, which are safe to
// run again. The tag with the most remaining work must be preempted.
func TestHigherTierPreemptsRepeatSafeRun(t *testing.T) {
	c := admission.New(3, 1, 10, recorder(t))
	require.Equal(t, []string{"tag started"}, verdicts(c.Offer(start, ticket("tag", 2, time.Minute, 10*time.Second, admission.RepeatSafe()))))
	require.Equal(t, []string{"tag preempted"}, verdicts(c.Offer(start, ticket("critique", 0, 5*time.Second, 2*time.Second))))
	require.Equal(t, []string{"critique started"}, verdicts(c.Finish(start, "tag")))
}

// Guards against refusing the top tier under overload while an earlier request of
// a lower tier keeps its place: in a full queue the lowest tier is displaced, and
// it is declined without having run.
func TestFullQueueDisplacesLowestTier(t *testing.T) {
	c := admission.New(3, 1, 1, recorder(t))
	c.Offer(start, ticket("running", 0, time.Minute, time.Second))
	c.Offer(start, ticket("tag", 2, time.Minute, time.Second))
	effects := c.Offer(start, ticket("critique", 0, time.Minute, time.Second))
	require.Equal(t, []string{"tag declined"}, verdicts(effects))
	require.Equal(t, wire.Decline_REASON_DISPLACED, effects[0].Reason())
}

// Guards against requests that wait until their deadline at an agent whose version
// is stopped: a blocked or leaving controller declines all of them at once.
func TestBlockAndLeaveDeclineAllWaiting(t *testing.T) {
	for _, leave := range []bool{false, true} {
		c := admission.New(3, 1, 10, recorder(t))
		c.Offer(start, ticket("running", 0, time.Minute, time.Second))
		c.Offer(start, ticket("waiting", 0, time.Minute, time.Second))
		stop, reason := func() []admission.Effect { return c.Block(wire.Decline_REASON_BRAKED) }, wire.Decline_REASON_BRAKED
		if leave {
			stop, reason = c.Leave, wire.Decline_REASON_LEAVING
		}
		effects := stop()
		require.Equal(t, []string{"waiting declined"}, verdicts(effects))
		require.Equal(t, reason, effects[0].Reason())
		late := c.Offer(start, ticket("late", 0, time.Minute, time.Second))
		require.Equal(t, reason, late[0].Reason())
		require.Zero(t, c.Waiting())
	}
}

// Guards against convicting a request that ran beside the one that crashed the
// upstream: a suspect starts only on an idle upstream, and nothing starts beside
// it.
func TestSuspectRunsAlone(t *testing.T) {
	c := admission.New(3, 4, 10, recorder(t))
	c.Offer(start, ticket("other", 0, time.Minute, time.Second))
	require.Empty(t, c.Offer(start, ticket("suspect", 0, time.Minute, time.Second, admission.Suspect())))
	require.Equal(t, []string{"suspect started"}, verdicts(c.Finish(start, "other")))
	require.Empty(t, c.Offer(start, ticket("third", 0, time.Minute, time.Second)))
	require.Equal(t, []string{"third started"}, verdicts(c.Finish(start, "suspect")))
}

// For any order of operations: never more runs than the limit, each ticket either
// started or declined exactly once, nothing dispatched after Leave, and no higher
// tier shed while a lower one waits.
func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		c := admission.New(3, limit, 6, recorder(t))
		now, next := start, 0
		decided := make(map[string]bool)
		tiers := make(map[string]int)
		running := make(map[string]bool)
		waiting := make(map[string]bool)
		apply := func(effects []admission.Effect) {
			for _, e := range effects {
				if e.Verdict() == admission.Preempted {
					require.True(t, running[e.ID()])
					continue
				}
				require.False(t, decided[e.ID()], "decided twice")
				decided[e.ID()] = true
				delete(waiting, e.ID())
				if e.Verdict() == admission.Started {
					running[e.ID()] = true
				}
			}
			for _, e := range effects {
				shed := e.Verdict() == admission.Declined && e.Reason() == wire.Decline_REASON_FULL
				for id := range waiting {
					require.False(t, shed && tiers[id] > tiers[e.ID()], "%s shed while %s waits", e.ID(), id)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				id := fmt.Sprint(next)
				tiers[id] = rapid.IntRange(0, 2).Draw(t, "tier")
				work := time.Duration(rapid.IntRange(1, 4000).Draw(t, "work")) * time.Millisecond
				deadline := now.Add(work + time.Duration(rapid.IntRange(0, 8000).Draw(t, "slack"))*time.Millisecond)
				var options []admission.TicketOption
				if rapid.Bool().Draw(t, "safe") {
					options = append(options, admission.RepeatSafe())
				}
				if rapid.IntRange(0, 9).Draw(t, "suspect") == 0 {
					options = append(options, admission.Suspect())
				}
				waiting[id] = true
				apply(c.Offer(now, admission.NewTicket(id, "w", tiers[id], deadline, deadline.Add(-work), work, options...)))
			},
			"finish": func(*rapid.T) {
				for id := range running {
					delete(running, id)
					apply(c.Finish(now, id))
					return
				}
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				apply(c.Tick(now))
			},
			"block":   func(*rapid.T) { apply(c.Block(wire.Decline_REASON_UNREACHABLE)) },
			"unblock": func(*rapid.T) { c.Unblock() },
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "really") == 0 {
					apply(c.Leave())
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, len(running), limit)
				require.Equal(t, len(running), c.Running())
				require.Equal(t, len(waiting), c.Waiting())
			},
		})
	})
}
