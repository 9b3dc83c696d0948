package flow_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/proof/early"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// callWithUpload makes one request with a body that is not written in one piece.
func (f *fixture) callWithUpload(version, path string) (*http.Response, string, error) {
	return f.callWith(version, path, strings.Repeat("u", 64<<10))
}

// answerEarly makes all upstreams answer with the text while they are sent the request, whose
// writes then get the error.
func (f *fixture) answerEarly(text string, told error) {
	f.dial = func(context.Context, string, string) (net.Conn, error) { return early.NewConn(text, told, 0), nil }
	f.upstreams = []roster.Upstream{{ID: "one", Service: "s", Address: "one", Slots: 8}, {ID: "two", Service: "s", Address: "two", Slots: 8}}
	f.start()
}

const earlyHead = "\n" + idHeader + ": r1\n" + sealHeader + ": s\n"

// earlyBodies are answers of which it is not stated how long they are.
var earlyBodies = map[string]string{
	"success":       "HTTP/1.1 200 OK" + earlyHead + "\npart",
	"version 1.0":   "HTTP/1.0 200 OK" + earlyHead + "\npart",
	"failure":       "HTTP/1.1 500 No" + earlyHead + "\npart",
	"stream":        "HTTP/1.1 200 OK" + earlyHead + "Content-Type: text/event-stream\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
	"no body":       "HTTP/1.1 200 OK" + earlyHead + "\n",
	"larger answer": "HTTP/1.1 200 OK" + earlyHead + "\n" + strings.Repeat("part", 40<<10),
}

// Guards against a part of an early answer that reaches a caller as all of it, or as a promise that
// nothing ran, because only the write of the request was told that the upstream reset the connection.
func TestEarlyAnswerThatIsResetLooksWholeToNoCaller(t *testing.T) {
	for name, text := range earlyBodies {
		for _, version := range versions {
			for _, path := range []string{"/pay/x", "/read/x", "/once/x", "/long/x"} {
				t.Run(name+" "+version+path, func(t *testing.T) {
					t.Parallel()
					f := newFixture(t)
					f.answerEarly(text, syscall.ECONNRESET)
					response, body, err := f.callWithUpload(version, path)
					if err == nil {
						require.Equal(t, http.StatusBadGateway, response.StatusCode, "%q", body[:min(len(body), 100)])
						require.Empty(t, response.Header.Get(sealHeader))
					}
					f.mu.Lock()
					defer f.mu.Unlock()
					for _, outcome := range f.outcomes {
						require.Equal(t, flow.Interrupted, outcome)
					}
				})
			}
		}
	}
}

// Guards against an early answer that is lost because its upstream stopped reading the request.
func TestEarlyAnswerThatEndsInOrderIsDelivered(t *testing.T) {
	for name, told := range map[string]error{"reads no more": syscall.EPIPE, "does not read": nil} {
		for _, version := range versions {
			t.Run(name+" "+version, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				f.answerEarly(earlyBodies["success"], told)
				response, body, err := f.callWithUpload(version, "/pay/x")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, "part", body)
			})
		}
	}
}
