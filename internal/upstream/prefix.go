package upstream

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the length of the prompt prefix that CacheEvent.Prefix covers.
const PrefixBytes = 256

// PrefixHash returns the hash of the first PrefixBytes of a prompt, by which cache events
// identify it.
func PrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}
