// Package chaos generates scenarios with random failures of every kind.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/standin/engine"
	"github.com/persimmonridge/persimmonridge/internal/standin/kv"
	"github.com/persimmonridge/persimmonridge/internal/trial/scenario"
)

// Parameters of the site and load of a random scenario.
const (
	randomEngines  = 5
	randomBookings = 3
	randomEntries  = 3
	randomRate     = 25
	// removableVM is the only VM that may be lost permanently; the others have the
	// capacity for the load of the recovery period.
	removableVM = "tutor-04"
	// recoveryPeriod is the time without new failures at the end of a scenario. Every
	// request of its second half must be answered in time.
	recoveryPeriod = 20 * time.Second
)

// NewScript generates a script with failures of every kind at random times, which
// may overlap. It expects only what holds for every script, and that the site
// answers all requests in time at the end of the recovery period.
func NewScript(seed uint64, duration time.Duration) scenario.Script {
	random := rand.New(rand.NewPCG(seed, 3))
	s := scenario.Script{
		Description: []string{"Failures of every kind at random times, which may overlap.", fmt.Sprintf("Drawn with seed %d.", seed)},
		Seed:        seed,
		Duration:    scenario.Duration(duration), Rate: randomRate, Engines: randomEngines, Bookings: randomBookings, Entries: randomEntries,
		Settle: scenario.Duration(5 * time.Second),
		// Killed processes cut the requests that they carry; their number is not
		// known in advance.
		Expect: scenario.Expect{MaxCut: unbounded, MaxMayHaveRun: unbounded, MaxUnreached: unbounded, MaxNotRun: -1, MaxCrashes: unbounded, TailFrom: scenario.Duration(duration - recoveryPeriod/2)},
	}
	lastFailure := duration - recoveryPeriod
	for range 4 + random.IntN(10) {
		s.Events = append(s.Events, drawEvents(random, lastFailure)...)
	}
	s.Events = append(s.Events, drawStarts(rand.New(rand.NewPCG(seed, 4)), lastFailure)...)
	s.Events = append(s.Events, scenario.Event{At: scenario.Duration(lastFailure), Action: scenario.StoreFaults}, scenario.Event{At: scenario.Duration(lastFailure), Action: scenario.EngineFaults, Target: "tutor"})
	sort.SliceStable(s.Events, func(i, j int) bool { return s.Events[i].At < s.Events[j].At })
	return s
}

// unbounded allows any number.
const unbounded = 1 << 30

func drawEvents(random *rand.Rand, lastFailure time.Duration) []scenario.Event {
	at := scenario.Duration(time.Second + drawDuration(random, lastFailure-time.Second))
	tutor := fmt.Sprintf("tutor-%02d", random.IntN(randomEngines))
	booking := fmt.Sprintf("booking-%02d", random.IntN(randomBookings))
	upstream := []string{tutor, booking}[random.IntN(2)]
	entry := random.IntN(randomEntries)
	switch random.IntN(16) {
	case 0, 1:
		return []scenario.Event{{At: at, Action: scenario.KillAgent, Target: upstream}}
	case 2:
		return []scenario.Event{{At: at, Action: scenario.RestartAgent, Target: upstream}}
	case 3:
		return []scenario.Event{{At: at, Action: scenario.KillEntry, Entry: entry}, {At: at + scenario.Duration(time.Second), Action: scenario.AddEntry}}
	case 4:
		return []scenario.Event{{At: at, Action: scenario.AddEntry}, {At: at + scenario.Duration(time.Second), Action: scenario.StopEntry, Entry: entry}}
	case 5, 6:
		return []scenario.Event{{At: at, Action: scenario.Silence, Target: upstream}}
	case 7:
		return []scenario.Event{{At: at, Action: scenario.SilencePeers, Entry: entry}}
	case 8:
		return []scenario.Event{{At: at, Action: scenario.CrashEngine, Target: tutor}}
	case 9:
		faults := []kv.Faults{{Outage: true}, {SlowMS: 100 + random.IntN(900)}, {LoseAnswers: 0.5}}[random.IntN(3)]
		end := at + scenario.Duration(drawDuration(random, 15*time.Second))
		return []scenario.Event{{At: at, Action: scenario.StoreFaults, Store: faults}, {At: end, Action: scenario.StoreFaults}}
	case 12:
		return []scenario.Event{{At: at, Action: scenario.Freeze, Target: upstream, Within: drawPause(random)}}
	case 13:
		return []scenario.Event{{At: at, Action: scenario.FreezePeers, Entry: entry, Within: drawPause(random)}}
	case 14:
		return []scenario.Event{{At: at, Action: scenario.Stall, Target: upstream, Within: drawPause(random)}}
	case 11:
		return []scenario.Event{{At: at, Action: scenario.LoseVM, Target: removableVM}}
	case 10:
		return []scenario.Event{{At: at, Action: scenario.SendCrasher, Entry: entry, Times: 1 + random.IntN(4)}}
	}
	faults := engine.Faults{FailShare: random.Float64() / 2, Slow: 1 + 4*random.Float64()}
	end := at + scenario.Duration(drawDuration(random, 10*time.Second))
	return []scenario.Event{{At: at, Action: scenario.EngineFaults, Target: tutor, Engine: faults}, {At: end, Action: scenario.EngineFaults, Target: tutor}}
}

// drawStarts draws a series of starts of entries, of one again and again, of one after the other
// or of all at once, while engines answer most requests badly.
func drawStarts(random *rand.Rand, lastFailure time.Duration) []scenario.Event {
	from := time.Second + drawDuration(random, lastFailure/2)
	until := min(lastFailure, from+5*time.Second+drawDuration(random, 15*time.Second))
	gap := 500*time.Millisecond + drawDuration(random, 2*time.Second)
	how, one := random.IntN(3), random.IntN(randomEntries)
	events := []scenario.Event{
		{At: scenario.Duration(from), Action: scenario.EngineFaults, Target: "tutor", Engine: engine.Faults{FailShare: 0.95}},
		{At: scenario.Duration(until), Action: scenario.EngineFaults, Target: "tutor"},
	}
	for n, at := 0, from+gap; at < until-gap; n, at = n+1, at+gap {
		started := []int{one}
		switch how {
		case 1:
			started = []int{n % randomEntries}
		case 2:
			started = []int{0, 0, 0}
		}
		for _, entry := range started {
			events = append(events, scenario.Event{At: scenario.Duration(at), Action: scenario.KillEntry, Entry: entry},
				scenario.Event{At: scenario.Duration(at + gap/4), Action: scenario.AddEntry})
		}
	}
	return events
}

// drawPause returns up to 12 s, twice the time that an entry waits for a lost agent.
func drawPause(random *rand.Rand) scenario.Duration {
	return scenario.Duration(drawDuration(random, 12*time.Second))
}

func drawDuration(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(max(bound, 1))))
}
