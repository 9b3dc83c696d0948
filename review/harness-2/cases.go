//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const host = "ficu95.example"

// config is a small configuration: one route with a key, to which idle routes are added.
func config(version int, keys []string, idle int) map[string]any {
	route := func(name, prefix string) map[string]any {
		return map[string]any{"name": name, "hostname": host, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 1000, "targetLatencyMs": 150,
			"priority": 2, "service": "xano55b", "maxAttempts": 1, "public": false, "sessionAffinity": false, "streamResume": false}
	}
	routes := []map[string]any{route("r-booking", "/lohu930/")}
	for i := range idle {
		routes = append(routes, route(fmt.Sprintf("r-idle%05d", i), fmt.Sprintf("/idle%05d/", i)))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "xano55b", "healthCheck": "/health", "maxConnections": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
		"tenants":  []map[string]any{{"name": "hule930", "apiKeys": keys, "ratePerS": 0, "burst": 0}},
	}
}

// oversizedWatch sends configurations in quick succession. The last one takes a key away, and
// after it a worker drains.
func oversizedWatch(b *bed, trouble bool, o *outcome) {
	const idle = 4000
	keys := []string{"key-kept", "key-taken"}
	b.put("op/config", config(1, keys, idle))
	var workers []*worker
	for i := range 4 {
		workers = append(workers, b.newWorker("v1", string(rune('a'+i%3))))
	}
	b.startAll()
	var n atomic.Int64
	b.load(50, time.Second, func() request {
		key := keys[n.Add(1)%2]
		return request{method: http.MethodPost, host: host, path: "/lohu930/2f", key: key, kind: key}
	})
	time.Sleep(4 * time.Second)
	versions := 25
	if !trouble {
		versions = 1
	}
	var values [][]byte
	for i := range versions - 1 {
		values = append(values, encode(config(2+i, keys, idle+i+1)))
	}
	values = append(values, encode(config(100, keys[:1], idle+versions)))
	began := time.Now()
	var acknowledged time.Time
	for i, value := range values {
		time.Sleep(time.Until(began.Add(time.Duration(i) * 80 * time.Millisecond)))
		acknowledged = b.putRaw("op/config", value)
	}
	time.Sleep(time.Second)
	leaving := workers[0]
	leaving.state.Store("draining")
	leaving.register()
	drained := time.Now()
	b.record.line("worker %s reported draining", leaving.id)
	time.Sleep(7 * time.Second)
	leaving.leave()
	time.Sleep(2 * time.Second)
	b.stopped.Store(true)
	b.callers.Wait()

	b.mu.Lock()
	defer b.mu.Unlock()
	stale, late := 0, 0
	var lastStale, lastLate time.Duration
	for _, a := range b.answers {
		since := a.sent.Sub(acknowledged)
		if a.kind == "key-taken" && since > configApply && len(b.runs[a.id]) > 0 {
			stale++
			lastStale = max(lastStale, since)
		}
	}
	for _, runs := range b.runs {
		for _, r := range runs {
			if since := r.at.Sub(drained); r.worker == leaving.id && since > drain {
				late++
				lastLate = max(lastLate, since)
			}
		}
	}
	if stale > 0 {
		o.add("CONFIG: %d requests with the key that was taken away ran though sent later than %s after the acknowledgement, the last %s after it", stale, configApply, lastStale)
	}
	if late > 0 {
		o.add("DRAIN: %d requests reached the draining worker later than %s after the acknowledgement, the last %s after it", late, drain, lastLate)
	}
}

// rolloutBed starts load for a service, orders a rollout and starts workers of the new version.
func rolloutBed(b *bed, perSecond float64, duration time.Duration) (target []*worker, ordered time.Time) {
	b.put("op/config", config(1, []string{"key-kept"}, 8))
	for i := range 6 {
		b.newWorker("v1", string(rune('a'+i%3)))
	}
	b.startAll()
	b.load(perSecond, time.Second, func() request {
		return request{method: http.MethodPost, host: host, path: "/lohu930/2f", key: "key-kept", kind: "booking"}
	})
	time.Sleep(2 * time.Second)
	ordered = b.put("op/rollout/xano55b", map[string]any{"service": "xano55b", "target": "v2", "durationS": duration.Seconds()})
	time.Sleep(1500 * time.Millisecond)
	for i := range 6 {
		target = append(target, b.newWorker("v2", string(rune('a'+i%3))))
	}
	return target, ordered
}

// checkRollback checks EXPOSURE: no request that machines in touch take later than rollbackMs
// after the 50th bad answer reaches the bad version. Out holds, by gateway, when it was out of
// touch from and until.
func checkRollback(b *bed, o *outcome, out map[int][2]time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	inTouch := func(a answer) bool {
		span, ok := out[a.gateway]
		return !ok || a.sent.Before(span[0]) || a.sent.After(span[1])
	}
	byID := make(map[string]answer, len(b.answers))
	for _, a := range b.answers {
		byID[a.id] = a
	}
	var bad []time.Time
	var exposed []answer
	for id, runs := range b.runs {
		for _, r := range runs {
			a, ok := byID[id]
			if r.version != "v2" || !ok || !inTouch(a) {
				continue
			}
			exposed = append(exposed, a)
			if r.status != http.StatusOK {
				bad = append(bad, r.at.Add(100*time.Millisecond))
			}
		}
	}
	slices.SortFunc(bad, time.Time.Compare)
	b.record.line("requests of machines in touch at the bad version: %d, bad answers: %d", len(exposed), len(bad))
	if len(bad) < 50 {
		return
	}
	b.record.line("50th bad answer at %.3f", bad[49].Sub(b.record.start).Seconds())
	late, last := 0, time.Duration(0)
	for _, a := range exposed {
		if since := a.sent.Sub(bad[49]); since > rollback {
			late++
			last = max(last, since)
		}
	}
	if late > 0 {
		o.add("EXPOSURE: %d requests of machines in touch ran on the bad version though sent later than %s after its 50th bad answer, the last %s after it", late, rollback, last)
	}
}

// restartInRollout kills all processes at once while a bad version is rolled out.
func restartInRollout(b *bed, trouble bool, o *outcome) {
	const duration = 12 * time.Second
	target, ordered := rolloutBed(b, 50, duration)
	// Seven tenths of the duration are over, and the version has its largest share so far.
	time.Sleep(time.Until(ordered.Add(8600 * time.Millisecond)))
	for _, w := range target {
		w.failShare.Store(500)
	}
	b.record.line("half of the answers of v2 are failures from now on")
	out := make(map[int][2]time.Time)
	if trouble {
		time.Sleep(time.Until(ordered.Add(9100 * time.Millisecond)))
		killed := time.Now()
		b.record.line("status of the rollout: %s", b.store.Value("status/rollout/xano55b"))
		b.record.line("all gateways are killed")
		for _, g := range b.gateways {
			g.signal(syscall.SIGKILL)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, g := range b.gateways {
			g.start()
			out[g.number] = [2]time.Time{killed, time.Now().Add(contact)}
		}
		b.record.line("all gateways are started again")
	}
	time.Sleep(time.Until(ordered.Add(duration + 25*time.Second)))
	b.record.line("status of the rollout: %s", b.store.Value("status/rollout/xano55b"))
	b.stopped.Store(true)
	b.callers.Wait()
	checkRollback(b, o, out)
}

// schedulerWithoutStore cuts the gateway that decides on a rollout from the store while the
// new version turns bad.
func schedulerWithoutStore(b *bed, trouble bool, o *outcome) {
	var lead atomic.Int64
	lead.Store(-1)
	byRemote := func(remote string) int64 {
		for i, g := range b.gateways {
			g.link.mu.Lock()
			for c := range g.link.conns {
				if c.LocalAddr().String() == remote {
					g.link.mu.Unlock()
					return int64(i)
				}
			}
			g.link.mu.Unlock()
		}
		return -1
	}
	b.store.onWrite = func(remote, body string) {
		if strings.Contains(body, "status/rollout/") {
			lead.Store(byRemote(remote))
		}
	}
	const duration = 30 * time.Second
	target, ordered := rolloutBed(b, 200, duration)
	// The last share before the end is set at seven tenths of the duration.
	time.Sleep(time.Until(ordered.Add(21800 * time.Millisecond)))
	out := make(map[int][2]time.Time)
	node := int(lead.Load())
	if node < 0 {
		must(fmt.Errorf("nobody wrote the status of the rollout"))
	}
	cut := b.gateways[node].link
	if trouble {
		b.record.line("gateway %d, which wrote last under a condition, is cut from the store", node+1)
		cut.setCut(true)
		out[node] = [2]time.Time{time.Now(), time.Now().Add(time.Hour)}
	}
	for _, w := range target {
		w.failShare.Store(800)
	}
	b.record.line("four fifths of the answers of v2 are failures from now on")
	time.Sleep(12 * time.Second)
	b.record.line("status of the rollout: %s", b.store.Value("status/rollout/xano55b"))
	cut.setCut(false)
	b.record.line("the cut is healed")
	time.Sleep(5 * time.Second)
	b.record.line("status of the rollout: %s", b.store.Value("status/rollout/xano55b"))
	b.stopped.Store(true)
	b.callers.Wait()
	checkRollback(b, o, out)
}

// cutWatches has the store cut each watch that waits for long, while workers that never report
// draining leave.
func cutWatches(b *bed, trouble bool, o *outcome) {
	b.put("op/config", config(1, []string{"key-kept"}, 8))
	var workers []*worker
	for i := range 2 {
		workers = append(workers, b.newWorker("v1", string(rune('a'+i%3))))
	}
	b.startAll()
	b.load(300, time.Second, func() request {
		return request{method: http.MethodPost, host: host, path: "/lohu930/2f", key: "key-kept", kind: "booking"}
	})
	time.Sleep(2 * time.Second)
	if trouble {
		b.store.cutAfter.Store(int64(50 * time.Millisecond))
		b.record.line("the store cuts each watch that waits for 50 ms from now on")
	}
	time.Sleep(2 * time.Second)
	removed := make(map[string]time.Time)
	for i := range 16 {
		// The new worker starts first.
		workers = append(workers, b.newWorker("v1", string(rune('a'+i%3))))
		time.Sleep(300*time.Millisecond + rand.N(1200*time.Millisecond))
		w := workers[i]
		w.gone.Store(true)
		b.store.Remove("servers/" + w.id)
		removed[w.id] = time.Now()
		b.record.line("the entry of worker %s is removed; it serves on for 3 s", w.id)
		time.Sleep(3 * time.Second)
		_ = w.server.Close()
	}
	b.stopped.Store(true)
	b.callers.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, runs := range b.runs {
		for _, r := range runs {
			if at, ok := removed[r.worker]; ok && r.at.Sub(at) > drain {
				late++
				last = max(last, r.at.Sub(at))
			}
		}
	}
	if late > 0 {
		o.add("DRAIN: %d requests reached workers later than %s after the removal of their entries, the last %s after it", late, drain, last)
	}
}
