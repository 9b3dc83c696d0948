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

// Guards against a large workspace that fills the queue and delays small ones
// indefinitely. Deadlines favor the large one; the quantum limits how much more
// work than the others it is served.
func TestLargeWorkspaceDoesNotStarveSmallOnes(t *testing.T) {
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

// For any order of operations: Pop removes an item of the highest non-empty tier,
// RemoveLowest none of the given tier or a higher one, and no item is lost or
// duplicated.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[item](3, time.Second)
		queued := make(map[string]item)
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
				queued[i.id] = i
			},
			"pop": func(t *rapid.T) {
				got, ok := q.Pop()
				require.Equal(t, len(queued) > 0, ok)
				for _, other := range queued {
					require.LessOrEqual(t, got.tier, other.tier)
				}
				delete(queued, got.id)
			},
			"take-lowest": func(t *rapid.T) {
				above := rapid.IntRange(-1, 2).Draw(t, "above")
				got, ok := q.RemoveLowest(above)
				for _, other := range queued {
					require.True(t, other.tier <= above || ok)
					require.True(t, !ok || got.tier >= other.tier)
				}
				if ok {
					require.Greater(t, got.tier, above)
					delete(queued, got.id)
				}
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, max(next, 1)).Draw(t, "id"))
				_, ok := q.Remove(id)
				_, want := queued[id]
				require.Equal(t, want, ok)
				delete(queued, id)
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(queued), q.Len())
				var work time.Duration
				for _, i := range queued {
					work += i.work
				}
				require.Equal(t, work, q.WorkUpTo(2))
			},
		})
	})
}
