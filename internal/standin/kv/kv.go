// Package kv is a stand-in of the platform's key-value service for tests and
// trials: the subset of Consul's published KV and session endpoints that the
// system uses, with outages, slowness and lost answers on demand.
package kv

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults is what goes wrong with the service.
type Faults struct {
	// Outage answers nothing but 503.
	Outage bool `json:"outage"`
	// SlowMS delays each call by that many milliseconds.
	SlowMS int `json:"slow-ms"`
	// LoseAnswers is the share of writes that take effect unanswered.
	LoseAnswers float64 `json:"lose-answers"`
}

// Counts is the number of calls the service has had.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

type pair struct {
	value   []byte
	index   uint64
	session string
}

type session struct {
	ttl     time.Duration
	expires time.Time
}

// Service is the stand-in. Use Handler to serve it.
type Service struct {
	now func() time.Time

	mu       sync.Mutex
	random   *rand.Rand
	index    uint64
	pairs    map[string]pair
	sessions map[string]session
	faults   Faults
	counts   Counts
	changed  chan struct{}
}

// New returns an empty service; seed decides which answers are lost.
func New(seed uint64, now func() time.Time) *Service {
	return &Service{
		now:      now,
		random:   rand.New(rand.NewPCG(seed, seed)),
		pairs:    make(map[string]pair),
		sessions: make(map[string]session),
		changed:  make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wake()
}

// Counts returns the calls so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.faulty(s.get))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.faulty(s.put))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.faulty(s.remove))
	mux.HandleFunc("PUT /v1/session/create", s.faulty(s.createSession))
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.faulty(s.renewSession))
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.faulty(s.destroySession))
	mux.HandleFunc("PUT /stand-in/faults", s.putFaults)
	mux.HandleFunc("GET /stand-in/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return mux
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, "faults are a JSON object with outage, slow-ms and lose-answers", http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

// faulty applies the faults around a call.
func (s *Service) faulty(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, lose := s.draw(r.Method)
		if faults.SlowMS > 0 {
			select {
			case <-time.After(time.Duration(faults.SlowMS) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if !lose {
			call(w, r)
			return
		}
		call(&discard{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) draw(method string) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodGet {
		s.counts.Reads++
	} else {
		s.counts.Writes++
	}
	lose := method != http.MethodGet && s.random.Float64() < s.faults.LoseAnswers
	return s.faults, lose
}

type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}

type entryJSON struct {
	Key         string
	Value       string
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	if after, err := strconv.ParseUint(query.Get("index"), 10, 64); err == nil {
		s.block(r, key, after, query.Get("wait"))
	}
	s.mu.Lock()
	s.expire()
	var found []entryJSON
	for name, p := range s.pairs {
		if name == key || query.Has("recurse") && strings.HasPrefix(name, key) {
			found = append(found, entryJSON{Key: name, Value: base64.StdEncoding.EncodeToString(p.value), ModifyIndex: p.index, Session: p.session})
		}
	}
	outage := s.faults.Outage
	index := s.index
	s.mu.Unlock()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	switch {
	case outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case len(found) == 0:
		http.NotFound(w, r)
	default:
		sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
		writeJSON(w, found)
	}
}

// block waits until the key's index differs from after.
func (s *Service) block(r *http.Request, key string, after uint64, wait string) {
	limit, err := time.ParseDuration(wait)
	if err != nil {
		limit = time.Minute
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	s.mu.Lock()
	s.counts.Watches++
	for s.pairs[key].index == after && !s.faults.Outage {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	s.mu.Unlock()
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, 1<<20+1))
	if err != nil || len(value) > 1<<20 {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	key, query := r.PathValue("key"), r.URL.Query()
	s.mu.Lock()
	s.expire()
	ok := s.write(key, query.Get("cas"), query.Get("acquire"), query.Get("release"), value)
	s.mu.Unlock()
	writeJSON(w, ok)
}

// write applies one put; the caller holds the lock.
func (s *Service) write(key, cas, acquire, release string, value []byte) bool {
	known, exists := s.pairs[key]
	if cas != "" {
		index, err := strconv.ParseUint(cas, 10, 64)
		if err != nil || exists && index != known.index || !exists && index != 0 {
			return false
		}
	}
	holder := known.session
	if acquire != "" {
		if _, live := s.sessions[acquire]; !live || holder != "" && holder != acquire {
			return false
		}
		holder = acquire
	}
	if release != "" {
		if holder != release {
			return false
		}
		holder = ""
	}
	s.index++
	s.pairs[key] = pair{value: value, index: s.index, session: holder}
	s.wake()
	return true
}

func (s *Service) remove(w http.ResponseWriter, r *http.Request) {
	key, cas := r.PathValue("key"), r.URL.Query().Get("cas")
	s.mu.Lock()
	known, exists := s.pairs[key]
	ok := exists && (cas == "" || cas == strconv.FormatUint(known.index, 10))
	if ok {
		delete(s.pairs, key)
		s.index++
		s.wake()
	}
	s.mu.Unlock()
	writeJSON(w, ok)
}

func (s *Service) createSession(w http.ResponseWriter, r *http.Request) {
	var body struct{ TTL string }
	ttl := time.Duration(0)
	if err := json.NewDecoder(r.Body).Decode(&body); err == nil {
		ttl, _ = time.ParseDuration(body.TTL)
	}
	if ttl <= 0 {
		http.Error(w, "TTL is missing or not a duration", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.index++
	id := "session-" + strconv.FormatUint(s.index, 10)
	s.sessions[id] = session{ttl: ttl, expires: s.now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, struct{ ID string }{id})
}

func (s *Service) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	known, ok := s.sessions[r.PathValue("id")]
	if ok {
		known.expires = s.now().Add(known.ttl)
		s.sessions[r.PathValue("id")] = known
	}
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, []struct{ ID string }{{r.PathValue("id")}})
}

func (s *Service) destroySession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.end(r.PathValue("id"))
	s.mu.Unlock()
	writeJSON(w, true)
}

// expire ends sessions past their time; the caller holds the lock.
func (s *Service) expire() {
	now := s.now()
	for id, known := range s.sessions {
		if now.After(known.expires) {
			s.end(id)
		}
	}
}

// end releases all keys of a session; the caller holds the lock.
func (s *Service) end(id string) {
	delete(s.sessions, id)
	for key, p := range s.pairs {
		if p.session == id {
			s.index++
			p.session, p.index = "", s.index
			s.pairs[key] = p
			s.wake()
		}
	}
}

// wake tells blocked readers; the caller holds the lock.
func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
