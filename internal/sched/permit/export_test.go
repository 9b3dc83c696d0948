package permit

import "github.com/persimmonridge/persimmonridge/internal/edge/flow"

// Number returns the number of a held slot.
func Number(p flow.Placement) uint64 { return p.(*placement).number }
