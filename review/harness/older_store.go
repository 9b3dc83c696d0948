//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

const (
	rolloutTime = 40 * time.Second
	// copyAt is when the copy is taken, awayAt when the store leaves and backAt when it comes
	// back, from the order on. The copy is 3 s old then.
	copyAt = 7 * time.Second
	awayAt = 10 * time.Second
	backAt = 11 * time.Second
	// badAt is from when the new version fails half of its requests: the core has been stable
	// for longer than contactMs.
	badAt        = 16 * time.Second
	rollbackTime = 5 * time.Second
	badAnswers   = 50
)

// olderStore checks that a bad version is taken back everywhere after the store came back from an
// older copy.
func olderStore(b *bed, trouble bool) (bool, error) {
	const service = "booking"
	b.store.era = 1
	b.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-booking", "hostname": "desk.example", "prefix": "/book/", "kind": "non_idempotent", "timeoutMs": 1000,
			"targetLatencyMs": 100, "priority": 0, "service": service, "maxAttempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": service, "healthCheck": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-one", "apiKeys": []string{"key-one"}, "priority": 1, "unit": "token_stream", "plainTokens": 200, "ratePerS": 0, "burst": 0}},
	})
	var mu sync.Mutex
	bad := false
	var failures, arrivals []time.Time
	for i := range 6 {
		s := b.newBackend(service, "i-booking-"+strconv.Itoa(i+1), func() time.Duration { return time.Duration(15+rand.N(20)) * time.Millisecond })
		if i >= 3 {
			s.version = "v2"
			s.failing = func() bool {
				mu.Lock()
				defer mu.Unlock()
				now := time.Now()
				arrivals = append(arrivals, now)
				if !bad || rand.Float64() >= 0.5 {
					return false
				}
				failures = append(failures, now)
				return true
			}
		}
		if i >= 3 {
			// The new version is started beside the old one once it is ordered.
			time.AfterFunc(8*time.Second, func() { _ = s.start("zone-" + strconv.Itoa(i%4+1)) })
			continue
		}
		if err := s.start("zone-" + strconv.Itoa(i%4+1)); err != nil {
			return false, err
		}
	}
	if err := b.startGateways(4, 134); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			c := &client{bed: b, gateway: b.gateways[i%len(b.gateways)], path: "/book/seat", timeout: time.Second}
			for {
				select {
				case <-stop:
					return
				default:
				}
				c.post()
				time.Sleep(time.Duration(50+rand.N(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	ordered := time.Now()
	b.record.write("order: %s to v2 in %s", service, rolloutTime)
	b.store.put("op/rollout/"+service, map[string]any{"service": service, "target": "v2", "durationS": rolloutTime.Seconds()})
	at := func(d time.Duration) { time.Sleep(time.Until(ordered.Add(d))) }
	status := func() string {
		b.store.mu.Lock()
		defer b.store.mu.Unlock()
		return string(b.store.items["status/rollout/"+service].Value)
	}
	at(copyAt)
	b.store.keep()
	b.record.write("copy taken; status %s", status())
	at(awayAt)
	if trouble {
		b.record.write("store away; status %s", status())
		b.store.leave()
		at(backAt)
		b.store.comeBack()
		b.record.write("store back from a copy of 3 s before it left; status %s", status())
	}
	at(badAt)
	mu.Lock()
	bad = true
	mu.Unlock()
	b.record.write("v2 begins to fail half of its requests; status %s", status())
	at(rolloutTime)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(failures) >= badAnswers {
		limit := failures[badAnswers-1].Add(rollbackTime)
		for _, t := range arrivals {
			// A request arrives within its second, or not at all.
			if t.After(limit.Add(time.Second)) {
				late++
			}
		}
	}
	b.record.write("v2: %d arrivals, %d failures, %d arrivals later than %s (and a second) after failure %d; status %s", len(arrivals), len(failures), late, rollbackTime, badAnswers, status())
	if len(arrivals) == 0 {
		return false, fmt.Errorf("the new version got no request")
	}
	return late == 0, nil
}
