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

// A student sees a word twice, or a gap, where a link was replaced.
// A reader that resumes at its offset, as often as links break, must see every
// byte once and in order, however acknowledgements and writes interleave.
func TestResumedReaderSeesEveryByteOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		keep := rapid.SampledFrom([]int{0, 64, 1 << 20}).Draw(t, "keep")
		b := answer.New("r", 1<<30, keep, recorder())
		b.SetHead(&wire.Head{Status: 200})
		whole := rapid.SliceOfN(rapid.Byte(), 1, 2000).Draw(t, "answer")
		var read []byte
		written := 0
		for len(read) < len(whole) {
			if written < len(whole) && (rapid.Bool().Draw(t, "write") || written == len(read)) {
				until := min(written+rapid.IntRange(1, 300).Draw(t, "bytes"), len(whole))
				require.NoError(t, b.Write(ctx, whole[written:until]))
				written = until
				continue
			}
			piece, err := b.Next(ctx, false, uint64(len(read)))
			require.NoError(t, err)
			require.Equal(t, uint64(len(read)), piece.Offset())
			read = append(read, piece.Data()...)
			if rapid.Bool().Draw(t, "ack") {
				b.Ack(uint64(rapid.IntRange(0, len(read)).Draw(t, "acked")))
			}
		}
		b.Finish(wire.End_OUTCOME_ANSWERED, "")
		piece, err := b.Next(ctx, false, uint64(len(read)))
		require.NoError(t, err)
		require.Equal(t, uint64(len(whole)), piece.End().GetLength())
		require.Equal(t, whole, read)
	})
}

func TestReleasedBytesAreGoneAndSaySo(t *testing.T) {
	b := answer.New("r", 1<<20, 0, recorder())
	require.NoError(t, b.Write(context.Background(), []byte("abcdef")))
	b.Ack(4)
	_, err := b.Next(context.Background(), false, 0)
	require.True(t, errorx.IsOfType(err, answer.Gone))
}

func TestASecondEndIsABreach(t *testing.T) {
	invariants := recorder()
	b := answer.New("r", 1<<20, 0, invariants)
	b.Finish(wire.End_OUTCOME_ANSWERED, "")
	b.Finish(wire.End_OUTCOME_FAILED, "")
	require.Equal(t, 1, invariants.Total())
	require.Equal(t, wire.End_OUTCOME_ANSWERED, b.Ended().GetOutcome())
}
