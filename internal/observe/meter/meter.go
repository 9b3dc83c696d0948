// Package meter counts the calls that a process makes to the key-value service.
package meter

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// Count takes one call by its kind and what it came to. Both are few words.
type Count func(call, result string)

// Store is a kv.Store whose calls are counted.
type Store struct {
	store kv.Store
	count Count
}

// New returns the store with its calls counted. Every call is paid for, refused
// ones too.
func New(store kv.Store, count Count) *Store { return &Store{store: store, count: count} }

// results names what calls come to.
var results = map[*errorx.Type]string{
	kv.Unavailable: "unavailable",
	kv.Compacted:   "compacted",
	kv.Conflict:    "conflict",
	kv.LeaseEnded:  "lease-ended",
	kv.Refused:     "refused",
}

func (s *Store) note(call string, err error) {
	if err == nil {
		s.count(call, "ok")
		return
	}
	for kind, name := range results {
		if errorx.IsOfType(err, kind) {
			s.count(call, name)
			return
		}
	}
	s.count(call, "unknown")
}

// Range implements kv.Store.
func (s *Store) Range(ctx context.Context, prefix string) (kv.Snapshot, error) {
	snapshot, err := s.store.Range(ctx, prefix)
	s.note("range", err)
	return snapshot, err
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.Changes, error) {
	changes, err := s.store.Watch(ctx, prefix, after, wait)
	s.note("watch", err)
	return changes, err
}

// Commit implements kv.Store.
func (s *Store) Commit(ctx context.Context, t kv.Transaction) (int64, error) {
	revision, err := s.store.Commit(ctx, t)
	s.note("commit", err)
	return revision, err
}

// Grant implements kv.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	lease, granted, err := s.store.Grant(ctx, ttl)
	s.note("grant", err)
	return lease, granted, err
}

// Keep implements kv.Store.
func (s *Store) Keep(ctx context.Context, lease int64) error {
	err := s.store.Keep(ctx, lease)
	s.note("keep", err)
	return err
}

// Release implements kv.Store.
func (s *Store) Release(ctx context.Context, lease int64) error {
	err := s.store.Release(ctx, lease)
	s.note("release", err)
	return err
}
