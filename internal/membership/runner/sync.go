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

// ackBuffer holds the acknowledgements of all members of a cell.
const ackBuffer = 256

// systemOperator is the operator of the entries that daemons write by themselves.
const systemOperator = "rattanscaled"

// poll reads the view row and the head and applies what is new. The caller holds polling.
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
		err = r.config.Log.Load(ctx)
	} else {
		err = r.config.Log.Reach(ctx, row.head)
	}
	r.observed()
	if err != nil {
		r.config.Logger.Error(err, "log entries not applied", "revision", r.follower.Revision(), "head", row.head.Revision)
		r.wantPull()
	}
	if after := r.follower.Revision(); after > before {
		r.record("configuration-applied", timeline.Attr("revision", after), timeline.Attr("from", "store"))
		r.spawn(func() { r.push(ctx, after, nil) })
	}
	return nil
}

// Result is the outcome of a commit.
type Result struct {
	Revision uint64
	// Acknowledged reports that a strict majority holds the revision. Without it the
	// change is in the log, and the in-force entry tells when it has taken effect.
	Acknowledged bool
}

// Commit appends an operator's change; expect is as for changelog.Log.Commit. The
// daemon must reach the table service and a strict majority of members. It returns
// once a strict majority holds the revision, or when ctx or the wait for it ends.
func (r *Runner) Commit(ctx context.Context, expect uint64, change entity.Change) (Result, error) {
	if change.CreatedAt.IsZero() {
		change.CreatedAt = r.now().UTC()
	}
	revision, err := r.config.Log.Commit(ctx, expect, change, r.guard)
	if err != nil {
		return Result{}, err
	}
	r.observed()
	r.record("change-committed", timeline.Attr("revision", revision), timeline.Attr("change", change.ID),
		timeline.Attr("change-kind", change.Kind), timeline.Attr("operator", change.Operator))
	acks := make(chan string, ackBuffer)
	spawned := r.spawn(func() {
		defer close(acks)
		r.push(ctx, revision, acks)
	})
	return Result{Revision: revision, Acknowledged: spawned && r.collect(ctx, acks)}, nil
}

// collect reads acknowledgements until a strict majority has sent one.
func (r *Runner) collect(ctx context.Context, acks <-chan string) bool {
	names := map[string]bool{}
	for !r.tracker.Snapshot().Majority(r.now(), names) {
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

// guard makes the commit depend on the view row: no view is written between the
// check of the majority and the commit.
func (r *Runner) guard(ctx context.Context) ([]storage.Write, error) {
	if err := r.startPolling(ctx); err != nil {
		return nil, err
	}
	defer r.endPolling()
	return r.guardLocked(ctx)
}

func (r *Runner) guardLocked(ctx context.Context) ([]storage.Write, error) {
	if err := r.poll(ctx); err != nil {
		return nil, err
	}
	s, row := r.tracker.Snapshot(), r.currentRow()
	if err := s.MayCommit(r.now()); err != nil {
		return nil, err
	}
	if s.View.Epoch != row.view.Epoch {
		return nil, failure.NotRun(failure.NotReady, "host %s holds epoch %d instead of %d", s.Self.Name, s.View.Epoch, row.view.Epoch)
	}
	return []storage.Write{{Kind: storage.Check, Key: r.viewKey(), Expect: row.version}}, nil
}

// writeInForce writes the in-force entry when the latest change has been in force
// for the delay, during which a member earlier in the order may write it. Its
// identifier follows from the revision, so that it is written once. The caller
// holds polling.
func (r *Runner) writeInForce(ctx context.Context, now time.Time, delay time.Duration) {
	conf := r.follower.Configuration()
	if conf.InForceRevision >= conf.LastChangeRevision || r.tracker.InForce(now) < conf.LastChangeRevision || r.tracker.Snapshot().MayCommit(now) != nil {
		return
	}
	if !r.pendingFor(now, conf.LastChangeRevision, delay) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	change := entity.Change{
		ID: fmt.Sprintf("in-force-%d", conf.LastChangeRevision), Kind: entity.ChangeInForce, Operator: systemOperator,
		CreatedAt: now.UTC(), ConfirmedRevision: conf.LastChangeRevision,
	}
	revision, err := r.config.Log.Commit(ctx, 0, change, r.guardLocked)
	if err != nil {
		r.config.Logger.Info("in-force entry not written", "revision", conf.LastChangeRevision, "error", err.Error())
		return
	}
	r.observed()
	r.record("change-in-force", timeline.Attr("revision", conf.LastChangeRevision))
	r.spawn(func() { r.push(context.WithoutCancel(ctx), revision, nil) })
}

// pendingFor reports whether the revision has waited for its in-force entry for the delay.
func (r *Runner) pendingFor(now time.Time, revision uint64, delay time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingRevision != revision {
		r.pendingRevision, r.pendingSince = revision, now
	}
	return now.Sub(r.pendingSince) >= delay
}

// push sends the members the entries that they lack and reports the names of
// those that hold the revision. acks may be nil.
func (r *Runner) push(ctx context.Context, revision uint64, acks chan<- string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	s := r.tracker.Snapshot()
	var wg sync.WaitGroup
	for _, host := range s.Hosts() {
		if host.Name == s.Self.Name || host.Revision >= revision && acks == nil {
			continue
		}
		wg.Go(func() {
			var answer DeltaAnswer
			err := r.config.Peers.Call(ctx, host.PeerAddress, MethodDelta, r.deltaFor(host.Revision, revision), &answer)
			if err != nil || answer.Revision < revision {
				return
			}
			select {
			case acks <- host.Name:
			default: // nobody counts
			}
		})
	}
	wg.Wait()
}

// deltaFor returns the entries for a member that was last seen at the given
// revision. A member without contact gets only the latest and asks for the rest.
func (r *Runner) deltaFor(seen, revision uint64) Delta {
	if seen == 0 {
		seen = revision - 1
	}
	entries, ok := r.follower.Since(min(seen, revision-1))
	if !ok {
		entries, _ = r.follower.Since(revision - 1)
	}
	return Delta{From: r.tracker.Snapshot().Self.Name, Entries: entries}
}

// wantPull asks pullLoop to fetch missing entries.
func (r *Runner) wantPull() {
	select {
	case r.pulls <- struct{}{}:
	default:
	}
}

func (r *Runner) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pulls:
			r.pull(ctx)
		}
	}
}

// pull fetches entries from the members that hold a higher revision, the highest
// first, and otherwise from the store.
func (r *Runner) pull(ctx context.Context) {
	s := r.tracker.Snapshot()
	before := r.follower.Revision()
	hosts := slices.DeleteFunc(slices.Clone(s.Hosts()), func(h membership.Host) bool {
		return h.Name == s.Self.Name || h.Revision <= before
	})
	slices.SortStableFunc(hosts, func(a, b membership.Host) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, host := range hosts {
		if r.pullFrom(ctx, host.PeerAddress) == nil && r.follower.Revision() >= s.KnownHead {
			break
		}
	}
	if r.follower.Revision() < s.KnownHead && !r.storeFailed.Load() {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		if err := r.config.Log.CatchUp(readCtx); err != nil {
			r.config.Logger.Info("log entries not read", "error", err.Error())
		}
	}
	r.observed()
	if after := r.follower.Revision(); after > before {
		r.record("configuration-applied", timeline.Attr("revision", after), timeline.Attr("from", "peer"))
	}
}

func (r *Runner) pullFrom(ctx context.Context, address string) error {
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
	r.observed()
	return err
}

// Delta carries log entries, after a snapshot where the entries alone do not reach back far enough.
type Delta struct {
	From     string              `json:"from"`
	Snapshot *changelog.Snapshot `json:"snapshot,omitempty"`
	Entries  []entity.Change     `json:"entries,omitempty"`
}

// DeltaAnswer tells the receiver's revision after a delta.
type DeltaAnswer struct {
	Revision uint64 `json:"revision"`
}

// ReadRequest asks for the entries after a revision.
type ReadRequest struct {
	After uint64 `json:"after"`
}
