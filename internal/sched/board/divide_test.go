package board_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// grantOrder fills the only slot of an engine, submits the requests and returns the IDs in the
// order in which they get the slot. Each holds it for the given time.
func grantOrder(b *board.Scheduler, now time.Time, hold time.Duration, requests ...board.SlotRequest) []string {
	for _, req := range requests {
		b.Submit(now, req)
	}
	var order []string
	holder := "holder"
	for range requests {
		now = now.Add(hold)
		b.Release(now, "gateway", holder, board.SlotResult{Outcome: board.Canceled})
		for _, d := range b.Decisions() {
			if d.Upstream != "" {
				holder = d.ID
				order = append(order, d.ID)
				b.Started(now, "gateway", holder, -1)
			}
		}
	}
	return order
}

// newHeldScheduler returns a scheduler of one engine whose only slot is held by "holder", a
// request of the workspace.
func newHeldScheduler(now time.Time, workspace string) *board.Scheduler {
	b := board.New()
	b.SetUpstreams(now, newEngines(1, 1))
	b.Submit(now, newWorkspaceRequest(now, "holder", workspace, 0))
	b.Started(now, "gateway", "holder", -1)
	b.Decisions()
	return b
}

// newWorkspaceRequest returns a request of a workspace that may wait as long as needed. Those
// with a larger number are due later.
func newWorkspaceRequest(now time.Time, id, workspace string, number int) board.SlotRequest {
	req := newSlotRequest(now, "gateway", id)
	req.NextEventDue = now.Add(time.Minute + time.Duration(number)*time.Millisecond)
	req.Deadline = now.Add(time.Hour)
	req.Workspace, req.EventGapTarget = workspace, 0
	return req
}

// Guards against requests that wait behind all earlier ones of a workspace that sent many.
func TestSlotsGoToTheWorkspaceWithTheLeastUsage(t *testing.T) {
	b := newHeldScheduler(startTime, "large")
	var requests []board.SlotRequest
	for i := range 6 {
		requests = append(requests, newWorkspaceRequest(startTime, "large"+strconv.Itoa(i), "large", i))
	}
	for i := range 2 {
		requests = append(requests, newWorkspaceRequest(startTime, "small"+strconv.Itoa(i), "small", 10+i))
	}
	require.Equal(t, []string{"small0", "large0", "small1", "large1", "large2", "large3", "large4", "large5"},
		grantOrder(b, startTime, 500*time.Millisecond, requests...))
}

// Guards against a tier that goes after a lower one because its workspaces used more, and
// against requests that were sent or refused before and change their place.
func TestDivisionReordersRequestsOfOneRankOnly(t *testing.T) {
	b := newHeldScheduler(startTime, "large")
	higher, lower := newWorkspaceRequest(startTime, "higher", "large", 3), newWorkspaceRequest(startTime, "lower", "small", 2)
	lower.Tier = 1
	resent := newWorkspaceRequest(startTime, "resent", "large", 4)
	resent.Resent = true
	require.Equal(t, []string{"resent", "higher", "lower"}, grantOrder(b, startTime, 500*time.Millisecond, lower, higher, resent))
}

// Guards against a workspace whose new requests keep those that come back to another one, which
// was refused once, from all slots.
func TestReturnedRequestsWaitBehindTheirOwnWorkspaceOnly(t *testing.T) {
	b := newHeldScheduler(startTime, "large")
	returned := newWorkspaceRequest(startTime, "returned", "small", 0)
	returned.Fingerprint, returned.NextEventDue = 7, startTime.Add(time.Millisecond)
	b.Submit(startTime, returned)
	require.Equal(t, 0, countGranted(b.Decisions()))

	later := startTime.Add(100 * time.Millisecond)
	returned.Number, returned.NextEventDue = 2, later.Add(time.Minute)
	require.Equal(t, []string{"new", "returned", "large0", "large1"}, grantOrder(b, later, 100*time.Millisecond,
		newWorkspaceRequest(later, "large0", "large", 1), newWorkspaceRequest(later, "large1", "large", 2),
		newWorkspaceRequest(later, "new", "small", 3), returned))
}

// Guards against usage in one tier that counts in another.
func TestUsageCountsByTier(t *testing.T) {
	b := newHeldScheduler(startTime, "large")
	first, second := newWorkspaceRequest(startTime, "first", "large", 1), newWorkspaceRequest(startTime, "second", "small", 2)
	first.Tier, second.Tier = 1, 1
	require.Equal(t, []string{"first", "second"}, grantOrder(b, startTime, 500*time.Millisecond, first, second))
}

// Guards against a slot that stays free because the engine does not suit the requests of the
// workspace with the least usage.
func TestSlotThatDoesNotSuitTheLeastServedGoesToAnother(t *testing.T) {
	b := newHeldScheduler(startTime, "large")
	excluded := newWorkspaceRequest(startTime, "excluded", "small", 1)
	excluded.ExcludedUpstreams = []string{"e0"}
	b.Submit(startTime, excluded)
	b.Submit(startTime, newWorkspaceRequest(startTime, "suited", "large", 2))
	b.Decisions()
	b.Release(startTime.Add(time.Second), "gateway", "holder", answeredEnd)
	decisions := b.Decisions()
	require.Equal(t, 1, countGranted(decisions))
	require.Equal(t, "suited", decisions[0].ID)
}

// Guards against a new scheduler that takes the holders of all slots for equal.
func TestNewSchedulerCountsTheSlotsThatGatewaysHold(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 4))
	held := []board.HeldSlot{{ID: "holder", Upstream: "e0", Workspace: "small", Started: true}}
	for i := range 3 {
		held = append(held, board.HeldSlot{ID: "held" + strconv.Itoa(i), Upstream: "e0", Workspace: "large", Started: true})
	}
	b.Reconcile(startTime, "gateway", held)
	order := grantOrder(b, startTime, 10*time.Millisecond,
		newWorkspaceRequest(startTime, "l", "large", 0), newWorkspaceRequest(startTime, "s", "small", 1))
	require.Equal(t, []string{"s", "l"}, order)
}

// Guards against requests from gateways of an earlier build that go before or after all others:
// without a workspace, they count as those of one.
func TestRequestsWithoutAWorkspaceCountAsOne(t *testing.T) {
	b := newHeldScheduler(startTime, "")
	var requests []board.SlotRequest
	for i := range 3 {
		requests = append(requests, newWorkspaceRequest(startTime, "old"+strconv.Itoa(i), "", i))
	}
	requests = append(requests, newWorkspaceRequest(startTime, "new0", "w", 10), newWorkspaceRequest(startTime, "new1", "w", 11), newWorkspaceRequest(startTime, "new2", "w", 12))
	require.Equal(t, []string{"new0", "old0", "new1", "old1", "new2", "old2"}, grantOrder(b, startTime, 500*time.Millisecond, requests...))
}

// Guards against late requests of a workspace that has used much, which keep those of others
// from waiting for a spare slot.
func TestLateQueueDropsTheMostServedWorkspaceFirst(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 8))
	for i := range 8 {
		b.Submit(startTime, newWorkspaceRequest(startTime, "holder"+strconv.Itoa(i), "large", i))
	}
	now := startTime.Add(time.Second)
	for i, workspace := range []string{"large", "large", "small"} {
		req := newWorkspaceRequest(now, workspace+strconv.Itoa(i), workspace, i)
		req.NextEventDue = now.Add(time.Duration(i-10) * time.Millisecond)
		b.Submit(now, req)
	}
	var refused []string
	for _, d := range b.Decisions() {
		if d.Upstream == "" && !d.Waiting {
			refused = append(refused, d.ID)
		}
	}
	require.Equal(t, []string{"large1"}, refused)
}

// Guards against decisions that change for a single workspace: they are the same as those by
// due moment alone, which requests without a workspace get.
func TestDecisionsWithASingleWorkspaceAreAsWithoutAny(t *testing.T) {
	for seed := range uint64(8) {
		decide := func(workspace string) string {
			rng := rand.New(rand.NewPCG(seed, 1))
			b := board.New()
			upstreams := newEngines(5, 3)
			upstreams[1].Domain, upstreams[2].Domain = "b", "b"
			b.SetUpstreams(startTime, upstreams)
			var log []string
			for i := range 2000 {
				now := startTime.Add(time.Duration(i) * 5 * time.Millisecond)
				req := newSlotRequest(now, "gateway", strconv.Itoa(i))
				req.Workspace, req.Tier, req.Resent = workspace, rng.IntN(3), rng.IntN(20) == 0
				req.Domain = []string{"a", "b"}[rng.IntN(2)]
				req.Fingerprint = uint64(1 + rng.IntN(500))
				req.NextEventDue = now.Add(time.Duration(rng.IntN(900)) * time.Millisecond)
				b.Submit(now, req)
				b.Started(now, "gateway", strconv.Itoa(i-rng.IntN(20)), -1)
				b.Release(now, "gateway", strconv.Itoa(i-rng.IntN(200)), answeredEnd)
				if i%2 == 0 {
					b.Tick(now)
				}
				for _, d := range b.Decisions() {
					log = append(log, fmt.Sprint(i, d))
				}
			}
			return fmt.Sprint(log)
		}
		require.Equal(t, decide(""), decide("w"), "seed %d", seed)
	}
}

// Guards against a late request that takes the place of another in the full late queue and gets
// no reply: its gateway would take the scheduler for silent and choose an engine itself.
func TestLateRequestThatDisplacesAnotherIsToldThatItWaits(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 8))
	for i := range 8 {
		b.Submit(startTime, newWorkspaceRequest(startTime, "holder"+strconv.Itoa(i), "large", i))
	}
	b.Decisions()
	now := startTime.Add(time.Second)
	waiting := make(map[string]bool)
	for i, workspace := range []string{"large", "large", "small"} {
		req := newWorkspaceRequest(now, workspace+strconv.Itoa(i), workspace, i)
		req.NextEventDue = now.Add(time.Duration(i-10) * time.Millisecond)
		b.Submit(now, req)
		for _, d := range b.Decisions() {
			waiting[d.ID] = d.Waiting
		}
	}
	require.Equal(t, map[string]bool{"large0": true, "large1": false, "small2": true}, waiting)
}
