// Package placement decides which engine loads which model and sends the orders to the
// engines. The Planner does no I/O and reads no clock; the Executor sends its orders.
package placement

// A fencing token holds the epoch in its upper bits and the revision in the lower
// revisionBits bits.
const (
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEpoch     = 1<<(64-revisionBits) - 1
)

// FencingToken packs epoch and revision into a fencing token. A later epoch gives a larger
// token for any revisions, so that the owner of an earlier view is refused even if it has
// seen a later revision. Epochs above 2^24-1 and revisions above 2^40-1 are clamped, which
// preserves the order of all smaller values.
func FencingToken(epoch, revision uint64) uint64 {
	return min(epoch, maxEpoch)<<revisionBits | min(revision, maxRevision)
}
