// Package examples holds the example files of both first users' sites.
package examples

import _ "embed"

// CairoInventory and CairoRules are those of Nile Easel Atelier.
//
//go:embed cairo/inventory.json
var CairoInventory []byte

// CairoRules are the rules beside CairoInventory.
//
//go:embed cairo/rules.json
var CairoRules []byte

// SwedenInventory is that of Glansverket.
//
//go:embed sweden/inventory.json
var SwedenInventory []byte

// SwedenRules are the rules beside SwedenInventory.
//
//go:embed sweden/rules.json
var SwedenRules []byte
