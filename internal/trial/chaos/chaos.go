// Package chaos draws random failures of every kind for a whole small site.
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

// Sizes of a random scenario's site.
const (
	randomEngines  = 5
	randomBookings = 3
	randomEntries  = 3
	randomRate     = 25
	// losable is the one VM that may vanish for good; the others can carry the
	// load of the quiet tail.
	losable = "tutor-04"
	// quietTail is the time without new failures at the end, in which the site
	// must come back to serving everything.
	quietTail = 20 * time.Second
)

// Draw draws a script: failures of every kind at random moments, several of
// them together. Only what must always hold is expected of it, and that the
// quiet tail is served whole.
func Draw(seed uint64, duration time.Duration) scenario.Script {
	random := rand.New(rand.NewPCG(seed, 3))
	s := scenario.Script{
		Story:    []string{"Anything may fail at any moment, together or twice.", fmt.Sprintf("Drawn with seed %d.", seed)},
		Seed:     seed,
		Duration: scenario.Duration(duration), Rate: randomRate, Engines: randomEngines, Bookings: randomBookings, Entries: randomEntries,
		Settle: scenario.Duration(5 * time.Second),
		// Kills cut what they carried; how much, no script can say beforehand.
		Expect: scenario.Expect{CutMost: unbounded, MayHaveRunMost: unbounded, UnreachedMost: unbounded, NotRunMost: -1, CrashesMost: unbounded, TailFrom: scenario.Duration(duration - quietTail/2)},
	}
	until := duration - quietTail
	for range 4 + random.IntN(10) {
		s.Events = append(s.Events, one(random, until)...)
	}
	s.Events = append(s.Events, scenario.Event{At: scenario.Duration(until), Do: scenario.StoreFaults}, scenario.Event{At: scenario.Duration(until), Do: scenario.EngineFaults, Target: "tutor"})
	sort.SliceStable(s.Events, func(i, j int) bool { return s.Events[i].At < s.Events[j].At })
	return s
}

// unbounded stands for any number.
const unbounded = 1 << 30

func one(random *rand.Rand, until time.Duration) []scenario.Event {
	at := scenario.Duration(time.Second + rand64(random, until-time.Second))
	tutor := fmt.Sprintf("tutor-%02d", random.IntN(randomEngines))
	booking := fmt.Sprintf("booking-%02d", random.IntN(randomBookings))
	either := []string{tutor, booking}[random.IntN(2)]
	number := random.IntN(randomEntries)
	switch random.IntN(16) {
	case 0, 1:
		return []scenario.Event{{At: at, Do: scenario.KillAgent, Target: either}}
	case 2:
		return []scenario.Event{{At: at, Do: scenario.RestartAgent, Target: either}}
	case 3:
		return []scenario.Event{{At: at, Do: scenario.KillEntry, Entry: number}, {At: at + scenario.Duration(time.Second), Do: scenario.AddEntry}}
	case 4:
		return []scenario.Event{{At: at, Do: scenario.AddEntry}, {At: at + scenario.Duration(time.Second), Do: scenario.StopEntry, Entry: number}}
	case 5, 6:
		return []scenario.Event{{At: at, Do: scenario.Silence, Target: either}}
	case 7:
		return []scenario.Event{{At: at, Do: scenario.SilencePeers, Entry: number}}
	case 8:
		return []scenario.Event{{At: at, Do: scenario.CrashEngine, Target: tutor}}
	case 9:
		faults := []kv.Faults{{Outage: true}, {SlowMS: 100 + random.IntN(900)}, {LoseAnswers: 0.5}}[random.IntN(3)]
		end := at + scenario.Duration(rand64(random, 15*time.Second))
		return []scenario.Event{{At: at, Do: scenario.StoreFaults, Store: faults}, {At: end, Do: scenario.StoreFaults}}
	case 12:
		return []scenario.Event{{At: at, Do: scenario.Freeze, Target: either, Within: pause(random)}}
	case 13:
		return []scenario.Event{{At: at, Do: scenario.FreezePeers, Entry: number, Within: pause(random)}}
	case 14:
		return []scenario.Event{{At: at, Do: scenario.Stall, Target: either, Within: pause(random)}}
	case 11:
		return []scenario.Event{{At: at, Do: scenario.LoseVM, Target: losable}}
	case 10:
		return []scenario.Event{{At: at, Do: scenario.SendCrasher, Entry: number, Times: 1 + random.IntN(4)}}
	}
	faults := engine.Faults{FailShare: random.Float64() / 2, Slow: 1 + 4*random.Float64()}
	end := at + scenario.Duration(rand64(random, 10*time.Second))
	return []scenario.Event{{At: at, Do: scenario.EngineFaults, Target: tutor, Engine: faults}, {At: end, Do: scenario.EngineFaults, Target: tutor}}
}

// pause is up to twelve seconds, twice what an entry waits for a lost agent.
func pause(random *rand.Rand) scenario.Duration {
	return scenario.Duration(rand64(random, 12*time.Second))
}

func rand64(random *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(max(below, 1))))
}
