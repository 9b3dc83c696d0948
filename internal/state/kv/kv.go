// Package kv defines the operations that are needed of a key-value store: reads,
// watches, conditional writes and leases. An adapter for the platform's store
// implements Store; tests use a stand-in.
package kv

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("kv")

// Error types of a Store. After any other error the outcome of the call is unknown.
var (
	// Unavailable means that the store did not answer, or rejects the calls of this
	// process for now. A write may still be carried out later.
	Unavailable = namespace.NewType("unavailable")
	// Cut is an Unavailable of a call whose connection ended before its response was
	// complete. A store that answers may cut a watch that waits.
	Cut = Unavailable.NewSubtype("cut")
	// TooLarge means that the response exceeds what the client reads. The same call gets the
	// same response, a range gets it in pages.
	TooLarge = namespace.NewType("too-large")
	// Compacted means that the history after the requested revision was compacted, or that
	// it belongs to an era that has ended. The whole range must be read again.
	Compacted = namespace.NewType("compacted")
	// Conflict means that a condition did not hold and nothing was written.
	Conflict = namespace.NewType("conflict")
	// LeaseEnded means that the lease has expired or was released. A new one must be
	// granted.
	LeaseEnded = namespace.NewType("lease-ended")
	// Refused means that the store rejected the call as invalid. Repeating it is
	// useless.
	Refused = namespace.NewType("refused")
)

// Item is a key with its last written value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// CreatedRevision is the number of the revision at which the key was created.
	CreatedRevision int64
}

// Event is a change of one key. The event of a deletion has no value.
type Event struct {
	Item
	Deleted bool
}

// Snapshot is the content of a range of keys, and the revision after which to watch for
// changes.
type Snapshot struct {
	Items    []Item
	Revision Revision
}

// Changes is the result of a watch, and the revision after which to continue it.
type Changes struct {
	Events   []Event
	Revision Revision
}

// Condition requires that a key was last changed at the revision; 0 requires that the key
// does not exist. A revision of an era that has ended never holds: its number may have been
// assigned again.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key; the key is attached to a lease unless Lease is 0.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is a set of writes that are applied atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Store is a key-value store. All methods return when the context ends. A response of an
// earlier era than that of another response fails with Unavailable.
type Store interface {
	// Range reads all keys under the prefix.
	Range(ctx context.Context, prefix string) (Snapshot, error)
	// Watch returns the changes after the revision. If there are none, it waits for
	// them for at most the given time. When the era of the revision has ended, Watch fails
	// with Compacted.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit applies the transaction and returns its revision.
	Commit(ctx context.Context, t Transaction) (Revision, error)
	// Grant returns a new lease and the TTL that the store granted.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	// Keep renews a lease.
	Keep(ctx context.Context, lease int64) error
	// Release ends a lease and deletes its keys.
	Release(ctx context.Context, lease int64) error
}
