package relay

import "flag"

// A fixed seed makes every run check the same cases; -rapid.seed selects others.
func init() { _ = flag.Set("rapid.seed", "20260102") }
