package flow_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

// sendAs sends a request with the version of HTTP on a connection of its own.
func (f *slowFixture) sendAs(version, path, id string) *slowCaller {
	conn, err := f.network.DialContext(f.t.Context(), "tcp", gatewayAddress)
	require.NoError(f.t, err)
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: h\r\nApi-Key: key\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", path, version, idHeader, id)
	require.NoError(f.t, err)
	return &slowCaller{Conn: conn, t: f.t, reader: bufio.NewReader(conn)}
}

// Guards against an answer that a process cuts off as it exits and that looks whole: its upstream
// has sent a part of a head, a head, or some events, and then nothing.
func TestAnswerCutByAnExitLooksWholeToNoCaller(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		execute func(w *upstreamWriter)
	}{
		"within the head":  {"/pay/x", func(w *upstreamWriter) { w.write("HTTP/1.1 200 OK\r\n" + idHeader + ": " + w.id + "\r\n" + sealHeader) }},
		"after the status": {"/long/x", func(w *upstreamWriter) { w.write("HTTP/1.1 200 OK\r\n") }},
		"after the head":   {"/long/x", func(w *upstreamWriter) { w.openStream() }},
		"after events": {"/long/x", func(w *upstreamWriter) {
			w.openStream()
			w.events(1, 3, 10, time.Millisecond)
		}},
		"within a body": {"/pay/x", func(w *upstreamWriter) { w.write(w.header() + "Content-Length: 8\r\n\r\nok") }},
		"body without a length": {"/pay/x", func(w *upstreamWriter) {
			w.write(w.header() + "\r\nok")
		}},
	} {
		for _, version := range versions {
			t.Run(name+" "+version, func(t *testing.T) {
				runSlow(t, ampleMemory, func(f *slowFixture) {
					f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) {
						test.execute(w)
						_, _ = io.Copy(io.Discard, w.conn)
					})
					caller := f.sendAs(version, test.path, "r1")
					bubble.Sleep(time.Second)
					f.shutDown(5 * time.Second)
					response, body, err := caller.read()
					require.Error(t, err, "%v %q", response, body)
				})
			})
		}
	}
}

// Guards against a caller of HTTP/1.0 whose whole stream ends with a reset because it comes to
// its end in a stop.
func TestStreamThatEndsInAStopIsWhole(t *testing.T) {
	for _, version := range versions {
		runSlow(t, ampleMemory, func(f *slowFixture) {
			f.serveUpstream("one", func(w *upstreamWriter, _ *http.Request) { w.stream(1, 20, 10, 100*time.Millisecond) })
			caller := f.sendAs(version, "/long/x", "r1")
			bubble.Sleep(time.Second)
			f.shutDown(5 * time.Second)
			_, body, err := caller.read()
			require.NoError(t, err)
			require.Equal(t, eventTexts(1, 20, 10), body)
		})
	}
}
