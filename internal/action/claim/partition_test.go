package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	_ "github.com/persimmonridge/persimmonridge/internal/proof/seed"
)

var start = time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)

func step(l *ledger, now time.Time, ask *wire.ClaimAsk) *wire.ClaimReply {
	d := l.ask(now, ask)
	if d.write != nil {
		l.commit(*d.write)
	}
	return d.reply
}

func ask(s wire.ClaimAsk_Step, request, upstream string) *wire.ClaimAsk {
	return &wire.ClaimAsk{Step: s, Key: "k", Fingerprint: 1, RequestId: request, Upstream: upstream, Incarnation: 1}
}

// A learner is charged twice after a slow evening of the platform's store.
// A resend finds the first try's claim at booking-00, where its request proves
// not to have run; meanwhile the first try has moved its claim to booking-01
// and runs there. The proof is about booking-00, so the claim is not given up.
func TestProofAboutOnePlaceDoesNotReleaseAnother(t *testing.T) {
	l := newLedger()
	require.Equal(t, wire.ClaimReply_STATE_GRANTED, step(l, start, ask(wire.ClaimAsk_STEP_CLAIM, "first", "booking-00")).GetState())
	require.Equal(t, wire.ClaimReply_STATE_GRANTED, step(l, start, ask(wire.ClaimAsk_STEP_DISPATCH, "first", "booking-01")).GetState())
	resend := ask(wire.ClaimAsk_STEP_CLAIM, "second", "booking-02")
	resend.Replaces = &wire.ClaimAsk_Replaced{RequestId: "first", Upstream: "booking-00", Incarnation: 1}
	reply := step(l, start, resend)
	require.Equal(t, wire.ClaimReply_STATE_HELD, reply.GetState())
	require.Equal(t, "booking-01", reply.GetUpstream())
	resend.Replaces.Upstream = "booking-01"
	require.Equal(t, wire.ClaimReply_STATE_GRANTED, step(l, start, resend).GetState())
	require.Equal(t, wire.ClaimReply_STATE_HELD, step(l, start, ask(wire.ClaimAsk_STEP_DISPATCH, "first", "booking-02")).GetState(), "the first try may not move on any more")
}

func TestStatesOfOneAction(t *testing.T) {
	l := newLedger()
	step(l, start, ask(wire.ClaimAsk_STEP_CLAIM, "first", "a"))
	other := ask(wire.ClaimAsk_STEP_CLAIM, "second", "a")
	other.Fingerprint = 2
	require.Equal(t, wire.ClaimReply_STATE_MISMATCH, step(l, start, other).GetState())
	finish := ask(wire.ClaimAsk_STEP_FINISH, "first", "a")
	finish.Answer = &wire.StoredAnswer{Outcome: wire.End_OUTCOME_ANSWERED, Status: 201, Body: []byte("booked"), Whole: true}
	require.Equal(t, wire.ClaimReply_STATE_DONE, step(l, start, finish).GetState())
	replay := step(l, start, ask(wire.ClaimAsk_STEP_CLAIM, "third", "a"))
	require.Equal(t, wire.ClaimReply_STATE_FINISHED, replay.GetState())
	require.Equal(t, []byte("booked"), replay.GetAnswer().GetBody())
	require.Equal(t, wire.ClaimReply_STATE_GRANTED, step(l, start.Add(Keep+time.Hour), ask(wire.ClaimAsk_STEP_CLAIM, "next-day", "a")).GetState())
}

// Tries of one key come in any order, several under way at once: claiming,
// moving, dispatching, dying, proving others not to have run. A model of the
// agents says who really runs; it must never be two.
func TestOneActionNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		places := []string{"a", "b", "c"}
		holder := make(map[string]string)            // try -> place its last grant named
		refused := make(map[string]bool)             // try@place made void by a proof
		ran := make(map[string]bool)                 // tries that were dispatched
		claimOf := make(map[string]*wire.ClaimReply) // try -> the claim it saw held
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				next++
				try, place := fmt.Sprint(next), rapid.SampledFrom(places).Draw(t, "place")
				reply := step(l, start, ask(wire.ClaimAsk_STEP_CLAIM, try, place))
				if reply.GetState() == wire.ClaimReply_STATE_GRANTED {
					holder[try] = place
				}
				if reply.GetState() == wire.ClaimReply_STATE_HELD {
					claimOf[try] = reply
				}
			},
			"move": func(t *rapid.T) {
				try, place := fmt.Sprint(rapid.IntRange(1, max(next, 1)).Draw(t, "try")), rapid.SampledFrom(places).Draw(t, "place")
				if holder[try] == "" || ran[try] {
					return
				}
				delete(holder, try)
				if step(l, start, ask(wire.ClaimAsk_STEP_DISPATCH, try, place)).GetState() == wire.ClaimReply_STATE_GRANTED {
					holder[try] = place
				}
			},
			"dispatch": func(t *rapid.T) {
				try := fmt.Sprint(rapid.IntRange(1, max(next, 1)).Draw(t, "try"))
				if place := holder[try]; place != "" && !refused[try+"@"+place] {
					ran[try] = true
				}
			},
			"prove-and-take-over": func(t *rapid.T) {
				try := fmt.Sprint(rapid.IntRange(1, max(next, 1)).Draw(t, "try"))
				seen := claimOf[try]
				if seen == nil {
					return
				}
				// The agent is asked for the run; if it does not know it, it
				// refuses it from now on, and that is the proof.
				if ran[seen.GetRequestId()] && holder[seen.GetRequestId()] == seen.GetUpstream() {
					return
				}
				refused[seen.GetRequestId()+"@"+seen.GetUpstream()] = true
				again := ask(wire.ClaimAsk_STEP_CLAIM, try, rapid.SampledFrom(places).Draw(t, "place"))
				again.Replaces = &wire.ClaimAsk_Replaced{RequestId: seen.GetRequestId(), Upstream: seen.GetUpstream(), Incarnation: 1}
				reply := step(l, start, again)
				if reply.GetState() == wire.ClaimReply_STATE_GRANTED {
					holder[try] = again.GetUpstream()
				}
				if reply.GetState() == wire.ClaimReply_STATE_HELD {
					claimOf[try] = reply
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, len(ran), 1, "ran: %v", ran)
			},
		})
	})
}
