package soak_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// manyRoutes is how many routes a large configuration has more at most.
	manyRoutes = 1400
	// shortIdle and longIdle bound the idle limits of callers' connections. Most
	// are below middleIdle, so that a run meets them often.
	shortIdle  = 500 * time.Millisecond
	middleIdle = 3 * time.Second
	longIdle   = 20 * time.Second
)

// configure puts a version in force that adds a route and drops the last one,
// often with another idle limit or many more routes, and notes it for the judge
// when the store has it.
func configure(w *world, r *rand.Rand) {
	w.configuring.Lock()
	defer w.configuring.Unlock()
	next := versionAt{version: 1, idleLimit: drawIdleLimit(r)}
	if n := len(w.versions); n > 0 {
		next.version = w.versions[n-1].version + 1
		if r.IntN(3) == 0 {
			next.idleLimit = w.versions[n-1].idleLimit
		}
	}
	more := 0
	if r.IntN(3) == 0 {
		more = 1 + r.IntN(manyRoutes)
	}
	next.from = time.Now()
	w.store.Put("op/config", configuration(next, more))
	next.at = time.Now()
	w.mu.Lock()
	w.versions = append(w.versions, next)
	w.mu.Unlock()
}

func drawIdleLimit(r *rand.Rand) time.Duration {
	if r.IntN(5) == 0 {
		return between(r, middleIdle, longIdle).Truncate(time.Millisecond)
	}
	return between(r, shortIdle, middleIdle).Truncate(time.Millisecond)
}

// configureSeries puts versions in force one shortly after the other.
func configureSeries(w *world, r *rand.Rand) {
	gap := between(r, 20*time.Millisecond, 700*time.Millisecond)
	for range 2 + r.IntN(6) {
		configure(w, r)
		<-time.After(gap)
	}
}

// configureAmid lets a series meet stops, restarts and leaving upstreams.
func configureAmid(w *world, r *rand.Rand) {
	beside := []func(w *world, r *rand.Rand){stop, stopSeries, kill, settings, leave, leave}
	var running sync.WaitGroup
	for range 1 + r.IntN(3) {
		begin := beside[r.IntN(len(beside))]
		after := between(r, 0, time.Second)
		own := rand.New(rand.NewPCG(r.Uint64(), w.seed))
		running.Go(func() {
			<-time.After(after)
			begin(w, own)
		})
	}
	configureSeries(w, r)
	running.Wait()
}

// idleLimit returns the limit of the newest version, or of the one before, which
// may still be in force.
func (w *world) idleLimit(r *rand.Rand) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := len(w.versions) - 1
	if at > 0 && r.IntN(4) == 0 {
		at--
	}
	return w.versions[at].idleLimit
}

func configuration(v versionAt, more int) string {
	route := `{"name":%q,"hostname":"h","prefix":%q,"kind":%q,"timeoutMs":3000,"targetLatencyMs":500,"service":%q,"maxAttempts":2,"streamResume":%t,"gapAimMs":250}`
	routes := []string{
		fmt.Sprintf(route, "book", "/book/", "non_idempotent", "desk", false),
		fmt.Sprintf(route, "read", "/read/", "idempotent", "desk", false),
		fmt.Sprintf(route, "stream", "/stream/", "streaming", "tutor", true),
		fmt.Sprintf(route, "once", "/once/", "streaming", "tutor", false),
		fmt.Sprintf(route, "version", versionPath(v.version), "idempotent", "desk", false),
	}
	for i := range more {
		routes = append(routes, fmt.Sprintf(route, fmt.Sprintf("more-%d", i), fmt.Sprintf("/more-%d/", i), "idempotent", "desk", false))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"tutor","engine":{"slots":%d,"stride":6}},{"name":"desk"}],
		"limits":{"maxBodyBytes":4194304,"idleTimeoutMs":%d},"tenants":[{"name":"studio","apiKeys":["key"]}]}`,
		v.version, strings.Join(routes, ","), slots, v.idleLimit.Milliseconds())
}

func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }
