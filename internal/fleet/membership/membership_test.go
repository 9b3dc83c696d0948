package membership_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/membership"
)

var start = time.Unix(1_000_000, 0)

const settleTime = 12 * time.Second

// Guards against a process that takes a part of the fleet's allowances while the others may
// divide them without it. Each file tells its cases, from which a new process starts each.
func TestProcessOwnsAPartOnlyWhileTheOthersCountIt(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		script, err := os.ReadFile(file)
		require.NoError(t, err)
		for i, text := range strings.Split(strings.TrimSpace(string(script)), "\n\n") {
			title, steps, _ := strings.Cut(text, "\n")
			t.Run(strings.TrimSpace(strings.TrimPrefix(title, "#")), func(t *testing.T) {
				require.NotEmpty(t, steps, "case %d", i)
				m := membership.New(settleTime)
				for step := range strings.Lines(steps) {
					play(t, m, strings.Fields(step))
				}
			})
		}
	}
}

// at returns the time that a word states.
func at(t *testing.T, word string) time.Time {
	d, err := time.ParseDuration(word)
	require.NoError(t, err)
	return start.Add(d)
}

// play plays a step, which begins with its time.
func play(t *testing.T, m *membership.Membership, words []string) {
	now, verb, rest := at(t, words[0]), words[1], words[2:]
	switch verb {
	case "list":
		addresses := make(map[string]string)
		for _, key := range rest {
			addresses[key] = "address-" + key
		}
		m.Replace(addresses)
	case "add":
		m.Add(rest[0], "address-"+rest[0])
	case "remove":
		m.Remove(rest[0])
	case "succeeds":
		m.Succeeds()
	case "registered":
		m.Registered(now, at(t, rest[1]))
	case "renewed":
		m.Renewed(at(t, rest[1]))
	case "knows":
		want := make([]string, 0, len(rest))
		for _, key := range rest {
			want = append(want, "address-"+key)
		}
		require.Equal(t, want, slices.Sorted(slices.Values(m.Addresses())), "%v", words)
	case "owns":
		since, owns := m.Owns(now)
		require.Equal(t, rest[0] != "nothing", owns, "%v", words)
		if owns {
			require.Equal(t, at(t, rest[1]), since, "%v", words)
		}
	default:
		require.Fail(t, "unknown step", "%v", words)
	}
}
