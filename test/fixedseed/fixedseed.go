// Package fixedseed gives the property tests of package rapid a fixed seed, so
// that each run has the same verdict. Tests import it for its side effect; the
// flag -rapid.seed of a test binary still goes first.
package fixedseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // registers the flag
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(fmt.Sprintf("fixedseed: %v", err))
	}
}
