package kv

import (
	"log/slog"
	"time"
)

// Revision is a place in the store's history: an era and the number of a change in it. A
// new era begins each time the store is restored from an older copy; it assigns numbers
// again that were assigned before. All revisions of an era are above those of earlier
// eras. The zero value is before any change. A store that states no era stays in era 0.
type Revision int64

const (
	// numberBits is the width of the number. At 5,000 changes a second, it lasts for more
	// than a hundred years.
	numberBits = 44
	maxNumber  = 1<<numberBits - 1
	// MaxEra is the last era that a Revision can hold.
	MaxEra = 1<<(63-numberBits) - 1
)

// RewriteTime is how long others may take to write again what was lost with an outage of
// the store or with its return to an older copy: the platform states about two seconds.
const RewriteTime = 2200 * time.Millisecond

// At returns the revision with the number in the era. Values out of range are limited to
// it.
func At(era, number int64) Revision {
	return Revision(min(max(era, 0), MaxEra)<<numberBits | min(max(number, 0), maxNumber))
}

// Era returns the revision's era.
func (r Revision) Era() int64 { return int64(r >> numberBits) }

// Number returns the revision's number in its era.
func (r Revision) Number() int64 { return int64(r & maxNumber) }

// NumberIn returns the revision's number if it is of the era, and 0 otherwise.
func (r Revision) NumberIn(era int64) int64 {
	if r.Era() != era {
		return 0
	}
	return r.Number()
}

// LogValue implements slog.LogValuer. Log lines have the number as the store shows it.
func (r Revision) LogValue() slog.Value { return slog.Int64Value(r.Number()) }
