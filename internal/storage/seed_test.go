package storage_test

import "flag"

// The fixed seed makes the property tests deterministic; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20260102") }
