package explain_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/observe/explain"
)

// The logs must explain an aborted stream by its request ID: which upstream broke it
// off, why it was not resumed, and which configuration and scheduler were active then,
// not later.
func TestStoryOfAnAbortedStream(t *testing.T) {
	file, err := os.Open("testdata/edge-1.log")
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	log, err := explain.Read("edge-1", file)
	require.NoError(t, err)
	var got bytes.Buffer
	found, err := explain.WriteReport(&got, "r1", log)
	require.NoError(t, err)
	require.True(t, found)
	want, err := os.ReadFile("testdata/story.golden")
	require.NoError(t, err)
	require.Equal(t, string(want), got.String())

	found, err = explain.WriteReport(&got, "r2", log)
	require.NoError(t, err)
	require.True(t, found, "text of a log collector before a line must be skipped")
	found, err = explain.WriteReport(&got, "r3", log)
	require.NoError(t, err)
	require.False(t, found)
}

// If a request has no line in any log because its process was killed, the time of the
// restart must be found.
func TestRestartsAreFound(t *testing.T) {
	text := `time=2026-06-20T12:15:33.000Z level=INFO msg=started name=edge-1
time=2026-06-20T12:15:40.250Z level=INFO msg=started name=edge-1
`
	log, err := explain.Read("edge-1", strings.NewReader(text))
	require.NoError(t, err)
	require.Equal(t, []string{"edge-1 restarted at 12:15:40.250"}, explain.Restarts(log))
}

func FuzzRead(f *testing.F) {
	f.Add(`time=2026-06-20T12:15:33.000Z msg="a \" b" id=x`)
	f.Add(`time=`)
	f.Fuzz(func(t *testing.T, text string) {
		log, err := explain.Read("x", bytes.NewReader([]byte(text)))
		if err != nil {
			return
		}
		var out bytes.Buffer
		_, err = explain.WriteReport(&out, "x", log)
		require.NoError(t, err)
	})
}
