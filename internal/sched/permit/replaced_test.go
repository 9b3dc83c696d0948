package permit_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// sent is a message from the gateway to a scheduler.
type sent struct {
	to string
	e  *wire.Envelope
}

// replacement is a client whose scheduler changes. Each scheduler queues what it is asked,
// unless it is silent.
type replacement struct {
	client *permit.Client

	mu        sync.Mutex
	scheduler string
	silent    map[string]bool
	messages  []sent
	// askedAt is the time of the last slot request.
	askedAt time.Time
}

func newReplacement() *replacement {
	r := &replacement{scheduler: "old", silent: map[string]bool{}}
	r.client = permit.New(permit.Dependencies{
		Node: "gateway", Domain: "a", Scheduler: r.current, Send: r.send, Local: fixedPicker{},
		Upstream: func(string) (roster.Upstream, bool) { return engine, true }, Service: engineService,
		Metrics: noMetrics{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	r.client.UpdateScheduler(time.Now())
	return r
}

func (r *replacement) current(time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scheduler
}

func (r *replacement) send(node string, e *wire.Envelope) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, sent{to: node, e: e})
	ask := e.GetPlaceAsk()
	if ask != nil {
		r.askedAt = time.Now()
	}
	if ask != nil && !r.silent[node] {
		time.AfterFunc(time.Millisecond, func() { r.decide(node, ask.Number, &wire.PlaceVerdict{Waiting: true}) })
	}
	return true
}

func (r *replacement) decide(node string, number uint64, v *wire.PlaceVerdict) {
	v.Id, v.Number = "one", number
	r.client.HandleDecision(node, v)
}

func (r *replacement) grant(node string, number uint64) {
	r.decide(node, number, &wire.PlaceVerdict{Upstream: engine.ID})
}

func (r *replacement) refuse(node string, number uint64) {
	r.decide(node, number, &wire.PlaceVerdict{Why: "no engine could end the stream"})
}

func (r *replacement) replace(scheduler string) {
	r.mu.Lock()
	r.scheduler = scheduler
	r.mu.Unlock()
	r.client.UpdateScheduler(time.Now())
}

func (r *replacement) lastAskedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.askedAt
}

// kinds returns the messages to a scheduler: held, ask or ended, the last two by number.
func (r *replacement) kinds(node string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kinds []string
	for _, m := range r.messages {
		if m.to != node {
			continue
		}
		switch body := m.e.Body.(type) {
		case *wire.Envelope_PlacesHeld:
			kinds = append(kinds, "held "+string(rune('0'+len(body.PlacesHeld.Places))))
		case *wire.Envelope_PlaceAsk:
			kinds = append(kinds, "ask "+string(rune('0'+body.PlaceAsk.Number)))
		case *wire.Envelope_PlaceEnded:
			outcome := " unexpected"
			switch board.Outcome(body.PlaceEnded.Outcome) {
			case board.Canceled:
				outcome = " canceled"
			case board.Answered:
				outcome = " answered"
			}
			kinds = append(kinds, "ended "+string(rune('0'+body.PlaceEnded.Number))+outcome)
		}
	}
	return kinds
}

// picked is the result of a Pick.
type picked struct {
	placement flow.Placement
	err       error
	took      time.Duration
}

func (r *replacement) pick(ctx context.Context, e flow.EndConstraint) <-chan picked {
	return r.pickWithin(ctx, r.client, 15*time.Second, e)
}

// pickWithin asks for a slot for a stream whose deadline is after the given time.
func (r *replacement) pickWithin(ctx context.Context, picker flow.Picker, remaining time.Duration, e flow.EndConstraint) <-chan picked {
	result := make(chan picked, 1)
	go func() {
		now := time.Now()
		placement, err := picker.Pick(ctx, now, flow.PlacementRequest{
			ID: "one", Service: "tutor", Route: &catalog.Route{}, PromptTokens: 1000, OutputTokens: 100,
			NextEventDue: now.Add(600 * time.Millisecond), Deadline: now.Add(remaining), EndConstraint: e,
		})
		result <- picked{placement: placement, err: err, took: time.Since(now)}
	}()
	return result
}

// Guards against a request that stays in the queue of a replaced scheduler, which no longer
// hears of slots that become free.
func TestQueuedRequestMovesToTheNewScheduler(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newReplacement()
		result := r.pick(t.Context(), flow.EndUnconstrained)
		bubble.Sleep(100 * time.Millisecond)
		r.replace("new")
		bubble.Sleep(100 * time.Millisecond)
		r.grant("new", 2)
		p := <-result
		require.NoError(t, p.err)
		p.placement.Release(time.Now(), flow.Answered, 0)
		require.Equal(t, []string{"held 0", "ask 1", "ended 1 canceled"}, r.kinds("old"))
		require.Equal(t, []string{"held 0", "ask 2", "ended 2 answered"}, r.kinds("new"))
	})
}

// Guards against a slot that stays in use forever, or is used beside another one, because a
// replaced scheduler grants it while its slot request is withdrawn.
func TestLateGrantOfAReplacedSchedulerIsReturnedToIt(t *testing.T) {
	for _, after := range []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		bubble.Run(t, func(t *testing.T) {
			r := newReplacement()
			result := r.pick(t.Context(), flow.EndUnconstrained)
			bubble.Sleep(100 * time.Millisecond)
			r.replace("new")
			time.AfterFunc(after, func() { r.grant("old", 1) })
			bubble.Sleep(150 * time.Millisecond)
			r.grant("new", 2)
			p := <-result
			require.NoError(t, p.err)
			bubble.Sleep(100 * time.Millisecond)
			p.placement.Release(time.Now(), flow.Answered, 0)
			require.Equal(t, []string{"held 0", "ask 1", "ended 1 canceled", "ended 1 canceled"}, r.kinds("old"))
			require.NotContains(t, r.kinds("new"), "ended 1 answered")
			require.Contains(t, r.kinds("new"), "ended 2 answered")
		})
	}
}

// Guards against a slot that is in use but unknown to the new scheduler, because its grant
// arrives just before the scheduler changes.
func TestGrantJustBeforeAChangeIsUsedAndReported(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newReplacement()
		result := r.pick(t.Context(), flow.EndUnconstrained)
		bubble.Sleep(100 * time.Millisecond)
		r.grant("old", 1)
		r.replace("new")
		p := <-result
		require.NoError(t, p.err)
		require.Equal(t, 100*time.Millisecond, p.took)
		p.placement.Release(time.Now(), flow.Answered, 0)
		require.Equal(t, []string{"held 0", "ask 1"}, r.kinds("old"))
		require.Equal(t, []string{"held 1", "ended 1 answered"}, r.kinds("new"))
	})
}

// Guards against a flood of slot requests, and an endless wait, while the scheduler changes
// back and forth.
func TestChangingSchedulerIsAskedSeldom(t *testing.T) {
	for _, interval := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 31 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond} {
		bubble.Run(t, func(t *testing.T) {
			r := newReplacement()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				for i := 0; ctx.Err() == nil; i++ {
					bubble.Sleep(interval)
					r.replace([]string{"new", "old"}[i%2])
				}
			}()
			p := <-r.pick(ctx, flow.EndRequired)
			cancel()
			require.Error(t, p.err)
			require.LessOrEqual(t, p.took, 1500*time.Millisecond, "changes every %s", interval)
			asks, ends := 0, 0
			for _, kind := range append(r.kinds("old"), r.kinds("new")...) {
				switch kind[:3] {
				case "ask":
					asks++
				case "end":
					ends++
				}
			}
			require.LessOrEqual(t, asks, 3, "changes every %s", interval)
			require.Equal(t, asks, ends, "changes every %s: each slot request is withdrawn", interval)
			bubble.Sleep(time.Second)
		})
	}
}

// Guards against a request that is sent to a full engine, chosen locally, because schedulers
// replaced each other often: the last one that was asked keeps it.
func TestLastSchedulerAskedKeepsTheRequest(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newReplacement()
		result := r.pick(t.Context(), flow.EndUnconstrained)
		for _, scheduler := range []string{"new", "old", "new", "old", "new"} {
			bubble.Sleep(100 * time.Millisecond)
			r.replace(scheduler)
		}
		bubble.Sleep(100 * time.Millisecond)
		r.grant("old", 3)
		p := <-result
		require.NoError(t, p.err)
		require.Equal(t, 600*time.Millisecond, p.took)
		p.placement.Release(time.Now(), flow.Answered, 0)
		require.Contains(t, r.kinds("new"), "ended 3 answered")
	})
}

// Guards against a request that waits for a new scheduler which does not answer, and against
// a stream that must end in time and is placed without a scheduler.
func TestRequestMovedToASilentSchedulerIsPlacedLocally(t *testing.T) {
	for _, e := range []flow.EndConstraint{flow.EndUnconstrained, flow.EndPreferred, flow.EndRequired} {
		bubble.Run(t, func(t *testing.T) {
			r := newReplacement()
			r.silent["new"] = true
			result := r.pick(t.Context(), e)
			bubble.Sleep(100 * time.Millisecond)
			r.replace("new")
			p := <-result
			require.Equal(t, 170*time.Millisecond, p.took)
			require.Equal(t, []string{"held 0", "ask 1", "ended 1 canceled"}, r.kinds("old"))
			require.Equal(t, []string{"held 0", "ask 2", "ended 2 canceled"}, r.kinds("new"))
			if e == flow.EndRequired {
				require.Error(t, p.err)
				return
			}
			require.NoError(t, p.err)
			p.placement.Release(time.Now(), flow.Answered, 0)
		})
	}
}

// Guards against a request that waits anew at each scheduler, longer than its caller does.
func TestTimeWaitedAtAReplacedSchedulerCounts(t *testing.T) {
	for _, c := range []struct {
		name           string
		replaced, took time.Duration
		asksNew        int
	}{
		{"early", 1000 * time.Millisecond, 1500 * time.Millisecond, 1},
		{"no time left to ask", 1480 * time.Millisecond, 1480 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				r := newReplacement()
				result := r.pick(t.Context(), flow.EndUnconstrained)
				bubble.Sleep(c.replaced)
				r.replace("new")
				p := <-result
				require.Error(t, p.err)
				require.Equal(t, 300*time.Millisecond, flow.RetryAfter(p.err))
				require.Equal(t, c.took, p.took)
				require.Len(t, r.kinds("new"), 1+2*c.asksNew)
			})
		})
	}
}

// Guards against a slot that stays in use at its scheduler after its caller left.
func TestCallerWhoLeavesWhileARequestMovesLeavesNothing(t *testing.T) {
	for _, after := range []time.Duration{100, 110, 140} {
		bubble.Run(t, func(t *testing.T) {
			r := newReplacement()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			time.AfterFunc(after*time.Millisecond, cancel)
			result := r.pick(ctx, flow.EndUnconstrained)
			bubble.Sleep(100 * time.Millisecond)
			r.replace("new")
			require.Error(t, (<-result).err)
			require.Equal(t, []string{"held 0", "ask 1", "ended 1 canceled"}, r.kinds("old"))
			if kinds := r.kinds("new"); len(kinds) > 1 {
				require.Equal(t, []string{"held 0", "ask 2", "ended 2 canceled"}, kinds)
			}
		})
	}
}
