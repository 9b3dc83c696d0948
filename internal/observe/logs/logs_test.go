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

// stuck is an output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

// Whatever reads the standard output hangs for a minute. Requests must go on:
// lines wait, then are dropped and counted, and nobody waits for them.
func TestStuckOutputHoldsUpNobody(t *testing.T) {
	output := &stuck{release: make(chan struct{})}
	now := time.Unix(1_000_000, 0)
	handler := logs.New(output, func() time.Time { return now })
	logger := slog.New(handler)
	for range 20_000 {
		logger.Warn("request", "outcome", "broken")
		now = now.Add(2 * time.Millisecond)
	}
	_, dropped := handler.LeftOut()
	require.Positive(t, dropped)
	close(output.release)
	require.NoError(t, handler.Close(context.Background()))
	require.EqualValues(t, 20_000, int64(strings.Count(output.text.String(), "\n"))+dropped)
}

// An engine crashed and 140 streams broke off. Each line carried the stack of the
// error, with paths of the machine it was built on, in place of its cause alone.
func TestErrorsAreWrittenAsTheirMessage(t *testing.T) {
	var output bytes.Buffer
	handler := logs.New(&output, time.Now)
	kind := errorx.NewNamespace("test").NewType("lost")
	slog.New(handler).Warn("answer lost", "err", kind.Wrap(io.ErrUnexpectedEOF, "no answer"))
	require.NoError(t, handler.Close(context.Background()))
	require.Contains(t, output.String(), `err="test.lost: no answer, cause: unexpected EOF"`)
	require.NotContains(t, output.String(), "logs_test.go")
}

// A burst of good requests is sampled; every bad one is kept.
func TestBurstIsSampledAndBadRequestsAreKept(t *testing.T) {
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
	sampled, dropped := handler.LeftOut()
	require.EqualValues(t, 800, sampled)
	require.Zero(t, dropped)
}
