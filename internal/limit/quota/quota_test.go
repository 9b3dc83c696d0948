package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

var start = time.Unix(1_000_000, 0)

// slack is what the platform allows over a quota of tokens, over all gateways.
const slack = 140_000

// over is what it allows in a window beyond the rate and the burst.
const (
	over   = 0.1
	window = 8 * time.Second
)

// fleet is gateways that report to a ledger every tenth of a second.
type fleet struct {
	keepers []*quota.Keeper
	ledger  *quota.Ledger
	cut     map[int]bool
	// began is when the gateways' processes started.
	began time.Time
}

func newFleet(began time.Time, size int, full bool) *fleet {
	f := &fleet{ledger: quota.NewLedger(), cut: make(map[int]bool), began: began}
	options := quota.Options{Full: full, Slack: slack, Over: over, Window: window}
	for range size {
		f.keepers = append(f.keepers, quota.New(options, func() int { return size }))
	}
	return f
}

func (f *fleet) exchange(now time.Time) { f.exchangeAmong(now, len(f.keepers)) }

// exchangeAmong exchanges reports in a fleet of which known gateways are known.
func (f *fleet) exchangeAmong(now time.Time, known int) {
	for i, k := range f.keepers {
		if !f.cut[i] {
			f.ledger.Report(now, fmt.Sprint(i), quota.Report{Run: uint64(i + 1), Age: now.Sub(f.began), Used: k.Used()})
		}
	}
	for i, k := range f.keepers {
		if !f.cut[i] {
			k.Hear(now, f.ledger.Totals(now, fmt.Sprint(i), 1, known))
		}
	}
}

// play offers each gateway the rate of requests of the cost for the time and
// returns what was taken in all.
func (f *fleet) play(from time.Time, length time.Duration, w *catalog.Workspace, perSecond float64, cost float64) float64 {
	taken, owed := 0.0, 0.0
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at < length; at += tick {
		now := from.Add(at)
		if at%(100*time.Millisecond) == 0 {
			f.exchange(now)
		}
		for owed += perSecond * tick.Seconds(); owed >= 1; owed-- {
			for _, k := range f.keepers {
				if ok, _ := k.Take(now, w, cost); ok {
					taken += cost
				}
			}
		}
	}
	return taken
}

func workspace() *catalog.Workspace {
	return &catalog.Workspace{Name: "studio", PerSecond: 100_000, Burst: 100_000, ByTokens: true}
}

// One workspace sends seven times its quota through all five gateways at once.
// Each of them sees only its own fifth; the quota is the fleet's. In eight
// seconds no more may pass than eight seconds of the rate, the burst, and a
// tenth of both, and what may be owed for large requests.
func TestHotWorkspaceStaysWithinTheFleetsQuota(t *testing.T) {
	f, w := newFleet(start, 5, true), workspace()
	taken := f.play(start, 8*time.Second, w, 28, 5000)
	require.LessOrEqual(t, taken, 1.1*(8*w.PerSecond+w.Burst)+slack)
	require.GreaterOrEqual(t, taken, 0.9*(8*w.PerSecond+w.Burst), "what is below the quota is owed")
}

// Callers of one workspace meet a single gateway, because the platform spreads
// connections by a hash. They may use the whole quota there.
func TestOneGatewayMayUseTheWholeQuota(t *testing.T) {
	f, w := newFleet(start, 5, true), workspace()
	taken := 0.0
	for at := time.Duration(0); at < 8*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		if at%(100*time.Millisecond) == 0 {
			f.exchange(now)
		}
		if ok, _ := f.keepers[0].Take(now, w, 1500); ok {
			taken += 1500
		}
	}
	require.GreaterOrEqual(t, taken, 0.9*(8*w.PerSecond+w.Burst))
}

// Two of five gateways are cut off from the others and still get requests.
// Neither side hears what the other uses, and both together must keep to the
// quota: each gateway that is alone falls back to its even part.
func TestGatewaysThatAreCutOffUseTheirPart(t *testing.T) {
	f, w := newFleet(start, 5, true), workspace()
	f.play(start, 4*time.Second, w, 28, 5000)
	f.cut[3], f.cut[4] = true, true
	later := start.Add(6 * time.Second)
	f.play(start.Add(4*time.Second), 2*time.Second, w, 28, 5000)
	taken := f.play(later, 8*time.Second, w, 28, 5000)
	require.LessOrEqual(t, taken, 1.1*(8*w.PerSecond+w.Burst)+slack)
	require.GreaterOrEqual(t, taken, 0.8*8*w.PerSecond)
}

// All gateways are killed at once while a workspace is at its quota. The new
// processes know nothing of what was used; full buckets would hand out the
// burst a second time within the window.
func TestRestartOfAllDoesNotGiveTheBurstAgain(t *testing.T) {
	w := workspace()
	before := newFleet(start, 5, true).play(start, 4*time.Second, w, 28, 5000)
	after := newFleet(start.Add(4500*time.Millisecond), 5, false).play(start.Add(4500*time.Millisecond), 3500*time.Millisecond, w, 28, 5000)
	require.LessOrEqual(t, before+after, 1.1*(8*w.PerSecond+w.Burst)+slack)
}

// A gateway is restarted and counts from zero. Its sums must not look as if a
// workspace had given tokens back.
func TestRestartedGatewayCountsOn(t *testing.T) {
	l := quota.NewLedger()
	l.Report(start, "a", quota.Report{Run: 1, Age: time.Minute, Used: map[string]float64{"studio": 0}})
	l.Report(start, "a", quota.Report{Run: 1, Age: time.Minute, Used: map[string]float64{"studio": 500}})
	l.Report(start, "a", quota.Report{Run: 2, Used: map[string]float64{"studio": 100}})
	totals := l.Totals(start, "b", 1, 2)
	require.InDelta(t, 600, totals.Others["studio"], 0.001)
	require.InDelta(t, 0.5, totals.Part, 0.001)
}

// A prompt that is larger than the whole burst would never find its tokens in
// the bucket. It is let through when the bucket is nearly full and paid off.
func TestRequestLargerThanTheBurstIsServed(t *testing.T) {
	k, w := quota.New(quota.Options{Full: true}, func() int { return 1 }), workspace()
	ok, _ := k.Take(start, w, 150_000)
	require.True(t, ok)
	ok, wait := k.Take(start, w, 1000)
	require.False(t, ok)
	require.Positive(t, wait)
}

// A refused request that has not run costs its workspace nothing.
func TestReturnedCostIsThereAgain(t *testing.T) {
	k, w := quota.New(quota.Options{Full: true}, func() int { return 1 }), workspace()
	for range 20 {
		ok, _ := k.Take(start, w, 50_000)
		require.True(t, ok)
		k.Return(w, 50_000)
	}
}

// A workspace is at its quota and sends long prompts and short ones. The bucket
// holds a short one nearly always and a long one nearly never, so the callers
// with long prompts were refused several times as often. A gateway may run its
// part of the allowed slack into debt, which makes the shares alike.
func TestLongPromptsAreNotRefusedForShortOnes(t *testing.T) {
	f, w := newFleet(start, 5, true), workspace()
	served := map[float64]int{}
	const offered = 400
	turn := 0
	for at := time.Duration(0); at < offered*10*time.Millisecond; at += 10 * time.Millisecond {
		now := start.Add(at)
		if at%(100*time.Millisecond) == 0 {
			f.exchange(now)
		}
		for _, cost := range []float64{1000, 20_000} {
			turn++
			if ok, _ := f.keepers[turn%5].Take(now, w, cost); ok {
				served[cost]++
			}
		}
	}
	require.Greater(t, 2*served[20_000], served[1000])
}

// All of 25 gateways were killed at once, and one workspace sends many times
// its quota. Each new process schedules for itself until it hears the others;
// taken to be alone, each would hand out the whole fleet's part, 25 times in
// all, before the first sums come.
func TestRestartOfManyDoesNotGiveTheStartingPartToEach(t *testing.T) {
	const size = 25
	w := workspace()
	taken := 0.0
	for i := range size {
		k, own := quota.New(quota.Options{Over: over, Window: window}, func() int { return size }), quota.NewLedger()
		for at := time.Duration(0); at < 300*time.Millisecond; at += 10 * time.Millisecond {
			now := start.Add(at)
			own.Report(now, fmt.Sprint(i), quota.Report{Run: 1, Age: now.Sub(start), Used: k.Used()})
			k.Hear(now, own.Totals(now, fmt.Sprint(i), 1, size))
			if ok, _ := k.Take(now, w, 1000); ok {
				taken += 1000
			}
		}
	}
	require.LessOrEqual(t, taken, w.Burst+0.3*w.PerSecond)
}

// All gateways lose their power for two seconds. At their return the callers of
// two seconds come at once, and the quota has room for them: the burst was
// refilled meanwhile. Most were refused as over quota, since each gateway began
// with a small part and went on with it after it had heard the others.
func TestRestartOfAllServesWhatWasRefilledMeanwhile(t *testing.T) {
	w := workspace()
	f := newFleet(start, 5, false)
	for i := range f.keepers {
		f.cut[i] = true
	}
	const cost, perGateway = 2000, 25
	taken := f.play(start, 500*time.Millisecond, w, perGateway, cost)
	f.cut = make(map[int]bool)
	taken += f.play(start.Add(500*time.Millisecond), 500*time.Millisecond, w, perGateway, cost)
	require.GreaterOrEqual(t, taken, 0.8*(w.Burst+w.PerSecond))
	require.LessOrEqual(t, taken, w.Burst+w.PerSecond)
}

// All gateways are killed twice within a window while a workspace sends seven
// times its quota. Both restarts give something that was used before; together
// they must stay within what may be exceeded.
func TestTwoRestartsOfAllStayWithinWhatMayBeExceeded(t *testing.T) {
	w := workspace()
	taken := newFleet(start, 5, true).play(start, 3*time.Second, w, 28, 5000)
	for _, at := range []time.Duration{3500 * time.Millisecond, 6 * time.Second} {
		again := start.Add(at)
		taken += newFleet(again, 5, false).play(again, 2*time.Second, w, 28, 5000)
	}
	require.LessOrEqual(t, taken, (1+over)*(8*w.PerSecond+w.Burst)+slack)
}

// A workspace's callers met a gateway for the first time, a minute after a restart
// of all. The first of them was refused as over quota, although the workspace used
// a tenth of it: all that the others had used since the restart was charged.
func TestFirstCallersOfAWorkspaceLongAfterARestartAreServed(t *testing.T) {
	f, w := newFleet(start, 5, false), workspace()
	f.exchange(start)
	const cost = 1000
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		now := start.Add(at)
		ok, _ := f.keepers[0].Take(now, w, cost)
		require.True(t, ok)
		f.exchange(now)
	}
	ok, _ := f.keepers[1].Take(start.Add(time.Minute), w, cost)
	require.True(t, ok)
}

// One workspace sends many times its quota when nine of 21 gateways are cut off
// from all others. Each of the nine went on to use up what it believed the whole
// fleet had left, and the workspace got more than the platform allows.
func TestGatewaysThatAreCutOffUseTheirPartOnly(t *testing.T) {
	const size, cutOff, cost = 21, 9, 4000.0
	w := &catalog.Workspace{Name: "hot", PerSecond: 640_000, Burst: 640_000, ByTokens: true}
	allowed := (w.PerSecond*window.Seconds()+w.Burst)*(1+over) + slack
	for _, before := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
		f := newFleet(start, size, true)
		calm := 0.6 * w.PerSecond / cost / size
		f.play(start, 4*time.Second, w, calm, cost)
		pressed := 7 * calm
		from := start.Add(4 * time.Second)
		taken := f.play(from, before, w, pressed, cost)
		for i := range cutOff {
			f.cut[i] = true
		}
		taken += f.play(from.Add(before), window-before, w, pressed, cost)
		require.LessOrEqual(t, taken, allowed, "pressed for %s before the cut", before)
	}
}
