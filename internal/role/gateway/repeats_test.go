package gateway_test

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/proof/repeats"
	"github.com/persimmonridge/persimmonridge/platform/standin"
)

const (
	// repeatsGateways is the size of the fleet, and callersWait how long its callers wait if the
	// script does not tell.
	repeatsGateways = 4
	callersWait     = time.Second
)

// repeatsPlay is a fleet whose upstreams fail, with what callers sent and upstreams received.
type repeatsPlay struct {
	*fleet
	log     *repeats.Log
	callers sync.WaitGroup
	sent    int
	// callersWait is how long the callers wait for an answer.
	callersWait time.Duration
	// next is the gateway that starts again next.
	next int
}

// Guards against a service that is sent more repeats than the fleet may send in a window:
// gateways start again, at once or one by one, in a series or only one of them, do not know
// each other, or few requests come. Each file tells the case.
func TestRepeatsStayWithinTheFleetsBudget(t *testing.T) {
	files, err := filepath.Glob("testdata/repeats/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			script, err := os.ReadFile(file)
			require.NoError(t, err)
			f := &fleet{size: repeatsGateways, slots: 16, logger: slog.New(slog.DiscardHandler)}
			var worst repeats.Span
			playFleet(t, f, func(f *fleet) {
				p := &repeatsPlay{fleet: f, log: repeats.NewLog(), callersWait: callersWait}
				f.putPlainConfig()
				f.observe = p.log.Arrived
				p.play(string(script))
				p.callers.Wait()
				f.store.SetFault(standin.None)
				settings := f.settings(0).Retry
				worst = p.log.Worst(repeats.Limit{Ratio: settings.Ratio, Slack: settings.Slack, Window: settings.Window})
			})
			t.Logf("%d repeats of %d requests, %.1f allowed", worst.Repeats, worst.Requests, worst.Allowed)
			require.Positive(t, worst.Repeats, "nothing was repeated")
			require.False(t, worst.Exceeds(), "%d repeats of %d requests, %.1f are allowed", worst.Repeats, worst.Requests, worst.Allowed)
		})
	}
}

// play plays the steps of a script. A line that begins with xN is played N times, and its
// steps are separated by semicolons.
func (p *repeatsPlay) play(script string) {
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		times := 1
		if count, rest, ok := strings.Cut(line, " "); ok && strings.HasPrefix(count, "x") {
			n, err := strconv.Atoi(count[1:])
			require.NoError(p.t, err)
			times, line = n, rest
		}
		for range times {
			for step := range strings.SplitSeq(line, ";") {
				p.step(strings.Fields(step))
			}
		}
	}
}

func (p *repeatsPlay) step(words []string) {
	switch words[0] {
	case "requests":
		perSecond, err := strconv.ParseFloat(words[1], 64)
		require.NoError(p.t, err)
		called := p.gateways("all")
		if len(words) > 4 {
			called = p.gateways(words[5])
		}
		p.request(perSecond, p.duration(words[3]), called)
	case "slots":
		n, err := strconv.Atoi(words[1])
		require.NoError(p.t, err)
		p.slots = n
		for i := range engines {
			p.register(i, "a", "")
		}
	case "callers-wait":
		p.callersWait = p.duration(words[1])
	case "wait":
		bubble.Sleep(p.duration(words[1]))
	case "upstreams":
		p.mu.Lock()
		p.resets, p.errors = words[1] == "reset", words[1] == "fail"
		p.mu.Unlock()
	case "pause":
		for i := range engines / 2 {
			p.network.Pause(engineAddress(i), p.duration(words[len(words)-1]))
		}
	case "kill":
		for _, i := range p.gateways(words[1]) {
			p.kill(i)
		}
		p.next = (p.next + 1) % repeatsGateways
	case "start":
		for _, i := range p.gateways(words[1]) {
			p.restart(i)
		}
	case "stop":
		for _, i := range p.gateways(words[1]) {
			p.stop(i)
		}
	case "links":
		for i := range repeatsGateways {
			p.dialer(i).severedPeers.Store(words[1] == "severed")
		}
	case "store-turns-away":
		for _, word := range words[1:] {
			p.turnAway(true, p.gateways(word)...)
		}
	case "store":
		p.store.SetFault(map[string]standin.Fault{"away": standin.NoResponse, "back": standin.None}[words[1]])
	default:
		require.Fail(p.t, "unknown step", "%v", words)
	}
}

// gateways returns the gateways that a word names.
func (p *repeatsPlay) gateways(word string) []int {
	switch word {
	case "all":
		return []int{0, 1, 2, 3}
	case "next":
		return []int{p.next}
	}
	i, err := strconv.Atoi(word)
	require.NoError(p.t, err)
	return []int{i}
}

// request makes calls for a time, spread over the gateways.
func (p *repeatsPlay) request(perSecond float64, during time.Duration, called []int) {
	interval, deadlineMs := time.Duration(float64(time.Second)/perSecond), fmt.Sprint(p.callersWait.Milliseconds())
	for end := time.Now().Add(during); time.Now().Before(end); bubble.Sleep(interval) {
		p.sent++
		id, i := fmt.Sprintf("r%d", p.sent), called[p.sent%len(called)]
		p.log.Sent(time.Now())
		p.callers.Go(func() {
			p.callWithHeaders(i, "/old/x?events=1", id, strings.NewReader("body"), map[string]string{"X-Persimmonridge-Deadline-Ms": deadlineMs})
		})
	}
}

func (p *repeatsPlay) duration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	require.NoError(p.t, err)
	return d
}
