package gateway_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

const (
	expectedHeader = "X-Persimmonridge-Expect-Instance"
	// decoyAddress is that of a process that is no upstream.
	decoyAddress = "10.0.7.1:80"
	// sharedEngine is an engine whose address an odd registration names, too.
	sharedEngine = 8
)

// named counts, by the ID that they name, the requests that reach an address.
type named struct {
	mu   sync.Mutex
	byID map[string]int
	// refuses is set if the process answers 421 to requests for another ID than this.
	refusesBut string
}

func (n *named) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(expectedHeader)
		n.mu.Lock()
		n.byID[id]++
		n.mu.Unlock()
		if n.refusesBut != "" && n.refusesBut != id {
			w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// reset returns the counts so far.
func (n *named) reset() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	former := n.byID
	n.byID = make(map[string]int)
	return former
}

// odd returns a registration with a value in place of that of a field.
func odd(address, field, value string) string {
	fields := map[string]string{
		"service": `"tutor"`, "address": fmt.Sprintf("%q", address), "zone": `"a"`, "version": `"v1"`, "slots": "2",
		"state": `"ready"`, "born": "3", "coldRemainingMs": "0", "sequence": "7",
	}
	if field != "" {
		fields[field] = value
	}
	var encoded []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		encoded = append(encoded, fmt.Sprintf("%q:%s", name, fields[name]))
	}
	return "{" + strings.Join(encoded, ",") + "}"
}

// oddRegistrations holds registrations that name no upstream, by what is odd about them.
func oddRegistrations() map[string]string {
	const depth, largest = 100_000, "9223372036854775807"
	deep, long := strings.Repeat("[", depth), strings.Repeat("x", 200_000)
	all := map[string]string{
		"nested whole": deep + strings.Repeat("]", depth), "nested unclosed": deep,
		"nested in a field": odd(decoyAddress, "more", deep+strings.Repeat("]", depth)),
		"caller address":    odd(callerAddress(0), "slots", "9"), "another caller address": odd(callerAddress(2), "slots", "9"),
		"link address": odd(linkAddress(1), "slots", "9"), "readiness address": odd("10.0.0.1:82", "slots", "9"),
		"metrics address": odd("10.0.0.2:83", "slots", "9"), "mapped caller address": odd("[::ffff:10.0.0.1]:80", "slots", "9"),
	}
	for field, values := range map[string][]string{
		"slots":           {"1e400", "9e18", largest, "-" + largest, "2.5", "0", "-1", "1000000000"},
		"born":            {"1e400", "9e18", largest, "-" + largest, "-1", "2.5"},
		"coldRemainingMs": {"1e400", "1e300", largest, "-5", "-1e300"},
		"sequence":        {"1e400", `"7"`},
		"address": {
			`"10.0.7.1:99999"`, `"10.0.7.1:0"`, `"10.0.7.1:-1"`, `"10.0.7.1:http"`, `"10.0.7.1"`, `"upstream.example:80"`, `"http://10.0.7.1:80"`,
			`"10.0.7.1:80\u0000"`, `"` + long + `"`, `"0.0.0.0:80"`, `"224.0.0.1:80"`, `"[::]:80"`, `""`,
		},
		"version": {`"` + long + `"`, "1"}, "service": {`"tutor\r\n"`},
	} {
		for _, value := range values {
			all[field+" "+value[:min(len(value), 24)]] = odd(decoyAddress, field, value)
		}
	}
	return all
}

// Guards against an entry of another writer that ends gateways, keeps later changes from them
// or draws requests to what it names.
func TestOddRegistrationsBesideUpstreams(t *testing.T) {
	for name, registration := range oddRegistrations() {
		t.Run(name, func(t *testing.T) {
			decoy := &named{byID: map[string]int{}}
			var before, after []outcome
			var late []time.Time
			runFleet(t, func(f *fleet) {
				f.serve(decoyAddress, decoy.handler(f.engine("decoy")))
				for i := range 3 {
					f.store.Put(fmt.Sprint("servers/another-", i), registration)
				}
				bubble.Sleep(time.Second)
				for range 3 {
					before = append(before, f.callAll(engines*slots, "/old/x")...)
				}
				f.register(0, "a", `,"state":"draining"`)
				f.putConfig(2, "/new/")
				bubble.Sleep(f.settings(0).ConfigApplyLimit)
				since := time.Now()
				for range 3 {
					after = append(after, f.callAll((engines-1)*slots, "/new/x")...)
				}
				late = f.arrivalsSince(0, since)
			})
			require.Equal(t, len(before), countServed(before))
			require.Equal(t, len(after), countServed(after))
			require.Empty(t, decoy.byID)
			require.Empty(t, late, "the upstream drains")
		})
	}
}

// shareAddress registers an engine and an odd registration of its address, with fields of it.
func shareAddress(f *fleet, engine *named, fields string) {
	f.serve(engineAddress(sharedEngine), engine.handler(f.engine(engineAddress(sharedEngine))))
	f.register(sharedEngine, "a", `,"born":10`)
	f.store.Put("servers/another", fmt.Sprintf(`{"service":"tutor","address":%q,"zone":"a","version":"v1","state":"ready"%s}`, engineAddress(sharedEngine), fields))
	bubble.Sleep(time.Second)
}

// Guards against calls that are lost, or that run at an upstream which drains or has left, because
// another writer's entry names its address: the upstream answers that it is not the one.
func TestOddRegistrationOfAnUpstreamThatEnds(t *testing.T) {
	for name, fields := range map[string]string{
		"most slots": `,"slots":9223372036854775807`, "as many slots": `,"slots":2`, "born as the upstream": `,"slots":2,"born":10`,
	} {
		t.Run(name, func(t *testing.T) {
			engine := &named{byID: map[string]int{}, refusesBut: "engine-8"}
			var draining, gone []outcome
			var ran int
			runFleet(t, func(f *fleet) {
				bubble.Sleep(f.settings(0).Retry.Window)
				f.warmUp()
				shareAddress(f, engine, fields)
				f.register(sharedEngine, "a", `,"born":10,"state":"draining"`)
				bubble.Sleep(2 * time.Second)
				since := time.Now()
				for range 4 {
					draining = append(draining, f.callAll(6, "/old/x")...)
				}
				f.store.Remove("servers/engine-8")
				bubble.Sleep(time.Minute)
				for range 4 {
					gone = append(gone, f.callAll(6, "/old/x")...)
				}
				ran = len(f.arrivalsSince(sharedEngine, since))
			})
			require.Equal(t, len(draining), countServed(draining))
			require.Equal(t, len(gone), countServed(gone))
			require.Zero(t, ran)
		})
	}
}

// Guards against a lost call when an entry that no rule tells from a restarted upstream names
// another's address: the upstream there answers that it is not the one. Each such answer costs a
// retry, of which a fleet that has just started has none.
func TestUpstreamAnswersForAnOddRegistrationOfItsAddress(t *testing.T) {
	engine := &named{byID: map[string]int{}, refusesBut: "engine-8"}
	var outcomes []outcome
	var sent map[string]int
	runFleet(t, func(f *fleet) {
		bubble.Sleep(f.settings(0).Retry.Window)
		f.warmUp()
		shareAddress(f, engine, `,"slots":2,"born":11`)
		for range 4 {
			outcomes = append(outcomes, f.callAll(8, "/old/x")...)
		}
		sent = engine.reset()
	})
	require.Equal(t, len(outcomes), countServed(outcomes))
	require.Positive(t, sent["engine-8"], "the other holds")
	require.Positive(t, sent["another"])
}

// Guards against a proper upstream that is left out because of its predecessor at the address.
func TestUpstreamAtTheAddressOfAFormerOneIsUsed(t *testing.T) {
	for name, leave := range map[string]func(f *fleet){
		"ready":    func(*fleet) {},
		"draining": func(f *fleet) { f.register(sharedEngine, "a", `,"born":10,"state":"draining"`) },
		"removed":  func(f *fleet) { f.store.Remove("servers/engine-8") },
	} {
		t.Run(name, func(t *testing.T) {
			engine := &named{byID: map[string]int{}, refusesBut: "successor"}
			var outcomes []outcome
			var sent map[string]int
			runFleet(t, func(f *fleet) {
				f.serve(engineAddress(sharedEngine), engine.handler(f.engine(engineAddress(sharedEngine))))
				f.register(sharedEngine, "a", `,"born":10`)
				bubble.Sleep(time.Second)
				leave(f)
				f.store.Put("servers/successor", odd(engineAddress(sharedEngine), "born", "11"))
				bubble.Sleep(time.Second)
				for range 4 {
					outcomes = append(outcomes, f.callAll(10, "/old/x")...)
				}
				sent = engine.reset()
			})
			require.Equal(t, len(outcomes), countServed(outcomes))
			require.Positive(t, sent["successor"])
		})
	}
}
