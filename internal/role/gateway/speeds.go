package gateway

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// speedsKey is the store key of the learned speeds of all engines. They outlive
	// the scheduler that learned them, so that its successor, also after a restart of
	// all gateways, does not assign long streams to slow engines at first.
	speedsKey = "engine-speeds"
	// speedsCheckInterval is the pause between checks for new speeds; within it a busy
	// engine completes several streams. After a write the pause is
	// speedsWriteInterval, which costs the store a fiftieth of the calls that the
	// gateways' watches make.
	speedsCheckInterval = time.Second
	speedsWriteInterval = 5 * time.Second
	// minSpeedChangeRatio is the ratio of a learned to a stored speed above which the
	// speeds are written again: engines differ by factors of two, and the estimate for
	// one engine varies by a tenth.
	minSpeedChangeRatio = 1.25
)

// engineSpeed is the stored speed of one engine.
type engineSpeed struct {
	ID       string  `json:"id"`
	Born     int64   `json:"born"`
	Slowness float64 `json:"slowness"`
}

// speedStore reads and writes the learned speeds of the engines in the store. It
// implements follow.View for their key.
type speedStore struct {
	*Gateway

	mu       sync.Mutex
	stored   map[string]engineSpeed
	revision kv.Revision
}

// Replace implements follow.View.
func (s *speedStore) Replace(_ time.Time, snapshot kv.Snapshot) {
	s.mu.Lock()
	if len(snapshot.Items) == 0 && snapshot.Revision > s.revision {
		s.stored, s.revision = nil, snapshot.Revision
	}
	s.mu.Unlock()
	for _, item := range snapshot.Items {
		s.load(item)
	}
}

// Apply implements follow.View.
func (s *speedStore) Apply(_ time.Time, changes kv.Changes) {
	for _, e := range changes.Events {
		if !e.Deleted {
			s.load(e.Item)
		}
	}
}

// load passes stored speeds to the granter unless the same or later ones are known.
func (s *speedStore) load(item kv.Item) {
	var entries []engineSpeed
	if err := json.Unmarshal(item.Value, &entries); err != nil {
		s.logger.Warn("stored engine speeds ignored", "revision", item.Revision, "err", err)
		return
	}
	stored := make(map[string]engineSpeed, len(entries))
	speeds := make([]board.Speed, 0, len(entries))
	for _, e := range entries {
		stored[e.ID] = e
		speeds = append(speeds, board.Speed{ID: e.ID, StartedAtMs: e.Born, Slowness: e.Slowness})
	}
	s.mu.Lock()
	known := item.Revision <= s.revision
	if !known {
		s.stored, s.revision = stored, item.Revision
	}
	s.mu.Unlock()
	if known {
		return
	}
	s.granter.RestoreSpeeds(speeds)
	s.logger.Info("speeds of engines read", "engines", len(entries), "revision", item.Revision)
}

// run writes the learned speeds while this gateway is the scheduler.
func (s *speedStore) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := speedsCheckInterval
		if s.peers.scheduler(s.now()) == s.settings.Name && s.write(ctx) {
			pause = speedsWriteInterval
		}
		wait.For(ctx, pause)
	}
	return nil
}

// write stores the learned speeds if they differ from the stored ones, and reports
// whether it made a call. Two gateways that both consider themselves the scheduler
// may overwrite each other's speeds; either set of measurements is usable.
func (s *speedStore) write(ctx context.Context) bool {
	learned := s.granter.LearnedState().Speeds
	s.mu.Lock()
	changed := speedsChanged(s.stored, learned)
	s.mu.Unlock()
	if !changed {
		return false
	}
	entries := make([]engineSpeed, 0, len(learned))
	for _, l := range learned {
		entries = append(entries, engineSpeed{ID: l.ID, Born: l.StartedAtMs, Slowness: math.Round(100*l.Slowness) / 100})
	}
	value, err := json.Marshal(entries)
	if err != nil {
		s.logger.Error("engine speeds could not be encoded", "err", err)
		return false
	}
	revision, err := s.store.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: speedsKey, Value: value}}})
	if err != nil {
		s.logger.Info("engine speeds not written to the store", "engines", len(entries), "err", err)
		return true
	}
	s.load(kv.Item{Key: speedsKey, Value: value, Revision: revision})
	return true
}

// speedsChanged reports whether a learned speed is not stored, or differs from the
// stored one by more than minSpeedChangeRatio.
func speedsChanged(stored map[string]engineSpeed, learned []board.Speed) bool {
	for _, l := range learned {
		s, ok := stored[l.ID]
		if !ok || s.Born != l.StartedAtMs || s.Slowness <= 0 {
			return true
		}
		if ratio := l.Slowness / s.Slowness; ratio > minSpeedChangeRatio || ratio < 1/minSpeedChangeRatio {
			return true
		}
	}
	return false
}
