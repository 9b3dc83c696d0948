// Package meter counts the calls that a process makes to the key-value service.
package meter

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// CountFunc counts one call by its kind and result, which both have few values.
type CountFunc func(call, result string)

// Store is a kv.Store whose calls are counted.
type Store struct {
	store kv.Store
	count CountFunc
}

// New returns the store with its calls counted. Failed calls count too, as every call
// is billed.
func New(store kv.Store, count CountFunc) *Store { return &Store{store: store, count: count} }

// resultNames maps error types to the results in the counts.
var resultNames = map[*errorx.Type]string{
	kv.Unavailable: "unavailable",
	kv.Compacted:   "compacted",
	kv.Conflict:    "conflict",
	kv.LeaseEnded:  "lease-ended",
	kv.Refused:     "refused",
	kv.TooLarge:    "too-large",
}

func (s *Store) record(call string, err error) {
	if err == nil {
		s.count(call, "ok")
		return
	}
	for kind, name := range resultNames {
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
	s.record("range", err)
	return snapshot, err
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Changes, error) {
	changes, err := s.store.Watch(ctx, prefix, after, wait)
	s.record("watch", err)
	return changes, err
}

// Commit implements kv.Store.
func (s *Store) Commit(ctx context.Context, t kv.Transaction) (kv.Revision, error) {
	revision, err := s.store.Commit(ctx, t)
	s.record("commit", err)
	return revision, err
}

// Grant implements kv.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	lease, granted, err := s.store.Grant(ctx, ttl)
	s.record("grant", err)
	return lease, granted, err
}

// Keep implements kv.Store.
func (s *Store) Keep(ctx context.Context, lease int64) error {
	err := s.store.Keep(ctx, lease)
	s.record("keep", err)
	return err
}

// Release implements kv.Store.
func (s *Store) Release(ctx context.Context, lease int64) error {
	err := s.store.Release(ctx, lease)
	s.record("release", err)
	return err
}
