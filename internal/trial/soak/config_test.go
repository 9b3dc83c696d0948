package soak_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// maxExtraRoutes is the maximum number of extra routes of a large
	// configuration.
	maxExtraRoutes = 1400
	// minIdleLimit and maxIdleLimit bound the idle limits of callers' connections.
	// Most are below commonIdleLimit, so that connections often reach them in a
	// run.
	minIdleLimit    = 500 * time.Millisecond
	commonIdleLimit = 3 * time.Second
	maxIdleLimit    = 20 * time.Second
)

// changeConfig stores a configuration version that adds a route and drops the one
// added last, often with a different idle limit or many extra routes, and records
// when it was stored.
func changeConfig(tb *testbed, r *rand.Rand) {
	tb.configMu.Lock()
	defer tb.configMu.Unlock()
	next := configVersion{version: 1, idleLimit: randomIdleLimit(r)}
	if n := len(tb.versions); n > 0 {
		next.version = tb.versions[n-1].version + 1
		if r.IntN(3) == 0 {
			next.idleLimit = tb.versions[n-1].idleLimit
		}
	}
	extraRoutes := 0
	if r.IntN(3) == 0 {
		extraRoutes = 1 + r.IntN(maxExtraRoutes)
	}
	next.submittedAt = time.Now()
	tb.store.Put("op/config", tb.configDocument(next, extraRoutes))
	next.storedAt = time.Now()
	tb.mu.Lock()
	tb.versions = append(tb.versions, next)
	tb.mu.Unlock()
}

func randomIdleLimit(r *rand.Rand) time.Duration {
	if r.IntN(5) == 0 {
		return randomDuration(r, commonIdleLimit, maxIdleLimit).Truncate(time.Millisecond)
	}
	return randomDuration(r, minIdleLimit, commonIdleLimit).Truncate(time.Millisecond)
}

// changeConfigRepeatedly stores several versions in short succession.
func changeConfigRepeatedly(tb *testbed, r *rand.Rand) {
	gap := randomDuration(r, 20*time.Millisecond, 700*time.Millisecond)
	for range 2 + r.IntN(6) {
		changeConfig(tb, r)
		<-time.After(gap)
	}
}

// changeConfigAmidFaults stores several versions while gateways stop and restart
// and upstreams drain.
func changeConfigAmidFaults(tb *testbed, r *rand.Rand) {
	otherFaults := []func(tb *testbed, r *rand.Rand){stop, stopSeries, kill, changeSettings, drainUpstream, drainUpstream}
	var running sync.WaitGroup
	for range 1 + r.IntN(3) {
		inject := otherFaults[r.IntN(len(otherFaults))]
		delay := randomDuration(r, 0, time.Second)
		faultRandom := rand.New(rand.NewPCG(r.Uint64(), tb.seed))
		running.Go(func() {
			<-time.After(delay)
			inject(tb, faultRandom)
		})
	}
	changeConfigRepeatedly(tb, r)
	running.Wait()
}

// idleLimit returns the limit of the newest version, or sometimes of the previous
// one, which may still be in effect.
func (tb *testbed) idleLimit(r *rand.Rand) time.Duration {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	index := len(tb.versions) - 1
	if index > 0 && r.IntN(4) == 0 {
		index--
	}
	return tb.versions[index].idleLimit
}

func (tb *testbed) configDocument(v configVersion, extraRoutes int) string {
	route := `{"name":%q,"hostname":"h","prefix":%q,"kind":%q,"timeoutMs":3000,"targetLatencyMs":500,"service":%q,"maxAttempts":2,"streamResume":%t,"gapAimMs":250}`
	if tb.plays(heldFromSeed) {
		route = strings.NewReplacer("3000", fmt.Sprint(patientTimeout.Milliseconds()), `"maxAttempts":2`, fmt.Sprintf(`"maxAttempts":%d`, patientAttempts)).Replace(route)
	}
	if tb.plays(slowedFromSeed) {
		route = strings.Replace(route, "3000", fmt.Sprint(routeTimeoutSlowed.Milliseconds()), 1)
	}
	routes := []string{
		fmt.Sprintf(route, "book", "/book/", "non_idempotent", "desk", false),
		fmt.Sprintf(route, "read", "/read/", "idempotent", "desk", false),
		fmt.Sprintf(route, "stream", "/stream/", "streaming", "tutor", true),
		fmt.Sprintf(route, "once", "/once/", "streaming", "tutor", false),
		fmt.Sprintf(route, "version", versionPath(v.version), "idempotent", "desk", false),
	}
	if tb.hardLoad() {
		slowRoute := strings.Replace(route, "3000", fmt.Sprint(slowTimeout.Milliseconds()), 1)
		routes = append(routes, fmt.Sprintf(slowRoute, "slow", "/slow/", "streaming", "tutor", false))
	}
	for i := range extraRoutes {
		routes = append(routes, fmt.Sprintf(route, fmt.Sprintf("more-%d", i), fmt.Sprintf("/more-%d/", i), "idempotent", "desk", false))
	}
	warmUp := ""
	if tb.playsWarmUps() {
		warmUp = fmt.Sprintf(`,"coldStartS":%g,"coldPerS":%d`, warmUpTime.Seconds(), warmUpPerSecond)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"tutor","engine":{"slots":%d,"stride":6}%s},{"name":"desk"%s}],
		"limits":{"maxBodyBytes":4194304,"idleTimeoutMs":%d},"tenants":[%s]}`,
		v.version, strings.Join(routes, ","), tb.slots(), warmUp, warmUp, v.idleLimit.Milliseconds(), tb.workspaceDocument())
}

func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }
