package logs_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/observe/logs"
)

// blockedOutput is an output that blocks until it is released.
type blockedOutput struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

// Guards against requests that wait for the log when the reader of the standard output
// hangs. Lines must be queued, and then dropped and counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	now := time.Unix(1_000_000, 0)
	handler := logs.New(output, func() time.Time { return now })
	logger := slog.New(handler)
	for range 20_000 {
		logger.Warn("request", "outcome", "broken")
		now = now.Add(2 * time.Millisecond)
	}
	_, dropped := handler.Omitted()
	require.Positive(t, dropped)
	close(output.release)
	require.NoError(t, handler.Close(context.Background()))
	require.EqualValues(t, 20_000, int64(strings.Count(output.text.String(), "\n"))+dropped)
}

// Guards against errors that are logged with their stack trace, including paths of the
// build machine, instead of their cause alone: an engine crashed and 140 streams broke
// off, with a trace in each line.
func TestErrorsAreWrittenAsTheirMessage(t *testing.T) {
	var output bytes.Buffer
	handler := logs.New(&output, time.Now)
	kind := errorx.NewNamespace("test").NewType("lost")
	slog.New(handler).Warn("answer lost", "err", kind.Wrap(io.ErrUnexpectedEOF, "no answer"))
	require.NoError(t, handler.Close(context.Background()))
	require.Contains(t, output.String(), `err="test.lost: no answer, cause: unexpected EOF"`)
	require.NotContains(t, output.String(), "logs_test.go")
}

// In a burst the lines of successful requests are sampled, and those of all failed
// requests are written.
func TestBurstIsSampledAndFailuresAreKept(t *testing.T) {
	var output bytes.Buffer
	now := time.Unix(1_000_000, 0)
	handler := logs.New(&output, func() time.Time { return now })
	logger := slog.New(handler)
	for i := range 900 {
		logger.Debug("request", "outcome", "answered")
		if i%10 == 0 {
			logger.Warn("request", "outcome", "refused")
		}
	}
	require.NoError(t, handler.Close(context.Background()))
	require.Equal(t, 100, strings.Count(output.String(), "answered"))
	require.Equal(t, 90, strings.Count(output.String(), "refused"))
	sampled, dropped := handler.Omitted()
	require.EqualValues(t, 800, sampled)
	require.Zero(t, dropped)
}
