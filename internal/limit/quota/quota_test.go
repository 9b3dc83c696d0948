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

// slack is by how much all gateways together may exceed a quota that counts tokens.
const slack = 140_000

const (
	// excessFraction is the fraction by which all gateways together may exceed the rate
	// and the burst in a window.
	excessFraction = 0.1
	window         = 8 * time.Second
)

// fleet is a set of gateways that report to a ledger every 100 ms.
type fleet struct {
	limiters     []*quota.Limiter
	ledger       *quota.Ledger
	disconnected map[int]bool
	// startedAt is when the gateways' processes started.
	startedAt time.Time
}

func newFleet(startedAt time.Time, size int, full bool) *fleet {
	f := &fleet{ledger: quota.NewLedger(), disconnected: make(map[int]bool), startedAt: startedAt}
	options := quota.Options{StartFull: full, Slack: slack, ExcessFraction: excessFraction, Window: window}
	for range size {
		f.limiters = append(f.limiters, quota.New(options, func() int { return size }))
	}
	return f
}

func (f *fleet) exchangeReports(now time.Time) { f.exchangeReportsAmong(now, len(f.limiters)) }

// exchangeReportsAmong exchanges reports and totals in a fleet with the number of known
// gateways, some of which may be absent.
func (f *fleet) exchangeReportsAmong(now time.Time, known int) {
	for i, k := range f.limiters {
		if !f.disconnected[i] {
			f.ledger.Report(now, fmt.Sprint(i), quota.Report{Run: uint64(i + 1), Age: now.Sub(f.startedAt), Used: k.Used()})
		}
	}
	for i, k := range f.limiters {
		if !f.disconnected[i] {
			k.ApplyTotals(now, f.ledger.Totals(now, fmt.Sprint(i), 1, known))
		}
	}
}

// offer sends each gateway requests of the cost at the rate and returns the total that
// was taken.
func (f *fleet) offer(from time.Time, length time.Duration, w *catalog.Workspace, perSecond float64, cost float64) float64 {
	taken, due := 0.0, 0.0
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at < length; at += tick {
		now := from.Add(at)
		if at%(100*time.Millisecond) == 0 {
			f.exchangeReports(now)
		}
		for due += perSecond * tick.Seconds(); due >= 1; due-- {
			for _, k := range f.limiters {
				if ok, _ := k.Take(now, w, cost); ok {
					taken += cost
				}
			}
		}
	}
	return taken
}

func newWorkspace() *catalog.Workspace {
	return &catalog.Workspace{Name: "studio", QuotaPerSecond: 100_000, QuotaBurst: 100_000, QuotaCountsTokens: true}
}

// A workspace sends seven times its quota through all five gateways, each of which
// sees only a fifth of it. In eight seconds no more may pass than eight seconds of the
// rate plus the burst, a tenth of both, and the slack for large requests.
func TestHotWorkspaceStaysWithinTheFleetsQuota(t *testing.T) {
	f, w := newFleet(start, 5, true), newWorkspace()
	taken := f.offer(start, 8*time.Second, w, 28, 5000)
	require.LessOrEqual(t, taken, 1.1*(8*w.QuotaPerSecond+w.QuotaBurst)+slack)
	require.GreaterOrEqual(t, taken, 0.9*(8*w.QuotaPerSecond+w.QuotaBurst), "requests below the quota must be served")
}

// All callers of a workspace may use a single gateway, because the platform distributes
// connections by a hash. They may use the whole quota there.
func TestOneGatewayMayUseTheWholeQuota(t *testing.T) {
	f, w := newFleet(start, 5, true), newWorkspace()
	taken := 0.0
	for at := time.Duration(0); at < 8*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		if at%(100*time.Millisecond) == 0 {
			f.exchangeReports(now)
		}
		if ok, _ := f.limiters[0].Take(now, w, 1500); ok {
			taken += 1500
		}
	}
	require.GreaterOrEqual(t, taken, 0.9*(8*w.QuotaPerSecond+w.QuotaBurst))
}

// Two of five gateways are disconnected from the others and still get requests. Neither
// side knows the usage of the other, and both together must keep to the quota: a
// gateway without totals falls back to its even part.
func TestDisconnectedGatewaysUseTheirPart(t *testing.T) {
	f, w := newFleet(start, 5, true), newWorkspace()
	f.offer(start, 4*time.Second, w, 28, 5000)
	f.disconnected[3], f.disconnected[4] = true, true
	later := start.Add(6 * time.Second)
	f.offer(start.Add(4*time.Second), 2*time.Second, w, 28, 5000)
	taken := f.offer(later, 8*time.Second, w, 28, 5000)
	require.LessOrEqual(t, taken, 1.1*(8*w.QuotaPerSecond+w.QuotaBurst)+slack)
	require.GreaterOrEqual(t, taken, 0.8*8*w.QuotaPerSecond)
}

// Guards against granting the burst twice within a window: all gateways are killed at
// once while a workspace is at its quota, and the new processes do not know what was
// used.
func TestRestartOfAllDoesNotGrantTheBurstAgain(t *testing.T) {
	w := newWorkspace()
	before := newFleet(start, 5, true).offer(start, 4*time.Second, w, 28, 5000)
	after := newFleet(start.Add(4500*time.Millisecond), 5, false).offer(start.Add(4500*time.Millisecond), 3500*time.Millisecond, w, 28, 5000)
	require.LessOrEqual(t, before+after, 1.1*(8*w.QuotaPerSecond+w.QuotaBurst)+slack)
}

// A restarted gateway counts its usage from zero. That must not look as if a workspace
// had returned tokens.
func TestUsageOfARestartedGatewayIsAdded(t *testing.T) {
	l := quota.NewLedger()
	l.Report(start, "a", quota.Report{Run: 1, Age: time.Minute, Used: map[string]float64{"studio": 0}})
	l.Report(start, "a", quota.Report{Run: 1, Age: time.Minute, Used: map[string]float64{"studio": 500}})
	l.Report(start, "a", quota.Report{Run: 2, Used: map[string]float64{"studio": 100}})
	totals := l.Totals(start, "b", 1, 2)
	require.InDelta(t, 600, totals.OthersUsed["studio"], 0.001)
	require.InDelta(t, 0.5, totals.Coverage, 0.001)
}

// A prompt that costs more than the whole burst would never find enough tokens in the
// bucket. It is accepted when the bucket is nearly full, and leaves a debt.
func TestRequestLargerThanTheBurstIsServed(t *testing.T) {
	k, w := quota.New(quota.Options{StartFull: true}, func() int { return 1 }), newWorkspace()
	ok, _ := k.Take(start, w, 150_000)
	require.True(t, ok)
	ok, wait := k.Take(start, w, 1000)
	require.False(t, ok)
	require.Positive(t, wait)
}

// A refused request that was not executed costs its workspace nothing.
func TestReturnedCostIsRefunded(t *testing.T) {
	k, w := quota.New(quota.Options{StartFull: true}, func() int { return 1 }), newWorkspace()
	for range 20 {
		ok, _ := k.Take(start, w, 50_000)
		require.True(t, ok)
		k.Return(w, 50_000)
	}
}

// Guards against refusing long prompts several times as often as short ones. While a
// workspace is at its quota, the bucket nearly always has enough tokens for a short
// prompt and nearly never for a long one. A gateway may go into debt by its part of the
// slack, which evens out the rates of refusal.
func TestLongPromptsAreNotRefusedForShortOnes(t *testing.T) {
	f, w := newFleet(start, 5, true), newWorkspace()
	served := map[float64]int{}
	const offered = 400
	next := 0
	for at := time.Duration(0); at < offered*10*time.Millisecond; at += 10 * time.Millisecond {
		now := start.Add(at)
		if at%(100*time.Millisecond) == 0 {
			f.exchangeReports(now)
		}
		for _, cost := range []float64{1000, 20_000} {
			next++
			if ok, _ := f.limiters[next%5].Take(now, w, cost); ok {
				served[cost]++
			}
		}
	}
	require.Greater(t, 2*served[20_000], served[1000])
}

// Guards against granting the fleet's starting level once per gateway. All of 25
// gateways are killed at once, and a workspace sends many times its quota. Each new
// process runs its own scheduler until it is connected to the others. If it took itself
// for the only gateway, the level would be granted 25 times before the first totals.
func TestRestartOfManyDoesNotGrantTheStartingLevelToEach(t *testing.T) {
	const size = 25
	w := newWorkspace()
	taken := 0.0
	for i := range size {
		k, ownLedger := quota.New(quota.Options{ExcessFraction: excessFraction, Window: window}, func() int { return size }), quota.NewLedger()
		for at := time.Duration(0); at < 300*time.Millisecond; at += 10 * time.Millisecond {
			now := start.Add(at)
			ownLedger.Report(now, fmt.Sprint(i), quota.Report{Run: 1, Age: now.Sub(start), Used: k.Used()})
			k.ApplyTotals(now, ownLedger.Totals(now, fmt.Sprint(i), 1, size))
			if ok, _ := k.Take(now, w, 1000); ok {
				taken += 1000
			}
		}
	}
	require.LessOrEqual(t, taken, w.QuotaBurst+0.3*w.QuotaPerSecond)
}

// Guards against refusing callers below their quota after a power failure of all
// gateways. After two seconds the callers of these two seconds arrive at once. The burst
// was refilled meanwhile, but each gateway began with a small part and kept to it after
// it had received totals.
func TestRestartOfAllServesWhatWasRefilledMeanwhile(t *testing.T) {
	w := newWorkspace()
	f := newFleet(start, 5, false)
	for i := range f.limiters {
		f.disconnected[i] = true
	}
	const cost, perGateway = 2000, 25
	taken := f.offer(start, 500*time.Millisecond, w, perGateway, cost)
	f.disconnected = make(map[int]bool)
	taken += f.offer(start.Add(500*time.Millisecond), 500*time.Millisecond, w, perGateway, cost)
	require.GreaterOrEqual(t, taken, 0.8*(w.QuotaBurst+w.QuotaPerSecond))
	require.LessOrEqual(t, taken, w.QuotaBurst+w.QuotaPerSecond)
}

// All gateways are killed twice within a window while a workspace sends seven times its
// quota. Each restart grants something that was used before; both together must stay
// within the allowed excess.
func TestTwoRestartsOfAllStayWithinTheAllowedExcess(t *testing.T) {
	w := newWorkspace()
	taken := newFleet(start, 5, true).offer(start, 3*time.Second, w, 28, 5000)
	for _, at := range []time.Duration{3500 * time.Millisecond, 6 * time.Second} {
		again := start.Add(at)
		taken += newFleet(again, 5, false).offer(again, 2*time.Second, w, 28, 5000)
	}
	require.LessOrEqual(t, taken, (1+excessFraction)*(8*w.QuotaPerSecond+w.QuotaBurst)+slack)
}

// Guards against refusing the first caller of a workspace at a gateway a minute after a
// restart of all, although the workspace uses a tenth of its quota: all usage of the
// other gateways since the restart was charged.
func TestFirstCallersOfAWorkspaceLongAfterARestartAreServed(t *testing.T) {
	f, w := newFleet(start, 5, false), newWorkspace()
	f.exchangeReports(start)
	const cost = 1000
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		now := start.Add(at)
		ok, _ := f.limiters[0].Take(now, w, cost)
		require.True(t, ok)
		f.exchangeReports(now)
	}
	ok, _ := f.limiters[1].Take(start.Add(time.Minute), w, cost)
	require.True(t, ok)
}

// Guards against exceeding the quota when nine of 21 gateways are disconnected from all
// others while a workspace sends many times its quota. Each of the nine used up what it
// assumed the whole fleet had left.
func TestDisconnectedGatewaysDoNotExceedTheQuota(t *testing.T) {
	const size, disconnected, cost = 21, 9, 4000.0
	w := &catalog.Workspace{Name: "hot", QuotaPerSecond: 640_000, QuotaBurst: 640_000, QuotaCountsTokens: true}
	allowed := (w.QuotaPerSecond*window.Seconds()+w.QuotaBurst)*(1+excessFraction) + slack
	for _, before := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
		f := newFleet(start, size, true)
		normalRate := 0.6 * w.QuotaPerSecond / cost / size
		f.offer(start, 4*time.Second, w, normalRate, cost)
		overloadRate := 7 * normalRate
		from := start.Add(4 * time.Second)
		taken := f.offer(from, before, w, overloadRate, cost)
		for i := range disconnected {
			f.disconnected[i] = true
		}
		taken += f.offer(from.Add(before), window-before, w, overloadRate, cost)
		require.LessOrEqual(t, taken, allowed, "overloaded for %s before the disconnection", before)
	}
}
