package fleet_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/trial/fleet"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session is a small site with an HTTP client that sends calls to it.
type session struct {
	t      *testing.T
	site   *fleet.Fleet
	client *http.Client
}

// call is one caller's request in a session.
type call struct {
	entry  int
	method string
	path   string
	header map[string]string
	body   string
}

// runSession runs a session on a new site and compares the transcript that it
// returns with the golden file.
func runSession(t *testing.T, name string, run func(s *session) string) {
	bubble.Run(t, func(t *testing.T) {
		spec, err := fleet.NewSpec(examples.CairoInventory, examples.CairoRules, 1)
		require.NoError(t, err)
		net := network.New()
		spec.Network, spec.Engines, spec.Bookings = net, spec.Engines[:2], spec.Bookings[:2]
		logger := slog.New(slog.NewTextHandler(io.Discard, nil))
		invariants := invariant.New(logger)
		site, err := fleet.New(spec, logger, invariants)
		require.NoError(t, err)
		transport := &http.Transport{DialContext: net.DialContext}
		s := &session{t: t, site: site, client: &http.Client{Transport: transport}}
		got := run(s)
		transport.CloseIdleConnections()
		require.NoError(t, site.Close())
		require.Zero(t, invariants.Total())
		compareWithGolden(t, name, got)
	})
}

func compareWithGolden(t *testing.T, name, got string) {
	path := filepath.Join("testdata", "sessions", name+".golden")
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err, "run with -update to write it")
	require.Equal(t, string(want), got)
}

// do sends one call and returns the transcript of request and response.
func (s *session) do(c call) string {
	request, err := http.NewRequestWithContext(context.Background(), c.method, s.site.URLs()[c.entry]+c.path, bytes.NewReader([]byte(c.body)))
	require.NoError(s.t, err)
	request.Header.Set("X-Workspace", "evening-drawing")
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return fmt.Sprintf("> entry %d: %s %s %v\n> %s\n%s\n", c.entry, c.method, c.path, c.header, c.body, transcript(response, body))
}

var generatedID = regexp.MustCompile(`[A-Z2-7]{26}`)

// transcript formats a response without the date, with generated identifiers replaced.
func transcript(response *http.Response, body []byte) string {
	var lines []string
	for name, values := range response.Header {
		if name != "Date" {
			lines = append(lines, fmt.Sprintf("< %s: %s", name, strings.Join(values, ", ")))
		}
	}
	sort.Strings(lines)
	text := fmt.Sprintf("< %d\n%s\n%s", response.StatusCode, strings.Join(lines, "\n"), body)
	return generatedID.ReplaceAllString(text, "<id>")
}

func critique(mark string, length int) call {
	body := fmt.Sprintf(`{"model":"tutor/critique","stream":true,"messages":[{"role":"user","content":"[length=%d] [mark=%s]"}]}`, length, mark)
	return call{method: http.MethodPost, path: "/v1/chat/completions", body: body}
}

func TestSessionStreamedCritique(t *testing.T) {
	runSession(t, "streamed-critique", func(s *session) string { return s.do(critique("sketch-1", 6)) })
}

// Two concurrent calls through one entry, the first with the longer answer, are
// interleaved on the link; each caller must get its own answer.
func TestSessionCrossingAnswers(t *testing.T) {
	runSession(t, "crossing-answers", func(s *session) string {
		var long, short string
		var both sync.WaitGroup
		both.Go(func() { long = s.do(critique("long", 9)) })
		both.Go(func() {
			bubble.Sleep(time.Millisecond)
			short = s.do(critique("short", 2))
		})
		both.Wait()
		return long + short
	})
}

// The same idempotency key is sent concurrently through two entries and a third
// time later: the action runs once and all three calls get the complete answer.
// A fourth call with the same key and another body is refused.
func TestSessionEnrolmentSentTwice(t *testing.T) {
	runSession(t, "enrolment-twice", func(s *session) string {
		enrolment := call{method: http.MethodPost, path: "/booking/enrolments", header: map[string]string{"Idempotency-Key": "seat-41"}, body: `{"class":"evening","learner":"Nadia"}`}
		throughOtherEntry := enrolment
		throughOtherEntry.entry = 1
		var first, second string
		var both sync.WaitGroup
		both.Go(func() { first = s.do(enrolment) })
		both.Go(func() { second = s.do(throughOtherEntry) })
		both.Wait()
		third := s.do(enrolment)
		changedBody := throughOtherEntry
		changedBody.body = `{"class":"evening","learner":"Salma"}`
		fourth := s.do(changedBody)
		require.Equal(s.t, 1, s.site.Effects().Effects("seat-41"))
		return first + second + third + fourth
	})
}

// Guards against a caller that stops reading and delays others on the same link.
// The caller reads the response headers of a long answer and nothing more. The
// buffered part of the answer must be bounded, so that the engine gets
// backpressure, and another call over the same link must be answered in time.
func TestSlowReaderIsBoundedAndDelaysNoOtherCaller(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		spec, err := fleet.NewSpec(examples.CairoInventory, examples.CairoRules, 1)
		require.NoError(t, err)
		net := network.New()
		spec.Network, spec.Entries, spec.Engines = net, 1, spec.Engines[:1]
		spec.Engines[0].Settings.TokenGap = time.Millisecond
		site, err := fleet.New(spec, slog.New(slog.NewTextHandler(io.Discard, nil)), invariant.New(slog.New(slog.NewTextHandler(io.Discard, nil))))
		require.NoError(t, err)
		s := &session{t: t, site: site, client: &http.Client{Transport: &http.Transport{DialContext: net.DialContext, DisableKeepAlives: true}}}
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, site.URLs()[0]+"/v1/chat/completions", strings.NewReader(critique("slow", 60000).body))
		require.NoError(t, err)
		request.Header.Set("X-Workspace", "front-desk")
		request.Header.Set("X-Deadline", "5m")
		slow, err := s.client.Do(request)
		require.NoError(t, err)
		bubble.Sleep(20 * time.Second)
		streamed := site.Engine(spec.Engines[0].Name).Tokens()
		t.Logf("engine streamed %d tokens before backpressure", streamed)
		startedAt := time.Now()
		require.Contains(t, s.do(critique("other", 20)), "other:19")
		require.Less(t, time.Since(startedAt), 2*time.Second)
		// A token is about 100 bytes: two windows of 256 KB, the answer's buffer
		// of 64 KB and the connections' own buffers hold less than 1 MB.
		require.Less(t, streamed, 10000)
		require.NoError(t, slow.Body.Close())
		require.NoError(t, site.Close())
	})
}

func TestSessionRefusals(t *testing.T) {
	runSession(t, "refusals", func(s *session) string {
		return s.do(call{method: http.MethodPost, path: "/booking/payments", body: "{}"}) +
			s.do(call{method: http.MethodPost, path: "/v1/chat/completions", body: "{"}) +
			s.do(call{method: http.MethodPost, path: "/v1/chat/completions", header: map[string]string{"X-Deadline": "1ms"}, body: critique("late", 400).body})
	})
}
