// Package answer keeps the answer of one run between the upstream that
// produces it and the link that carries it. Bytes stay until the entry has
// acknowledged them, so that an answer can be resumed at its offset on a new
// link; the producer is held back when too many are unacknowledged.
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
	// Gone: the bytes asked for were acknowledged and released already.
	Gone = namespace.NewType("gone")
	// Closed: the buffer was closed and takes no more bytes.
	Closed = namespace.NewType("closed")
)

// maxPiece bounds the bytes of one piece, well under a frame.
const maxPiece = 32 << 10

// Piece is the next thing to send.
type Piece struct {
	head   *wire.Head
	offset uint64
	data   []byte
	end    *wire.End
}

// Head returns the head, when it is the next thing to send.
func (p Piece) Head() *wire.Head { return p.head }

// Offset returns the offset of Data in the answer's body.
func (p Piece) Offset() uint64 { return p.offset }

// Data returns body bytes; the caller must not change them.
func (p Piece) Data() []byte { return p.data }

// End returns the end, when everything before it was sent.
func (p Piece) End() *wire.End { return p.end }

// Buffer is the answer of one run. It is safe for one producer and any number
// of readers.
type Buffer struct {
	requestID  string
	bound      int
	keep       int
	invariants *invariant.Recorder

	mu      sync.Mutex
	changed chan struct{}
	head    *wire.Head
	data    []byte
	base    uint64
	acked   uint64
	end     *wire.End
	closed  bool
}

// New returns an empty buffer that holds at most bound unacknowledged bytes.
// The first keep bytes of the answer are held even when acknowledged, for
// actions whose answer may be asked for again.
func New(requestID string, bound, keep int, invariants *invariant.Recorder) *Buffer {
	return &Buffer{requestID: requestID, bound: bound, keep: keep, invariants: invariants, changed: make(chan struct{})}
}

// SetHead records the status line and header fields.
func (b *Buffer) SetHead(head *wire.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = head
	b.wake()
}

// Write adds body bytes; it blocks while the bound is reached and fails when
// the buffer was closed or the context ended.
func (b *Buffer) Write(ctx context.Context, p []byte) error {
	for {
		b.mu.Lock()
		if b.closed {
			b.mu.Unlock()
			return Closed.New("the answer of %s was closed; stop producing it", b.requestID)
		}
		if b.unacked() < b.bound {
			b.data = append(b.data, p...)
			b.wake()
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

// Finish records the one end of the answer.
func (b *Buffer) Finish(outcome wire.End_Outcome, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.invariants.Check(b.end == nil, invariant.AnswerEndsOnce, b.requestID, "a second end") {
		return
	}
	b.end = &wire.End{Outcome: outcome, Length: b.base + uint64(len(b.data)), Detail: detail}
	b.wake()
}

// Ended returns the end, or nil while the run goes on.
func (b *Buffer) Ended() *wire.End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Ack releases the bytes below offset.
func (b *Buffer) Ack(offset uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.base + uint64(len(b.data))
	if offset > limit || offset <= b.acked {
		return
	}
	b.acked = offset
	if offset > uint64(b.keep) && offset > b.base {
		b.data = append([]byte(nil), b.data[offset-b.base:]...)
		b.base = offset
	}
	b.wake()
}

// Close stops the producer; what was produced stays readable.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.wake()
}

// Next blocks until there is something to send after what the reader has:
// the head when needHead, then the bytes from offset, then the end.
func (b *Buffer) Next(ctx context.Context, needHead bool, offset uint64) (Piece, error) {
	for {
		piece, ready, changed, err := b.look(needHead, offset)
		if err != nil || ready {
			return piece, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Piece{}, ctx.Err()
		}
	}
}

func (b *Buffer) look(needHead bool, offset uint64) (Piece, bool, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if needHead && b.head != nil {
		return Piece{head: b.head}, true, nil, nil
	}
	if offset < b.base {
		return Piece{}, false, nil, Gone.New("bytes from %d of %s were released at %d; only an answer of at most %d bytes can be read again", offset, b.requestID, b.base, b.keep)
	}
	available := b.base + uint64(len(b.data))
	if !needHead && offset < available {
		from := offset - b.base
		until := min(from+maxPiece, uint64(len(b.data)))
		return Piece{offset: offset, data: b.data[from:until:until]}, true, nil, nil
	}
	if b.end != nil {
		return Piece{end: b.end}, true, nil, nil
	}
	return Piece{}, false, b.changed, nil
}

func (b *Buffer) unacked() int {
	return int(b.base + uint64(len(b.data)) - b.acked)
}

// wake tells everyone who waits; the caller holds the lock.
func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}
