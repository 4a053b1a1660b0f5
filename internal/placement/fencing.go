// Package placement decides which engine loads which model, and sends the orders.
// The Planner does no I/O and reads no clock; the Executor sends its orders.
package placement

// The fencing token holds the epoch above the revision.
const (
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEpoch     = 1<<(64-revisionBits) - 1
)

// FencingToken packs epoch and revision into a fencing token. A later epoch gives a larger token
// whatever the revisions are, so that an owner of an earlier view is refused even if it
// has seen a later revision. Values beyond 2^24-1 epochs or 2^40-1 revisions stay at that
// limit, which keeps the order of all smaller ones.
func FencingToken(epoch, revision uint64) uint64 {
	return min(epoch, maxEpoch)<<revisionBits | min(revision, maxRevision)
}
