package memory

import "sync/atomic"

// Budget bounds the bytes that requests hold for a moment beyond what each of them may hold in
// any case. A nil budget bounds nothing. It is safe for concurrent use.
type Budget struct {
	limit, taken atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the limit. Bytes that are taken beyond it stay.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Take takes n bytes, and reports whether there were as many.
func (b *Budget) Take(n int64) bool {
	if b == nil {
		return true
	}
	for {
		taken := b.taken.Load()
		if taken+n > b.limit.Load() {
			return false
		}
		if b.taken.CompareAndSwap(taken, taken+n) {
			return true
		}
	}
}

// Return returns n bytes that were taken.
func (b *Budget) Return(n int64) {
	if b != nil {
		b.taken.Add(-n)
	}
}

// Taken returns the bytes that are taken.
func (b *Budget) Taken() int64 {
	if b == nil {
		return 0
	}
	return b.taken.Load()
}
