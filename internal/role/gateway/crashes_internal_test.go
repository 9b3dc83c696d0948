package gateway

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

const (
	crashingRequest = 7
	// crashMemory is how long crashes are remembered.
	crashMemory = 2 * time.Minute
)

func gatewayWithHubRole(hub bool) *Gateway {
	g := New(Dependencies{Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	g.peers.isHub = func() bool { return hub }
	return g
}

// crashThree has the gateway observe that the request crashes three upstreams.
func crashThree(g *Gateway, now time.Time) {
	for i := range 3 {
		g.crashTracker.Broke(now, strconv.Itoa(i), crashingRequest)
		g.crashTracker.Down(now, strconv.Itoa(i))
	}
}

func gossipedCrashes(g *Gateway, now time.Time) []*wire.CrashSeen {
	gossip := &wire.Gossip{}
	g.peers.FillGossip(now, gossip)
	return gossip.Crashes
}

func receiveCrashes(g *Gateway, now time.Time, crashes []*wire.CrashSeen) {
	g.peers.HandleGossip(now, "peer", &wire.Gossip{Crashes: crashes})
}

func exchangeCrashes(now time.Time, gateways ...*Gateway) {
	for _, from := range gateways {
		for _, to := range gateways {
			if from != to {
				receiveCrashes(to, now, gossipedCrashes(from, now))
			}
		}
	}
}

// oldVersionCrashes returns the crashes as a gateway of an older version tells them.
func oldVersionCrashes(crashes []*wire.CrashSeen) []*wire.CrashSeen {
	var old []*wire.CrashSeen
	for _, c := range crashes {
		old = append(old, &wire.CrashSeen{Fingerprint: c.Fingerprint, Upstream: c.Upstream})
	}
	return old
}

func threeOldVersionCrashes() []*wire.CrashSeen {
	var crashes []*wire.CrashSeen
	for i := range 3 {
		crashes = append(crashes, &wire.CrashSeen{Fingerprint: crashingRequest, Upstream: strconv.Itoa(i)})
	}
	return crashes
}

// oldVersionGateway relays crashes as older versions do: without their age, and again
// after it has forgotten them.
type oldVersionGateway struct {
	known  map[string]time.Time
	relays []*wire.CrashSeen
}

func (g *oldVersionGateway) receive(now time.Time, crashes []*wire.CrashSeen) {
	for _, c := range crashes {
		if at, known := g.known[c.Upstream]; !known || now.Sub(at) > crashMemory {
			g.known[c.Upstream] = now
			g.relays = append(g.relays, &wire.CrashSeen{Fingerprint: c.Fingerprint, Upstream: c.Upstream})
		}
	}
}

// Guards against crashes that become younger with each hub on their way, so that
// gateways at the end of the way refuse the request longer than the first.
func TestCrashIsNoYoungerAfterChainOfHubs(t *testing.T) {
	const hops, perHop = 5, 800 * time.Millisecond
	start := time.Unix(1_000_000, 0)
	chain := []*Gateway{gatewayWithHubRole(false)}
	crashThree(chain[0], start)
	now := start
	for range hops {
		last := chain[len(chain)-1]
		next := gatewayWithHubRole(true)
		sent := gossipedCrashes(last, now)
		now = now.Add(perHop)
		receiveCrashes(next, now, sent)
		require.True(t, next.crashTracker.Blocked(now, crashingRequest))
		chain = append(chain, next)
	}
	for i, g := range chain {
		require.True(t, g.crashTracker.Blocked(start.Add(crashMemory-hops*time.Second-time.Millisecond), crashingRequest), "gateway %d forgot too soon", i)
		require.False(t, g.crashTracker.Blocked(start.Add(crashMemory+time.Millisecond), crashingRequest), "gateway %d remembers too long", i)
	}
}

// Guards against crashes that never end because a gateway of an older version, which
// tells no ages, repeats them beside gateways that do.
func TestCrashesThatOldVersionRepeatsAreForgotten(t *testing.T) {
	observers := map[string]func(now time.Time, a *Gateway) []*wire.CrashSeen{
		"observed by the old version": func(time.Time, *Gateway) []*wire.CrashSeen { return threeOldVersionCrashes() },
		"relayed by the old version": func(now time.Time, a *Gateway) []*wire.CrashSeen {
			crashThree(a, now)
			return oldVersionCrashes(gossipedCrashes(a, now))
		},
	}
	for name, observe := range observers {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1_000_000, 0)
			a, b := gatewayWithHubRole(true), gatewayWithHubRole(true)
			repeated := observe(start, a)
			for now := start; now.Before(start.Add(time.Hour)); now = now.Add(time.Second) {
				receiveCrashes(a, now, repeated)
				receiveCrashes(b, now, repeated)
				exchangeCrashes(now, a, b)
				for _, g := range []*Gateway{a, b} {
					if now.Sub(start) < crashMemory-2*time.Second {
						require.True(t, g.crashTracker.Blocked(now, crashingRequest), "after %s", now.Sub(start))
					}
					if now.Sub(start) > crashMemory {
						require.False(t, g.crashTracker.Blocked(now, crashingRequest), "after %s", now.Sub(start))
					}
				}
			}
			later := start.Add(2 * time.Hour)
			receiveCrashes(a, later, threeOldVersionCrashes())
			require.True(t, a.crashTracker.Blocked(later, crashingRequest), "a crash after a long silence is another one")
		})
	}
}

// Guards against a report that was long on its way and makes a crash younger, or counts
// again after the crash was forgotten.
func TestLateAndReorderedCrashReportsExtendNothing(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	const late = time.Minute
	origin := gatewayWithHubRole(true)
	crashThree(origin, start)
	first, second := gossipedCrashes(origin, start), gossipedCrashes(origin, start.Add(late))
	inOrder, reordered := gatewayWithHubRole(true), gatewayWithHubRole(true)
	receiveCrashes(inOrder, start.Add(late), first)
	receiveCrashes(inOrder, start.Add(late), second)
	receiveCrashes(reordered, start.Add(late), second)
	receiveCrashes(reordered, start.Add(late), first)
	end := start.Add(crashMemory + time.Millisecond)
	for _, g := range []*Gateway{origin, inOrder, reordered} {
		require.True(t, g.crashTracker.Blocked(start.Add(late), crashingRequest))
		require.False(t, g.crashTracker.Blocked(end, crashingRequest))
		receiveCrashes(g, end, first)
		require.False(t, g.crashTracker.Blocked(end, crashingRequest), "a late report of a forgotten crash counts again")
		exchangeCrashes(end, origin, inOrder, reordered)
		require.False(t, g.crashTracker.Blocked(end, crashingRequest))
	}
}

// Guards against crashes that circulate among gateways for ever, whatever the order and
// the delay of their messages, alone or with a gateway of an older version.
func TestCrashesAreForgottenInRandomExchange(t *testing.T) {
	const size, maxDelay, crashing = 6, 5 * time.Second, time.Minute
	type message struct {
		at      time.Time
		to      int
		crashes []*wire.CrashSeen
	}
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			start := time.Unix(1_000_000, 0)
			var gateways []*Gateway
			for i := range size {
				gateways = append(gateways, gatewayWithHubRole(i < 2))
			}
			old := &oldVersionGateway{known: make(map[string]time.Time)}
			withOld := seed%2 == 1
			lastCrash := start.Add(crashing)
			allForgotten := lastCrash.Add(crashMemory + 2*maxDelay)
			var flying []message
			for now := start; now.Before(allForgotten.Add(5 * time.Minute)); now = now.Add(500 * time.Millisecond) {
				if !now.After(lastCrash) && (now.Equal(lastCrash) || random.IntN(20) == 0) {
					crashThree(gateways[random.IntN(size)], now)
				}
				var undelivered []message
				for _, m := range flying {
					switch {
					case m.at.After(now):
						undelivered = append(undelivered, m)
					case m.to == size:
						old.receive(now, m.crashes)
					default:
						receiveCrashes(gateways[m.to], now, m.crashes)
					}
				}
				flying = undelivered
				for from, g := range gateways {
					for _, to := range []int{random.IntN(size), random.IntN(2)} {
						if to != from {
							flying = append(flying, message{now.Add(time.Duration(random.Int64N(int64(maxDelay)))), to, gossipedCrashes(g, now)})
						}
					}
				}
				if withOld {
					flying = append(flying,
						message{now.Add(time.Duration(random.Int64N(int64(maxDelay)))), random.IntN(size), old.relays},
						message{now.Add(time.Duration(random.Int64N(int64(maxDelay)))), size, gossipedCrashes(gateways[random.IntN(size)], now)})
				}
				for i, g := range gateways {
					if now.After(allForgotten) {
						require.False(t, g.crashTracker.Blocked(now, crashingRequest), "gateway %d, %s after the last crash", i, now.Sub(lastCrash))
					}
					if now.Equal(lastCrash.Add(crashMemory / 2)) {
						require.True(t, g.crashTracker.Blocked(now, crashingRequest), "gateway %d", i)
					}
				}
			}
		})
	}
}

// Guards against a gateway that hears of a crash late from one of an older version, takes
// it for a new one and makes it younger for the others.
func TestLateWordOfOldVersionExtendsNothing(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	a, b, started := gatewayWithHubRole(true), gatewayWithHubRole(true), gatewayWithHubRole(true)
	crashThree(a, start)
	exchangeCrashes(start, a, b)
	late := start.Add(crashMemory - 10*time.Second)
	receiveCrashes(started, late, threeOldVersionCrashes())
	require.True(t, started.crashTracker.Blocked(late, crashingRequest))
	exchangeCrashes(late, a, b, started)
	for i, g := range []*Gateway{a, b, started} {
		require.False(t, g.crashTracker.Blocked(start.Add(crashMemory+time.Millisecond), crashingRequest), "gateway %d", i)
	}
}

// Guards against a crash that is forgotten too soon because each echo of a report takes a
// part of a millisecond off its life.
func TestEchoOfReportDoesNotShortenCrash(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	a, b := gatewayWithHubRole(true), gatewayWithHubRole(true)
	crashThree(a, start)
	for i := range 20_000 {
		exchangeCrashes(start.Add(time.Duration(i)*100*time.Microsecond), a, b)
	}
	require.True(t, a.crashTracker.Blocked(start.Add(crashMemory-time.Millisecond), crashingRequest))
	require.True(t, b.crashTracker.Blocked(start.Add(crashMemory-time.Second-time.Millisecond), crashingRequest))
}

// Guards against a new crash that does not count because a former one of the same
// request and upstreams is still recognized.
func TestNewCrashCountsAfterFormerIsForgotten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := gatewayWithHubRole(true), gatewayWithHubRole(true)
	for range 3 {
		crashThree(a, now)
		exchangeCrashes(now, a, b)
		require.True(t, a.crashTracker.Blocked(now, crashingRequest))
		require.True(t, b.crashTracker.Blocked(now, crashingRequest))
		for end := now.Add(crashMemory + 10*time.Second); now.Before(end); now = now.Add(time.Second) {
			exchangeCrashes(now, a, b)
			a.crashTracker.Blocked(now, crashingRequest)
			b.crashTracker.Blocked(now, crashingRequest)
		}
		require.False(t, a.crashTracker.Blocked(now, crashingRequest))
		require.False(t, b.crashTracker.Blocked(now, crashingRequest))
	}
}

// Guards against a crash that is remembered longer because a peer tells an age or a
// number of hops that cannot be.
func TestImpossibleAgesOfCrashesAreBounded(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for i, c := range []*wire.CrashSeen{
		{LifeMs: math.MaxUint32, Event: 1}, {LifeMs: math.MaxUint32}, {Event: 1}, {LifeMs: 1, Event: 1}, {LifeMs: 1, Hops: math.MaxUint32},
		{Hops: math.MaxUint32, Event: 1}, {LifeMs: math.MaxUint32, Hops: math.MaxUint32, Event: math.MaxUint64},
	} {
		g := gatewayWithHubRole(true)
		for now := start; now.Before(start.Add(2 * crashMemory)); now = now.Add(time.Second) {
			for u := range 3 {
				receiveCrashes(g, now, []*wire.CrashSeen{{Fingerprint: crashingRequest, Upstream: strconv.Itoa(u), LifeMs: c.LifeMs, Hops: c.Hops, Event: c.Event}})
			}
			if now.Sub(start) > crashMemory {
				require.False(t, g.crashTracker.Blocked(now, crashingRequest), "report %d", i)
				require.Empty(t, gossipedCrashes(g, now), "report %d", i)
			}
		}
	}
}
