package crash_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/crash"
)

// script is a sequence of events at a tracker, and of what is expected of it.
type script struct {
	name  string
	steps []string
}

func readScripts(t *testing.T, path string) []script {
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	var scripts []script
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		name, begins := strings.CutPrefix(line, "script ")
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case begins:
			scripts = append(scripts, script{name: name})
		default:
			last := &scripts[len(scripts)-1]
			last.steps = append(last.steps, line)
		}
	}
	return scripts
}

// step carries out one step: a time, a verb and its arguments.
func step(t *testing.T, tracker *crash.Tracker, line string) {
	t.Helper()
	words := strings.Fields(line)
	at, err := time.ParseDuration(words[0])
	require.NoError(t, err, line)
	now, verb, args := start.Add(at), words[1], words[2:]
	fingerprint := func(i int) uint64 {
		n, err := strconv.ParseUint(args[i], 10, 64)
		require.NoError(t, err, line)
		return n
	}
	parts := func(i int) []uint64 {
		if i >= len(args) {
			return nil
		}
		var all []uint64
		for _, part := range strings.Split(args[i], ",") {
			n, err := strconv.ParseUint(part, 10, 64)
			require.NoError(t, err, line)
			all = append(all, n)
		}
		return all
	}
	age := func(i int) time.Duration {
		d, err := time.ParseDuration(args[i])
		require.NoError(t, err, line)
		return d
	}
	switch verb {
	case "broke":
		tracker.Broke(now, args[0], fingerprint(1))
	case "sent":
		tracker.Sent(now, args[0], fingerprint(1), parts(2)...)
	case "unanswered":
		tracker.Unanswered(now, args[0], fingerprint(1))
	case "refused":
		tracker.Down(now, args[0])
	case "told":
		tracker.DownTold(now, args[0], age(1))
	case "gone":
		tracker.Gone(now, args[0])
	case "crash":
		tracker.Broke(now, args[0], fingerprint(1), parts(2)...)
		tracker.Down(now, args[0])
	case "report":
		tracker.RecordRemote(now, crash.Report{Upstream: args[0], Fingerprint: fingerprint(1), Parts: parts(2)}, false)
	case "served":
		tracker.Served(now, fingerprint(0), parts(1)...)
	case "survived":
		tracker.Survived(now, parts(0)...)
	case "part-served-elsewhere":
		tracker.ServedElsewhere(now, crash.Clearance{Fingerprint: fingerprint(0), IsPart: true, Age: age(1)})
	case "served-elsewhere":
		tracker.ServedElsewhere(now, crash.Clearance{Fingerprint: fingerprint(0), Age: age(1)})
	case "crashes":
		require.Equal(t, args[1], strconv.Itoa(tracker.Crashes(now, fingerprint(0))), line)
	case "blocked", "not-blocked":
		require.Equal(t, verb == "blocked", tracker.Blocked(now, fingerprint(0), parts(1)...), line)
	default:
		require.Fail(t, "unknown verb", line)
	}
}

// Guards against crashes that are not counted for want of one certain sign, counted
// twice, or blamed on requests that upstreams serve.
func TestSignsOfCrashes(t *testing.T) { runScripts(t, "testdata/signs.txt") }

// Guards against a part of prompts that crashes upstreams and is never blamed, and against
// the blame of parts that were in the same requests, or in others beside them.
func TestPartsThatCrashUpstreams(t *testing.T) { runScripts(t, "testdata/parts.txt") }

func runScripts(t *testing.T, path string) {
	for _, s := range readScripts(t, path) {
		t.Run(s.name, func(t *testing.T) {
			tracker := crash.New(nil)
			for _, line := range s.steps {
				step(t, tracker, line)
			}
		})
	}
}

// Guards against a request that goes on waiting for an upstream, and is then sent,
// although it has become known that it crashes upstreams.
func TestWaitingRequestIsToldThatItIsBlocked(t *testing.T) {
	tracker, told, stopped, other := crash.New(nil), 0, 0, 0
	defer tracker.WhenBlocked(func() { told++ }, 7)()
	defer tracker.WhenBlocked(func() { other++ }, 8)()
	tracker.WhenBlocked(func() { stopped++ }, 7)()
	for i, upstream := range []string{"a", "b", "c"} {
		require.Zero(t, told)
		now := start.Add(time.Duration(i) * time.Second)
		if i < 2 {
			tracker.Broke(now, upstream, 7)
			tracker.Down(now, upstream)
		} else {
			tracker.RecordRemote(now, crash.Report{Fingerprint: 7, Upstream: upstream, Event: 1}, false)
		}
	}
	require.Equal(t, 1, told)
	require.Zero(t, stopped)
	require.Zero(t, other)
}
