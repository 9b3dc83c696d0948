package permit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/version/rollout"
)

// setStreamTime sets how long the stream takes on each idle upstream; "" stands for all
// others.
func setStreamTime(c *permit.Client, streamTime map[string]time.Duration) {
	c.MinStreamTime = func(upstream string, _, _ int) time.Duration {
		if d, ok := streamTime[upstream]; ok {
			return d
		}
		return streamTime[""]
	}
}

// Guards against a stream that is broken off for certain because it is refused while it may
// still end, and against one that must end and is sent though it no longer can.
func TestGrantIsUsedWhileTheStreamMayStillEnd(t *testing.T) {
	for _, c := range []struct {
		name      string
		e         flow.EndConstraint
		remaining time.Duration
		used      bool
	}{
		{"unconstrained", flow.EndUnconstrained, 10 * time.Millisecond, true},
		{"required, enough time", flow.EndRequired, 1000 * time.Millisecond, true},
		{"required, too little time", flow.EndRequired, 999 * time.Millisecond, false},
		{"preferred, if shorter than estimated", flow.EndPreferred, 100 * time.Millisecond, true},
		{"preferred, however short", flow.EndPreferred, 50 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				r := newReplacement()
				setStreamTime(r.client, map[string]time.Duration{"": time.Second})
				result := r.pickWithin(t.Context(), r.client, 200*time.Millisecond+c.remaining, c.e)
				bubble.Sleep(200 * time.Millisecond)
				r.grant("old", 1)
				p := <-result
				require.Equal(t, 200*time.Millisecond, p.took)
				if c.used {
					require.NoError(t, p.err)
					p.placement.Release(time.Now(), flow.Answered, 0)
					return
				}
				require.ErrorContains(t, p.err, "shuts down")
				require.Zero(t, flow.RetryAfter(p.err))
				require.Equal(t, []string{"held 0", "ask 1", "ended 1 canceled"}, r.kinds("old"))
			})
		})
	}
}

// Guards against a late grant that is used because its request moved to another scheduler.
func TestLateGrantOfAMovedRequestIsNotUsed(t *testing.T) {
	for _, e := range []flow.EndConstraint{flow.EndPreferred, flow.EndRequired} {
		bubble.Run(t, func(t *testing.T) {
			r := newReplacement()
			setStreamTime(r.client, map[string]time.Duration{"": time.Second})
			result := r.pickWithin(t.Context(), r.client, 1300*time.Millisecond, e)
			bubble.Sleep(100 * time.Millisecond)
			r.replace("new")
			bubble.Sleep(1150 * time.Millisecond)
			r.grant("new", 2)
			p := <-result
			require.ErrorContains(t, p.err, "shuts down")
			require.Equal(t, 1250*time.Millisecond, p.took)
			require.Equal(t, []string{"held 0", "ask 2", "ended 2 canceled"}, r.kinds("new"))
		})
	}
}

// Guards against a stream that is refused although a faster engine could still end it: the
// scheduler is asked again, for another engine.
func TestLateGrantOfASlowEngineIsExchanged(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newReplacement()
		setStreamTime(r.client, map[string]time.Duration{engine.ID: 2 * time.Second, "": time.Second})
		result := r.pickWithin(t.Context(), r.client, 1800*time.Millisecond, flow.EndRequired)
		bubble.Sleep(100 * time.Millisecond)
		r.grant("old", 1)
		bubble.Sleep(10 * time.Millisecond)
		require.Equal(t, []string{"held 0", "ask 1", "ended 1 canceled", "ask 2"}, r.kinds("old"))
		require.Equal(t, []string{engine.ID}, r.messages[len(r.messages)-1].e.GetPlaceAsk().Exclude)
		r.refuse("old", 2)
		require.Error(t, (<-result).err)
	})
}

// Guards against a late grant that is used, or waited for again, because a rollout tries
// another version after the target of its move.
func TestLateGrantIsNotUsedDuringARollout(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newReplacement()
		setStreamTime(r.client, map[string]time.Duration{"": time.Second})
		picker := rollout.NewPicker(r.client)
		picker.SetState("tutor", rollout.State{Order: 1, Target: "v2", Phase: rollout.Running, Share: 1})
		result := r.pickWithin(t.Context(), picker, 300*time.Millisecond+50*time.Millisecond, flow.EndPreferred)
		bubble.Sleep(300 * time.Millisecond)
		r.grant("old", 1)
		p := <-result
		require.ErrorContains(t, p.err, "shuts down")
		require.Equal(t, 300*time.Millisecond, p.took)
		require.Equal(t, []string{"held 0", "ask 1", "ended 1 canceled"}, r.kinds("old"))
	})
}

// Guards against a slot that the successor of a scheduler does not know: it is granted by the
// former one while the gateway reports its slots, after they were listed.
func TestGrantDuringTheReportToASuccessorIsNotUsed(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newReplacement()
		r.client.Send = func(node string, e *wire.Envelope) bool {
			if node == "new" && e.GetPlacesHeld() != nil {
				r.grant("old", 1)
			}
			return r.send(node, e)
		}
		result := r.pickWithin(t.Context(), r.client, 15*time.Second, flow.EndUnconstrained)
		bubble.Sleep(100 * time.Millisecond)
		r.replace("new")
		bubble.Sleep(100 * time.Millisecond)
		require.Equal(t, []string{"ended 1 canceled", "held 0", "ask 2"}, r.kinds("new"))
		r.grant("new", 2)
		p := <-result
		require.NoError(t, p.err)
		p.placement.Release(time.Now(), flow.Answered, 0)
	})
}
