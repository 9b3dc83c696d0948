// Package answer buffers the answer of a run between the upstream that produces it
// and the link that transfers it. Bytes are kept until the entry acknowledges them,
// so that an answer can be resumed at its offset on a new link. The producer is
// blocked while too many bytes are unacknowledged.
package answer

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
)

var namespace = errorx.NewNamespace("answer")

// Errors of this package.
var (
	// Gone means that the requested bytes have been acknowledged and released.
	Gone = namespace.NewType("gone")
	// Closed means that the buffer was closed and accepts no more bytes.
	Closed = namespace.NewType("closed")
)

// maxChunkBytes is the maximum number of body bytes that Next returns at once; it
// is well below the maximum frame size.
const maxChunkBytes = 32 << 10

// Chunk is the next part of an answer to send: its head, body bytes or its end.
type Chunk struct {
	head   *wire.Head
	offset uint64
	data   []byte
	end    *wire.End
}

// Head returns the head, if it is the next part.
func (c Chunk) Head() *wire.Head { return c.head }

// Offset returns the offset of Data in the body.
func (c Chunk) Offset() uint64 { return c.offset }

// Data returns body bytes; the caller must not modify them.
func (c Chunk) Data() []byte { return c.data }

// End returns the end, if everything before it has been read.
func (c Chunk) End() *wire.End { return c.end }

// Buffer buffers the answer of one run. It is safe for one producer and any number
// of readers.
type Buffer struct {
	requestID  string
	maxUnacked int
	retained   int
	invariants *invariant.Recorder

	mu          sync.Mutex
	changed     chan struct{}
	head        *wire.Head
	data        []byte
	baseOffset  uint64
	ackedOffset uint64
	end         *wire.End
	closed      bool
}

// New returns an empty buffer whose writes block at maxUnacked unacknowledged
// bytes. An answer of at most retained bytes is kept even when it is acknowledged,
// for actions whose answer may be requested again.
func New(requestID string, maxUnacked, retained int, invariants *invariant.Recorder) *Buffer {
	return &Buffer{requestID: requestID, maxUnacked: maxUnacked, retained: retained, invariants: invariants, changed: make(chan struct{})}
}

// SetHead sets the status and header fields.
func (b *Buffer) SetHead(head *wire.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = head
	b.notify()
}

// Write appends body bytes. It blocks while too many bytes are unacknowledged, and
// fails if the buffer is closed or the context is done.
func (b *Buffer) Write(ctx context.Context, p []byte) error {
	for {
		b.mu.Lock()
		if b.closed {
			b.mu.Unlock()
			return Closed.New("the answer buffer of %s is closed", b.requestID)
		}
		if b.unacked() < b.maxUnacked {
			b.data = append(b.data, p...)
			b.notify()
			b.mu.Unlock()
			return nil
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Finish sets the end of the answer. It must be called only once.
func (b *Buffer) Finish(outcome wire.End_Outcome, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.invariants.Check(b.end == nil, invariant.AnswerEndsOnce, b.requestID, "answer finished twice") {
		return
	}
	b.end = &wire.End{Outcome: outcome, Length: b.baseOffset + uint64(len(b.data)), Detail: detail}
	b.notify()
}

// End returns the end, or nil while the answer is not finished.
func (b *Buffer) End() *wire.End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Ack acknowledges the bytes below offset. They are released unless offset is at
// most the number of retained bytes.
func (b *Buffer) Ack(offset uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	produced := b.baseOffset + uint64(len(b.data))
	if offset > produced || offset <= b.ackedOffset {
		return
	}
	b.ackedOffset = offset
	if offset > uint64(b.retained) && offset > b.baseOffset {
		b.data = append([]byte(nil), b.data[offset-b.baseOffset:]...)
		b.baseOffset = offset
	}
	b.notify()
}

// Close makes further writes fail; bytes that were written stay readable.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.notify()
}

// Next blocks until the next part of the answer is available and returns it: the
// head if needHead is set, then bytes from offset, then the end.
func (b *Buffer) Next(ctx context.Context, needHead bool, offset uint64) (Chunk, error) {
	for {
		chunk, ready, changed, err := b.poll(needHead, offset)
		if err != nil || ready {
			return chunk, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Chunk{}, ctx.Err()
		}
	}
}

func (b *Buffer) poll(needHead bool, offset uint64) (Chunk, bool, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if needHead && b.head != nil {
		return Chunk{head: b.head}, true, nil, nil
	}
	if offset < b.baseOffset {
		return Chunk{}, false, nil, Gone.New("bytes from %d of %s were released at %d; only an answer of at most %d bytes can be read again", offset, b.requestID, b.baseOffset, b.retained)
	}
	produced := b.baseOffset + uint64(len(b.data))
	if !needHead && offset < produced {
		from := offset - b.baseOffset
		to := min(from+maxChunkBytes, uint64(len(b.data)))
		return Chunk{offset: offset, data: b.data[from:to:to]}, true, nil, nil
	}
	if b.end != nil {
		return Chunk{end: b.end}, true, nil, nil
	}
	return Chunk{}, false, b.changed, nil
}

func (b *Buffer) unacked() int {
	return int(b.baseOffset + uint64(len(b.data)) - b.ackedOffset)
}

// notify wakes all waiting goroutines; the caller must hold the lock.
func (b *Buffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}
