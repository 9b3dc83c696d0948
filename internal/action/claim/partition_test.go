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

func apply(l *ledger, now time.Time, ask *wire.ClaimAsk) *wire.ClaimReply {
	d := l.handle(now, ask)
	if d.write != nil {
		l.commit(*d.write)
	}
	return d.reply
}

func newRequest(s wire.ClaimAsk_Step, request, upstream string) *wire.ClaimAsk {
	return &wire.ClaimAsk{Step: s, Key: "k", Fingerprint: 1, RequestId: request, Upstream: upstream, Incarnation: 1}
}

// Guards against a double charge while the platform's store is slow: a resend
// finds the first attempt's claim at booking-00, where the request provably
// did not run, but the first attempt has meanwhile moved its claim to
// booking-01 and runs there. A proof about booking-00 must not release it.
func TestProofForOneUpstreamKeepsClaimAtAnother(t *testing.T) {
	l := newLedger()
	require.Equal(t, wire.ClaimReply_STATE_GRANTED, apply(l, start, newRequest(wire.ClaimAsk_STEP_CLAIM, "first", "booking-00")).GetState())
	require.Equal(t, wire.ClaimReply_STATE_GRANTED, apply(l, start, newRequest(wire.ClaimAsk_STEP_DISPATCH, "first", "booking-01")).GetState())
	resend := newRequest(wire.ClaimAsk_STEP_CLAIM, "second", "booking-02")
	resend.Replaces = &wire.ClaimAsk_Replaced{RequestId: "first", Upstream: "booking-00", Incarnation: 1}
	reply := apply(l, start, resend)
	require.Equal(t, wire.ClaimReply_STATE_HELD, reply.GetState())
	require.Equal(t, "booking-01", reply.GetUpstream())
	resend.Replaces.Upstream = "booking-01"
	require.Equal(t, wire.ClaimReply_STATE_GRANTED, apply(l, start, resend).GetState())
	require.Equal(t, wire.ClaimReply_STATE_HELD, apply(l, start, newRequest(wire.ClaimAsk_STEP_DISPATCH, "first", "booking-02")).GetState(), "the first attempt must not move its claim after it was replaced")
}

func TestActionStates(t *testing.T) {
	l := newLedger()
	apply(l, start, newRequest(wire.ClaimAsk_STEP_CLAIM, "first", "a"))
	other := newRequest(wire.ClaimAsk_STEP_CLAIM, "second", "a")
	other.Fingerprint = 2
	require.Equal(t, wire.ClaimReply_STATE_MISMATCH, apply(l, start, other).GetState())
	finish := newRequest(wire.ClaimAsk_STEP_FINISH, "first", "a")
	finish.Answer = &wire.StoredAnswer{Outcome: wire.End_OUTCOME_ANSWERED, Status: 201, Body: []byte("booked"), Whole: true}
	require.Equal(t, wire.ClaimReply_STATE_DONE, apply(l, start, finish).GetState())
	replay := apply(l, start, newRequest(wire.ClaimAsk_STEP_CLAIM, "third", "a"))
	require.Equal(t, wire.ClaimReply_STATE_FINISHED, replay.GetState())
	require.Equal(t, []byte("booked"), replay.GetAnswer().GetBody())
	require.Equal(t, wire.ClaimReply_STATE_GRANTED, apply(l, start.Add(Retention+time.Hour), newRequest(wire.ClaimAsk_STEP_CLAIM, "next-day", "a")).GetState())
}

// Concurrent attempts with one key claim, move, dispatch, die and prove others
// not to have run, in any order. A model of the agents records which attempts
// run; there must be at most one.
func TestOneActionNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		upstreams := []string{"a", "b", "c"}
		holder := make(map[string]string)            // attempt -> upstream of its last grant
		refused := make(map[string]bool)             // attempt@upstream that the agent refuses after a proof
		ran := make(map[string]bool)                 // attempts that were dispatched
		claimOf := make(map[string]*wire.ClaimReply) // attempt -> the claim that it found held
		attempts := 0
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				attempts++
				attempt, place := fmt.Sprint(attempts), rapid.SampledFrom(upstreams).Draw(t, "place")
				reply := apply(l, start, newRequest(wire.ClaimAsk_STEP_CLAIM, attempt, place))
				if reply.GetState() == wire.ClaimReply_STATE_GRANTED {
					holder[attempt] = place
				}
				if reply.GetState() == wire.ClaimReply_STATE_HELD {
					claimOf[attempt] = reply
				}
			},
			"move": func(t *rapid.T) {
				attempt, place := fmt.Sprint(rapid.IntRange(1, max(attempts, 1)).Draw(t, "try")), rapid.SampledFrom(upstreams).Draw(t, "place")
				if holder[attempt] == "" || ran[attempt] {
					return
				}
				delete(holder, attempt)
				if apply(l, start, newRequest(wire.ClaimAsk_STEP_DISPATCH, attempt, place)).GetState() == wire.ClaimReply_STATE_GRANTED {
					holder[attempt] = place
				}
			},
			"dispatch": func(t *rapid.T) {
				attempt := fmt.Sprint(rapid.IntRange(1, max(attempts, 1)).Draw(t, "try"))
				if place := holder[attempt]; place != "" && !refused[attempt+"@"+place] {
					ran[attempt] = true
				}
			},
			"prove-and-take-over": func(t *rapid.T) {
				attempt := fmt.Sprint(rapid.IntRange(1, max(attempts, 1)).Draw(t, "try"))
				seen := claimOf[attempt]
				if seen == nil {
					return
				}
				// The agent is asked for the run. If it does not know the run, it
				// refuses it from then on, which is the proof.
				if ran[seen.GetRequestId()] && holder[seen.GetRequestId()] == seen.GetUpstream() {
					return
				}
				refused[seen.GetRequestId()+"@"+seen.GetUpstream()] = true
				again := newRequest(wire.ClaimAsk_STEP_CLAIM, attempt, rapid.SampledFrom(upstreams).Draw(t, "place"))
				again.Replaces = &wire.ClaimAsk_Replaced{RequestId: seen.GetRequestId(), Upstream: seen.GetUpstream(), Incarnation: 1}
				reply := apply(l, start, again)
				if reply.GetState() == wire.ClaimReply_STATE_GRANTED {
					holder[attempt] = again.GetUpstream()
				}
				if reply.GetState() == wire.ClaimReply_STATE_HELD {
					claimOf[attempt] = reply
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, len(ran), 1, "attempts that ran: %v", ran)
			},
		})
	})
}
