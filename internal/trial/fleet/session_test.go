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

var update = flag.Bool("update", false, "write the golden files anew")

// session is a whole small site with a transcript of what callers sent and got.
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

// play runs a session and compares its transcript with the golden file.
func play(t *testing.T, name string, run func(s *session) string) {
	bubble.Run(t, func(t *testing.T) {
		shape, err := fleet.ShapeOf(examples.CairoInventory, examples.CairoRules, 1)
		require.NoError(t, err)
		net := network.New()
		shape.Network, shape.Engines, shape.Bookings = net, shape.Engines[:2], shape.Bookings[:2]
		logger := slog.New(slog.NewTextHandler(io.Discard, nil))
		invariants := invariant.New(logger)
		site, err := fleet.New(shape, logger, invariants)
		require.NoError(t, err)
		transport := &http.Transport{DialContext: net.DialContext}
		s := &session{t: t, site: site, client: &http.Client{Transport: transport}}
		got := run(s)
		transport.CloseIdleConnections()
		require.NoError(t, site.Close())
		require.Zero(t, invariants.Total())
		compare(t, name, got)
	})
}

func compare(t *testing.T, name, got string) {
	path := filepath.Join("testdata", "sessions", name+".golden")
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err, "run with -update to write it")
	require.Equal(t, string(want), got)
}

// do sends one call and returns its part of the transcript.
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

var varying = regexp.MustCompile(`[A-Z2-7]{26}`)

// transcript writes an answer without what differs from run to run.
func transcript(response *http.Response, body []byte) string {
	var lines []string
	for name, values := range response.Header {
		if name != "Date" {
			lines = append(lines, fmt.Sprintf("< %s: %s", name, strings.Join(values, ", ")))
		}
	}
	sort.Strings(lines)
	text := fmt.Sprintf("< %d\n%s\n%s", response.StatusCode, strings.Join(lines, "\n"), body)
	return varying.ReplaceAllString(text, "<id>")
}

func critique(mark string, length int) call {
	body := fmt.Sprintf(`{"model":"tutor/critique","stream":true,"messages":[{"role":"user","content":"[length=%d] [mark=%s]"}]}`, length, mark)
	return call{method: http.MethodPost, path: "/v1/chat/completions", body: body}
}

func TestSessionStreamedCritique(t *testing.T) {
	play(t, "streamed-critique", func(s *session) string { return s.do(critique("sketch-1", 6)) })
}

// Two students ask at once through one entry, the first for a longer answer:
// the answers cross on the link, and each gets its own.
func TestSessionCrossingAnswers(t *testing.T) {
	play(t, "crossing-answers", func(s *session) string {
		var long, short string
		var both sync.WaitGroup
		both.Go(func() { long = s.do(critique("long", 9)) })
		both.Go(func() {
			bubble.Pass(time.Millisecond)
			short = s.do(critique("short", 2))
		})
		both.Wait()
		return long + short
	})
}

// An enrolment is sent twice at once with one key, through two entries, and a
// third time later: it runs once and all three get the whole answer. With
// another body the key is refused.
func TestSessionEnrolmentSentTwice(t *testing.T) {
	play(t, "enrolment-twice", func(s *session) string {
		seat := call{method: http.MethodPost, path: "/booking/enrolments", header: map[string]string{"Idempotency-Key": "seat-41"}, body: `{"class":"evening","learner":"Nadia"}`}
		other := seat
		other.entry = 1
		var first, second string
		var both sync.WaitGroup
		both.Go(func() { first = s.do(seat) })
		both.Go(func() { second = s.do(other) })
		both.Wait()
		third := s.do(seat)
		changed := other
		changed.body = `{"class":"evening","learner":"Salma"}`
		fourth := s.do(changed)
		require.Equal(s.t, 1, s.site.Effects().Effects("seat-41"))
		return first + second + third + fourth
	})
}

// One student's browser stops reading, and the tutor is slow for everybody.
// The caller reads the first byte of a long answer and then nothing. What the
// system holds for it is bounded, so the engine is held back; another critique
// over the same link is answered as ever.
func TestSlowReaderIsBoundedAndStarvesNobody(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		shape, err := fleet.ShapeOf(examples.CairoInventory, examples.CairoRules, 1)
		require.NoError(t, err)
		net := network.New()
		shape.Network, shape.Entries, shape.Engines = net, 1, shape.Engines[:1]
		shape.Engines[0].Settings.TokenGap = time.Millisecond
		site, err := fleet.New(shape, slog.New(slog.NewTextHandler(io.Discard, nil)), invariant.New(slog.New(slog.NewTextHandler(io.Discard, nil))))
		require.NoError(t, err)
		s := &session{t: t, site: site, client: &http.Client{Transport: &http.Transport{DialContext: net.DialContext, DisableKeepAlives: true}}}
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, site.URLs()[0]+"/v1/chat/completions", strings.NewReader(critique("slow", 60000).body))
		require.NoError(t, err)
		request.Header.Set("X-Workspace", "front-desk")
		request.Header.Set("X-Deadline", "5m")
		slow, err := s.client.Do(request)
		require.NoError(t, err)
		bubble.Pass(20 * time.Second)
		held := site.Engine(shape.Engines[0].Name).Tokens()
		t.Logf("%d tokens held", held)
		started := time.Now()
		require.Contains(t, s.do(critique("other", 20)), "other:19")
		require.Less(t, time.Since(started), 2*time.Second)
		// A token is about 100 bytes: two windows of 256 KB, the answer's buffer
		// of 64 KB and the connections' own hold under a megabyte.
		require.Less(t, held, 10000)
		require.NoError(t, slow.Body.Close())
		require.NoError(t, site.Close())
	})
}

func TestSessionRefusals(t *testing.T) {
	play(t, "refusals", func(s *session) string {
		return s.do(call{method: http.MethodPost, path: "/booking/payments", body: "{}"}) +
			s.do(call{method: http.MethodPost, path: "/v1/chat/completions", body: "{"}) +
			s.do(call{method: http.MethodPost, path: "/v1/chat/completions", header: map[string]string{"X-Deadline": "1ms"}, body: critique("late", 400).body})
	})
}
