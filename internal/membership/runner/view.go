package runner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/changelog"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/storage"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

const (
	viewPartition = "cells"
	// pruneThreshold and maxViewChanges bound the number of changes in the view row. At
	// maxViewChanges joins wait until a poller knows that earlier views are not in use.
	pruneThreshold = 16
	maxViewChanges = 96

	writeAttempts = 8
	retryPause    = 20 * time.Millisecond
)

func (r *Runner) viewKey() storage.Key {
	return storage.Key{Partition: viewPartition, Sort: r.config.Cell}
}

// readRow reads the view row and the head revision.
func (r *Runner) readRow(ctx context.Context) (viewRow, error) {
	var row viewRow
	item, err := r.config.Table.Get(ctx, r.viewKey())
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return row, failure.NotRun(failure.StoreUnavailable, "failed to read the view row from the table service: %v", err)
	}
	if err == nil {
		if err := json.Unmarshal(item.Value, &row.view); err != nil {
			return row, failure.New(failure.Internal, "failed to decode the view row of cell %s: %v", r.config.Cell, err)
		}
		row.version = item.Version
	}
	row.head, err = r.config.ChangeLog.Head(ctx)
	return row, err
}

// writeView replaces the view row if it has not changed since it was read. The head
// is checked in the same transaction, so the view's floor equals the head at the time
// of the write. It reports whether the view is known to be written; after a lost
// answer the next poll shows whether it was.
func (r *Runner) writeView(ctx context.Context, row viewRow, next membership.View) bool {
	if r.tracker.Snapshot().View.Epoch == row.view.Epoch {
		next = next.Prune(r.tracker.PrunableEpoch(r.now()))
	}
	next.Floor = row.head.Revision
	value, err := json.Marshal(next)
	if err != nil {
		r.config.Logger.Error(err, "failed to encode the membership view")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	started := r.now()
	err = r.config.Table.Commit(ctx,
		storage.Write{Kind: storage.Put, Key: r.viewKey(), ExpectedVersion: row.version, Value: value},
		storage.Write{Kind: storage.Check, Key: changelog.HeadKey, ExpectedVersion: row.head.Version})
	if err != nil {
		r.config.Logger.Info("failed to write the membership view", "epoch", next.Epoch, "error", err.Error())
		return false
	}
	r.setRow(viewRow{view: next, version: row.version + 1, head: row.head})
	r.tracker.ObserveStoreRead(r.now(), started, next, row.head.Revision)
	r.syncTracker()
	return true
}

func (r *Runner) setRow(row viewRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.viewRow = row
}

func (r *Runner) currentRow() viewRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.viewRow
}

// ensureMember adds the daemon to the view when it is missing: at its start, and
// with a new incarnation after it was removed. It returns an error when another
// process has taken the daemon's name. The caller holds the poll slot.
func (r *Runner) ensureMember(ctx context.Context) error {
	for range writeAttempts {
		row := r.currentRow()
		self := r.tracker.Snapshot().Self
		if row.view.Has(self) {
			r.setJoined()
			return nil
		}
		current, nameTaken := row.view.Member(self.Name)
		if nameTaken && r.hasJoined() && current.Incarnation > self.Incarnation {
			return failure.New(failure.Conflict, "another process has joined as host %s; give each host its own host.name", self.Name)
		}
		if len(row.view.Changes) >= maxViewChanges {
			r.config.Logger.Info("join postponed until earlier views are no longer in use", "changes", len(row.view.Changes))
			return nil
		}
		if r.hasJoined() || nameTaken && current.Incarnation >= self.Incarnation {
			self.Incarnation = max(uint64(r.now().UnixMilli()), self.Incarnation+1, current.Incarnation+1)
			r.tracker.SetIncarnation(r.now(), self.Incarnation)
		}
		member := r.config.Self
		member.Identity = self
		if r.writeView(ctx, row, row.view.Join(member)) {
			r.setJoined()
			r.record("member-joined", timeline.Attr("epoch", row.view.Epoch+1), timeline.Attr("incarnation", self.Incarnation))
			return nil
		}
		if !sleep(ctx, jitter(retryPause)) || r.poll(ctx) != nil {
			return nil
		}
	}
	return nil
}

func (r *Runner) setJoined() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined = true
}

func (r *Runner) hasJoined() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.joined
}

// maintainView removes failed members, prunes the view row and writes the in-force
// entry. The first live member in rendezvous order does so at once, each later one
// after one more second in case those before it did not. The caller holds the poll slot.
func (r *Runner) maintainView(ctx context.Context) {
	now := r.now()
	failed := r.tracker.MembersToRemove(now)
	s := r.tracker.Snapshot()
	row := r.currentRow()
	if row.view.Epoch != s.View.Epoch || !s.View.Has(s.Self) {
		return
	}
	order := slices.DeleteFunc(s.RendezvousOrder(), func(name string) bool {
		return slices.ContainsFunc(failed, func(id membership.Identity) bool { return id.Name == name })
	})
	rank := slices.Index(order, s.Self.Name)
	if rank < 0 {
		return
	}
	if due := r.failedForAtLeast(now, failed, time.Duration(rank)*time.Second); len(due) > 0 {
		if r.writeView(ctx, row, row.view.Remove(false, due...)) {
			for _, id := range due {
				r.record("member-removed", timeline.Attr("member", id.Name), timeline.Attr("epoch", row.view.Epoch+1))
			}
		}
		return
	}
	// The first member prunes every change it can: when members of an earlier view
	// have failed, a daemon that starts later cannot find out that the view is no
	// longer in use, and would never grant. The others prune only once the list has
	// grown, in case the first one does not reach the store.
	if oldest := r.tracker.PrunableEpoch(now); len(row.view.Changes) > pruneThreshold*rank && oldest >= row.view.Changes[0].Epoch {
		r.writeView(ctx, row, row.view)
	}
	r.writeInForce(ctx, now, time.Duration(rank)*time.Second)
}

// failedForAtLeast returns the members that have been found failed for at least the given duration.
func (r *Runner) failedForAtLeast(now time.Time, failed []membership.Identity, duration time.Duration) []membership.Identity {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := map[membership.Identity]time.Time{}
	var due []membership.Identity
	for _, id := range failed {
		since[id] = now
		if at, ok := r.failedSince[id]; ok {
			since[id] = at
		}
		if now.Sub(since[id]) >= duration {
			due = append(due, id)
		}
	}
	r.failedSince = since
	return due
}

// Evict removes a member whose process, as the operator states, no longer runs. It
// needs no majority, and the member counts as having left by itself, so other members
// take over its pools without an answer from it. It is for the case in which too many
// members have failed for a strict majority to remove them.
func (r *Runner) Evict(ctx context.Context, name, operator string) error {
	if name == r.config.Self.Name {
		return failure.NotRun(failure.InvalidRequest, "host %s is running; stop it instead of evicting it", name)
	}
	for range writeAttempts {
		if err := r.acquirePollSlot(ctx); err != nil {
			return err
		}
		err := r.poll(ctx)
		row := r.currentRow()
		member, ok := row.view.Member(name)
		written := err == nil && ok && r.writeView(ctx, row, row.view.Remove(true, member.Identity))
		r.releasePollSlot()
		switch {
		case err != nil:
			return err
		case !ok:
			return failure.NotRun(failure.NotFound, "cell %s has no member %q", r.config.Cell, name)
		case written:
			r.record("member-evicted", timeline.Attr("member", name), timeline.Attr("operator", operator))
			return nil
		case !sleep(ctx, jitter(retryPause)):
			return failure.New(failure.OutcomeUnknown, "host %s may have been evicted: %v", name, ctx.Err())
		}
	}
	return failure.New(failure.OutcomeUnknown, "host %s may have been evicted; read the list of hosts", name)
}

// leave removes the daemon, which has stopped granting and answering, from the view.
func (r *Runner) leave(ctx context.Context) {
	for range writeAttempts {
		self := r.tracker.Snapshot().Self
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		row, err := r.readRow(readCtx)
		cancel()
		if err != nil || !row.view.Has(self) {
			return // the other members will remove the daemon because it is silent
		}
		if r.writeView(ctx, row, row.view.Remove(true, self)) {
			r.record("member-left", timeline.Attr("epoch", row.view.Epoch+1))
			return
		}
		sleep(ctx, jitter(retryPause))
	}
}
