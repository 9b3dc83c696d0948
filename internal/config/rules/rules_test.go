package rules_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/config/rules"
)

// Each case changes the Cairo rules by a merge patch and must yield exactly its
// findings, each with a remedy.
func TestFindings(t *testing.T) {
	raw, err := os.ReadFile("testdata/findings.json")
	require.NoError(t, err)
	var cases []struct {
		Name     string          `json:"name"`
		Change   json.RawMessage `json:"change"`
		Findings []string        `json:"findings"`
	}
	require.NoError(t, json.Unmarshal(raw, &cases))
	inv, findings := inventory.Parse(examples.CairoInventory)
	require.Empty(t, findings)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			changed, err := document.Patch(examples.CairoRules, c.Change)
			require.NoError(t, err)
			_, findings := rules.Parse(changed, inv)
			require.Len(t, findings, len(c.Findings), "%v", findings)
			for i, f := range findings {
				require.Contains(t, f.String(), c.Findings[i])
				require.NotEmpty(t, f.Remedy())
			}
		})
	}
}

func TestBothSitesExamplesAreWithoutFindings(t *testing.T) {
	for _, files := range [][2][]byte{{examples.CairoInventory, examples.CairoRules}, {examples.SwedenInventory, examples.SwedenRules}} {
		_, findings := document.Build(files[0], files[1])
		require.Empty(t, findings)
	}
}

func TestDefaultsAreCautious(t *testing.T) {
	inv, _ := inventory.Parse(examples.CairoInventory)
	r, findings := rules.Parse([]byte(`{"tiers":["a","b"],"actions":{}}`), inv)
	require.Empty(t, findings)
	action := r.Action("booking/payment")
	require.False(t, action.RepeatSafe(), "what no rule names is never repeated")
	require.Equal(t, 1, action.Tier())
	require.Equal(t, rules.DefaultDeadline, action.Deadline())
}

func FuzzParse(f *testing.F) {
	inv, _ := inventory.Parse(examples.CairoInventory)
	f.Add(examples.CairoRules)
	f.Add([]byte(`{"tiers":["a"],"actions":{"tutor/critique":{"deadline":"9999999999h"}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, findings := rules.Parse(raw, inv)
		if len(findings) == 0 {
			require.NotEmpty(t, r.Tiers())
			require.Positive(t, r.Action("tutor/critique").Deadline())
		}
	})
}
