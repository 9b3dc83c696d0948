package inventory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/config/findingstest"
	"github.com/persimmonridge/persimmonridge/internal/config/inventory"
	"github.com/persimmonridge/persimmonridge/schema"
)

func TestFindings(t *testing.T) {
	findingstest.Run(t, "testdata/findings.json", examples.CairoInventory, func(raw []byte) []schema.Finding {
		_, findings := inventory.Parse(raw)
		return findings
	})
}

// Guards against findings with a wrong path: the schema library reports the
// location at which it is when the error is read, not when it was found, and it
// visits properties in the random order of a map. That gave a wrong path in one
// check of six, so the same file is checked many times.
func TestPathsOfNameFindingsDoNotDependOnOrder(t *testing.T) {
	raw := []byte(`{"site": "cairo",
		"failure-domains": {"cairo-a": {}},
		"workspaces": {"front desk": {"size": "small"}},
		"services": {
			"one": {"kind": "plain", "versions": {"v 1": {}}, "actions": {"x y": {"method": "GET", "path": "/a"}}},
			"two": {"kind": "plain", "versions": {"v1": {}}, "actions": {"x y": {"method": "GET", "path": "/b"}}}}}`)
	want := []string{
		"/services/one/actions/x y", "/services/one/versions/v 1", "/services/two/actions/x y", "/workspaces/front desk",
	}
	for range 200 {
		_, findings := inventory.Parse(raw)
		var paths []string
		for _, f := range findings {
			paths = append(paths, f.Path())
		}
		require.Equal(t, want, paths)
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
