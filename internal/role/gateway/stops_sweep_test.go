package gateway_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
)

var (
	sweepSeeds = flag.Int("sweep-seeds", 6, "number of random stops to run")
	sweepFirst = flag.Uint64("sweep-first-seed", 1, "seed of the first random stop")
)

// eventTokens is the number of tokens of one event of an engine, 100 ms each.
const eventTokens = 6

// lateStream is a stream that is sent to the gateway that stops first, at a time after
// the start of its stop.
type lateStream struct {
	id                string
	at                time.Duration
	maximum, hint     int
	events            int
	breakAfter        int
	bodyDelay         time.Duration
	keptOpen          bool
	outcome           string
	took              time.Duration
	retry, retryAfter string
}

func (s *lateStream) target() string {
	target := "/old/n?events=" + strconv.Itoa(s.events)
	if s.breakAfter > 0 {
		target += "&break=" + strconv.Itoa(s.breakAfter)
	}
	return target
}

// slowBody is a request body whose first byte comes after a delay.
type slowBody struct {
	delay time.Duration
	rest  io.Reader
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	bubble.Sleep(b.delay)
	b.delay = 0
	return b.rest.Read(p)
}

// requestLog keeps the outcome lines of requests and the requests that were placed
// without the scheduler, by request ID.
type requestLog struct {
	mu    *sync.Mutex
	lines map[string]string
	local map[string]bool
	id    string
}

func newRequestLog() *requestLog {
	return &requestLog{mu: &sync.Mutex{}, lines: map[string]string{}, local: map[string]bool{}}
}

// Enabled implements slog.Handler.
func (l *requestLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l *requestLog) Handle(_ context.Context, r slog.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	line, id := "", l.id
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "id":
			id = a.Value.String()
		case "outcome", "why", "sends", "end", "planned", "exit-in", "others-accept":
			line += fmt.Sprintf(" %s=%v", a.Key, a.Value)
		}
		return true
	})
	switch r.Message {
	case "request":
		if l.lines[id] == "" {
			l.lines[id] = line
		}
	case "choosing without the scheduler":
		l.local[id] = true
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (l *requestLog) WithAttrs(attrs []slog.Attr) slog.Handler {
	with := *l
	for _, a := range attrs {
		if a.Key == "id" {
			with.id = a.Value.String()
		}
	}
	return &with
}

// WithGroup implements slog.Handler.
func (l *requestLog) WithGroup(string) slog.Handler { return l }

// send sends the stream to a gateway and returns what its caller sees.
func (f *fleet) send(client *http.Client, gateway int, s *lateStream, id string) (string, time.Duration, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+callerAddress(gateway)+s.target(), &slowBody{delay: s.bodyDelay, rest: strings.NewReader("body")})
	require.NoError(f.t, err)
	r.Host, r.ContentLength = "h", 4
	for name, value := range map[string]string{
		attemptIDHeader: id, "Api-Key": "key", "X-Persimmonridge-Deadline-Ms": "15000",
		"X-Persimmonridge-Token-Counts": fmt.Sprintf("1000,%d", s.maximum), "X-Persimmonridge-Length-Hint": strconv.Itoa(s.hint),
	} {
		r.Header.Set(name, value)
	}
	start := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return "unsent", time.Since(start), ""
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	took := time.Since(start)
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return "refused", took, response.Header.Get("Retry-After")
	case response.StatusCode != http.StatusOK:
		return "status " + strconv.Itoa(response.StatusCode), took, ""
	case err != nil || strings.Count(string(body), "data:") != s.events:
		return "cut", took, ""
	}
	return "whole", took, ""
}

// retryElsewhere sends a refused stream again to the next gateway that does not stop.
func (f *fleet) retryElsewhere(s *lateStream, other int) {
	bubble.Sleep(10 * time.Millisecond)
	s.retry, _, _ = f.send(f.client(true), other, s, s.id+"r")
}

func (f *fleet) client(single bool) *http.Client {
	return &http.Client{Timeout: 16 * time.Second, Transport: &http.Transport{DialContext: f.network.DialContext, DisableKeepAlives: single}}
}

// randomStop runs one random stop and returns its description and its streams.
func randomStop(t *testing.T, seed uint64, log *requestLog) (string, []*lateStream) {
	random := rand.New(rand.NewPCG(seed, 1))
	first := random.IntN(gateways)
	stopping := 1 + random.IntN(gateways)
	gap := time.Duration(random.IntN(3)) * time.Duration(random.IntN(1500)) * time.Millisecond
	fault := []string{"none", "none", "kill", "restart"}[random.IntN(4)]
	faultAt := time.Duration(random.IntN(6000)) * time.Millisecond
	background := random.IntN(4)
	var streams []*lateStream
	for i := range 5 {
		events := 1 + random.IntN(75)
		tokens := events * eventTokens
		s := &lateStream{
			id: fmt.Sprintf("s%d-%d", seed, i), at: time.Duration(-500+random.IntN(7600)) * time.Millisecond, events: events,
			maximum:  tokens + random.IntN(3)*random.IntN(2000),
			hint:     max(1, int(float64(tokens)/math.Exp(1.2*random.NormFloat64()))),
			keptOpen: random.IntN(3) == 0,
		}
		if random.IntN(8) == 0 {
			s.hint = max(1, tokens/30)
		}
		if random.IntN(6) == 0 && events > 4 {
			s.breakAfter = 1 + random.IntN(events-1)
		}
		streams = append(streams, s)
	}
	kind := fmt.Sprintf("stopping=%d gap=%s fault=%s background=%d", stopping, gap, fault, background)
	runLoggedFleet(t, slog.New(log), func(f *fleet) {
		f.warmUp()
		open := f.client(false)
		f.send(open, first, &lateStream{maximum: 18, hint: 18, events: 3}, fmt.Sprintf("open-%d", seed))
		for i := range background {
			go f.send(f.client(true), (first+i)%gateways, &lateStream{maximum: 400, hint: 300, events: 10 + 15*i}, fmt.Sprintf("b%d-%d", seed, i))
		}
		bubble.Sleep(600 * time.Millisecond)
		var wg sync.WaitGroup
		// The last gateway neither fails nor stops, unless all stop.
		last := (first + gateways - 1) % gateways
		for _, s := range streams {
			wg.Go(func() {
				bubble.Sleep(500*time.Millisecond + s.at)
				client := f.client(true)
				if s.keptOpen {
					client = open
				}
				s.outcome, s.took, s.retryAfter = f.send(client, first, s, s.id)
				if s.outcome == "refused" && stopping < gateways {
					f.retryElsewhere(s, last)
				}
			})
		}
		for i := range stopping {
			wg.Go(func() {
				bubble.Sleep(500*time.Millisecond + time.Duration(i)*gap)
				f.stop((first + i) % gateways)
			})
		}
		if victim := (first + 1) % gateways; fault != "none" && stopping == 1 {
			wg.Go(func() {
				bubble.Sleep(500*time.Millisecond + faultAt)
				f.network.Vanish(callerAddress(victim))
				f.network.Vanish(linkAddress(victim))
				if fault == "restart" {
					bubble.Sleep(1500 * time.Millisecond)
					f.network.Restore(callerAddress(victim))
					f.network.Restore(linkAddress(victim))
				}
			})
		}
		wg.Wait()
		bubble.Sleep(17 * time.Second)
		open.CloseIdleConnections()
	})
	return kind, streams
}

// Guards against streams that are cut by a stop at whatever moment they were taken,
// while one, two or all gateways stop, together or in series.
func TestRandomStopsCutNoStream(t *testing.T) {
	log := newRequestLog()
	cut := 0
	for seed := *sweepFirst; seed < *sweepFirst+uint64(*sweepSeeds); seed++ {
		kind, streams := randomStop(t, seed, log)
		for _, s := range streams {
			t.Logf("seed=%d %s at=%s max=%d hint=%d real=%dms break=%d open=%t -> %s took=%s retry=%s after=%s local=%t |%s", seed, kind,
				s.at, s.maximum, s.hint, s.events*100, s.breakAfter, s.keptOpen, s.outcome, s.took.Round(time.Millisecond), s.retry, s.retryAfter, log.local[s.id], log.lines[s.id])
			if s.outcome == "cut" {
				cut++
			}
		}
	}
	require.Zero(t, cut, "streams cut")
}

// logStream logs one row of the table of streams that were sent during a stop.
func logStream(t *testing.T, s *lateStream, log *requestLog) {
	t.Logf("at=%s max=%d hint=%d real=%dms break=%d -> %s took=%s local=%t |%s",
		s.at, s.maximum, s.hint, s.events*100, s.breakAfter, s.outcome, s.took.Round(time.Millisecond), log.local[s.id], log.lines[s.id])
}

// sendInStop stops gateway 0 and sends the streams to it at their times after the start
// of the stop. During is called at the start of the stop.
func sendInStop(t *testing.T, during func(f *fleet), streams ...*lateStream) {
	log := newRequestLog()
	runLoggedFleet(t, slog.New(log), func(f *fleet) {
		f.warmUp()
		go f.send(f.client(true), 0, &lateStream{maximum: 360, hint: 360, events: 60}, "long")
		const lead = 300 * time.Millisecond
		var wg sync.WaitGroup
		wg.Go(func() {
			bubble.Sleep(lead)
			f.stop(0)
		})
		if during != nil {
			wg.Go(func() {
				bubble.Sleep(lead)
				during(f)
			})
		}
		for i, s := range streams {
			s.id = fmt.Sprintf("%s-%d", s.at, i)
			wg.Go(func() {
				bubble.Sleep(lead + s.at)
				s.outcome, s.took, s.retryAfter = f.send(f.client(true), 0, s, s.id)
			})
		}
		wg.Wait()
		bubble.Sleep(10 * time.Second)
	})
	for _, s := range streams {
		logStream(t, s, log)
	}
}

// Guards against cutting a stream whose length hint is too low by a small or a large
// factor, at any moment of a stop.
func TestStreamsOfAStopAreNotCutWhateverTheirHint(t *testing.T) {
	cut := 0
	for _, at := range []time.Duration{0, 500, 1000, 1250, 1300, 1500, 1900, 2000, 2050, 2500, 3000, 4000, 5000} {
		var streams []*lateStream
		for _, hint := range []int{12, 90, 180, 300, 360} {
			streams = append(streams, &lateStream{at: at * time.Millisecond, maximum: 480, hint: hint, events: longEvents})
		}
		sendInStop(t, nil, streams...)
		for _, s := range streams {
			if s.outcome == "cut" {
				cut++
			}
		}
	}
	require.Zero(t, cut, "streams cut")
}

// Guards against cutting a stream that even its length hint forbids, because the scheduler
// was silent for a moment and the gateway chose an engine by itself.
func TestStreamOfAStopPlacedWithoutSchedulerIsNotCut(t *testing.T) {
	for _, silence := range []time.Duration{0, 200 * time.Millisecond} {
		s := &lateStream{at: 1500 * time.Millisecond, maximum: 600, hint: 600, events: 70}
		sendInStop(t, func(f *fleet) {
			bubble.Sleep(s.at - 10*time.Millisecond)
			for i := 1; i < gateways && silence > 0; i++ {
				f.network.Freeze(linkAddress(i), silence)
			}
		}, s)
		require.NotEqual(t, "cut", s.outcome, "scheduler silent for %s", silence)
	}
}

// Guards against breaking off a stream in a stop that has two events left, and seconds to
// get them, because its whole length is planned again when it is resumed.
func TestStreamOfAStopIsResumedByWhatIsLeft(t *testing.T) {
	s := &lateStream{at: 150 * time.Millisecond, maximum: 216, hint: 189, events: 36, breakAfter: 34}
	sendInStop(t, nil, s)
	require.Equal(t, "whole", s.outcome)
}

// Guards against cutting a stream whose body arrives seconds after its header, since the
// stop is judged by the moment at which the header arrived.
func TestStreamOfAStopWithASlowBodyIsNotCut(t *testing.T) {
	cut := 0
	for _, at := range []time.Duration{-200, 100, 1000, 1900} {
		for _, hint := range []int{12, 360} {
			s := &lateStream{at: at * time.Millisecond, maximum: 480, hint: hint, events: longEvents, bodyDelay: 2500 * time.Millisecond}
			sendInStop(t, nil, s)
			if s.outcome == "cut" {
				cut++
			}
		}
	}
	require.Zero(t, cut, "streams cut")
}

// Guards against breaking off a stream that nothing but its first engine disturbs, because
// its whole length is planned again when it is resumed.
func TestStreamIsResumedByWhatIsLeft(t *testing.T) {
	s := &lateStream{id: "resumed", maximum: 976, hint: 798, events: 65, breakAfter: 48}
	log := newRequestLog()
	runLoggedFleet(t, slog.New(log), func(f *fleet) {
		f.warmUp()
		s.outcome, s.took, _ = f.send(f.client(true), 0, s, s.id)
	})
	logStream(t, s, log)
	require.Equal(t, "whole", s.outcome)
}

// Guards against cutting a stream that states no length and is sent early in a stop.
func TestStreamOfAStopOfUnknownLengthIsNotCut(t *testing.T) {
	s := &lateStream{at: 1500 * time.Millisecond, events: longEvents}
	sendInStop(t, nil, s)
	require.NotEqual(t, "cut", s.outcome)
}
