// Package examples embeds the example inventories and rules of two sites.
package examples

import _ "embed"

// CairoInventory is the inventory of the site of Nile Easel Atelier.
//
//go:embed cairo/inventory.json
var CairoInventory []byte

// CairoRules are the rules for CairoInventory.
//
//go:embed cairo/rules.json
var CairoRules []byte

// SwedenInventory is the inventory of the site of Glansverket.
//
//go:embed sweden/inventory.json
var SwedenInventory []byte

// SwedenRules are the rules for SwedenInventory.
//
//go:embed sweden/rules.json
var SwedenRules []byte
