package rules_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/findingstest"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/internal/config/rules"
	"github.com/persimmonridge/persimmonridge/schema"
)

func TestFindings(t *testing.T) {
	inv, findings := inventory.Parse(examples.CairoInventory)
	require.Empty(t, findings)
	findingstest.Run(t, "testdata/findings.json", examples.CairoRules, func(raw []byte) []schema.Finding {
		_, findings := rules.Parse(raw, inv)
		return findings
	})
}

func TestExamplesHaveNoFindings(t *testing.T) {
	for _, files := range [][2][]byte{{examples.CairoInventory, examples.CairoRules}, {examples.SwedenInventory, examples.SwedenRules}} {
		_, findings := document.Build(files[0], files[1])
		require.Empty(t, findings)
	}
}

func TestDefaultsOfActionWithoutRule(t *testing.T) {
	inv, _ := inventory.Parse(examples.CairoInventory)
	r, findings := rules.Parse([]byte(`{"tiers":["a","b"],"actions":{}}`), inv)
	require.Empty(t, findings)
	action := r.Action("booking/payment")
	require.False(t, action.RepeatSafe(), "an action without a rule must not be repeated")
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
