package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/config/changelog"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/standin/platform"
	"github.com/persimmonridge/persimmonridge/internal/trial/fleet"
)

// writeFile writes content to a temporary file and returns its path.
func writeFile(t *testing.T, name string, content []byte) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, content, 0o600))
	return path
}

// Checks and applies files, applies them again unchanged, submits an edit based
// on a revision that is no longer in force, and reads the audit trail.
func TestOperatorCommands(t *testing.T) {
	standIns, err := platform.New(&fleet.OS{}, 1)
	require.NoError(t, err)
	defer func() { _ = standIns.Close() }()
	flags := storeFlags{Store: []string{standIns.StoreURL()}}
	ctx := context.Background()
	inventoryFile, rulesFile := writeFile(t, "inventory.json", examples.CairoInventory), writeFile(t, "rules.json", examples.CairoRules)
	require.NoError(t, (&checkCommand{Inventory: inventoryFile, Rules: rulesFile}).Run())
	apply := applyCommand{storeFlags: flags, Inventory: inventoryFile, Rules: rulesFile, Who: "mariam", Why: "first", Revision: -1}
	require.NoError(t, apply.Run(ctx))
	require.NoError(t, apply.Run(ctx), "applying unchanged files is not an error")

	edited, err := document.Patch(examples.CairoInventory, []byte(`{"workspaces":{"spring":{}}}`))
	require.NoError(t, err)
	second := applyCommand{storeFlags: flags, Inventory: writeFile(t, "inventory.json", edited), Rules: rulesFile, Who: "omar", Why: "spring", Revision: 1}
	require.NoError(t, second.Run(ctx))
	stale := applyCommand{storeFlags: flags, Inventory: inventoryFile, Rules: rulesFile, Who: "mariam", Why: "undo", Revision: 1}
	err = stale.Run(ctx)
	require.True(t, errorx.IsOfType(err, changelog.Conflict))
	require.ErrorContains(t, err, "omar")
	require.NoError(t, (&auditCommand{storeFlags: flags}).Run(ctx))
	require.NoError(t, (&auditCommand{storeFlags: flags, JSON: true, Above: 1}).Run(ctx))
}

func TestCheckFailsOnFindings(t *testing.T) {
	bad := writeFile(t, "rules.json", []byte(`{"tiers":[]}`))
	err := (&checkCommand{Inventory: writeFile(t, "inventory.json", examples.CairoInventory), Rules: bad}).Run()
	require.True(t, errorx.IsOfType(err, findingsFound))
	err = (&checkCommand{Inventory: writeFile(t, "inventory.json", []byte(`{`)), Rules: bad}).Run()
	require.True(t, errorx.IsOfType(err, findingsFound))
}

func TestStatusOfUnreachableEntry(t *testing.T) {
	err := (&statusCommand{Entry: "http://127.0.0.1:1"}).Run(context.Background())
	require.True(t, errorx.IsOfType(err, entryUnreachable))
}
