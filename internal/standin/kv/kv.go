// Package kv is a stand-in for the platform's key-value service, for tests and
// trials. It implements the subset of Consul's KV and session HTTP API that the
// system uses, and can inject outages, delays and lost answers.
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

// Faults are the faults to inject.
type Faults struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage"`
	// SlowMS is the delay of each call in milliseconds.
	SlowMS int `json:"slow-ms"`
	// LoseAnswers is the share of writes that take effect without an answer.
	LoseAnswers float64 `json:"lose-answers"`
}

// Counts are the numbers of calls by kind. Watches are also counted as reads.
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

// Service is the stand-in. Handler returns its HTTP API.
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

// New returns an empty service; seed determines which answers are lost.
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
	s.notifyWatches()
}

// Counts returns the numbers of calls so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns the HTTP API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.withFaults(s.get))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.withFaults(s.put))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.withFaults(s.remove))
	mux.HandleFunc("PUT /v1/session/create", s.withFaults(s.createSession))
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.withFaults(s.renewSession))
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.withFaults(s.destroySession))
	mux.HandleFunc("PUT /stand-in/faults", s.putFaults)
	mux.HandleFunc("GET /stand-in/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return mux
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, "faults must be a JSON object with outage, slow-ms and lose-answers", http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

// withFaults wraps a handler with the injection of faults.
func (s *Service) withFaults(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, lose := s.drawFaults(r.Method)
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
		call(&discardWriter{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) drawFaults(method string) (Faults, bool) {
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

type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}

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
		s.waitForChange(r, key, after, query.Get("wait"))
	}
	s.mu.Lock()
	s.expireSessions()
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

// waitForChange blocks until the index of the key differs from after, the wait time
// is over, an outage starts or the request is canceled.
func (s *Service) waitForChange(r *http.Request, key string, after uint64, wait string) {
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
	s.expireSessions()
	ok := s.write(key, query.Get("cas"), query.Get("acquire"), query.Get("release"), value)
	s.mu.Unlock()
	writeJSON(w, ok)
}

// write applies one put and reports whether its conditions were met. The caller
// holds the lock.
func (s *Service) write(key, cas, acquire, release string, value []byte) bool {
	existing, exists := s.pairs[key]
	if cas != "" {
		index, err := strconv.ParseUint(cas, 10, 64)
		if err != nil || exists && index != existing.index || !exists && index != 0 {
			return false
		}
	}
	holder := existing.session
	if acquire != "" {
		if _, alive := s.sessions[acquire]; !alive || holder != "" && holder != acquire {
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
	s.notifyWatches()
	return true
}

func (s *Service) remove(w http.ResponseWriter, r *http.Request) {
	key, cas := r.PathValue("key"), r.URL.Query().Get("cas")
	s.mu.Lock()
	existing, exists := s.pairs[key]
	ok := exists && (cas == "" || cas == strconv.FormatUint(existing.index, 10))
	if ok {
		delete(s.pairs, key)
		s.index++
		s.notifyWatches()
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
	s.expireSessions()
	existing, ok := s.sessions[r.PathValue("id")]
	if ok {
		existing.expires = s.now().Add(existing.ttl)
		s.sessions[r.PathValue("id")] = existing
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
	s.endSession(r.PathValue("id"))
	s.mu.Unlock()
	writeJSON(w, true)
}

// expireSessions ends the sessions whose TTL is over. The caller holds the lock.
func (s *Service) expireSessions() {
	now := s.now()
	for id, existing := range s.sessions {
		if now.After(existing.expires) {
			s.endSession(id)
		}
	}
}

// endSession deletes a session and releases its keys. The caller holds the lock.
func (s *Service) endSession(id string) {
	delete(s.sessions, id)
	for key, p := range s.pairs {
		if p.session == id {
			s.index++
			p.session, p.index = "", s.index
			s.pairs[key] = p
			s.notifyWatches()
		}
	}
}

// notifyWatches wakes all blocked reads. The caller holds the lock.
func (s *Service) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
