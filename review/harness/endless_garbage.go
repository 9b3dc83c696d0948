//go:build review

package main

import (
	"bytes"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// Disruption of endlessGarbage: at most the share, rate and length of the site file (garble).
const (
	spoiledRate   = 0.016
	spoiledTime   = 5 * time.Second
	spoiledPause  = 4 * time.Second
	spoiledRounds = 3
	// spoiledBytes is what a gateway buffers of a sound answer at most.
	spoiledBytes = 16 << 20
	// memoryLimitMb is that of the site's smallest edge machine.
	memoryLimitMb = 134
	// lostAllowed is how many requests the rule lets go.
	lostAllowed = 3
)

// endlessGarbage checks that requests on kept connections which sound back ends run are answered,
// while faulty back ends send bytes that are no response in place of some answers.
func endlessGarbage(b *bed, trouble bool) (bool, error) {
	const service, count, faultyCount = "booking", 6, 2
	b.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-booking", "hostname": "desk.example", "prefix": "/book/", "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 500, "priority": 0, "service": service, "maxAttempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": service, "healthCheck": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-one", "apiKeys": []string{"key-one"}, "priority": 1, "unit": "token_stream", "plainTokens": 200, "ratePerS": 0, "burst": 0}},
	})
	var mu sync.Mutex
	var answers []answer
	spoiling := false
	var backends []*backend
	for i := range count {
		s := b.newBackend(service, "i-booking-"+strconv.Itoa(i+1), func() time.Duration { return time.Duration(200+rand.N(100)) * time.Millisecond })
		if i < faultyCount {
			s.spoil = func(c *backendConn, id string) bool {
				mu.Lock()
				now := spoiling
				mu.Unlock()
				if !now || rand.Float64() >= spoiledRate {
					return false
				}
				b.record.write("%s (faulty) sends bytes that are no response to %s", s.id, id)
				sent, chunk := 0, bytes.Repeat([]byte{0xA5}, 64<<10)
				for sent < spoiledBytes && c.send(chunk) == nil {
					sent += len(chunk)
				}
				b.record.write("%s (faulty) sent %d MB to %s", s.id, sent>>20, id)
				_ = c.send([]byte("\r\n"))
				_ = c.Close()
				return true
			}
		}
		if err := s.start("zone-" + strconv.Itoa(i%4+1)); err != nil {
			return false, err
		}
		backends = append(backends, s)
	}
	if err := b.startGateways(4, memoryLimitMb); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 48 {
		wg.Go(func() {
			c := &client{bed: b, gateway: b.gateways[i%len(b.gateways)], path: "/book/seat", timeout: 3 * time.Second}
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := c.post()
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(time.Duration(50+rand.N(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for range spoiledRounds {
		mu.Lock()
		spoiling = trouble
		mu.Unlock()
		b.record.write("disruption begins: %v", trouble)
		time.Sleep(spoiledTime)
		mu.Lock()
		spoiling = false
		mu.Unlock()
		b.record.write("disruption ends")
		time.Sleep(spoiledPause)
	}
	close(stop)
	wg.Wait()
	sound := runsOf(backends[faultyCount:])
	lost, ok := 0, 0
	for _, a := range answers {
		if a.kept && a.status == 0 && sound[a.id] > 0 {
			lost++
			b.record.write("LOST: %s ran at a sound back end; its kept connection ended without an answer", a.id)
		}
		if a.status == 200 {
			ok++
		}
	}
	ended := 0
	for _, g := range b.gateways {
		ended += g.ended()
	}
	b.record.write("requests %d, answered with 200 %d, gateway processes that ended by themselves or by their memory %d, LOST %d (allowed %d)",
		len(answers), ok, ended, lost, lostAllowed)
	return lost <= lostAllowed, nil
}
