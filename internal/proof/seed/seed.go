// Package seed sets a fixed seed for property tests that import it for its side
// effect, so that CI results are reproducible. The flag -rapid.seed overrides it.
package seed

import "flag"

// defaultSeed is the seed of property tests without the flag.
const defaultSeed = "20261203"

func init() {
	if rapidSeed := flag.Lookup("rapid.seed"); rapidSeed != nil {
		_ = rapidSeed.Value.Set(defaultSeed)
	}
}
