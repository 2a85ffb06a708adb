// Package fixedseed sets a fixed seed for property tests with package rapid, so
// that every run gives the same result. Tests import it for its side effect. The
// flag -rapid.seed of the test binary still overrides the seed.
package fixedseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(fmt.Sprintf("fixedseed: failed to set the flag rapid.seed: %v", err))
	}
}
