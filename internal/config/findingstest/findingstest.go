// Package findingstest runs table tests of the findings that a document yields.
package findingstest

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/schema"
)

// Run runs the test cases in a file. Each one applies a merge patch to base; check
// must then return exactly the findings listed, in order, each with a remedy.
func Run(t *testing.T, path string, base []byte, check func(raw []byte) []schema.Finding) {
	t.Helper()
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	var cases []struct {
		Name     string          `json:"name"`
		Change   json.RawMessage `json:"change"`
		Findings []string        `json:"findings"`
	}
	require.NoError(t, json.Unmarshal(raw, &cases))
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			changed, err := document.Patch(base, c.Change)
			require.NoError(t, err)
			findings := check(changed)
			require.Len(t, findings, len(c.Findings), "%v", findings)
			for i, f := range findings {
				require.Contains(t, f.String(), c.Findings[i])
				require.NotEmpty(t, f.Remedy())
			}
		})
	}
}
