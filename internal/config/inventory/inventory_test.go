package inventory_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
)

// Each case changes the Cairo inventory by a merge patch and must yield exactly
// its findings, each with a remedy.
func TestFindings(t *testing.T) {
	raw, err := os.ReadFile("testdata/findings.json")
	require.NoError(t, err)
	var cases []struct {
		Name     string          `json:"name"`
		Change   json.RawMessage `json:"change"`
		Findings []string        `json:"findings"`
	}
	require.NoError(t, json.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			changed, err := document.Patch(examples.CairoInventory, c.Change)
			require.NoError(t, err)
			_, findings := inventory.Parse(changed)
			require.Len(t, findings, len(c.Findings), "%v", findings)
			for i, f := range findings {
				require.Contains(t, f.String(), c.Findings[i])
				require.NotEmpty(t, f.Remedy())
			}
		})
	}
}

func TestAccessors(t *testing.T) {
	inv, findings := inventory.Parse(examples.CairoInventory)
	require.Empty(t, findings)
	require.Equal(t, []string{"booking", "tutor"}, inv.ServiceNames())
	require.Equal(t, []string{"cairo-a", "cairo-b", "cairo-c"}, inv.FailureDomains())
	require.Len(t, inv.Workspaces(), 5)
	size, ok := inv.WorkspaceSize("front-desk")
	require.True(t, ok)
	require.Equal(t, inventory.Small, size)
	booking, ok := inv.Service("booking")
	require.True(t, ok)
	payment, ok := booking.Action("payment")
	require.True(t, ok)
	require.Equal(t, "booking/payment", payment.Route())
}

func FuzzParse(f *testing.F) {
	f.Add(examples.CairoInventory)
	f.Add([]byte(`{"workspaces":{"a":null}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		inv, findings := inventory.Parse(raw)
		if len(findings) == 0 {
			require.NotEmpty(t, inv.ServiceNames())
			require.NotEmpty(t, inv.Workspaces())
		}
	})
}
