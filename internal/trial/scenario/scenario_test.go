package scenario_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/trial/scenario"
	"github.com/persimmonridge/persimmonridge/internal/trial/scenariotest"
)

// Runs the scripts in testdata; each starts with a description of the failure.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".json"), func(t *testing.T) {
			raw, err := os.ReadFile(path)
			require.NoError(t, err)
			script, err := scenario.Parse(raw)
			require.NoError(t, err)
			scenariotest.Run(t, script)
		})
	}
}

func TestBadScriptsAreRefused(t *testing.T) {
	for _, raw := range []string{`{`, `{}`, `{"story":["one line"],"duration":"1s","rate":1,"engines":1,"entries":1}`, `{"duration":"soon"}`} {
		_, err := scenario.Parse([]byte(raw))
		require.Error(t, err, raw)
	}
}
