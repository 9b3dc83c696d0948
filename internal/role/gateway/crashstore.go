package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/limit/crash"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// crashCausePrefix is the prefix of what crashes upstreams in the store. It outlives
	// the gateways, which would all forget it in a restart and let it crash as many
	// upstreams again. Each key ends with its refusal, by its lease.
	crashCausePrefix = "crash-causes/"
	// crashCauseInterval is the pause between checks for new causes, and
	// crashCauseRetryDelay the pause after a failed write.
	crashCauseInterval   = 250 * time.Millisecond
	crashCauseRetryDelay = 2 * time.Second
	// maxCausesPerWrite keeps a write within the store's limit of a transaction.
	maxCausesPerWrite = 16
	// minCauseLife is the shortest rest of a refusal that is worth a write, and
	// maxCauseLife the longest lease that the store grants. A longer refusal is written
	// again when its lease ends.
	minCauseLife = 2 * time.Second
	maxCauseLife = 10 * time.Minute
)

// crashCause is the stored form of a refusal. Fingerprints are hexadecimal.
type crashCause struct {
	Fingerprint string   `json:"fingerprint"`
	IsPart      bool     `json:"part,omitempty"`
	With        []string `json:"with,omitempty"`
	LifeMs      int64    `json:"life-ms"`
}

func causeKey(r crash.Refusal) string {
	kind := "request-"
	if r.IsPart {
		kind = "part-"
	}
	return crashCausePrefix + kind + formatFingerprint(r.Fingerprint)
}

func encodeCause(now time.Time, r crash.Refusal) ([]byte, error) {
	cause := crashCause{Fingerprint: formatFingerprint(r.Fingerprint), IsPart: r.IsPart, LifeMs: r.Until.Sub(now).Milliseconds()}
	for _, part := range r.With {
		cause.With = append(cause.With, formatFingerprint(part))
	}
	return json.Marshal(cause)
}

func decodeCause(now time.Time, value []byte) (crash.Refusal, error) {
	var cause crashCause
	if err := json.Unmarshal(value, &cause); err != nil {
		return crash.Refusal{}, err
	}
	fingerprint, err := strconv.ParseUint(cause.Fingerprint, 16, 64)
	if err != nil {
		return crash.Refusal{}, err
	}
	r := crash.Refusal{Fingerprint: fingerprint, IsPart: cause.IsPart, Until: now.Add(time.Duration(cause.LifeMs) * time.Millisecond)}
	for _, text := range cause.With {
		part, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return crash.Refusal{}, err
		}
		r.With = append(r.With, part)
	}
	return r, nil
}

// crashStore keeps what crashes upstreams in the store. It implements follow.View.
type crashStore struct {
	*Gateway

	mu     sync.Mutex
	stored map[string]crash.Refusal
	// era is the era of the store in which all was last read.
	era int64
}

func newCrashStore(g *Gateway) *crashStore {
	return &crashStore{Gateway: g, stored: make(map[string]crash.Refusal)}
}

// Replace implements follow.View.
func (s *crashStore) Replace(now time.Time, snapshot kv.Snapshot) {
	listed := make(map[string]bool, len(snapshot.Items))
	for _, item := range snapshot.Items {
		listed[item.Key] = true
		s.load(now, item)
	}
	s.mu.Lock()
	restored := snapshot.Revision.Era() > s.era
	s.era = max(s.era, snapshot.Revision.Era())
	var ended []string
	for key := range s.stored {
		switch {
		case listed[key]:
		case restored:
			// The store's copy lacks it, and no upstream has served it. It is written again.
			delete(s.stored, key)
		default:
			ended = append(ended, key)
		}
	}
	s.mu.Unlock()
	for _, key := range ended {
		s.end(key)
	}
}

// Apply implements follow.View.
func (s *crashStore) Apply(now time.Time, changes kv.Changes) {
	for _, e := range changes.Events {
		if e.Deleted {
			s.end(e.Key)
		} else {
			s.load(now, e.Item)
		}
	}
}

func (s *crashStore) load(now time.Time, item kv.Item) {
	r, err := decodeCause(now, item.Value)
	if err != nil || causeKey(r) != item.Key {
		s.logger.Warn("stored cause of crashes ignored", "key", item.Key, "err", err)
		return
	}
	s.mu.Lock()
	_, known := s.stored[item.Key]
	s.stored[item.Key] = r
	s.mu.Unlock()
	s.crashTracker.Restore(now, r)
	if !known {
		s.logger.Info("cause of crashes read from the store", "key", item.Key, "revision", item.Revision)
	}
}

func (s *crashStore) end(key string) {
	s.mu.Lock()
	r, known := s.stored[key]
	delete(s.stored, key)
	s.mu.Unlock()
	if known {
		s.crashTracker.Lift(r.Fingerprint, r.IsPart)
	}
}

// run stores what crashes upstreams while this gateway is the keeper.
func (s *crashStore) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := crashCauseInterval
		if s.peers.keeper(s.now()) == s.settings.Name && !s.write(ctx) {
			pause = crashCauseRetryDelay
		}
		wait.For(ctx, pause)
	}
	return nil
}

// write stores the refusals that are not stored, and deletes those that have ended early
// because an upstream has served what they refuse. It reports whether the store did so, or
// had nothing to do.
func (s *crashStore) write(ctx context.Context) bool {
	now := s.now()
	refusals := s.crashTracker.Refusals(now)
	inForce := make(map[string]bool, len(refusals))
	var transaction kv.Transaction
	life := time.Duration(0)
	s.mu.Lock()
	for _, r := range refusals {
		key := causeKey(r)
		inForce[key] = true
		if _, stored := s.stored[key]; stored || r.Until.Sub(now) < minCauseLife || len(transaction.Puts) >= maxCausesPerWrite {
			continue
		}
		value, err := encodeCause(now, r)
		if err != nil {
			s.logger.Error("cause of crashes could not be encoded", "key", key, "err", err)
			continue
		}
		transaction.Puts = append(transaction.Puts, kv.Put{Key: key, Value: value})
		life = max(life, r.Until.Sub(now))
	}
	for key := range s.stored {
		if !inForce[key] && len(transaction.Deletes) < maxCausesPerWrite {
			transaction.Deletes = append(transaction.Deletes, key)
		}
	}
	s.mu.Unlock()
	if len(transaction.Puts)+len(transaction.Deletes) == 0 {
		return true
	}
	return s.commit(ctx, transaction, min(life, maxCauseLife))
}

func (s *crashStore) commit(ctx context.Context, transaction kv.Transaction, life time.Duration) bool {
	if len(transaction.Puts) > 0 {
		lease, _, err := s.store.Grant(ctx, life)
		if err != nil {
			s.peers.noteWrite(s.now(), err)
			s.logger.Info("causes of crashes not written to the store", "err", err)
			return false
		}
		for i := range transaction.Puts {
			transaction.Puts[i].Lease = lease
		}
	}
	revision, err := s.peers.commitForAll(ctx, transaction)
	if err != nil {
		s.logger.Info("causes of crashes not written to the store", "err", err)
		return false
	}
	s.logger.Info("causes of crashes written to the store", "added", len(transaction.Puts), "deleted", len(transaction.Deletes), "revision", revision)
	now := s.now()
	for _, put := range transaction.Puts {
		s.load(now, kv.Item{Key: put.Key, Value: put.Value, Revision: revision})
	}
	for _, key := range transaction.Deletes {
		s.end(key)
	}
	return true
}
