package stream

import "flag"

// A fixed seed makes every run test the same cases; -rapid.seed selects others.
func init() { _ = flag.Set("rapid.seed", "20260102") }
