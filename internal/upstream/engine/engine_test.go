package engine_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/early"
	"github.com/persimmonridge/persimmonridge/internal/proof/heads"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/upstream/engine"
)

// sink records an answer.
type sink struct {
	head *wire.Head
	body strings.Builder
}

// SetHead implements engine.Sink.
func (s *sink) SetHead(head *wire.Head) { s.head = head }

// Write implements engine.Sink.
func (s *sink) Write(_ context.Context, p []byte) error {
	s.body.Write(p)
	return nil
}

type observer struct{}

// FirstToken implements engine.Observer.
func (observer) FirstToken(time.Time) {}

// Tokens implements engine.Observer.
func (observer) Tokens(time.Time, int) {}

// run makes one call to an upstream that sends the text and ends the connection.
func run(t *testing.T, text string) (engine.Result, *sink) {
	t.Helper()
	memory := network.New()
	listener, err := memory.Listen("10.0.0.1:80")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go heads.Serve(listener, text)
	s := &sink{}
	call := engine.NewCall("r1", http.MethodPost, "/x", nil, []byte("body"))
	return engine.New("http://"+listener.Addr().String(), time.Now, memory).Run(t.Context(), call, s, observer{}), s
}

// Guards against an answer whose head broke off that is taken for one with an empty body.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	lines := heads.Lines{ID: "Request-Id: r1", OtherID: "Request-Id: r1", Seal: "Seal: s", NotExecuted: "Not-Run: 1", Load: "Load: 1"}
	for name, head := range heads.All(lines) {
		if strings.HasPrefix(name, "after an answer to another request") {
			continue // Each call has a connection of its own.
		}
		for _, ending := range []string{"", heads.Reset} {
			t.Run(name+" "+ending, func(t *testing.T) {
				t.Parallel()
				for cut := range len(head) {
					result, s := run(t, head[:cut]+ending)
					require.Equal(t, wire.End_OUTCOME_FAILED, result.Outcome(), "cut after %d bytes", cut)
					require.Nil(t, s.head, "cut after %d bytes", cut)
					require.True(t, result.Sent())
				}
			})
		}
	}
}

// Guards against a body that broke off, or of which nothing came, and looks whole.
func TestBodyThatBreaksOffIsNoAnswer(t *testing.T) {
	const head, event = "HTTP/1.1 200 OK\r\n", "data: a\r\n\r\n"
	for name, text := range map[string]string{
		"stated length":             head + "Content-Length: 4\r\n\r\nok",
		"chunks":                    head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"within a chunk":            head + "Transfer-Encoding: chunked\r\n\r\n9\r\nok",
		"reset without a length":    head + "\r\nok" + heads.Reset,
		"no body":                   head + "\r\n",
		"no body, version 1.0":      "HTTP/1.0 200 OK\r\n\r\n",
		"stream without events":     head + "Content-Type: text/event-stream\r\n\r\n",
		"reset stream":              head + "Content-Type: text/event-stream\r\n\r\n" + event + heads.Reset,
		"stream in chunks, no last": head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(event), event),
	} {
		t.Run(name, func(t *testing.T) {
			result, _ := run(t, text)
			require.Equal(t, wire.End_OUTCOME_FAILED, result.Outcome())
		})
	}
}

func TestWholeAnswers(t *testing.T) {
	for text, body := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                 "ok",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                   "",
		"HTTP/1.1 200 OK\r\n\r\nok":                                                      "ok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n":      "ok",
		"HTTP/1.1 204 No Content\r\n\r\n":                                                "",
		"HTTP/1.1 404 Not Found\r\n\r\n":                                                 "",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok": "ok",
	} {
		result, s := run(t, text)
		require.Equal(t, wire.End_OUTCOME_ANSWERED, result.Outcome(), "%q: %s", text, result.Detail())
		require.Equal(t, body, s.body.String())
	}
}

// dialer opens the connection.
type dialer struct{ conn net.Conn }

// DialContext implements engine.Dialer.
func (d dialer) DialContext(context.Context, string, string) (net.Conn, error) { return d.conn, nil }

// Guards against a part of an answer that is taken for all of it, because the reset of its
// connection was told to the write of the request, and against a sound early answer that is lost.
func TestEarlyAnswerIsWholeOnlyIfItEndsInOrder(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		told  error
		after time.Duration
		want  wire.End_Outcome
	}{
		"reset":            {"HTTP/1.1 200 OK\n\npart", syscall.ECONNRESET, 0, wire.End_OUTCOME_FAILED},
		"reset, told late": {"HTTP/1.1 200 OK\n\npart", syscall.ECONNRESET, 100 * time.Millisecond, wire.End_OUTCOME_FAILED},
		"reset failure":    {"HTTP/1.1 500 No\n\npart", syscall.ECONNRESET, 0, wire.End_OUTCOME_FAILED},
		"reset stream":     {"HTTP/1.1 200 OK\nContent-Type: text/event-stream\n\ndata: a\n\n", syscall.ECONNRESET, 0, wire.End_OUTCOME_FAILED},
		"reads no more":    {"HTTP/1.1 200 OK\n\nwhole", syscall.EPIPE, 0, wire.End_OUTCOME_ANSWERED},
		"does not read":    {"HTTP/1.1 200 OK\n\nwhole", nil, 0, wire.End_OUTCOME_ANSWERED},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			call := engine.NewCall("r1", http.MethodPost, "/x", nil, bytes.Repeat([]byte("u"), 1<<20))
			result := engine.New("http://upstream", time.Now, dialer{early.NewConn(c.text, c.told, c.after)}).Run(t.Context(), call, &sink{}, observer{})
			require.Equal(t, c.want, result.Outcome(), "%s", result.Detail())
			require.True(t, result.Sent())
		})
	}
}

// Guards against a head that is none of an answer and is passed on as one, without a line of it or
// with a body that is not the upstream's.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	lines := heads.Lines{ID: "Request-Id: r1", OtherID: "Request-Id: r0", Seal: "Seal: s", NotExecuted: "Not-Run: 1", Load: "Load: 1"}
	for name, text := range heads.Malformed(lines) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result, s := run(t, text)
			require.Equal(t, wire.End_OUTCOME_FAILED, result.Outcome())
			require.Nil(t, s.head)
			require.True(t, result.Sent())
		})
	}
}

func TestUnusualAnswersAreRead(t *testing.T) {
	for name, text := range heads.Sound(heads.Lines{ID: "Request-Id: r1", Seal: "Seal: s"}) {
		result, s := run(t, text)
		require.Equal(t, wire.End_OUTCOME_ANSWERED, result.Outcome(), "%s: %s", name, result.Detail())
		require.Equal(t, "inner", s.body.String(), name)
	}
}
