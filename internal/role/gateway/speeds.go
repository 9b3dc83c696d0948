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
	// speedsKey is where the learned speeds of all engines are kept. They
	// outlive the gateway that learned them: the next one to schedule, also
	// after a restart of all, need not give long streams to slow engines first.
	speedsKey = "engine-speeds"
	// speedsFirst is how soon the first speeds are written: within it a busy
	// engine ends several streams. speedsEvery is the pause between later
	// writes, a fiftieth of what the gateways' own watches cost the store.
	speedsFirst = time.Second
	speedsEvery = 5 * time.Second
	// speedsDiffer is the ratio from which a speed is worth another write:
	// engines differ by twos, and what is learned of one wavers by a tenth.
	speedsDiffer = 1.25
)

// engineSpeed is one engine's entry in the store.
type engineSpeed struct {
	ID       string  `json:"id"`
	Born     int64   `json:"born"`
	Slowness float64 `json:"slowness"`
}

// speeds keeps the learned speeds of engines in the store. It implements
// follow.View for their key.
type speeds struct {
	*Gateway

	mu       sync.Mutex
	stored   map[string]engineSpeed
	revision int64
}

// Replace implements follow.View.
func (s *speeds) Replace(_ time.Time, all kv.Snapshot) {
	for _, item := range all.Items {
		s.take(item)
	}
}

// Apply implements follow.View.
func (s *speeds) Apply(_ time.Time, c kv.Changes) {
	for _, e := range c.Events {
		if !e.Deleted {
			s.take(e.Item)
		}
	}
}

func (s *speeds) take(item kv.Item) {
	var entries []engineSpeed
	if err := json.Unmarshal(item.Value, &entries); err != nil {
		s.logger.Warn("stored speeds ignored", "revision", item.Revision, "err", err)
		return
	}
	stored := make(map[string]engineSpeed, len(entries))
	recalled := make([]board.Speed, 0, len(entries))
	for _, e := range entries {
		stored[e.ID] = e
		recalled = append(recalled, board.Speed{ID: e.ID, Born: e.Born, Slowness: e.Slowness})
	}
	s.mu.Lock()
	older := item.Revision <= s.revision
	if !older {
		s.stored, s.revision = stored, item.Revision
	}
	s.mu.Unlock()
	if older {
		return
	}
	s.granter.Recall(recalled)
	s.logger.Info("speeds of engines read", "engines", len(entries), "revision", item.Revision)
}

// run writes what was learned while this gateway schedules.
func (s *speeds) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := speedsFirst
		if s.peers.scheduler(s.now()) == s.settings.Name && s.write(ctx) {
			pause = speedsEvery
		}
		wait.For(ctx, pause)
	}
	return nil
}

// write puts the speeds in the store if they differ from what is there. Two
// gateways that both take themselves to schedule may write by turns: each wrote
// what it measured, and either is better than nothing.
func (s *speeds) write(ctx context.Context) bool {
	learned := s.granter.Memory().Speeds
	s.mu.Lock()
	worth := worthWriting(s.stored, learned)
	s.mu.Unlock()
	if !worth {
		return false
	}
	entries := make([]engineSpeed, 0, len(learned))
	for _, l := range learned {
		entries = append(entries, engineSpeed{ID: l.ID, Born: l.Born, Slowness: math.Round(100*l.Slowness) / 100})
	}
	value, err := json.Marshal(entries)
	if err != nil {
		s.logger.Error("speeds of engines cannot be written", "err", err)
		return false
	}
	revision, err := s.store.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: speedsKey, Value: value}}})
	if err != nil {
		s.logger.Info("speeds of engines not written", "engines", len(entries), "err", err)
		return true
	}
	s.take(kv.Item{Key: speedsKey, Value: value, Revision: revision})
	return true
}

// worthWriting tells whether an engine was learned that is not stored, or is
// clearly faster or slower than what is.
func worthWriting(stored map[string]engineSpeed, learned []board.Speed) bool {
	for _, l := range learned {
		s, ok := stored[l.ID]
		if !ok || s.Born != l.Born || s.Slowness <= 0 {
			return true
		}
		if ratio := l.Slowness / s.Slowness; ratio > speedsDiffer || ratio < 1/speedsDiffer {
			return true
		}
	}
	return false
}
