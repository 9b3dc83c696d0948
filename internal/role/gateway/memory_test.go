package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against settings that do not reach the requests, and against memory and connections that
// are not bounded where the settings state no limits; they may change while the process runs.
func TestMemoryIsBoundedAsSettingsSay(t *testing.T) {
	const longBody, shortBody = 3 << 10, 1 << 10
	runFleet(t, func(f *fleet) {
		call := func(id string, length int) outcome {
			return f.callWithBody(0, "/old/x", id, "1000,100", "18", strings.NewReader(strings.Repeat("x", length)))
		}
		require.Equal(t, http.StatusOK, call("unknown limits", longBody).status)
		// Those of a VM with 128 MB and 4,096 descriptors.
		require.Contains(t, f.metrics(0), "\npersimmonridge_memory_limit_bytes 3.3554432e+07\n")
		require.Contains(t, f.metrics(0), "\npersimmonridge_caller_connections_limit 1024\n")
		settings := f.settings(0)
		settings.MemoryBytes = 16 << 10 // The account has 4 KB, and one workspace 2 KB.
		settings.Descriptors = 400
		f.nodes[0].Reload(settings)
		refused := call("long", longBody)
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		require.NotEmpty(t, refused.retryAfter)
		require.Equal(t, http.StatusOK, call("short", shortBody).status)
		text := f.metrics(0)
		for _, line := range []string{
			"persimmonridge_memory_limit_bytes 4096", "persimmonridge_caller_connections_limit 64", "persimmonridge_memory_displaced_total 0", "persimmonridge_memory_refused_total 1", "persimmonridge_streams_read_ahead_total 0",
			`persimmonridge_memory_held_bytes{kind="body"} 0`, `persimmonridge_memory_held_bytes{kind="stream"} 0`,
		} {
			require.Contains(t, text, "\n"+line+"\n")
		}

		settings.MemoryBytes = 134 << 20
		f.nodes[0].Reload(settings)
		require.Equal(t, http.StatusOK, call("room again", longBody).status)
	})
}
