package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/persimmonridge/persimmonridge/internal/proof/seed"
	"github.com/persimmonridge/persimmonridge/internal/upstream/queue"
)

type item struct {
	id, workspace string
	tier          int
	deadline      time.Time
	work          time.Duration
}

func (i item) ID() string          { return i.id }
func (i item) Workspace() string   { return i.workspace }
func (i item) Tier() int           { return i.tier }
func (i item) Deadline() time.Time { return i.deadline }
func (i item) Work() time.Duration { return i.work }

var start = time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)

// A large workspace fills the queue, and four small ones wait behind it for
// the whole evening.
// Deadlines favor the large one; the quantum limits how far it may run ahead.
func TestLargeWorkspaceCannotStarveSmallOnes(t *testing.T) {
	q := queue.New[item](1, 2*time.Second)
	for i := range 100 {
		q.Push(item{id: fmt.Sprint("large-", i), workspace: "large", deadline: start, work: time.Second})
	}
	for i := range 4 {
		q.Push(item{id: fmt.Sprint("small-", i), workspace: fmt.Sprint("small-", i), deadline: start.Add(time.Hour), work: time.Second})
	}
	served := make(map[string]int)
	for range 20 {
		next, ok := q.Pop()
		require.True(t, ok)
		served[next.workspace]++
	}
	for i := range 4 {
		require.Equal(t, 1, served[fmt.Sprint("small-", i)])
	}
}

// Pop must always take the highest tier held, TakeLowest never one at or above
// the bound, and nothing may be lost or doubled.
func TestOrderHoldsUnderAnyOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[item](3, time.Second)
		held := make(map[string]item)
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				i := item{
					id: fmt.Sprint(next), workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					tier: rapid.IntRange(0, 2).Draw(t, "tier"), deadline: start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "deadline")) * time.Second),
					work: time.Duration(rapid.IntRange(1, 5000).Draw(t, "work")) * time.Millisecond,
				}
				q.Push(i)
				held[i.id] = i
			},
			"pop": func(t *rapid.T) {
				got, ok := q.Pop()
				require.Equal(t, len(held) > 0, ok)
				for _, other := range held {
					require.LessOrEqual(t, got.tier, other.tier)
				}
				delete(held, got.id)
			},
			"take-lowest": func(t *rapid.T) {
				above := rapid.IntRange(-1, 2).Draw(t, "above")
				got, ok := q.TakeLowest(above)
				for _, other := range held {
					require.True(t, other.tier <= above || ok)
					require.True(t, !ok || got.tier >= other.tier)
				}
				if ok {
					require.Greater(t, got.tier, above)
					delete(held, got.id)
				}
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, max(next, 1)).Draw(t, "id"))
				_, ok := q.Remove(id)
				_, want := held[id]
				require.Equal(t, want, ok)
				delete(held, id)
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(held), q.Len())
				var work time.Duration
				for _, i := range held {
					work += i.work
				}
				require.Equal(t, work, q.WorkUpTo(2))
			},
		})
	})
}
