package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against a request that gets a second slot, loses the one that it has, or loses its
// turn, because its slot request was sent again on another connection. Either copy may come
// first.
func TestRepeatedSlotRequestIsAnsweredLikeTheFirst(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, repeatedFirst := range map[string]bool{"first copy comes first": false, "repeated copy comes first": true} {
		t.Run(name, func(t *testing.T) {
			b := board.New()
			b.SetUpstreams(now, newEngines(1, 1))
			submit := func(id string, number uint64) (answers []board.Decision) {
				for _, repeated := range []bool{repeatedFirst, !repeatedFirst} {
					req := newNumberedRequest(now, id, number)
					req.Repeated = repeated
					b.Submit(now, req)
					answers = append(answers, b.Decisions()...)
				}
				return answers
			}
			granted := submit("one", 1)
			require.Equal(t, 1, b.Stats(now).Running)
			queued := submit("two", 2)
			require.Equal(t, 1, b.Stats(now).Waiting)
			if repeatedFirst {
				require.Len(t, append(granted, queued...), 2, "the first copy that comes late needs no answer")
			} else {
				require.Equal(t, []string{granted[0].Upstream, ""}, []string{granted[1].Upstream, queued[1].Upstream})
				require.True(t, granted[1].Urgent && queued[1].Urgent && queued[1].Waiting)
			}

			b.Release(now, "gateway", "one", board.SlotResult{Outcome: board.Answered, Number: 1})
			decisions := b.Decisions()
			require.Len(t, decisions, 1)
			require.Equal(t, "two", decisions[0].ID)
			require.True(t, decisions[0].Urgent, "a gateway that waits gets its slot on all connections")
		})
	}
}

// Guards against a refusal that is not sent again: the gateway would choose an engine itself
// although all are full.
func TestRefusalIsRepeated(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := board.New()
	b.SetUpstreams(now, newEngines(1, 1))
	b.Submit(now, newNumberedRequest(now, "runs", 1))
	for i := range 40 {
		b.Submit(now, newNumberedRequest(now, "waits", uint64(2+i)))
	}
	b.Decisions()
	late := newNumberedRequest(now, "late", 90)
	late.NextEventDue = now.Add(time.Millisecond)
	now = now.Add(time.Second)
	b.Submit(now, late)
	first := b.Decisions()
	require.False(t, first[len(first)-1].Waiting)
	late.Repeated = true
	b.Submit(now, late)
	second := b.Decisions()
	require.Equal(t, first[len(first)-1].Waiting, second[len(second)-1].Waiting)
	require.Equal(t, first[len(first)-1].Reason, second[len(second)-1].Reason)
	require.True(t, second[len(second)-1].Urgent)
}
