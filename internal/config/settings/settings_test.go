package settings_test

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/config/settings"
)

const validEntrySettings = `{"node":"entry-1","failure-domain":"cairo-a","caller-address":"127.0.0.1:8080","peer-address":"127.0.0.1:8081",
	"store-addresses":["http://127.0.0.1:8500"],"vm-list-url":"http://127.0.0.1:8600/vms"}`

func TestEntrySettings(t *testing.T) {
	s, err := settings.ParseEntry([]byte(validEntrySettings))
	require.NoError(t, err)
	require.Equal(t, "entry-1", s.Node())
	require.Equal(t, settings.DefaultClaimPartitions, s.ClaimPartitions())
}

// All faults of a settings file are reported together, before the process listens.
func TestInvalidSettingsAreRejected(t *testing.T) {
	cases := []struct{ name, raw, want string }{
		{"not JSON", `{`, "not JSON"},
		{"empty", `{}`, "missing properties"},
		{"unknown field", `{"nod":"x"}`, "additional properties 'nod' not allowed"},
		{"host name for address", `{"caller-address":"localhost:80"}`, "/caller-address: 'localhost:80' does not match"},
		{"number for text", `{"node":7}`, "/node: got number, want string"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := settings.ParseEntry([]byte(tc.raw))
			require.True(t, errorx.IsOfType(err, settings.Invalid))
			require.ErrorContains(t, err, tc.want)
		})
	}
	_, err := settings.ParseAgent([]byte(`{"limit":0}`))
	require.ErrorContains(t, err, "/limit: minimum: got 0, want 1")
}

func FuzzParseAgent(f *testing.F) {
	f.Add([]byte(validEntrySettings))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = settings.ParseAgent(raw)
		_, _ = settings.ParseEntry(raw)
	})
}
