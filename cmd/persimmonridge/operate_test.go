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

// file writes a file for a command to read.
func file(t *testing.T, name string, content []byte) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, content, 0o600))
	return path
}

// An operator's first day: check, apply, apply the same again, edit against a
// revision that is no longer in force, read the audit.
func TestOperatorsCommands(t *testing.T) {
	p, err := platform.New(&fleet.OS{}, 1)
	require.NoError(t, err)
	defer func() { _ = p.Close() }()
	at := connection{Store: []string{p.StoreURL()}}
	ctx := context.Background()
	inventoryFile, rulesFile := file(t, "inventory.json", examples.CairoInventory), file(t, "rules.json", examples.CairoRules)
	require.NoError(t, (&checkCommand{Inventory: inventoryFile, Rules: rulesFile}).Run())
	apply := applyCommand{connection: at, Inventory: inventoryFile, Rules: rulesFile, Who: "mariam", Why: "first", Revision: -1}
	require.NoError(t, apply.Run(ctx))
	require.NoError(t, apply.Run(ctx), "nothing to change is no fault")

	edited, err := document.Patch(examples.CairoInventory, []byte(`{"workspaces":{"spring":{}}}`))
	require.NoError(t, err)
	second := applyCommand{connection: at, Inventory: file(t, "inventory.json", edited), Rules: rulesFile, Who: "omar", Why: "spring", Revision: 1}
	require.NoError(t, second.Run(ctx))
	stale := applyCommand{connection: at, Inventory: inventoryFile, Rules: rulesFile, Who: "mariam", Why: "undo", Revision: 1}
	err = stale.Run(ctx)
	require.True(t, errorx.IsOfType(err, changelog.Conflict))
	require.ErrorContains(t, err, "omar")
	require.NoError(t, (&auditCommand{connection: at}).Run(ctx))
	require.NoError(t, (&auditCommand{connection: at, JSON: true, Above: 1}).Run(ctx))
}

func TestCheckFailsOnFindings(t *testing.T) {
	bad := file(t, "rules.json", []byte(`{"tiers":[]}`))
	err := (&checkCommand{Inventory: file(t, "inventory.json", examples.CairoInventory), Rules: bad}).Run()
	require.True(t, errorx.IsOfType(err, findingsFound))
	err = (&checkCommand{Inventory: file(t, "inventory.json", []byte(`{`)), Rules: bad}).Run()
	require.True(t, errorx.IsOfType(err, findingsFound))
}

func TestStatusOfAnEntryThatIsNotThere(t *testing.T) {
	err := (&statusCommand{Entry: "http://127.0.0.1:1"}).Run(context.Background())
	require.True(t, errorx.IsOfType(err, notAnswered))
}
