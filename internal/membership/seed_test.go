package membership

import "flag"

// A fixed seed makes runs reproducible; -rapid.seed selects another one.
func init() { _ = flag.Set("rapid.seed", "20260102") }
