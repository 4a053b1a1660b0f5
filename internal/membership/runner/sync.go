package runner

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/changelog"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/storage"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

// ackBufferSize is at least the number of members of a cell.
const ackBufferSize = 256

// systemOperator is the operator of log entries that daemons write on their own.
const systemOperator = "rattanscaled"

// poll reads the view row and the head, and applies newer log entries. The caller
// holds the poll slot.
func (r *Runner) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := r.now()
	row, err := r.readRow(ctx)
	r.storeFailed.Store(err != nil)
	if err != nil {
		return err
	}
	r.setRow(row)
	r.tracker.ObserveStoreRead(r.now(), started, row.view, row.head.Revision)
	before := r.follower.Revision()
	if before == 0 && row.head.Revision > 1 {
		err = r.config.ChangeLog.Load(ctx)
	} else {
		err = r.config.ChangeLog.CatchUpTo(ctx, row.head)
	}
	r.syncTracker()
	if err != nil {
		r.config.Logger.Error(err, "failed to apply change log entries; fetching them again", "revision", r.follower.Revision(), "head", row.head.Revision)
		r.requestPull()
	}
	if after := r.follower.Revision(); after > before {
		r.record("configuration-applied", timeline.Attr("revision", after), timeline.Attr("from", "store"))
		r.spawn(func() { r.pushEntries(ctx, after, nil) })
	}
	return nil
}

// CommitResult is the result of Commit.
type CommitResult struct {
	Revision uint64
	// Acknowledged reports that a strict majority is known to hold the revision. When
	// it is false the change is still in the log, and an in-force entry follows once
	// the change has taken effect.
	Acknowledged bool
}

// Commit appends an operator's change to the log; expect is as for
// changelog.Log.Commit. The daemon must reach the table service and a strict majority
// of members. Commit returns once a strict majority holds the revision, ctx ends or
// the calls to the members have ended.
func (r *Runner) Commit(ctx context.Context, expect uint64, change entity.Change) (CommitResult, error) {
	if change.CreatedAt.IsZero() {
		change.CreatedAt = r.now().UTC()
	}
	revision, err := r.config.ChangeLog.Commit(ctx, expect, change, r.commitGuard)
	if err != nil {
		return CommitResult{}, err
	}
	r.syncTracker()
	r.record("change-committed", timeline.Attr("revision", revision), timeline.Attr("change", change.ID),
		timeline.Attr("change-kind", change.Kind), timeline.Attr("operator", change.Operator))
	acks := make(chan string, ackBufferSize)
	spawned := r.spawn(func() {
		defer close(acks)
		r.pushEntries(ctx, revision, acks)
	})
	return CommitResult{Revision: revision, Acknowledged: spawned && r.awaitMajority(ctx, acks)}, nil
}

// awaitMajority waits until a strict majority has acknowledged. It returns false when
// acks is closed or ctx ends before.
func (r *Runner) awaitMajority(ctx context.Context, acks <-chan string) bool {
	names := map[string]bool{}
	for !r.tracker.Snapshot().IsMajority(r.now(), names) {
		select {
		case name, ok := <-acks:
			if !ok {
				return false
			}
			names[name] = true
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// commitGuard returns a check of the view row's version for the commit, so that no
// view is written between the check of the majority and the commit.
func (r *Runner) commitGuard(ctx context.Context) ([]storage.Write, error) {
	if err := r.acquirePollSlot(ctx); err != nil {
		return nil, err
	}
	defer r.releasePollSlot()
	return r.commitGuardLocked(ctx)
}

// commitGuardLocked is commitGuard for a caller that holds the poll slot.
func (r *Runner) commitGuardLocked(ctx context.Context) ([]storage.Write, error) {
	if err := r.poll(ctx); err != nil {
		return nil, err
	}
	s, row := r.tracker.Snapshot(), r.currentRow()
	if err := s.MayCommit(r.now()); err != nil {
		return nil, err
	}
	if s.View.Epoch != row.view.Epoch {
		return nil, failure.NotRun(failure.NotReady, "host %s holds the view of epoch %d, but the table service has epoch %d", s.Self.Name, s.View.Epoch, row.view.Epoch)
	}
	return []storage.Write{{Kind: storage.Check, Key: r.viewKey(), ExpectedVersion: row.version}}, nil
}

// writeInForce writes the in-force entry once the latest change has been in force
// for the delay, which gives members earlier in the rendezvous order time to write it.
// The entry's identifier is derived from the revision, so that it is written only
// once. The caller holds the poll slot.
func (r *Runner) writeInForce(ctx context.Context, now time.Time, delay time.Duration) {
	conf := r.follower.Configuration()
	if conf.InForceRevision >= conf.LastChangeRevision || r.tracker.InForce(now) < conf.LastChangeRevision || r.tracker.Snapshot().MayCommit(now) != nil {
		return
	}
	if !r.inForceEntryDue(now, conf.LastChangeRevision, delay) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	change := entity.Change{
		ID: fmt.Sprintf("in-force-%d", conf.LastChangeRevision), Kind: entity.ChangeInForce, Operator: systemOperator,
		CreatedAt: now.UTC(), ConfirmedRevision: conf.LastChangeRevision,
	}
	revision, err := r.config.ChangeLog.Commit(ctx, 0, change, r.commitGuardLocked)
	if err != nil {
		r.config.Logger.Info("failed to write the in-force entry", "revision", conf.LastChangeRevision, "error", err.Error())
		return
	}
	r.syncTracker()
	r.record("change-in-force", timeline.Attr("revision", conf.LastChangeRevision))
	r.spawn(func() { r.pushEntries(context.WithoutCancel(ctx), revision, nil) })
}

// inForceEntryDue reports whether the revision has been in force without an in-force
// entry for the delay.
func (r *Runner) inForceEntryDue(now time.Time, revision uint64, delay time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingRevision != revision {
		r.pendingRevision, r.pendingSince = revision, now
	}
	return now.Sub(r.pendingSince) >= delay
}

// pushEntries sends the members the entries that they lack, and sends the names of
// those that then hold the revision to acks, which may be nil. With acks, it also asks
// members that are known to hold the revision.
func (r *Runner) pushEntries(ctx context.Context, revision uint64, acks chan<- string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	s := r.tracker.Snapshot()
	var wg sync.WaitGroup
	for _, host := range s.Hosts() {
		if host.Name == s.Self.Name || host.Revision >= revision && acks == nil {
			continue
		}
		wg.Go(func() {
			var answer DeltaResponse
			err := r.config.Peers.Call(ctx, host.PeerAddress, MethodDelta, r.deltaFor(host.Revision, revision), &answer)
			if err != nil || answer.Revision < revision {
				return
			}
			select {
			case acks <- host.Name:
			default: // no reader, or the buffer is full
			}
		})
	}
	wg.Wait()
}

// deltaFor returns the entries after knownRevision, the revision that the member was
// last known to hold. When that is 0 (unknown) or too old, it returns the entries from
// revision on, and the member asks for the others.
func (r *Runner) deltaFor(knownRevision, revision uint64) Delta {
	if knownRevision == 0 {
		knownRevision = revision - 1
	}
	entries, ok := r.follower.Since(min(knownRevision, revision-1))
	if !ok {
		entries, _ = r.follower.Since(revision - 1)
	}
	return Delta{From: r.tracker.Snapshot().Self.Name, Entries: entries}
}

// requestPull asks pullLoop to fetch missing entries.
func (r *Runner) requestPull() {
	select {
	case r.pullRequests <- struct{}{}:
	default:
	}
}

func (r *Runner) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pullRequests:
			r.pullEntries(ctx)
		}
	}
}

// pullEntries fetches missing entries from the members that hold a higher revision,
// the highest first, and from the store if they do not suffice.
func (r *Runner) pullEntries(ctx context.Context) {
	s := r.tracker.Snapshot()
	before := r.follower.Revision()
	hosts := slices.DeleteFunc(slices.Clone(s.Hosts()), func(h membership.Host) bool {
		return h.Name == s.Self.Name || h.Revision <= before
	})
	slices.SortStableFunc(hosts, func(a, b membership.Host) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, host := range hosts {
		if r.pullEntriesFrom(ctx, host.PeerAddress) == nil && r.follower.Revision() >= s.KnownHead {
			break
		}
	}
	if r.follower.Revision() < s.KnownHead && !r.storeFailed.Load() {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		if err := r.config.ChangeLog.CatchUp(readCtx); err != nil {
			r.config.Logger.Info("failed to read change log entries from the table service", "error", err.Error())
		}
	}
	r.syncTracker()
	if after := r.follower.Revision(); after > before {
		r.record("configuration-applied", timeline.Attr("revision", after), timeline.Attr("from", "peer"))
	}
}

func (r *Runner) pullEntriesFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var delta Delta
	if err := r.config.Peers.Call(ctx, address, MethodRead, ReadRequest{After: r.follower.Revision()}, &delta); err != nil {
		return err
	}
	return r.applyDelta(delta)
}

func (r *Runner) applyDelta(delta Delta) error {
	if delta.Snapshot != nil {
		if err := r.follower.Restore(*delta.Snapshot); err != nil {
			return err
		}
	}
	_, err := r.follower.Apply(delta.Entries...)
	r.syncTracker()
	return err
}

// Delta carries log entries. Snapshot is set, and applied first, when the sender no
// longer has all the entries that the receiver lacks.
type Delta struct {
	From     string              `json:"from"`
	Snapshot *changelog.Snapshot `json:"snapshot,omitempty"`
	Entries  []entity.Change     `json:"entries,omitempty"`
}

// DeltaResponse reports the receiver's revision after it has applied a Delta.
type DeltaResponse struct {
	Revision uint64 `json:"revision"`
}

// ReadRequest asks for the entries after a revision.
type ReadRequest struct {
	After uint64 `json:"after"`
}
