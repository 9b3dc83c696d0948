// Package service is a stand-in for a plain booking service, for tests and trials.
// It does not deduplicate: every action that reaches it takes effect and is counted,
// so that tests can detect actions executed twice.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// Settings are the characteristics of a service.
type Settings struct {
	// Delay is the duration of one call.
	Delay time.Duration
}

// EffectCounter counts the effects of actions over several stand-ins, by idempotency key,
// or by path and body for actions without one.
type EffectCounter struct {
	mu      sync.Mutex
	effects map[string]int
	calls   map[string]int
}

// NewEffectCounter returns an EffectCounter with all counts at zero.
func NewEffectCounter() *EffectCounter {
	return &EffectCounter{effects: make(map[string]int), calls: make(map[string]int)}
}

// Effects returns how often the action with the key took effect.
func (c *EffectCounter) Effects(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.effects[key]
}

// Doubled returns the number of actions that took effect more than once.
func (c *EffectCounter) Doubled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	doubled := 0
	for _, count := range c.effects {
		if count > 1 {
			doubled++
		}
	}
	return doubled
}

// Calls returns the number of calls by request ID.
func (c *EffectCounter) Calls() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.calls)
}

func (c *EffectCounter) recordCall(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[requestID]++
}

func (c *EffectCounter) recordEffect(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.effects[key]++
	return c.effects[key]
}

// Service is one stand-in service.
type Service struct {
	settings      Settings
	effectCounter *EffectCounter
	listener      net.Listener
	server        *http.Server
	wg            sync.WaitGroup

	mu    sync.Mutex
	calls int
}

// New starts a service on the listener.
func New(listener net.Listener, settings Settings, effectCounter *EffectCounter) *Service {
	s := &Service{settings: settings, effectCounter: effectCounter, listener: listener}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	s.wg.Go(func() { _ = s.server.Serve(listener) })
	return s
}

// Addr returns the address of the service.
func (s *Service) Addr() string { return s.listener.Addr().String() }

// Calls returns the number of calls so far.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Close stops the service and waits until it has ended.
func (s *Service) Close() error {
	err := s.server.Close()
	s.wg.Wait()
	return err
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.calls++
	call := s.calls
	s.mu.Unlock()
	s.effectCounter.recordCall(r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodGet {
		time.Sleep(s.settings.Delay)
		_ = json.NewEncoder(w).Encode(map[string]string{"schedule": r.URL.Path})
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.URL.Path + string(body)
	}
	effects := s.effectCounter.recordEffect(key)
	time.Sleep(s.settings.Delay)
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, `{"action":%q,"call":%d,"times":%d}`, key, call, effects)
}
