package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/retry"
	"github.com/persimmonridge/persimmonridge/internal/proof/repeats"
)

// owner owns an even part of the slack of a number of processes, and had the time to save it.
type owner int

// Part implements retry.Ownership.
func (o owner) Part(time.Time) (float64, time.Time) { return 1 / float64(o), time.Unix(999_000, 0) }

// take sends a retry at once if it is allowed.
func take(b *retry.Budget, now time.Time) bool { return b.Reserve(now, "s") && b.Spend(now, "s") }

// Every request to a service fails for thirty seconds and asks for a retry. Over five
// gateways, the retries in any ten seconds must not exceed a fifth of the requests
// plus the slack.
func TestFleetStaysWithinTheLimitInEveryWindow(t *testing.T) {
	settings := retry.Settings{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	var gateways []*retry.Budget
	for range 5 {
		gateways = append(gateways, retry.New(settings, owner(5)))
	}
	start := time.Unix(1_000_000, 0)
	var retries []time.Time
	const perSecond = 60
	for i := range 30 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		g := gateways[i%len(gateways)]
		g.Sent(now, "s")
		if take(g, now) {
			retries = append(retries, now)
		}
	}
	for i, first := range retries {
		count := 0
		for _, at := range retries[i:] {
			if at.Sub(first) <= settings.Window {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), settings.Ratio*perSecond*10+settings.Slack)
	}
	require.Greater(t, len(retries), 30*perSecond/10, "the fleet must use what it is allowed")
}

// Guards against resumable streams that are aborted when many engines crash at once.
// Sixteen of 46 engines crashed, and each of 25 gateways lost about seven streams.
// Three retries used up its savings, while the fleet had spent 1/50 of its limit.
func TestStreamsOfEnginesThatCrashTogetherMayBeRetried(t *testing.T) {
	settings := retry.Settings{Ratio: 0.2, Slack: 90, Window: 10 * time.Second}
	b := retry.New(settings, owner(25))
	start := time.Unix(1_000_000, 0)
	const perSecond = 12
	for i := range 10 * perSecond {
		b.Sent(start.Add(time.Duration(i)*time.Second/perSecond), "s")
	}
	crash := start.Add(10 * time.Second)
	for i := range 7 {
		require.True(t, take(b, crash), "stream %d", i)
	}
}

// A service begins to fail every request after the gateways have saved as many
// retries as they may. The fleet's limit must hold in every window of ten seconds,
// wherever it begins.
func TestSavedRetriesStayWithinTheLimit(t *testing.T) {
	settings := retry.Settings{Ratio: 0.2, Slack: 90, Window: 10 * time.Second}
	var gateways []*retry.Budget
	for range 25 {
		gateways = append(gateways, retry.New(settings, owner(25)))
	}
	start := time.Unix(1_000_000, 0)
	const perSecond = 500
	var retries []time.Time
	for i := range 40 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		g := gateways[i%len(gateways)]
		g.Sent(now, "s")
		if now.Sub(start) > 15*time.Second && take(g, now) {
			retries = append(retries, now)
		}
	}
	first := 0
	for last, at := range retries {
		for at.Sub(retries[first]) > settings.Window {
			first++
		}
		require.LessOrEqual(t, float64(last-first+1), settings.Ratio*perSecond*10+settings.Slack)
	}
}

// Guards against a limit that is exceeded where few requests come, though no process starts: what
// was saved of the slack and what is refilled in a window add up.
func TestSlackIsNotSpentTwiceWithFewRequests(t *testing.T) {
	settings := retry.Settings{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	b := retry.New(settings, owner(1))
	log := repeats.NewLog()
	start := time.Unix(1_000_000, 0)
	const perSecond = 2
	for i := range 60 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		log.Sent(now)
		b.Sent(now, "s")
		log.Arrived(now, fmt.Sprint(i))
		for now.Sub(start) > 30*time.Second && take(b, now) {
			log.Arrived(now, fmt.Sprint(i))
		}
	}
	worst := log.Worst(repeats.Limit{Ratio: settings.Ratio, Slack: settings.Slack, Window: settings.Window})
	require.False(t, worst.Exceeds(), "%d repeats of %d requests, %.1f are allowed", worst.Repeats, worst.Requests, worst.Allowed)
}

// Retries that were earned by traffic must expire after it has ended.
func TestSavedRetriesExpire(t *testing.T) {
	b := retry.New(retry.Settings{Ratio: 0.2, Slack: 0, Window: 10 * time.Second}, owner(1))
	start := time.Unix(1_000_000, 0)
	for i := range 100 {
		b.Sent(start.Add(time.Duration(i)*10*time.Millisecond), "s")
	}
	require.True(t, take(b, start.Add(time.Second)))
	require.False(t, take(b, start.Add(12*time.Second)))
}

// Guards against retries of a longer time that arrive within one window, since they waited for
// a slot after they were allowed: they count when they are sent.
func TestRetriesThatWaitedCountWhenTheyAreSent(t *testing.T) {
	settings := retry.Settings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	b, log := retry.New(settings, owner(1)), repeats.NewLog()
	start := time.Unix(1_000_000, 0)
	waiting, id := 0, 0
	const perSecond, full = 50, 15 * time.Second
	for i := range 40 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		log.Sent(now)
		b.Sent(now, "s")
		log.Arrived(now, fmt.Sprint(i))
		if now.Sub(start) > 5*time.Second && b.Reserve(now, "s") {
			waiting++
		}
		for ; waiting > 0 && now.Sub(start) > full; waiting-- {
			if b.Spend(now, "s") {
				log.Arrived(now, fmt.Sprint(id))
			}
			id++
		}
	}
	worst := log.Worst(repeats.Limit{Ratio: settings.Ratio, Slack: settings.Slack, Window: settings.Window})
	require.False(t, worst.Exceeds(), "%d repeats of %d requests, %.1f are allowed", worst.Repeats, worst.Requests, worst.Allowed)
}

// Guards against retries that are never allowed again because those that were reserved were not sent.
func TestReservedRetryThatIsNotSentIsAllowedToAnother(t *testing.T) {
	b := retry.New(retry.Settings{Ratio: 0, Slack: 10, Window: 10 * time.Second}, owner(1))
	now := time.Unix(1_000_000, 0)
	reserved := 0
	for b.Reserve(now, "s") {
		reserved++
	}
	require.Positive(t, reserved)
	b.Release("s")
	require.True(t, b.Reserve(now, "s"))
	require.False(t, b.Reserve(now, "s"))
	require.True(t, b.Spend(now, "s"))
	require.False(t, b.Reserve(now, "s"), "one was sent and the others are reserved")
}

func TestWithoutAWindowThereIsNoLimit(t *testing.T) {
	b := retry.New(retry.Settings{}, owner(1))
	now := time.Unix(1_000_000, 0)
	for range 100 {
		b.Sent(now, "s")
		require.True(t, take(b, now))
		now = now.Add(time.Second)
	}
}

// Guards against retries of a longer time that arrive within one window, since a link or a paused
// upstream held them back after they were sent: they count until it is known that they arrived.
func TestRetriesThatAreHeldBackCountUntilTheyArrive(t *testing.T) {
	settings := retry.Settings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	b, log := retry.New(settings, owner(1)), repeats.NewLog()
	start := time.Unix(1_000_000, 0)
	var held []func(now time.Time)
	const perSecond, heldUntil = 50, 25 * time.Second
	sent := 0
	for i := range 60 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		id := fmt.Sprint(i)
		log.Sent(now)
		b.Sent(now, "s")
		log.Arrived(now, id)
		if now.Sub(start) > 5*time.Second && take(b, now) {
			sent++
			settled := b.Await("s")
			held = append(held, func(now time.Time) { log.Arrived(now, id); settled() })
		}
		if now.Sub(start) > heldUntil {
			for _, arrive := range held {
				arrive(now)
			}
			held = nil
		}
	}
	worst := log.Worst(repeats.Limit{Ratio: settings.Ratio, Slack: settings.Slack, Window: settings.Window})
	require.False(t, worst.Exceeds(), "%d repeats of %d requests, %.1f are allowed", worst.Repeats, worst.Requests, worst.Allowed)
	require.Greater(t, sent, 250, "what has arrived does not count any more")
	require.Zero(t, b.Accounts(start.Add(time.Minute))[0].Unsettled)
}
