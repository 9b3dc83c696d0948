package scenario

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/standin/engine"
	"github.com/persimmonridge/persimmonridge/internal/standin/kv"
)

// Sizes of a random scenario's site.
const (
	randomEngines  = 5
	randomBookings = 3
	randomEntries  = 3
	randomRate     = 25
	// quietTail is the time without new failures at the end, in which the site
	// must come back to serving everything.
	quietTail = 20 * time.Second
)

// Random draws a script: failures of every kind at random moments, several of
// them together. Only what must always hold is expected of it, and that the
// quiet tail is served whole.
func Random(seed uint64, duration time.Duration) Script {
	random := rand.New(rand.NewPCG(seed, 3))
	s := Script{
		Story:    []string{"Anything may fail at any moment, together or twice.", fmt.Sprintf("Drawn with seed %d.", seed)},
		Seed:     seed,
		Duration: Duration(duration), Rate: randomRate, Engines: randomEngines, Bookings: randomBookings, Entries: randomEntries,
		Settle: Duration(5 * time.Second),
		// Kills cut what they carried; how much, no script can say beforehand.
		Expect: Expect{CutMost: unbounded, MayHaveRunMost: unbounded, UnreachedMost: unbounded, NotRunMost: -1, CrashesMost: unbounded, TailFrom: Duration(duration - quietTail/2)},
	}
	until := duration - quietTail
	for range 4 + random.IntN(10) {
		s.Events = append(s.Events, draw(random, until)...)
	}
	s.Events = append(s.Events, Event{At: Duration(until), Do: StoreFaults}, Event{At: Duration(until), Do: EngineFaults, Target: "tutor"})
	sort.SliceStable(s.Events, func(i, j int) bool { return s.Events[i].At < s.Events[j].At })
	return s
}

// unbounded stands for any number.
const unbounded = 1 << 30

func draw(random *rand.Rand, until time.Duration) []Event {
	at := Duration(time.Second + rand64(random, until-time.Second))
	tutor := fmt.Sprintf("tutor-%02d", random.IntN(randomEngines))
	booking := fmt.Sprintf("booking-%02d", random.IntN(randomBookings))
	either := []string{tutor, booking}[random.IntN(2)]
	number := random.IntN(randomEntries)
	switch random.IntN(12) {
	case 0, 1:
		return []Event{{At: at, Do: KillAgent, Target: either}}
	case 2:
		return []Event{{At: at, Do: RestartAgent, Target: either}}
	case 3:
		return []Event{{At: at, Do: KillEntry, Entry: number}, {At: at + Duration(time.Second), Do: AddEntry}}
	case 4:
		return []Event{{At: at, Do: AddEntry}, {At: at + Duration(time.Second), Do: StopEntry, Entry: number}}
	case 5, 6:
		return []Event{{At: at, Do: Silence, Target: either}}
	case 7:
		return []Event{{At: at, Do: SilencePeers, Entry: number}}
	case 8:
		return []Event{{At: at, Do: CrashEngine, Target: tutor}}
	case 9:
		faults := []kv.Faults{{Outage: true}, {SlowMS: 100 + random.IntN(900)}, {LoseAnswers: 0.5}}[random.IntN(3)]
		end := at + Duration(rand64(random, 15*time.Second))
		return []Event{{At: at, Do: StoreFaults, Store: faults}, {At: end, Do: StoreFaults}}
	case 10:
		return []Event{{At: at, Do: SendCrasher, Entry: number, Times: 1 + random.IntN(4)}}
	}
	faults := engine.Faults{FailShare: random.Float64() / 2, Slow: 1 + 4*random.Float64()}
	end := at + Duration(rand64(random, 10*time.Second))
	return []Event{{At: at, Do: EngineFaults, Target: tutor, Engine: faults}, {At: end, Do: EngineFaults, Target: tutor}}
}

func rand64(random *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(max(below, 1))))
}
