//go:build review

package main

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// Disruption of unrelatedRefusal, at the largest dose of the site file (garble, "extra late").
const (
	garbleRate   = 0.03
	garbleTime   = 5 * time.Second
	garblePause  = 3 * time.Second
	garbleRounds = 4
)

// unrelatedRefusal checks that a request which must not run twice does not, while faulty back ends
// send additional bytes after complete answers. The bytes are the refusal of a request without an
// id, so they belong to no request.
func unrelatedRefusal(b *bed, trouble bool) (bool, error) {
	const service, count, faultyCount = "booking", 4, 2
	b.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-booking", "hostname": "desk.example", "prefix": "/book/", "kind": "non_idempotent", "timeoutMs": 1000,
			"targetLatencyMs": 100, "priority": 0, "service": service, "maxAttempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": service, "healthCheck": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-one", "apiKeys": []string{"key-one"}, "priority": 1, "unit": "token_stream", "plainTokens": 200, "ratePerS": 0, "burst": 0}},
	})
	var faulty sync.Map
	var backends []*backend
	for i := range count {
		s := b.newBackend(service, "i-booking-"+strconv.Itoa(i+1), func() time.Duration { return time.Duration(15+rand.N(20)) * time.Millisecond })
		s.after = func(c *backendConn, id string) {
			if _, now := faulty.Load(s.id); !now || rand.Float64() >= garbleRate {
				return
			}
			delay := time.Duration(5+rand.N(45)) * time.Millisecond
			time.AfterFunc(delay, func() {
				err := c.send([]byte("HTTP/1.1 400 Bad Request\r\nX-Persimmonridge-Not-Executed: no id\r\nContent-Length: 0\r\n\r\n"))
				b.record.write("%s: additional bytes %s after its answer to %s, err %v", s.id, delay, id, err)
			})
		}
		if err := s.start("zone-" + strconv.Itoa(i+1)); err != nil {
			return false, err
		}
		backends = append(backends, s)
	}
	if err := b.startGateways(4, 134); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for i := range 24 {
		wg.Go(func() {
			c := &client{bed: b, gateway: b.gateways[i%len(b.gateways)], path: "/book/seat", timeout: time.Second}
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
	time.Sleep(2 * time.Second)
	for range garbleRounds {
		if trouble {
			for i := range faultyCount {
				faulty.Store(backends[i].id, true)
			}
			b.record.write("disruption begins")
		}
		time.Sleep(garbleTime)
		faulty.Clear()
		b.record.write("disruption ends")
		time.Sleep(garblePause)
	}
	close(stop)
	wg.Wait()
	// A late repeat would still be seen.
	time.Sleep(time.Second)
	twice, refused, ok := 0, 0, 0
	runs := runsOf(backends)
	for _, a := range answers {
		if runs[a.id] > 1 {
			twice++
			b.record.write("TWICE: %s ran %d times; the client got %d", a.id, runs[a.id], a.status)
		}
		if (a.status == 503 || a.status == 429) && runs[a.id] > 0 {
			refused++
			b.record.write("REFUSED: %s ran %d times; the client got %d", a.id, runs[a.id], a.status)
		}
		if a.status == 200 {
			ok++
		}
	}
	b.record.write("requests %d, answered with 200 %d, TWICE %d, REFUSED %d", len(answers), ok, twice, refused)
	return twice == 0 && refused == 0, nil
}
