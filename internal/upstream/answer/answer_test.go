package answer_test

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	_ "github.com/persimmonridge/persimmonridge/internal/proof/seed"
	"github.com/persimmonridge/persimmonridge/internal/upstream/answer"
)

func recorder() *invariant.Recorder {
	return invariant.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// Guards against duplicate or missing text where a link was replaced: a reader
// that resumes at its offset any number of times must read every byte once and in
// order, however acknowledgements and writes interleave.
func TestResumedReaderSeesEveryByteOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		retained := rapid.SampledFrom([]int{0, 64, 1 << 20}).Draw(t, "keep")
		b := answer.New("r", 1<<30, retained, recorder())
		b.SetHead(&wire.Head{Status: 200})
		body := rapid.SliceOfN(rapid.Byte(), 1, 2000).Draw(t, "answer")
		var read []byte
		written := 0
		for len(read) < len(body) {
			if written < len(body) && (rapid.Bool().Draw(t, "write") || written == len(read)) {
				until := min(written+rapid.IntRange(1, 300).Draw(t, "bytes"), len(body))
				require.NoError(t, b.Write(ctx, body[written:until]))
				written = until
				continue
			}
			chunk, err := b.Next(ctx, false, uint64(len(read)))
			require.NoError(t, err)
			require.Equal(t, uint64(len(read)), chunk.Offset())
			read = append(read, chunk.Data()...)
			if rapid.Bool().Draw(t, "ack") {
				b.Ack(uint64(rapid.IntRange(0, len(read)).Draw(t, "acked")))
			}
		}
		b.Finish(wire.End_OUTCOME_ANSWERED, "")
		chunk, err := b.Next(ctx, false, uint64(len(read)))
		require.NoError(t, err)
		require.Equal(t, uint64(len(body)), chunk.End().GetLength())
		require.Equal(t, body, read)
	})
}

func TestReadingReleasedBytesFails(t *testing.T) {
	b := answer.New("r", 1<<20, 0, recorder())
	require.NoError(t, b.Write(context.Background(), []byte("abcdef")))
	b.Ack(4)
	_, err := b.Next(context.Background(), false, 0)
	require.True(t, errorx.IsOfType(err, answer.Gone))
}

func TestSecondEndBreachesInvariant(t *testing.T) {
	invariants := recorder()
	b := answer.New("r", 1<<20, 0, invariants)
	b.Finish(wire.End_OUTCOME_ANSWERED, "")
	b.Finish(wire.End_OUTCOME_FAILED, "")
	require.Equal(t, 1, invariants.Total())
	require.Equal(t, wire.End_OUTCOME_ANSWERED, b.End().GetOutcome())
}
