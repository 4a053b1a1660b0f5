package replay

import "flag"

// A fixed seed makes the property tests repeatable; -rapid.seed selects another one.
func init() { _ = flag.Set("rapid.seed", "20260102") }
