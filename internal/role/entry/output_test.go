package entry

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/action/outcome"
	"github.com/persimmonridge/persimmonridge/internal/caller/connection"
	"github.com/persimmonridge/persimmonridge/internal/caller/refusal"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// Guards against a complete response whose end is lost because the write
// deadline of its last chunk passed before the upstream ended the response.
func TestResponseEndingLongAfterLastChunkIsComplete(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		listener, err := n.Listen("a:1")
		require.NoError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			o := newOutput("id", w, connection.EndingOf(r), invariant.New(slog.New(slog.DiscardHandler)), time.Now)
			o.setHead(&wire.Head{Status: http.StatusOK})
			_ = o.write(&wire.Data{Bytes: []byte("whole")})
			bubble.Sleep(writeTimeout + time.Second)
			_ = o.complete()
		})}
		go func() { _ = server.Serve(listener) }()
		client := &http.Client{Transport: &http.Transport{DialContext: n.DialContext, DisableKeepAlives: true}}
		response, err := client.Get("http://a:1/")
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		closeErr := server.Close()
		require.NoError(t, err)
		require.NoError(t, closeErr)
		require.Equal(t, "whole", string(body))
	})
}

// Guards against a success that an entry makes up: the end of a run, or a stored answer, that
// has no head.
func TestAnswerWithoutAHeadIsNoSuccess(t *testing.T) {
	recorder := httptest.NewRecorder()
	o := newOutput("id", recorder, connection.Ending{}, invariant.New(slog.New(slog.DiscardHandler)), time.Now)
	a := &attempt{output: o, dispatched: func() {}}
	require.Equal(t, failedEarly, a.ended(&wire.End{Outcome: wire.End_OUTCOME_ANSWERED}).ending)
	require.ErrorIs(t, o.write(&wire.Data{Bytes: []byte("body")}), errNoHead)
	require.False(t, o.started)

	c := &call{output: o, outcome: outcome.New("id", invariant.New(slog.New(slog.DiscardHandler)))}
	refused := c.replay(&wire.StoredAnswer{Outcome: wire.End_OUTCOME_ANSWERED, Whole: true})
	require.NotNil(t, refused)
	require.Equal(t, refusal.MayHaveRun, refused.Ran())
	require.False(t, o.started)
	require.Empty(t, recorder.Header())
}
