package local_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/load"
	"github.com/persimmonridge/persimmonridge/internal/sched/local"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// pair returns a chooser between two upstreams and its table. With two, each choice compares
// both.
func pair(t *testing.T, slots int) (*local.Chooser, *load.Table) {
	t.Helper()
	ready := []roster.Upstream{{ID: "one", Service: "s", Slots: slots, StartedAtMs: 1}, {ID: "two", Service: "s", Slots: slots, StartedAtMs: 1}}
	chooser := local.New("", func(string) []roster.Upstream { return ready }, func() int { return 20 })
	table := load.New("g")
	chooser.SetLoads(table, local.NoEngines)
	return chooser, table
}

func pick(t *testing.T, c *local.Chooser, now time.Time, req flow.PlacementRequest) flow.Placement {
	t.Helper()
	req.Service = "s"
	p, err := c.Pick(context.Background(), now, req)
	require.NoError(t, err)
	return p
}

func heard(id string, at time.Time, running int, pace float64) load.Sample {
	return load.Sample{Process: roster.Process{ID: id, StartedAtMs: 1}, Load: exchange.Load{Running: running, Slots: 6, Pace: pace}, At: at}
}

// Guards against a change for services that state three values: they are chosen as without a
// table, and nothing is sent for them.
func TestServicesWithoutPaceAreChosenAsBefore(t *testing.T) {
	ready := make([]roster.Upstream, 5)
	for i := range ready {
		ready[i] = roster.Upstream{ID: fmt.Sprint(i), Domain: string(rune('a' + i%2)), Slots: 3 + i}
	}
	upstreams := func(string) []roster.Upstream { return ready }
	gateways := func() int { return 4 }
	before, after, table := local.New("a", upstreams, gateways), local.New("a", upstreams, gateways), load.New("g")
	after.SetLoads(table, local.NoEngines)
	random := rand.New(rand.NewPCG(1, 2))
	var held [][2]flow.Placement
	now := time.Unix(1_000_000, 0)
	picked, refused := 0, 0
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(5)) * time.Millisecond)
		req := flow.PlacementRequest{Deadline: now.Add(100 * time.Millisecond), PromptTokens: random.IntN(2)}
		if random.IntN(100) < 52 || len(held) == 0 {
			a, errA := before.Pick(context.Background(), now, req)
			b, errB := after.Pick(context.Background(), now, req)
			if errA != nil {
				require.EqualError(t, errB, errA.Error())
				require.Equal(t, flow.RetryAfter(errA), flow.RetryAfter(errB))
				refused++
				continue
			}
			require.NoError(t, errB)
			require.Equal(t, a.Upstream(), b.Upstream())
			picked++
			held = append(held, [2]flow.Placement{a, b})
			continue
		}
		i := random.IntN(len(held))
		l := exchange.Load{Running: random.IntN(12), Waiting: random.IntN(3), Slots: 6}
		outcome := []flow.Outcome{flow.Answered, flow.Answered, flow.Answered, flow.Declined, flow.Failed, flow.Unreachable}[random.IntN(6)]
		for _, p := range held[i] {
			p.ReportLoad(now, l)
			p.AnswerStarted(now)
			p.Release(now, outcome, 0)
		}
		held = append(held[:i], held[i+1:]...)
		_, due := table.Report(now)
		require.False(t, due)
	}
	require.Greater(t, picked, 1000)
	require.Greater(t, refused, 100)
}

// Guards against requests of this gateway that are in another gateway's sample and count
// twice.
func TestOwnRequestsInAPeersSampleCountOnce(t *testing.T) {
	chooser, table := pair(t, 6)
	now := time.Unix(1_000_000, 0)
	for range 4 {
		pick(t, chooser, now, flow.PlacementRequest{ExcludedUpstreams: []string{"two"}})
	}
	table.Answered(now, []load.Sample{heard("one", now, 0, 1), heard("two", now, 0, 1)})
	for range 2 {
		// The first choice by samples begins the history of the gateway's requests.
		pick(t, chooser, now, flow.PlacementRequest{}).Release(now, flow.Canceled, 0)
	}
	now = now.Add(20 * time.Millisecond)
	// All four at "one" are this gateway's, and of the five at "two" none is.
	table.Answered(now, []load.Sample{heard("one", now, 4, 1), heard("two", now, 5, 1)})
	now = now.Add(20 * time.Millisecond)
	require.Equal(t, "one", pick(t, chooser, now, flow.PlacementRequest{}).Upstream().ID)
	// With the new one, five are there; the sample still stands for four of them.
	require.Equal(t, "one", pick(t, chooser, now, flow.PlacementRequest{ExcludedUpstreams: []string{"two"}}).Upstream().ID)
	require.Equal(t, "two", pick(t, chooser, now, flow.PlacementRequest{}).Upstream().ID)
}

// Guards against a full upstream that has requests refused while another one has room.
func TestFullUpstreamCausesNoRefusalBesideAnother(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name    string
		engines func(string) bool
		tokens  int
		want    int
	}{
		{"plain service", local.NoEngines, 0, 100},
		{"plain service, tokens stated", local.NoEngines, 1, 100},
		// Of eight slots, one of 20 gateways may use three without a scheduler.
		{"engines", local.OnlyEngines, 1, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			chooser, table := pair(t, 8)
			chooser.SetLoads(table, c.engines)
			table.Answered(now, []load.Sample{heard("one", now, 0, 0.5), heard("two", now, 0, 9)})
			got := 0
			for got < 100 {
				p, err := chooser.Pick(context.Background(), now, flow.PlacementRequest{Service: "s", PromptTokens: c.tokens})
				if err != nil {
					require.ErrorContains(t, err, "full")
					break
				}
				if got == 0 {
					require.Equal(t, "one", p.Upstream().ID)
				}
				got++
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against engines' samples that are sent to the scheduler as those of a plain service.
func TestSamplesOfEnginesAreNotReported(t *testing.T) {
	chooser, table := pair(t, 8)
	now := time.Unix(1_000_000, 0)
	held := chooser.Hold(now, roster.Upstream{ID: "one", Slots: 8, StartedAtMs: 1}, flow.PlacementRequest{})
	held.ReportLoad(now, exchange.Load{Running: 1, Slots: 8, Pace: 2.5})
	chooser.SetLoads(table, local.OnlyEngines)
	chosen := pick(t, chooser, now, flow.PlacementRequest{PromptTokens: 1})
	require.Equal(t, "two", chosen.Upstream().ID)
	chosen.ReportLoad(now, exchange.Load{Running: 1, Slots: 8, Pace: 2.5})
	withoutTokens := pick(t, chooser, now, flow.PlacementRequest{})
	withoutTokens.ReportLoad(now, exchange.Load{Running: 1, Slots: 8, Pace: 2.5})
	_, due := table.Report(now)
	require.False(t, due)
}

// Guards against a request that is refused for a count, and one that is sent although no
// upstream is expected to finish it in time.
func TestRequestIsRefusedOnlyForItsDeadline(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	chooser, table := pair(t, 6)
	// A usual request takes 20 ms.
	for range 50 {
		p := pick(t, chooser, now, flow.PlacementRequest{})
		now = now.Add(20 * time.Millisecond)
		p.ReportLoad(now, exchange.Load{Running: 1, Slots: 6, Pace: 1})
		p.AnswerStarted(now)
		p.Release(now, flow.Answered, 0)
	}
	table.Answered(now, []load.Sample{heard("one", now.Add(time.Millisecond), 30, 3), heard("two", now.Add(time.Millisecond), 30, 3)})
	now = now.Add(time.Millisecond)
	table.Answered(now, []load.Sample{heard("one", now, 30, 3), heard("two", now, 30, 3)})
	// Three times as long as usual, behind five times the slots: 360 ms.
	_, err := chooser.Pick(context.Background(), now, flow.PlacementRequest{Service: "s", Deadline: now.Add(250 * time.Millisecond)})
	require.ErrorContains(t, err, "in time")
	require.Positive(t, flow.RetryAfter(err))
	pick(t, chooser, now, flow.PlacementRequest{Deadline: now.Add(500 * time.Millisecond)})
	pick(t, chooser, now, flow.PlacementRequest{})
	// Of samples that are too old for their counts, none is a reason for a refusal.
	pick(t, chooser, now.Add(300*time.Millisecond), flow.PlacementRequest{Deadline: now.Add(301 * time.Millisecond)})
}

// Guards against statements of a former process that are held against its successor.
func TestSampleOfAFormerProcessIsNotUsed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ready := []roster.Upstream{{ID: "one", Service: "s", Slots: 6, StartedAtMs: 2}, {ID: "two", Service: "s", Slots: 6, StartedAtMs: 1}}
	chooser := local.New("", func(string) []roster.Upstream { return ready }, func() int { return 1 })
	table := load.New("g")
	chooser.SetLoads(table, local.NoEngines)
	table.Answered(now, []load.Sample{heard("one", now, 30, 9), heard("two", now, 2, 1)})
	require.Equal(t, "one", pick(t, chooser, now, flow.PlacementRequest{}).Upstream().ID)
}

// BenchmarkPick measures one choice with all upstreams stating a pace, and without.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 100} {
		for _, pace := range []float64{0, 1} {
			b.Run(fmt.Sprintf("upstreams=%d/paced=%t", n, pace > 0), func(b *testing.B) {
				ready := make([]roster.Upstream, n)
				for i := range ready {
					ready[i] = roster.Upstream{ID: fmt.Sprint("upstream-", i), Service: "s", Slots: 6}
				}
				chooser := local.New("a", func(string) []roster.Upstream { return ready }, func() int { return 24 })
				chooser.SetLoads(load.New("g"), local.NoEngines)
				now := time.Unix(1_000_000, 0)
				for i := range 4 * n {
					p := chooser.Hold(now, ready[i%n], flow.PlacementRequest{})
					p.ReportLoad(now, exchange.Load{Running: i % 7, Slots: 6, Pace: pace})
					p.Release(now, flow.Answered, 0)
				}
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(time.Microsecond)
					p, err := chooser.Pick(context.Background(), now, flow.PlacementRequest{Service: "s", Deadline: now.Add(time.Second)})
					if err != nil {
						b.Fatal(err)
					}
					p.ReportLoad(now, exchange.Load{Running: 3, Slots: 6, Pace: pace})
					p.AnswerStarted(now)
					p.Release(now, flow.Answered, 0)
				}
			})
		}
	}
}
