// Package kv is what the product needs of a key-value service: reads, watches,
// conditional writes and leases. An adapter implements Store; tests use a
// stand-in of it.
package kv

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("kv")

// Errors of a Store. Anything else means that the outcome is unknown.
var (
	// Unavailable: the service did not answer, or turned this process away.
	// A write may still be carried out later.
	Unavailable = namespace.NewType("unavailable")
	// Compacted: the history after the asked revision is gone; read the whole
	// range again.
	Compacted = namespace.NewType("compacted")
	// Conflict: a condition did not hold, and nothing was written.
	Conflict = namespace.NewType("conflict")
	// LeaseEnded: the lease is gone; ask for a new one.
	LeaseEnded = namespace.NewType("lease-ended")
	// Refused: the service refuses the call as such; asking again is useless.
	Refused = namespace.NewType("refused")
)

// Item is one key as it was last written.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	// Created is the revision at which the key came to be.
	Created int64
}

// Event is one change of a key. Deleted events carry no value.
type Event struct {
	Item
	Deleted bool
}

// Snapshot is a range of keys and the revision from which to watch on.
type Snapshot struct {
	Items    []Item
	Revision int64
}

// Changes is what a watch returned and the revision from which to watch on.
type Changes struct {
	Events   []Event
	Revision int64
}

// Condition demands that a key's last change has the revision; 0 demands that
// the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key, under a lease unless Lease is 0.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// Store is the service. All methods give up when the context ends.
type Store interface {
	// Range reads all keys under the prefix.
	Range(ctx context.Context, prefix string) (Snapshot, error)
	// Watch waits, at most for the time given, for changes after the revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// Commit applies the transaction and returns its revision.
	Commit(ctx context.Context, t Transaction) (int64, error)
	// Grant returns a lease and how long it lasts.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	// Keep renews a lease.
	Keep(ctx context.Context, lease int64) error
	// Release ends a lease and removes its keys.
	Release(ctx context.Context, lease int64) error
}
