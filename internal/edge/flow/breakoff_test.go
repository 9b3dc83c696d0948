package flow_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
	"github.com/persimmonridge/persimmonridge/internal/proof/heads"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// useMemory makes the gateway reach upstreams that addCutUpstream adds in memory: thousands of
// listeners would take ports on which other tests expect nobody.
func (f *fixture) useMemory() {
	f.memory = network.New()
	f.dial = f.memory.DialContext
	f.start()
}

// addCutUpstream adds an upstream that sends the text as it is and ends the connection, or
// resets it if the text ends with heads.Reset.
func (f *fixture) addCutUpstream(name, text string) {
	listen := func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
	if f.memory != nil {
		listen = func() (net.Listener, error) { return f.memory.Listen("10.0.0.1:0") }
	}
	listener, err := listen()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	f.upstreams = append(f.upstreams, roster.Upstream{ID: name, Service: "s", Address: listener.Addr().String(), Slots: 8})
	go heads.Serve(listener, text)
}

// callAs makes one request with the version of HTTP on a connection of its own.
func (f *fixture) callAs(version, path string) (*http.Response, string, error) {
	return f.callWith(version, path, "body")
}

func (f *fixture) callWith(version, path, body string) (*http.Response, string, error) {
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	require.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: h\r\n%s: r1\r\nApi-Key: key\r\nContent-Length: %d\r\n\r\n%s", path, version, idHeader, len(body), body)
	require.NoError(f.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response, string(content), err
}

// versions are the versions of HTTP that callers send.
var versions = []string{"HTTP/1.1", "HTTP/1.0"}

// cuts returns positions within a head: around each end of a line, and within each line.
func cuts(head string) []int {
	positions := []int{0, 1, len(head) - 1}
	start := 0
	for i := range head {
		if head[i] != '\n' {
			continue
		}
		for _, position := range []int{(start + i) / 2, i - 1, i, i + 1} {
			if position > 0 && position < len(head) {
				positions = append(positions, position)
			}
		}
		start = i + 1
	}
	return positions
}

// Guards against a head that broke off and reaches a caller as a success or as a promise that
// nothing ran.
func TestHeadThatBreaksOffLooksWholeToNoCaller(t *testing.T) {
	for name, head := range heads.All(headLines) {
		for _, ending := range []string{"", heads.Reset} {
			t.Run(name+" "+ending, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				f.useMemory()
				for _, cut := range cuts(head) {
					f.requireNoCallerTakesForWhole(head[:cut] + ending)
				}
			})
		}
	}
}

// requireNoCallerTakesForWhole makes requests of all kinds whose upstreams send the text.
func (f *fixture) requireNoCallerTakesForWhole(text string) {
	f.t.Helper()
	f.replaceUpstreams(func() {
		f.addCutUpstream("one", text)
		f.addCutUpstream("two", text)
	})
	for _, version := range versions {
		for _, path := range []string{"/pay/x", "/read/x", "/once/x", "/long/x"} {
			f.refillRetries()
			response, body, err := f.callAs(version, path)
			require.NoError(f.t, err, "%s %s", version, path)
			require.Equal(f.t, http.StatusBadGateway, response.StatusCode, "%s %s: %q", version, path, body)
		}
	}
	f.replaceUpstreams(func() {
		f.addCutUpstream("one", strings.ReplaceAll(strings.ReplaceAll(brokenStream, "ID", "r1"), "\n", "\r\n"))
		f.addCutUpstream("two", text)
	})
	for _, version := range versions {
		f.refillRetries()
		response, body, err := f.callAs(version, "/long/x")
		require.Error(f.t, err, "resumed %s: %v %q", version, response, body)
	}
}

// replaceUpstreams replaces the upstreams by those that add adds.
func (f *fixture) replaceUpstreams(add func()) {
	f.fakes.Lock()
	defer f.fakes.Unlock()
	f.upstreams = nil
	add()
}

func (f *fixture) refillRetries() {
	f.fakes.Lock()
	defer f.fakes.Unlock()
	f.retryBudget = 10
}

// Guards against a stream, or an answer passed on for want of memory, that broke off and looks
// whole to callers of HTTP/1.0, who are told the end by the connection alone.
func TestAnswerThatBreaksOffLooksWholeToNoCaller(t *testing.T) {
	event := "id: 1\r\ndata: a\r\n\r\n"
	large := strings.Repeat("y", 2<<20)
	head := strings.ReplaceAll(strings.ReplaceAll(sealedHead, "ID", "r1"), "\n", "\r\n")
	for name, test := range map[string]struct{ path, text string }{
		"stream in chunks":             {"/once/x", head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(event), event)},
		"stream within a chunk":        {"/once/x", head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s", 2*len(event), event)},
		"stream of stated length":      {"/once/x", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(event), event)},
		"stream without a length":      {"/once/x", head + "\r\n" + event + heads.Reset},
		"stream within an event":       {"/once/x", head + "\r\n" + event + "id: 2\r\n"},
		"stream before its event":      {"/once/x", head + "\r\n"},
		"stream that may be resumed":   {"/long/x", head + "\r\n" + event + "id: 2\r\n"},
		"large answer of stated size":  {"/pay/x", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(large), large)},
		"large answer in chunks":       {"/pay/x", head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(large), large)},
		"large answer without a size":  {"/pay/x", head + "\r\n" + large + heads.Reset},
		"small answer of stated size":  {"/pay/x", head + "Content-Length: 3\r\n\r\nok"},
		"small answer without a size":  {"/pay/x", head + "\r\nok" + heads.Reset},
		"answer without its body":      {"/pay/x", head + "\r\n"},
		"read without its body":        {"/read/x", head + "\r\n"},
		"read of which a half arrived": {"/read/x", head + "Content-Length: 4\r\n\r\nok"},
	} {
		for _, version := range versions {
			t.Run(name+" "+version, func(t *testing.T) {
				f := newFixture(t)
				f.unfinished = memory.NewBudget(256 << 10)
				f.start()
				f.addCutUpstream("one", test.text)
				f.addCutUpstream("two", test.text)
				response, body, err := f.callAs(version, test.path)
				if err == nil {
					require.Equal(t, http.StatusBadGateway, response.StatusCode, "%d bytes look whole", len(body))
				}
			})
		}
	}
}

// Guards against callers of HTTP/1.0 whose whole answers end with a reset.
func TestCallersOfHTTP10GetWholeAnswers(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 128<<10)
	stream := "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"
	for name, test := range map[string]struct{ path, text, body string }{
		"stream":         {"/once/x", streamHeader + strings.ReplaceAll(stream, "\r\n", "\n"), stream},
		"empty stream":   {"/once/x", sealedHead + "Content-Length: 0\n\n", ""},
		"answer":         {"/pay/x", successAnswer, "ok"},
		"answer by end":  {"/pay/x", sealedHead + "\nok", "ok"},
		"large answer":   {"/pay/x", chunkedHead + chunks(large) + "0\n\n", large},
		"larger by size": {"/read/x", sealedHead + fmt.Sprintf("Content-Length: %d\n\n", len(large)) + large, large},
		"empty answer":   {"/pay/x", sealedHead + "Content-Length: 0\n\n", ""},
	} {
		for budget, unfinished := range map[string]*memory.Budget{"held": nil, "passed on": memory.NewBudget(256 << 10)} {
			t.Run(name+" "+budget, func(t *testing.T) {
				f := newFixture(t)
				f.unfinished = unfinished
				f.start()
				f.addUpstream("one", test.text)
				response, body, err := f.callAs("HTTP/1.0", test.path)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, test.body, body)
				f.server.Close()
				require.Equal(t, []flow.Outcome{flow.Answered}, f.outcomes)
			})
		}
	}
}

// Guards against a large answer without a length, of which a caller of HTTP/1.0 cannot tell
// whether the gateway ended within it.
func TestLargeAnswersStateTheirLength(t *testing.T) {
	body := strings.Repeat("y", 32<<10)
	for _, version := range versions {
		f := newFixture(t)
		f.addUpstream("one", sealedHead+"\n"+body)
		response, got, err := f.callAs(version, "/pay/x")
		require.NoError(t, err)
		require.Equal(t, body, got)
		require.Equal(t, int64(len(body)), response.ContentLength)
	}
}
