package soak_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/persimmonridge/persimmonridge/platform"
)

const (
	// heldFromSeed is the first seed in which links to upstreams are held beside bad answers: what
	// is sent meanwhile arrives later, in one moment. Another writer leaves odd entries among
	// those of the upstreams. Gateways are not killed, and in even seeds not stopped either.
	heldFromSeed = 100000
	// minHold and maxHold bound the time for which links are held, if the run is long enough.
	minHold = 2 * time.Second
	maxHold = 14 * time.Second
	// patientCallers is the number of callers that wait for patientTimeout, which all routes
	// allow, with up to patientAttempts. They pause between their calls.
	patientCallers  = 100
	patientTimeout  = 9 * time.Second
	patientAttempts = 5
	minPatientPause = 200 * time.Millisecond
	maxPatientPause = time.Second
	// oddEntries is the number of keys with odd entries.
	oddEntries = 6
)

// ends reports whether the signal is sent to gateways in the seed. A gateway that was killed
// forgets what it sent over a held link. Where upstreams turn slow, stopAmidSlowness stops gateways.
func (tb *testbed) ends(signal syscall.Signal) bool {
	if tb.plays(slowedFromSeed) {
		return signal == syscall.SIGKILL && tb.seed%2 == 1
	}
	return !tb.plays(heldFromSeed) || (signal == syscall.SIGTERM && tb.seed%2 == 1)
}

func (tb *testbed) slots() int32 {
	if tb.plays(heldFromSeed) {
		return slotsHeld
	}
	return slots
}

// runPatiently sends requests that may be repeated until the testbed stops its callers. Its pauses
// keep the number of requests low, so that most of the limit on repeats is slack.
func (c *caller) runPatiently() {
	defer c.closeConnection()
	for !c.testbed.stopping() {
		k := []kind{kinds[1], kinds[2]}[c.random.IntN(2)]
		c.testbed.recordCall(c.call(k, k.path))
		<-time.After(randomDuration(c.random, minPatientPause, maxPatientPause))
	}
}

// holdLinks holds the links to up to half of the upstreams, all at once, until the faults end.
func (tb *testbed) holdLinks() {
	random := rand.New(rand.NewPCG(tb.seed, 0x68656c64))
	length := time.Until(tb.faultsEndAt)
	shortest, longest := min(minHold, length/3), min(maxHold, length)
	for time.Now().Before(tb.faultsEndAt) {
		<-time.After(randomDuration(random, 0, 2*time.Second))
		endFault := tb.beginFault("held-link", allGateways, false, true)
		held := tb.heldTogether(random)
		var ends []func()
		for _, u := range held {
			ends = append(ends, u.disruptions.begin())
			u.relay.Hold(true)
		}
		hold := randomDuration(random, shortest, longest)
		<-time.After(min(hold, time.Until(tb.faultsEndAt)))
		for _, u := range held {
			u.relay.Hold(false)
		}
		for _, end := range ends {
			end()
		}
		endFault()
	}
}

// heldTogether returns two upstreams of the same service or of both, or one whose service has no
// more than two.
func (tb *testbed) heldTogether(random *rand.Rand) []*upstream {
	tutors := random.Perm(tutorUpstreams)
	first, second := tb.upstreams[tutors[0]], tb.upstreams[tutors[1]]
	desk := tb.upstreams[tutorUpstreams+random.IntN(deskUpstreams)]
	return [][]*upstream{{first, second}, {first, desk}, {desk}}[random.IntN(3)]
}

// writeOddEntries writes entries among those of the upstreams that no gateway can use, until the
// faults end. They remain in the store.
func (tb *testbed) writeOddEntries() {
	random := rand.New(rand.NewPCG(tb.seed, 0x6f6464))
	for n := 0; time.Now().Before(tb.faultsEndAt); n++ {
		<-time.After(randomDuration(random, 50*time.Millisecond, 500*time.Millisecond))
		u := tb.upstreams[random.IntN(len(tb.upstreams))]
		host, _, _ := strings.Cut(u.relay.Addr(), ":")
		tb.store.Put(fmt.Sprintf("%sodd-%d", platform.UpstreamPrefix, n%oddEntries), oddEntry(random, u.service, host, n))
	}
}

// oddEntry returns an entry that is nested deeply, has numbers out of range, or an address that
// can't be used.
func oddEntry(random *rand.Rand, service, host string, sequence int) string {
	depth := 1000 + random.IntN(100_000)
	opened, closed := strings.Repeat("[", depth), strings.Repeat("]", depth)
	numbers := []string{"1e400", "-1e400", "9e18", "9223372036854775807", "-9223372036854775808", "-1", "0", "1e300"}
	number := func(usual string) string {
		if random.IntN(2) == 0 {
			return usual
		}
		return numbers[random.IntN(len(numbers))]
	}
	addresses := []string{host + ":99999", host + ":0", host + ":-1", host + ":name", "name:9000", host, "http://" + host + ":99999/"}
	more := []string{"", "", `,"more":` + opened + closed, `,"more":` + opened, `,"zone":` + opened + closed}
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":%s,"state":"ready","sequence":%s,"born":%s,"coldRemainingMs":%s%s}`,
		service, addresses[random.IntN(len(addresses))], number("8"), number(fmt.Sprint(sequence)), number("1"), number("0"), more[random.IntN(len(more))])
	entries := []string{entry, entry, entry, entry, opened + closed, opened, strings.Repeat(`{"address":`, depth)}
	return entries[random.IntN(len(entries))]
}

// checkApplied stores a configuration and returns when it must be in effect. The probes check
// that it is.
func (tb *testbed) checkApplied() {
	changeConfig(tb, rand.New(rand.NewPCG(tb.seed, 0x6c617374)))
	<-time.After(applyTimeout + checkSlack + 2*time.Second)
}
