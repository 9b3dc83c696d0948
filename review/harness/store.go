//go:build review

package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease,omitempty"`
	Deleted        bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is a sound stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]storeItem
	history  []storeItem
	leases   map[int64]*storeLease
	lastID   int64
	// era is the value of the Store-Era header, 0 for a store that sends none.
	era int64
	// away is set while the store answers nothing.
	away bool
	// compacted is the revision up to which there is no history.
	compacted int64
	kept      *storeCopy
}

// storeCopy is a copy of the store's content from which it may come back.
type storeCopy struct {
	revision int64
	items    map[string]storeItem
}

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 100, items: make(map[string]storeItem), leases: make(map[int64]*storeLease), lastID: 7000}
}

func (s *store) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveLeaseEnd)
	s.server = &http.Server{Handler: s.gate(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// gate answers nothing while the store is away, and states the era.
func (s *store) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		if era > 0 {
			w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		}
		next.ServeHTTP(w, r)
	})
}

// keep takes a copy of the content.
func (s *store) keep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = &storeCopy{revision: s.revision, items: maps.Clone(s.items)}
}

// leave makes the store answer nothing, until comeBack. Waiting watches end without an answer.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notifyLocked()
}

// comeBack restores the copy. What was written since is gone, leases too.
func (s *store) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.compacted, s.history = s.kept.revision, s.kept.items, s.kept.revision, nil
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.leases = make(map[int64]*storeLease)
	s.era++
	s.away = false
}

func (s *store) close() { _ = s.server.Close() }

// put writes a key as the operator and the back ends do.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	s.revision++
	s.putLocked(key, raw, 0)
	s.notifyLocked()
}

func (s *store) putLocked(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRevision
	}
	item := storeItem{Key: key, Value: value, Revision: s.revision, CreateRevision: created, Lease: lease}
	s.items[key] = item
	s.history = append(s.history, item)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, item)
}

type storePage struct {
	Items         []storeItem `json:"items"`
	MorePages     bool        `json:"morePages"`
	StoreRevision int64       `json:"storeRevision"`
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := storePage{Items: []storeItem{}, StoreRevision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	s.mu.Unlock()
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	reply(w, http.StatusOK, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, revision, changed, away, gone := []storeItem{}, s.revision, s.changed, s.away, after < s.compacted || after > s.revision
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, item := range s.history[first:] {
			if strings.HasPrefix(item.Key, query.Get("prefix")) {
				events = append(events, item)
			}
		}
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		body := map[string]any{"events": events, "storeRevision": revision}
		if len(events) > 0 {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-timer.C:
			reply(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRevision []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRevision"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, matches := []storeItem{}, true
	for _, c := range t.ExpectedRevision {
		item := s.items[c.Key]
		current = append(current, item)
		matches = matches && item.Revision == c.Revision
	}
	if !matches {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	s.notifyLocked()
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": body.TTLMs})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}

func (s *store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.removeLocked(key)
		}
	}
	s.notifyLocked()
}
